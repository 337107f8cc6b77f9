// Package assembler builds an entry from its actors and the dependencies outside:
// the store, the list of VMs, connections, listeners, clock and random source.
package assembler

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/chooser"
	"samphiremux/entry/collector"
	"samphiremux/entry/coordinator"
	"samphiremux/entry/forwarder"
	"samphiremux/entry/granter"
	"samphiremux/entry/heartbeater"
	"samphiremux/entry/limiter"
	"samphiremux/entry/linkhandler"
	"samphiremux/entry/locator"
	"samphiremux/entry/notifier"
	"samphiremux/entry/reconciler"
	"samphiremux/entry/registrar"
	"samphiremux/entry/reporter"
	"samphiremux/entry/sender"
	"samphiremux/entry/spawner"
	"samphiremux/entry/tracker"
	"samphiremux/entry/watcher"
	"samphiremux/pkg/linker"
	"samphiremux/pkg/storer"
)

const (
	// headerLimit bounds the time in which a caller sends its headers.
	headerLimit = 5 * time.Second
	// readLimit bounds the time in which a caller sends its request.
	readLimit = 30 * time.Second
	// idleLimit bounds the time for which a caller's connection is unused.
	idleLimit = 2 * time.Minute
	// maxHeaderBytes bounds the headers of a caller.
	maxHeaderBytes = 64 << 10
	// vmListInterval is the time between two readings of the list of VMs.
	vmListInterval = 2 * time.Second
	// drainLimit bounds the wait for the last requests of a stopping entry.
	drainLimit = 30 * time.Second
)

// VM is one line of the platform's list of VMs.
type VM struct {
	Address string
	Leaving bool
}

// Dependencies are the ways from an entry to the outside.
type Dependencies struct {
	Store storer.Store
	// ListVMs reads the platform's list of VMs. Nil means that there is none.
	ListVMs        func(ctx context.Context) ([]VM, error)
	DialServer     sender.Dialer
	DialPeer       linker.Dialer
	CallerListener net.Listener
	LinkListener   net.Listener
	Now            func() time.Time
	Announce       coordinator.Announce
	Log            hclog.Logger
}

// Identity is what an entry knows of itself.
type Identity struct {
	ID          string
	Domain      string
	Environment string
	Address     netip.AddrPort
	LinkAddress netip.AddrPort
	// Seeds are link addresses of other entries.
	Seeds  []string
	Policy chooser.Policy
	Seed   uint64
}

// Entry is one running entry.
type Entry struct {
	node      *reconciler.Node
	seams     Dependencies
	identity  Identity
	spawner   *spawner.Spawner
	servers   *sender.Sender
	peers     *sender.Sender
	probes    *sender.Sender
	pool      *linker.Pool
	http      *http.Server
	registrar spawner.Actor
	cancel    context.CancelFunc
	work      sync.WaitGroup
}

// Start builds and starts an entry. It runs until Stop or Kill, or until ctx
// ends.
func Start(ctx context.Context, id Identity, seams Dependencies) *Entry {
	rng := rand.New(rand.NewPCG(id.Seed, 1))
	self := tracker.Member{
		ID: id.ID, Domain: id.Domain, Address: id.Address.String(), LinkAddress: id.LinkAddress.String(),
		Incarnation: newIncarnation(rng, seams.Now()),
	}
	counters := collector.New()
	node := reconciler.New(reconciler.Options{Self: self, Policy: id.Policy, Seed: id.Seed, Now: seams.Now, Metrics: counters})
	e := &Entry{
		node: node, seams: seams, identity: id,
		spawner: spawner.New(seams.Log, counters),
		servers: sender.New(seams.DialServer),
		probes:  sender.New(seams.DialServer),
		peers: sender.New(func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
			return seams.DialPeer(ctx, a.String())
		}),
		pool: linker.NewPool(seams.DialPeer),
	}
	ctx, e.cancel = context.WithCancel(ctx)
	e.startDuties(ctx, rng)
	return e
}

// newIncarnation returns an id that tells restarts apart.
func newIncarnation(rng *rand.Rand, now time.Time) string {
	var b [16]byte
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	id := uuid.UUID(b)
	ms := now.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

// derive returns a random source of its own for one actor.
func derive(rng *rand.Rand) *rand.Rand { return rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())) }

