// Package hoster runs a whole deployment in one process: the platform, backend
// servers, entries and callers, on real or in-memory connections.
package hoster

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
	"samphiremux/standin/platformer"
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

// Options describe a world.
type Options struct {
	Deployment Deployment
	Ground     Ground
	Entries    int
	Policy     chooser.Policy
	Seed       uint64
	// WarmUp is the time a cold server takes.
	WarmUp time.Duration
	// Store is how an entry reaches the store. Nil means directly.
	Store func(s *platformer.Store, entry int) storer.Store
	Fault func(server parser.Server) func(*http.Request, float64) responder.Misbehaviour
	Next  func(w *World, server parser.Server) func(*http.Request) (int, http.Header)
	Log   hclog.Logger
	// FallAfter, ColdBears and CrossQuietly go to the backend servers.
	FallAfter    time.Duration
	ColdBears    int
	CrossQuietly bool
	// StayUp keeps the listeners of crashed servers open.
	StayUp bool
	// Announce receives the ends of moves.
	Announce coordinator.Announce
}

// World is a running deployment.
type World struct {
	options Options
	Store   *platformer.Store
	VMs     *platformer.VMList
	Ledger  *responder.Ledger
	Servers map[string]*Backend
	Entries []*Host

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

	world *World
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

	world     *World
	storeDown atomic.Bool
	starts    uint64
}

// New starts the platform and the backend servers of a document. Entries start
// with StartEntry.
func New(o Options, doc parser.Document) (w *World, err error) {
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	w = &World{
		options: o, Store: platformer.NewStore(), VMs: platformer.NewVMList(2 * time.Second),
		Ledger: responder.NewLedger(), Servers: map[string]*Backend{}, editing: make(chan struct{}, 1),
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

func (w *World) addServer(srv parser.Server) error {
	b := &Backend{Declared: srv, world: w}
	o := responder.Options{
		Name: srv.Name, Version: srv.Version, Slots: srv.Slots, QueueLimit: serverQueue, WarmUp: w.options.WarmUp,
		ReportLag: reportLag, Ledger: w.Ledger, Crash: b.crash, FallAfter: w.options.FallAfter,
		ColdBears: w.options.ColdBears, CrossQuietly: w.options.CrossQuietly,
	}
	if w.options.Fault != nil {
		o.Fault = w.options.Fault(srv)
	}
	if w.options.Next != nil {
		o.Next = w.options.Next(w, srv)
	}
	b.Server = responder.New(o)
	w.Servers[srv.Name] = b
	w.options.Ground.Place(srv.Address.Addr(), srv.Domain)
	return b.listen()
}

func (b *Backend) listen() error {
	l, err := b.world.options.Ground.Listen(b.Declared.Address)
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
	if b.world.options.StayUp {
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

// Edit applies a changed copy of the document in force, one change at a time.
// Change reports false to leave it.
func (w *World) Edit(change func(parser.Document) (parser.Document, bool)) error {
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
		w.Reread()
	}
	return err
}

// Publish applies a document, as operators do.
func (w *World) Publish(doc parser.Document) error {
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
func (w *World) Document() parser.Document {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.document
}

// Revision returns the revision of that document.
func (w *World) Revision() publisher.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

// StartEntries starts the entries of the world's options.
func (w *World) StartEntries() error {
	for i := range w.options.Entries {
		if err := w.StartEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// StartEntry starts the entry with an index, anew if it ran before.
func (w *World) StartEntry(index int) error {
	for len(w.Entries) <= index {
		i := len(w.Entries)
		d := w.options.Deployment
		h := &Host{Index: i, Address: d.entryHost(i), Domain: d.Domains[i%len(d.Domains)], world: w}
		w.options.Ground.Place(h.Address, h.Domain)
		w.Entries = append(w.Entries, h)
	}
	return w.Entries[index].start()
}

func (h *Host) start() error {
	w := h.world
	address := netip.AddrPortFrom(h.Address, CallerPort)
	link := netip.AddrPortFrom(h.Address, LinkPort)
	callers, err := w.options.Ground.Listen(address)
	if err != nil {
		return err
	}
	links, err := w.options.Ground.Listen(link)
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
			return w.options.Ground.Dial(ctx, h.Address, to)
		},
		DialPeer: func(ctx context.Context, to string) (net.Conn, error) {
			a, err := netip.ParseAddrPort(to)
			if err != nil {
				return nil, err
			}
			return w.options.Ground.Dial(ctx, h.Address, a)
		},
		Announce: w.options.Announce,
		Log:      w.options.Log.Named(fmt.Sprintf("entry-%02d", h.Index+1)),
	})
	return nil
}

func (h *Host) store() storer.Store {
	inner := storer.Store(h.world.Store)
	if h.world.options.Store != nil {
		inner = h.world.options.Store(h.world.Store, h.Index)
	}
	return &cutStore{Store: inner, down: &h.storeDown}
}

// SetStoreCut cuts the host off the store, or lets it reach it again.
func (h *Host) SetStoreCut(cut bool) { h.storeDown.Store(cut) }

// StoreCut tells whether the host is cut off the store.
func (h *Host) StoreCut() bool { return h.storeDown.Load() }

func (h *Host) listVMs(context.Context) (vms []assembler.VM, err error) {
	for _, vm := range h.world.VMs.Served() {
		vms = append(vms, assembler.VM{Address: vm.Address, Leaving: vm.Leaving})
	}
	return vms, nil
}

// NewCaller returns a caller that knows every entry.
func (w *World) NewCaller(index int) *caller.Caller {
	host := w.options.Deployment.callerHost(index)
	w.options.Ground.Place(host, "callers")
	var seeds []netip.AddrPort
	for _, h := range w.Entries {
		seeds = append(seeds, netip.AddrPortFrom(h.Address, CallerPort))
	}
	return caller.New(func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		return w.options.Ground.Dial(ctx, host, to)
	}, seeds, w.options.Seed+uint64(index)+77)
}

// Close ends the world.
func (w *World) Close() {
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
	w.Store.LapseAll()
}

// Linger is the time in which handlers and requests that were in work when a
// world was closed end by themselves. A bubble must last as long.
const Linger = 10 * time.Second

// errCut says that a host cannot reach the store.
var errCut = errors.New("the store cannot be reached")

// Crash takes the server down at once. It comes back cold after a while.
func (b *Backend) Crash() { b.crash() }

// Encoded returns the document that was last applied in its normal form.
func (w *World) Encoded() []byte {
	data, err := encoder.Encode(w.Document())
	if err != nil {
		return nil
	}
	return data
}

// Reread follows the store to the revision in force there, as an operator does
// after a conflict.
func (w *World) Reread() {
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
