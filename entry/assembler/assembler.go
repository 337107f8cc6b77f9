// Package assembler wires an entry together: its shared state, its actors and its
// servers. The store, the list of VMs, the dialers, the listeners, the clock and
// the seed of the random source are passed in, so that a simulator can replace
// them.
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

	"samphiremux/entry/allotter"
	"samphiremux/entry/bodyreader"
	"samphiremux/entry/checker"
	"samphiremux/entry/chooser"
	"samphiremux/entry/collector"
	"samphiremux/entry/coordinator"
	"samphiremux/entry/deliverer"
	"samphiremux/entry/drainer"
	"samphiremux/entry/expirer"
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
	// headerTimeout bounds the time to read the headers of a caller's request.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the time to read the body of a caller's request.
	bodyTimeout = 30 * time.Second
	// idleTimeout bounds the time for which a caller's connection stays open
	// without a request.
	idleTimeout = 2 * time.Minute
	// expireInterval is the time between two checks for expired connections.
	expireInterval = time.Second
	// maxHeaderBytes bounds the size of the headers of a caller's request.
	maxHeaderBytes = 64 << 10
	// vmListInterval is the time between two polls of the list of VMs. It is also
	// the timeout of one poll.
	vmListInterval = 2 * time.Second
	// drainTimeout bounds the wait for the requests in flight of a stopping entry.
	drainTimeout = 30 * time.Second
)

// VM is one element of the platform's list of VMs.
type VM struct {
	// Address is the VM's IP address, without a port.
	Address string
	// Leaving is true if the platform is about to remove the VM.
	Leaving bool
}

// Dependencies are the external services and resources that an entry uses.
type Dependencies struct {
	Store storer.Store
	// ListVMs reads the platform's list of VMs. It is nil if the platform has
	// no such list.
	ListVMs func(ctx context.Context) ([]VM, error)
	// DialServer opens a connection to a backend server.
	DialServer sender.Dialer
	// DialPeer opens a connection to another entry.
	DialPeer linker.Dialer
	// CallerListener accepts the connections of callers.
	CallerListener net.Listener
	// LinkListener accepts the link connections of other entries.
	LinkListener net.Listener
	Now          func() time.Time
	// Bounds are the bounds on what callers and other peers can make the entry hold. It may
	// be nil.
	Bounds *Bounds
	// Announce delivers announcements of version moves. It may be nil.
	Announce coordinator.AnnounceFunc
	Log      hclog.Logger
}

// Identity holds an entry's own registration data and settings.
type Identity struct {
	ID string
	// Domain is the failure domain of the entry's VM.
	Domain      string
	Environment string
	// Address is where callers connect.
	Address netip.AddrPort
	// LinkAddress is where other entries connect.
	LinkAddress netip.AddrPort
	// Seeds are link addresses of other entries, from which the document is
	// fetched if the store does not answer at start.
	Seeds []string
	// Policy chooses a backend server for each request.
	Policy chooser.Policy
	// Seed is the seed of the random source.
	Seed uint64
}

// Entry is one running entry.
type Entry struct {
	node     *reconciler.Node
	deps     Dependencies
	identity Identity
	spawner  *spawner.Spawner
	// servers, peers and probes send requests to backend servers, requests to
	// other entries, and health probes.
	servers *sender.Sender
	peers   *sender.Sender
	probes  *sender.Sender
	// pool holds the link connections to other entries.
	pool *linker.Pool
	// http serves callers.
	http      *http.Server
	drainer   *drainer.Drainer
	expirer   *expirer.Expirer
	registrar spawner.Actor
	cancel    context.CancelFunc
	// wg counts the background goroutines that are not actors.
	wg sync.WaitGroup
}

// Start builds an entry and starts its actors and servers. The entry runs until
// Stop or Kill. Cancelling ctx ends only its background work and the link server;
// callers are served until Stop or Kill.
func Start(ctx context.Context, id Identity, deps Dependencies) *Entry {
	rng := rand.New(rand.NewPCG(id.Seed, 1))
	self := tracker.Member{
		ID: id.ID, Domain: id.Domain, Address: id.Address.String(), LinkAddress: id.LinkAddress.String(),
		Incarnation: newIncarnation(rng, deps.Now()),
	}
	metrics := collector.New()
	node := reconciler.New(reconciler.Options{
		Self: self, Policy: id.Policy, Seed: id.Seed, Now: deps.Now, Metrics: metrics, KeyBytes: deps.Bounds.keyBytes(),
	})
	e := &Entry{
		node: node, deps: deps, identity: id, drainer: drainer.New(),
		spawner: spawner.New(deps.Log, metrics),
		pool:    linker.NewPool(deps.Bounds.dialPeer(deps.DialPeer)),
	}
	deps.Bounds.register(metrics)
	e.expirer = e.newExpirer(callerListener, allotter.CallerShare, maxHeaderBytes)
	e.newSenders()
	ctx, e.cancel = context.WithCancel(ctx)
	e.startActors(ctx, rng)
	return e
}