func (e *Entry) startDuties(ctx context.Context, rng *rand.Rand) {
	var followDuty, beatDuty, reportDuty, grantDuty spawner.Actor
	fetch := func(address string) { followDuty.TrySend(watcher.FetchFrom{LinkAddress: address}) }
	owner := &granter.Client{Send: func(msg any) bool { return grantDuty.TrySend(msg) }}
	tell := notifier.New(e.node, e.pool)
	log := e.seams.Log

	fol := watcher.New(e.node, e.seams.Store, e.pool, e.identity.Environment, e.identity.Seeds, derive(rng),
		log.Named("follower"), func() {
			beatDuty.TrySend(heartbeater.Push{})
			reportDuty.Trigger()
		})
	reg := registrar.New(e.node, e.seams.Store, e.identity.Environment, log.Named("registrar"))
	beat := heartbeater.New(e.node, e.pool, derive(rng), fetch)
	report := reporter.New(e.node, e.pool, owner)
	grant := granter.New(e.node, e.probe, func(r granter.ProbeResult) { grantDuty.TrySend(r) }, log.Named("granter"))
	lead := coordinator.New(e.node, e.seams.Store, owner, e.identity.Environment, e.seams.Announce, log.Named("coordinator"))

	beatDuty = e.spawner.Spawn("beater", func(m any) { beat.Receive(ctx, m) })
	reportDuty = e.spawner.Spawn("reporter", func(m any) { report.Receive(ctx, m) })
	grantDuty = e.spawner.Spawn("granter", func(m any) { grant.Receive(ctx, m) })
	tellDuty := e.spawner.Spawn("teller", func(m any) { tell.Receive(ctx, m) })
	tell.Send = tellDuty.Send
	e.node.OnRollback(tell.NotifyRollback)
	followDuty = e.spawner.Spawn("follower", func(m any) { fol.Receive(ctx, m) })
	e.registrar = e.spawner.Spawn("registrar", func(m any) { reg.Receive(ctx, m) })
	leadDuty := e.spawner.Spawn("coordinator", func(m any) { lead.Receive(ctx, m) })

	e.registrar.Trigger()
	e.every(ctx, beatDuty, tracker.HeartbeatInterval, rng)
	e.every(ctx, reportDuty, limiter.ReportInterval, rng)
	e.every(ctx, grantDuty, granter.ProbeCheckInterval, rng)
	e.every(ctx, e.registrar, registrar.Interval, rng)
	e.every(ctx, leadDuty, coordinator.Interval, rng)
	e.work.Go(func() { fol.Run(ctx, followDuty.Send) })
	e.work.Go(func() { _ = linker.Serve(ctx, e.seams.LinkListener, linkhandler.New(e.node, owner, fetch)) })
	e.work.Go(func() { e.followVMs(ctx) })
	e.serveCallers(tell)
}

func (e *Entry) every(ctx context.Context, d spawner.Actor, interval time.Duration, rng *rand.Rand) {
	own := derive(rng)
	e.work.Go(func() { d.TriggerEvery(ctx, interval, own) })
}

func (e *Entry) serveCallers(t forwarder.Notifier) {
	mux := http.NewServeMux()
	mux.Handle(locator.Path, locator.New(e.node))
	mux.Handle("/", forwarder.New(e.node, e.servers, e.peers, t, e.seams.Log.Named("forwarder")))
	e.http = &http.Server{
		Handler: mux, ReadHeaderTimeout: headerLimit, ReadTimeout: readLimit, IdleTimeout: idleLimit,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       e.seams.Log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	e.work.Go(func() { _ = e.http.Serve(e.seams.CallerListener) })
}

// probe asks a server for its health over a connection of its own.
func (e *Entry) probe(ctx context.Context, address netip.AddrPort) granter.ProbeResult {
	return sendProbe(ctx, e.probes, address)
}

func (e *Entry) followVMs(ctx context.Context) {
	if e.seams.ListVMs == nil {
		return
	}
	for {
		e.readVMs(ctx)
		select {
		case <-time.After(vmListInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) readVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmListInterval)
	defer cancel()
	vms, err := e.seams.ListVMs(ctx)
	if err != nil {
		e.seams.Log.Debug("List of VMs not read.", "error", err)
		return
	}
	leaving := map[string]bool{}
	for _, vm := range vms {
		if vm.Leaving {
			leaving[vm.Address] = true
		}
	}
	e.node.SetLeavingVMs(leaving)
}

// Node returns the entry's shared state, for its operators' interface.
func (e *Entry) Node() *reconciler.Node { return e.node }

// Stop ends the entry without cutting a request: it is no longer named to
// callers, and serves until the answers that name it have lapsed.
func (e *Entry) Stop(ctx context.Context) {
	e.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		t.SetStopping()
		return t.Refresh(now)
	})
	left := make(chan struct{})
	e.registrar.Send(registrar.Deregister{Done: left})
	select {
	case <-time.After(locator.AnswerTTL + time.Second):
	case <-ctx.Done():
	}
	select {
	case <-left:
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	_ = e.http.Shutdown(drainCtx)
	e.Kill()
}

// Kill ends the entry at once.
func (e *Entry) Kill() {
	e.cancel()
	_ = e.http.Close()
	_ = e.seams.LinkListener.Close()
	e.servers.Retain(func(netip.AddrPort) bool { return false })
	e.probes.Retain(func(netip.AddrPort) bool { return false })
	e.peers.Retain(func(netip.AddrPort) bool { return false })
	e.pool.Retain(func(string) bool { return false })
	e.work.Wait()
	e.spawner.Stop()
}
