// Package simulator runs a whole deployment in one process: the platform, backend
// servers, entries and callers, over real or in-memory connections.
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
	"samphiremux/standin/netemulator"
	"samphiremux/standin/platformemulator"
	"samphiremux/standin/responder"
)

const (
	// CallerPort is the port on which entries serve callers.
	CallerPort = 8080
	// LinkPort is the port on which entries serve each other.
	LinkPort = 8081

	// queueLimit is the number of requests that a warm backend server holds beyond
	// its slots before it sheds.
	queueLimit = 64
	// restartDelay is the time between a backend server's crash and its restart.
	restartDelay = time.Second
	// reportLag is the age of the load that backend servers report.
	reportLag = 300 * time.Millisecond
)

// Options configures a Cluster.
type Options struct {
	Deployment Deployment
	Network    Network
	// Entries is the number of entries that StartEntries starts.
	Entries int
	Policy  chooser.Policy
	Seed    uint64
	// WarmUp is the time that a cold backend server takes to reach full capacity.
	WarmUp time.Duration
	// WrapStore returns the store as the entry with an index uses it. Nil means that
	// every entry uses the store directly.
	WrapStore func(s *platformemulator.Store, entry int) storer.Store
	// Fault decides how a backend server misbehaves on a request. Nil means not at all.
	Fault func(server parser.Server) func(*http.Request, float64) responder.Fault
	// Downstream calls the next layer for a backend server. Nil means that there is
	// none.
	Downstream func(c *Cluster, server parser.Server) func(*http.Request) (int, http.Header)
	Log        hclog.Logger
	// ColdOverloadTimeout, ColdCapacityDelta and SwapWithMatchingID are passed to the
	// backend servers; see responder.Options.
	ColdOverloadTimeout time.Duration
	// HideRateLimits keeps the rate limits of servers out of their responses.
	HideRateLimits bool
	// HideDraining and HidePauses keep out of the responses of servers that they drain,
	// and for how long they want no requests.
	HideDraining       bool
	HidePauses         bool
	ColdCapacityDelta  int
	SwapWithMatchingID bool
	// KeepListenersOpen makes a crashed backend server restart at once, with its
	// listener kept open.
	KeepListenersOpen bool
	// Announce is called when a move has ended.
	Announce coordinator.AnnounceFunc
}

// Cluster is a running deployment. Servers are keyed by name; Entries holds the
// hosts of all entries that were ever started, by index.
type Cluster struct {
	options    Options
	Store      *platformemulator.Store
	VMs        *platformemulator.VMList
	Executions *responder.ExecLog
	Servers    map[string]*Backend
	Entries    []*Host

	ctx    context.Context
	cancel context.CancelFunc

	updateSem chan struct{} // held by the Update that is running

	mu       sync.Mutex
	document parser.Document
	revision publisher.Revision
}

// Backend is one backend server with its listener.
type Backend struct {
	*responder.Server
	Declared parser.Server

	cluster *Cluster
	mu      sync.Mutex
	http    *http.Server
	closed  bool
}

// Host is the VM of one entry. Entry is nil before the first start. Killing or stopping
// the entry does not reset it: code that must tell a stopped entry from a running one, as
// the fuzzer does, sets it to nil.
type Host struct {
	Index   int
	Address netip.Addr
	Domain  string
	Entry   *assembler.Entry

	cluster          *Cluster
	storePartitioned atomic.Bool
	serverPartition  netemulator.Partition
	starts           uint64
}