// newIncarnation returns an id that distinguishes this run of the entry from
// earlier ones: a UUID that begins with the start time in Unix milliseconds (48
// bits) and is random otherwise.
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

// deriveRand returns a new random source seeded from rng. Each goroutine needs its
// own, since rand.Rand is not safe for concurrent use.
func deriveRand(rng *rand.Rand) *rand.Rand { return rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())) }

// startActors starts the actors, their tickers, and the link and caller servers.
// The names given to Spawn are label values of the metrics.
func (e *Entry) startActors(ctx context.Context, rng *rand.Rand) {
	var watcherActor, heartbeaterActor, reporterActor, granterActor spawner.Actor
	fetch := func(address string) { watcherActor.TrySend(watcher.FetchFrom{LinkAddress: address}) }
	owner := &granter.Client{Send: func(msg any) bool { return granterActor.TrySend(msg) }}
	notify := notifier.New(e.node, e.pool)
	log := e.deps.Log

	watch := watcher.New(e.node, e.deps.Store, e.pool, e.identity.Environment, e.identity.Seeds, deriveRand(rng),
		log.Named("follower"), func() {
			heartbeaterActor.TrySend(heartbeater.Push{})
			reporterActor.Trigger()
		})
	reg := registrar.New(e.node, e.deps.Store, e.identity.Environment, log.Named("registrar"))
	beat := heartbeater.New(e.node, e.pool, deriveRand(rng), fetch)
	report := reporter.New(e.node, e.pool, owner, e.probe)
	checks := checker.New(e.node, e.servers.Reachable, func(sv *reconciler.Service) {
		e.closeIdle(sv)
		reporterActor.Trigger()
	}, rand.New(rand.NewPCG(e.identity.Seed, 2)), log.Named("checker"))
	grant := granter.New(e.node, e.probe, checks.Reaches, func(r granter.ProbeResult) { granterActor.TrySend(r) }, log.Named("granter"))
	coord := coordinator.New(e.node, e.deps.Store, owner, e.identity.Environment, e.deps.Announce, log.Named("coordinator"))

	heartbeaterActor = e.spawner.Spawn("beater", func(m any) { beat.Receive(ctx, m) })
	reporterActor = e.spawner.Spawn("reporter", func(m any) { report.Receive(ctx, m) })
	granterActor = e.spawner.Spawn("granter", func(m any) { grant.Receive(ctx, m) })
	notifierActor := e.spawner.Spawn("teller", func(m any) { notify.Receive(ctx, m) })
	notify.Send = notifierActor.Send
	e.node.OnRollback(notify.NotifyRollback)
	checkerActor := e.spawner.Spawn("checker", func(m any) { checks.Receive(ctx, m) })
	e.node.OnDoubt(checkerActor.Trigger)
	watcherActor = e.spawner.Spawn("follower", func(m any) { watch.Receive(ctx, m) })
	e.registrar = e.spawner.Spawn("registrar", func(m any) { reg.Receive(ctx, m) })
	coordinatorActor := e.spawner.Spawn("coordinator", func(m any) { coord.Receive(ctx, m) })

	e.registrar.Trigger()
	e.tickEvery(ctx, heartbeaterActor, tracker.HeartbeatInterval, rng)
	e.tickEvery(ctx, reporterActor, limiter.ReportInterval, rng)
	e.tickEvery(ctx, granterActor, granter.ProbeCheckInterval, rng)
	e.tickEvery(ctx, e.registrar, registrar.Interval, rng)
	e.tickEvery(ctx, coordinatorActor, coordinator.Interval, rng)
	e.tickEvery(ctx, checkerActor, checker.Interval, rng)
	e.wg.Go(func() { watch.Run(ctx, watcherActor.Send) })
	e.wg.Go(func() { _ = linker.Serve(ctx, e.boundLink(e.deps.LinkListener), linkhandler.New(e.node, owner, fetch)) })
	e.wg.Go(func() { e.pollVMs(ctx) })
	e.wg.Go(func() { e.closeExpired(ctx) })
	e.serveCallers(notify, checks)
}

// closeExpired closes callers' connections that are not used, until ctx ends.
func (e *Entry) closeExpired(ctx context.Context) {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			e.expirer.CloseExpired(expirer.Timeouts{Header: headerTimeout, Idle: idleTimeout})
			e.observeBounds(e.deps.Now())
		case <-ctx.Done():
			return
		}
	}
}

// closeIdle closes the idle connections to the servers of a service, which may lose all
// data since the entry was cut off.
func (e *Entry) closeIdle(sv *reconciler.Service) {
	for _, srv := range sv.Spec.Servers {
		e.servers.CloseIdle(srv.Address)
		e.probes.CloseIdle(srv.Address)
	}
}

