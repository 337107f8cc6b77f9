// Package simulator runs a whole deployment in one process: the platform, backend
// servers, entries and callers, on real or in-memory connections.
package simulator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/assembler"
	"samphiremux/entry/chooser"
	"samphiremux/entry/coordinator"
	"samphiremux/pkg/encoder"
	"samphiremux/pkg/parser"
	"samphiremux/pkg/publisher"
	"samphiremux/pkg/storer"
	"samphiremux/standin/caller"
	"samphiremux/standin/platformemulator"
	"samphiremux/standin/responder"
)

const (
	// CallerPort is the port of entries for callers.
	CallerPort = 8080
	// LinkPort is the port of entries for each other.
	LinkPort = 8081

	serverQueue  = 64
	restartDelay = time.Second
	reportLag    = 300 * time.Millisecond
)

// Options describe a cluster.
type Options struct {
	Deployment Deployment
	Network    Network
	Entries    int
	Policy     chooser.Policy
	Seed       uint64
	// WarmUp is the time a cold server takes.
	WarmUp time.Duration
	// WrapStore is how an entry reaches the store. Nil means directly.
	WrapStore  func(s *platformemulator.Store, entry int) storer.Store
	Fault      func(server parser.Server) func(*http.Request, float64) responder.Fault
	Downstream func(w *Cluster, server parser.Server) func(*http.Request) (int, http.Header)
	Log        hclog.Logger
	// ColdOverloadTimeout, ColdCapacityDelta and SwapWithMatchingID go to the backend servers.
	ColdOverloadTimeout time.Duration
	ColdCapacityDelta   int
	SwapWithMatchingID  bool
	// KeepListenersOpen keeps the listeners of crashed servers open.
	KeepListenersOpen bool
	// Announce receives the ends of moves.
	Announce coordinator.Announce
}

// Cluster is a running deployment.
type Cluster struct {
	options    Options
	Store      *platformemulator.Store
	VMs        *platformemulator.VMList
	Executions *responder.ExecLog
	Servers    map[string]*Backend
	Entries    []*Host

	ctx    context.Context
	cancel context.CancelFunc

	editing chan struct{}

	mu       sync.Mutex
	document parser.Document
	revision publisher.Revision
}

// Backend is one backend server with its listener.
type Backend struct {
	*responder.Server
	Declared parser.Server

	world *Cluster
	mu    sync.Mutex
	http  *http.Server
	done  bool
}

// Host is the VM of one entry.
type Host struct {
	Index   int
	Address netip.Addr
	Domain  string
	Entry   *assembler.Entry

	world     *Cluster
	storeDown atomic.Bool
	starts    uint64
}