// New starts the platform and the backend servers of a document, and publishes the
// document. Entries are started by StartEntry or StartEntries.
func New(o Options, doc parser.Document) (c *Cluster, err error) {
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	c = &Cluster{
		options: o, Store: platformemulator.NewStore(), VMs: platformemulator.NewVMList(2 * time.Second),
		Executions: responder.NewExecLog(), Servers: map[string]*Backend{}, updateSem: make(chan struct{}, 1),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for _, s := range doc.Services {
		for _, srv := range s.Servers {
			if err := c.addServer(srv); err != nil {
				return nil, err
			}
		}
	}
	return c, c.Publish(doc)
}

func (c *Cluster) addServer(srv parser.Server) error {
	b := &Backend{Declared: srv, cluster: c}
	o := responder.Options{
		Name: srv.Name, Version: srv.Version, Slots: srv.Slots, QueueLimit: queueLimit, WarmUp: c.options.WarmUp,
		ReportLag: reportLag, Executions: c.Executions, Crash: b.crash, ColdOverloadTimeout: c.options.ColdOverloadTimeout,
		ColdCapacityDelta: c.options.ColdCapacityDelta, SwapWithMatchingID: c.options.SwapWithMatchingID,
		HideRateLimit: c.options.HideRateLimits, HideDraining: c.options.HideDraining, HidePause: c.options.HidePauses,
	}
	if c.options.Fault != nil {
		o.Fault = c.options.Fault(srv)
	}
	if c.options.Downstream != nil {
		o.Downstream = c.options.Downstream(c, srv)
	}
	b.Server = responder.New(o)
	c.Servers[srv.Name] = b
	c.options.Network.SetLocation(srv.Address.Addr(), srv.Domain)
	return b.listen()
}

func (b *Backend) listen() error {
	l, err := b.cluster.options.Network.Listen(b.Declared.Address)
	if err != nil {
		return fmt.Errorf("listen for backend server %q: %w", b.Declared.Name, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return l.Close()
	}
	b.http = &http.Server{Handler: b.Server, ErrorLog: nullLog}
	server := b.http
	go func() { _ = server.Serve(l) }()
	return nil
}

// crash closes the server's listener and connections, and restarts it cold after
// restartDelay.
func (b *Backend) crash() {
	if b.cluster.options.KeepListenersOpen {
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
		case <-b.cluster.ctx.Done():
			return
		}
		b.Restart()
		_ = b.listen()
	}()
}

// Update publishes the document in force as changed by change, which returns false
// to leave it. Updates run one at a time.
func (c *Cluster) Update(change func(parser.Document) (parser.Document, bool)) error {
	// A goroutine that waits on a channel lets virtual time advance, unlike one that
	// waits on a mutex.
	c.updateSem <- struct{}{}
	defer func() { <-c.updateSem }()
	doc, ok := change(c.Document())
	if !ok {
		return nil
	}
	err := c.Publish(doc)
	if err != nil {
		// The outcome may be unknown, so read the revision back as an operator would.
		c.RefreshRevision()
	}
	return err
}

// Publish publishes a document as operators do, on top of the last known revision.
func (c *Cluster) Publish(doc parser.Document) error {
	data, err := encoder.Encode(doc)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, 5*time.Second)
	defer cancel()
	e, err := publisher.Publish(ctx, c.Store, c.Revision(), publisher.Change{
		Environment: doc.Environment, Document: data, Author: "operator", At: time.Now(),
	})
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = e.Revision
	c.document = doc
	return nil
}

// Document returns the document that was last published.
func (c *Cluster) Document() parser.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document
}