// tickEvery sends an actor a Tick at the given interval, with jitter.
func (e *Entry) tickEvery(ctx context.Context, a spawner.Actor, interval time.Duration, rng *rand.Rand) {
	jitter := deriveRand(rng)
	e.wg.Go(func() { a.TriggerEvery(ctx, interval, jitter) })
}

// serveCallers serves locate queries and forwards all other requests.
func (e *Entry) serveCallers(notify forwarder.Notifier, checks *checker.Checker) {
	locate := locator.New(e.node)
	forward := forwarder.New(e.node, e.servers, e.peers, notify, e.drainer.MayTake, checks.Reaches, e.deps.Log.Named("forwarder")).
		WithBounds(e.deps.Bounds.forwarderBounds())
	// A http.ServeMux would redirect callers whose paths have empty or dot segments.
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == locator.Path {
			bodyreader.BoundDiscard(w, r)
			deliverer.BoundWrite(w)
			locate.ServeHTTP(w, r)
			return
		}
		forward.ServeHTTP(w, r)
	}
	e.http = &http.Server{
		// The expirer closes connections, since a header timeout of net/http counts from
		// the opening of a connection, whose first request may come later.
		Handler: e.drainer.Handler(withBodyTimeout(http.HandlerFunc(handler))), MaxHeaderBytes: maxHeaderBytes, ConnState: e.expirer.ConnState,
		DisableGeneralOptionsHandler: true,
		BaseContext:                  func(net.Listener) context.Context { return e.drainer.Requests() },
		ErrorLog:                     e.deps.Log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	e.wg.Go(func() { _ = e.http.Serve(e.expirer.WrapListener(e.boundBuffers(e.deps.CallerListener))) })
}

// withBodyTimeout returns a handler whose requests are read for bodyTimeout at most, unless
// h sets another deadline.
func withBodyTimeout(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		h.ServeHTTP(w, r)
	})
}

// probe sends a health probe to a backend server. Probes have a connection pool
// of their own, apart from the one for requests.
func (e *Entry) probe(ctx context.Context, address netip.AddrPort) granter.ProbeResult {
	if e.servers.Paused(address) || e.probes.Paused(address) {
		return granter.ProbeResult{Paused: true}
	}
	return sendProbe(ctx, e.probes, address)
}

// pollVMs polls the platform's list of VMs until ctx ends.
func (e *Entry) pollVMs(ctx context.Context) {
	if e.deps.ListVMs == nil {
		return
	}
	for {
		e.updateLeavingVMs(ctx)
		select {
		case <-time.After(vmListInterval):
		case <-ctx.Done():
			return
		}
	}
}

// updateLeavingVMs reads the list of VMs once and records which of them are
// leaving. If the read fails, the last recorded list stays in force.
func (e *Entry) updateLeavingVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmListInterval)
	defer cancel()
	vms, err := e.deps.ListVMs(ctx)
	if err != nil {
		e.deps.Log.Debug("Could not read the list of VMs; keeping the last one.", "error", err)
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

// Node returns the entry's shared state, for the admin server.
func (e *Entry) Node() *reconciler.Node { return e.node }

// Stop shuts the entry down gracefully. The entry deregisters and is no longer
// named in locate answers, but keeps serving until the answers that name it have
// expired, since callers may use them until then. It then closes its listener and idle
// connections, waits up to drainTimeout until callers have no more connections, and ends
// the requests that remain. If ctx ends, Stop skips the remaining waits.
func (e *Entry) Stop(ctx context.Context) {
	e.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		t.SetStopping()
		return t.Refresh(now)
	})
	e.drainer.Announce()
	deregistered := make(chan struct{})
	e.registrar.Send(registrar.Deregister{Done: deregistered})
	select {
	case <-time.After(locator.AnswerTTL + time.Second):
	case <-ctx.Done():
	}
	select {
	case <-deregistered:
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	exit, _ := drainCtx.Deadline()
	e.drainer.Begin(time.Now(), exit)
	// A shutdown would close a connection from which a request is being read.
	_ = e.deps.CallerListener.Close()
	drainer.AwaitClosed(drainCtx, func() {
		e.expirer.CloseExpired(expirer.Timeouts{Header: headerTimeout, Idle: headerTimeout})
		e.expirer.CloseIdle()
	}, e.expirer.Ended)
	e.Kill()
}

// Kill stops the entry at once: it aborts all requests and closes all connections. A
// registration that was not removed expires with its lease.
func (e *Entry) Kill() {
	e.cancel()
	_ = e.http.Close()
	e.expirer.Abort()
	_ = e.deps.LinkListener.Close()
	e.servers.Retain(func(netip.AddrPort) bool { return false })
	e.probes.Retain(func(netip.AddrPort) bool { return false })
	e.peers.Retain(func(netip.AddrPort) bool { return false })
	e.pool.Retain(func(string) bool { return false })
	e.wg.Wait()
	e.spawner.Stop()
}