// New starts the platform and the backend servers of a document. Entries start
// with StartEntry.
func New(o Options, doc parser.Document) (w *Cluster, err error) {
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	w = &Cluster{
		options: o, Store: platformemulator.NewStore(), VMs: platformemulator.NewVMList(2 * time.Second),
		Executions: responder.NewExecLog(), Servers: map[string]*Backend{}, editing: make(chan struct{}, 1),
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	for _, s := range doc.Services {
		for _, srv := range s.Servers {
			if err := w.addServer(srv); err != nil {
				return nil, err
			}
		}
	}
	return w, w.Publish(doc)
}

func (w *Cluster) addServer(srv parser.Server) error {
	b := &Backend{Declared: srv, world: w}
	o := responder.Options{
		Name: srv.Name, Version: srv.Version, Slots: srv.Slots, QueueLimit: serverQueue, WarmUp: w.options.WarmUp,
		ReportLag: reportLag, Executions: w.Executions, Crash: b.crash, ColdOverloadTimeout: w.options.ColdOverloadTimeout,
		ColdCapacityDelta: w.options.ColdCapacityDelta, SwapWithMatchingID: w.options.SwapWithMatchingID,
	}
	if w.options.Fault != nil {
		o.Fault = w.options.Fault(srv)
	}
	if w.options.Downstream != nil {
		o.Downstream = w.options.Downstream(w, srv)
	}
	b.Server = responder.New(o)
	w.Servers[srv.Name] = b
	w.options.Network.SetLocation(srv.Address.Addr(), srv.Domain)
	return b.listen()
}

func (b *Backend) listen() error {
	l, err := b.world.options.Network.Listen(b.Declared.Address)
	if err != nil {
		return fmt.Errorf("backend server %q: %w", b.Declared.Name, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done {
		return l.Close()
	}
	b.http = &http.Server{Handler: b.Server, ErrorLog: nullLog}
	server := b.http
	go func() { _ = server.Serve(l) }()
	return nil
}

// crash closes the server's connections and brings it back, cold, after a while.
func (b *Backend) crash() {
	if b.world.options.KeepListenersOpen {
		b.Restart()
		return
	}
	b.mu.Lock()
	server := b.http
	b.mu.Unlock()
	go func() {
		_ = server.Close()
		select {
		case <-time.After(restartDelay):
		case <-b.world.ctx.Done():
			return
		}
		b.Restart()
		_ = b.listen()
	}()
}

// Update applies a changed copy of the document in force, one change at a time.
// Change reports false to leave it.
func (w *Cluster) Update(change func(parser.Document) (parser.Document, bool)) error {
	// A channel lets virtual time go on while others wait.
	w.editing <- struct{}{}
	defer func() { <-w.editing }()
	doc, ok := change(w.Document())
	if !ok {
		return nil
	}
	err := w.Publish(doc)
	if err != nil {
		// An operator who is not told the outcome looks again.
		w.RefreshRevision()
	}
	return err
}

// Publish applies a document, as operators do.
func (w *Cluster) Publish(doc parser.Document) error {
	data, err := encoder.Encode(doc)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
	defer cancel()
	e, err := publisher.Publish(ctx, w.Store, w.Revision(), publisher.Change{
		Environment: doc.Environment, Document: data, Author: "operator", At: time.Now(),
	})
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision = e.Revision
	w.document = doc
	return nil
}

// Document returns the document that was last applied.
func (w *Cluster) Document() parser.Document {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.document
}

// Revision returns the revision of that document.
func (w *Cluster) Revision() publisher.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

// StartEntries starts the entries of the cluster's options.
func (w *Cluster) StartEntries() error {
	for i := range w.options.Entries {
		if err := w.StartEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// StartEntry starts the entry with an index, anew if it ran before.
func (w *Cluster) StartEntry(index int) error {
	for len(w.Entries) <= index {
		i := len(w.Entries)
		d := w.options.Deployment
		h := &Host{Index: i, Address: d.entryHost(i), Domain: d.Domains[i%len(d.Domains)], world: w}
		w.options.Network.SetLocation(h.Address, h.Domain)
		w.Entries = append(w.Entries, h)
	}
	return w.Entries[index].start()
}

func (h *Host) start() error {
	w := h.world
	address := netip.AddrPortFrom(h.Address, CallerPort)
	link := netip.AddrPortFrom(h.Address, LinkPort)
	callers, err := w.options.Network.Listen(address)
	if err != nil {
		return err
	}
	links, err := w.options.Network.Listen(link)
	if err != nil {
		return err
	}
	h.starts++
	var seeds []string
	for _, other := range w.Entries {
		if other != h {
			seeds = append(seeds, netip.AddrPortFrom(other.Address, LinkPort).String())
		}
	}
	h.Entry = assembler.Start(w.ctx, assembler.Identity{
		ID: fmt.Sprintf("entry-%02d", h.Index+1), Domain: h.Domain, Environment: w.Document().Environment,
		Address: address, LinkAddress: link, Seeds: seeds, Policy: w.options.Policy,
		Seed: w.options.Seed + uint64(h.Index)*1000 + h.starts,
	}, assembler.Dependencies{
		Store: h.store(), ListVMs: h.listVMs, CallerListener: callers, LinkListener: links, Now: time.Now,
		DialServer: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			return w.options.Network.Dial(ctx, h.Address, to)
		},
		DialPeer: func(ctx context.Context, to string) (net.Conn, error) {
			a, err := netip.ParseAddrPort(to)
			if err != nil {
				return nil, err
			}
			return w.options.Network.Dial(ctx, h.Address, a)
		},
		Announce: w.options.Announce,
		Log:      w.options.Log.Named(fmt.Sprintf("entry-%02d", h.Index+1)),
	})
	return nil
}

func (h *Host) store() storer.Store {
	inner := storer.Store(h.world.Store)
	if h.world.options.WrapStore != nil {
		inner = h.world.options.WrapStore(h.world.Store, h.Index)
	}
	return &cutStore{Store: inner, down: &h.storeDown}
}

// SetStorePartitioned cuts the host off the store, or lets it reach it again.
func (h *Host) SetStorePartitioned(cut bool) { h.storeDown.Store(cut) }

// StorePartitioned tells whether the host is cut off the store.
func (h *Host) StorePartitioned() bool { return h.storeDown.Load() }

func (h *Host) listVMs(context.Context) (vms []assembler.VM, err error) {
	for _, vm := range h.world.VMs.Served() {
		vms = append(vms, assembler.VM{Address: vm.Address, Leaving: vm.Leaving})
	}
	return vms, nil
}

// NewCaller returns a caller that knows every entry.
func (w *Cluster) NewCaller(index int) *caller.Caller {
	host := w.options.Deployment.callerHost(index)
	w.options.Network.SetLocation(host, "callers")
	var seeds []netip.AddrPort
	for _, h := range w.Entries {
		seeds = append(seeds, netip.AddrPortFrom(h.Address, CallerPort))
	}
	return caller.New(func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		return w.options.Network.Dial(ctx, host, to)
	}, seeds, w.options.Seed+uint64(index)+77)
}

// Close ends the cluster.
func (w *Cluster) Close() {
	w.cancel()
	for _, h := range w.Entries {
		if h.Entry != nil {
			h.Entry.Kill()
		}
	}
	for _, b := range w.Servers {
		b.mu.Lock()
		b.done = true
		_ = b.http.Close()
		b.mu.Unlock()
	}
	w.Store.ExpireLeases()
}

// ShutdownGrace is the time in which handlers and requests that were in work when a
// cluster was closed end by themselves. A bubble must last as long.
const ShutdownGrace = 10 * time.Second

// errCut says that a host cannot reach the store.
var errCut = errors.New("the store cannot be reached")

// Crash takes the server down at once. It comes back cold after a while.
func (b *Backend) Crash() { b.crash() }

// EncodedDocument returns the document that was last applied in its normal form.
func (w *Cluster) EncodedDocument() []byte {
	data, err := encoder.Encode(w.Document())
	if err != nil {
		return nil
	}
	return data
}

// RefreshRevision follows the store to the revision in force there, as an operator does
// after a conflict.
func (w *Cluster) RefreshRevision() {
	ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
	defer cancel()
	e, _, err := publisher.Current(ctx, w.Store, w.Document().Environment)
	if err != nil || e.Revision <= w.Revision() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision = e.Revision
}