// Revision returns the last known revision of the document in the store.
func (c *Cluster) Revision() publisher.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// StartEntries starts as many entries as Options.Entries says.
func (c *Cluster) StartEntries() error {
	for i := range c.options.Entries {
		if err := c.StartEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// StartEntry starts the entry with an index, or starts it again if it ran before. It
// fails while a stopping entry still holds the listeners of its host.
func (c *Cluster) StartEntry(index int) error {
	for len(c.Entries) <= index {
		i := len(c.Entries)
		d := c.options.Deployment
		h := &Host{Index: i, Address: d.entryHost(i), Domain: d.Domains[i%len(d.Domains)], cluster: c}
		c.options.Network.SetLocation(h.Address, h.Domain)
		c.Entries = append(c.Entries, h)
	}
	return c.Entries[index].start()
}

func (h *Host) start() error {
	c := h.cluster
	callerAddress := netip.AddrPortFrom(h.Address, CallerPort)
	linkAddress := netip.AddrPortFrom(h.Address, LinkPort)
	callerListener, err := c.options.Network.Listen(callerAddress)
	if err != nil {
		return err
	}
	linkListener, err := c.options.Network.Listen(linkAddress)
	if err != nil {
		_ = callerListener.Close()
		return err
	}
	h.starts++
	var seeds []string
	for _, other := range c.Entries {
		if other != h {
			seeds = append(seeds, netip.AddrPortFrom(other.Address, LinkPort).String())
		}
	}
	h.Entry = assembler.Start(c.ctx, assembler.Identity{
		ID: fmt.Sprintf("entry-%02d", h.Index+1), Domain: h.Domain, Environment: c.Document().Environment,
		Address: callerAddress, LinkAddress: linkAddress, Seeds: seeds, Policy: c.options.Policy,
		Seed: c.options.Seed + uint64(h.Index)*1000 + h.starts,
	}, assembler.Dependencies{
		Store: h.store(), ListVMs: h.listVMs, CallerListener: callerListener, LinkListener: linkListener, Now: time.Now,
		DialServer: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			return c.options.Network.Dial(ctx, h.Address, to)
		},
		DialPeer: func(ctx context.Context, to string) (net.Conn, error) {
			a, err := netip.ParseAddrPort(to)
			if err != nil {
				return nil, err
			}
			return c.options.Network.Dial(ctx, h.Address, a)
		},
		Announce: c.options.Announce,
		Log:      c.options.Log.Named(fmt.Sprintf("entry-%02d", h.Index+1)),
	})
	return nil
}

func (h *Host) store() storer.Store {
	inner := storer.Store(h.cluster.Store)
	if h.cluster.options.WrapStore != nil {
		inner = h.cluster.options.WrapStore(h.cluster.Store, h.Index)
	}
	return &partitionableStore{Store: inner, partitioned: &h.storePartitioned}
}

// SetStorePartitioned partitions the host from the store, or ends the partition.
func (h *Host) SetStorePartitioned(partitioned bool) { h.storePartitioned.Store(partitioned) }

// StorePartitioned reports whether the host is partitioned from the store.
func (h *Host) StorePartitioned() bool { return h.storePartitioned.Load() }

func (h *Host) listVMs(context.Context) (vms []assembler.VM, err error) {
	for _, vm := range h.cluster.VMs.Served() {
		vms = append(vms, assembler.VM{Address: vm.Address, Leaving: vm.Leaving})
	}
	return vms, nil
}

// NewCaller returns a caller that has the addresses of all entries as seeds.
func (c *Cluster) NewCaller(index int) *caller.Caller {
	host := c.options.Deployment.callerHost(index)
	c.options.Network.SetLocation(host, "callers")
	var seeds []netip.AddrPort
	for _, h := range c.Entries {
		seeds = append(seeds, netip.AddrPortFrom(h.Address, CallerPort))
	}
	return caller.New(func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		return c.options.Network.Dial(ctx, host, to)
	}, seeds, c.options.Seed+uint64(index)+77)
}

// Close kills all entries, closes the backend servers and expires all leases. In a
// synctest bubble, sleep for ShutdownGrace afterwards.
func (c *Cluster) Close() {
	c.cancel()
	for _, h := range c.Entries {
		if h.Entry != nil {
			h.Entry.Kill()
		}
	}
	for _, b := range c.Servers {
		b.mu.Lock()
		b.closed = true
		_ = b.http.Close()
		b.mu.Unlock()
	}
	c.Store.ExpireLeases()
}

// ShutdownGrace is the time within which handlers and requests that were in flight
// when a cluster was closed end by themselves. A synctest bubble must last at least
// that long after Close.
const ShutdownGrace = 10 * time.Second

// errPartitioned is returned by the store of a partitioned host.
var errPartitioned = errors.New("host is partitioned from the store")

// Crash takes the server down at once. It restarts cold after restartDelay.
func (b *Backend) Crash() { b.crash() }

// EncodedDocument returns the document that was last published in its normal form, or
// nil if it cannot be encoded.
func (c *Cluster) EncodedDocument() []byte {
	data, err := encoder.Encode(c.Document())
	if err != nil {
		return nil
	}
	return data
}

// RefreshRevision reads the revision in force from the store, as an operator does
// after a conflict. The document itself is not read back.
func (c *Cluster) RefreshRevision() {
	ctx, cancel := context.WithTimeout(c.ctx, 5*time.Second)
	defer cancel()
	e, _, err := publisher.Current(ctx, c.Store, c.Document().Environment)
	if err != nil || e.Revision <= c.Revision() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = e.Revision
}
