// Package netemulator emulates a network in memory, with delays and faults. Whole
// entries, backend servers and the platform run on it in virtual time.
package netemulator

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// listenBacklog is the number of connections that wait for Accept before a dial blocks.
const listenBacklog = 1024

// Network connects hosts. A host is an IP address with a location, such as its failure
// domain.
type Network struct {
	// delay returns the one-way delay between two locations.
	delay func(from, to string) time.Duration

	mu         sync.Mutex
	locations  map[netip.Addr]string
	listeners  map[netip.AddrPort]*listener
	conns      map[*Conn]struct{}
	partitions map[[2]netip.Addr]Partition
	paused     map[netip.Addr]chan struct{}
	uplinks    map[netip.Addr]*link
	downlinks  map[netip.Addr]*link
	ports      uint16
}

// New returns a network with the one-way delays between locations that delay returns.
func New(delay func(from, to string) time.Duration) *Network {
	return &Network{
		delay:      delay,
		locations:  map[netip.Addr]string{},
		listeners:  map[netip.AddrPort]*listener{},
		conns:      map[*Conn]struct{}{},
		partitions: map[[2]netip.Addr]Partition{},
		paused:     map[netip.Addr]chan struct{}{},
		uplinks:    map[netip.Addr]*link{},
		downlinks:  map[netip.Addr]*link{},
	}
}

// SetLocation sets the location of a host.
func (n *Network) SetLocation(host netip.Addr, location string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.locations[host] = location
}

// SetBandwidth bounds what a host sends over all its connections, and what it receives, in
// bytes per second each. It applies to connections that are opened later.
func (n *Network) SetBandwidth(host netip.Addr, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.uplinks[host] = &link{bytesPerSecond: bytesPerSecond}
	n.downlinks[host] = &link{bytesPerSecond: bytesPerSecond}
}

// Listen opens a listener at an address. It fails with syscall.EADDRINUSE if there is
// one already.
func (n *Network) Listen(addr netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, used := n.listeners[addr]; used {
		return nil, fmt.Errorf("listen %s: %w", addr, syscall.EADDRINUSE)
	}
	l := &listener{network: n, addr: addr, backlog: make(chan *Conn, listenBacklog), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects a host to an address. It takes one round trip, waits while either host
// is paused when it begins, and across a Dropping partition blocks until ctx ends. Across
// another partition, and without a listener, it fails with syscall.ECONNREFUSED.
func (n *Network) Dial(ctx context.Context, from netip.Addr, to netip.AddrPort) (net.Conn, error) {
	if err := n.awaitResume(ctx, from); err != nil {
		return nil, fmt.Errorf("dial %s: %w", to, err)
	}
	if err := n.awaitResume(ctx, to.Addr()); err != nil {
		return nil, fmt.Errorf("dial %s: %w", to, err)
	}
	n.mu.Lock()
	l := n.listeners[to]
	partition := n.partitions[hostPair(from, to.Addr())]
	delay := n.delay(n.locations[from], n.locations[to.Addr()])
	n.mu.Unlock()
	if partition == Dropping {
		<-ctx.Done()
		return nil, fmt.Errorf("dial %s: %w", to, ctx.Err())
	}
	if err := sleep(ctx, 2*delay); err != nil {
		return nil, fmt.Errorf("dial %s: %w", to, err)
	}
	if l == nil || partition != Connected {
		return nil, fmt.Errorf("dial %s: %w", to, syscall.ECONNREFUSED)
	}
	client, server := n.connect(from, to, delay)
	select {
	case l.backlog <- server:
		return client, nil
	case <-l.closed:
		client.Abort()
		return nil, fmt.Errorf("dial %s: %w", to, syscall.ECONNREFUSED)
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *Network) connect(from netip.Addr, to netip.AddrPort, delay time.Duration) (client, server *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ports++
	source := netip.AddrPortFrom(from, n.ports)
	host := to.Addr()
	toServer, toClient := newPipe(delay, n.uplinks[from], n.downlinks[host]), newPipe(delay, n.uplinks[host], n.downlinks[from])
	client = &Conn{network: n, local: source, remote: to, in: toClient, out: toServer}
	server = &Conn{network: n, local: to, remote: source, in: toServer, out: toClient}
	n.conns[client] = struct{}{}
	n.conns[server] = struct{}{}
	return client, server
}

func hostPair(a, b netip.Addr) [2]netip.Addr {
	if b.Less(a) {
		a, b = b, a
	}
	return [2]netip.Addr{a, b}
}

// Partition is what a partition between two hosts does to their connections.
type Partition int

const (
	// Connected means that there is no partition.
	Connected Partition = iota
	// Dropping drops all traffic, data in flight included, without an error at either
	// host. Connections stay open, and dials hang.
	Dropping
	// Resetting resets the open connections and refuses new ones.
	Resetting
	// Refusing refuses new connections. Open ones work.
	Refusing
)

// Partition drops all traffic between two hosts, as Dropping describes.
func (n *Network) Partition(a, b netip.Addr) { n.SetPartition(a, b, Dropping) }

// Heal ends a partition between two hosts. Connections whose traffic it dropped keep
// losing all data.
func (n *Network) Heal(a, b netip.Addr) { n.SetPartition(a, b, Connected) }

// SetPartition sets the partition between two hosts.
func (n *Network) SetPartition(a, b netip.Addr, p Partition) {
	between := func(c *Conn) bool { return hostPair(c.local.Addr(), c.remote.Addr()) == hostPair(a, b) }
	var broken []*Conn
	n.mu.Lock()
	n.partitions[hostPair(a, b)] = p
	switch p {
	case Dropping:
		n.blackholeLocked(between)
	case Resetting:
		for c := range n.conns {
			if between(c) {
				broken = append(broken, c)
			}
		}
	case Connected, Refusing:
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.Abort()
	}
}

// Pause stops a host from sending and receiving. Data sent to it is kept until it
// resumes.
func (n *Network) Pause(host netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[host] == nil {
		n.paused[host] = make(chan struct{})
	}
}

// Resume ends the pause of a host.
func (n *Network) Resume(host netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if resumed := n.paused[host]; resumed != nil {
		close(resumed)
		delete(n.paused, host)
	}
}

// awaitResume waits while a host is paused. It fails if ctx ends first.
func (n *Network) awaitResume(ctx context.Context, host netip.Addr) error {
	n.mu.Lock()
	resumed := n.paused[host]
	n.mu.Unlock()
	if resumed == nil {
		return nil
	}
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Blackhole makes the open connections that match lose all data from now on. New
// connections work.
func (n *Network) Blackhole(match func(local, remote netip.AddrPort) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blackholeLocked(func(c *Conn) bool { return match(c.local, c.remote) })
}

// blackholeLocked implements Blackhole. The caller holds the lock.
func (n *Network) blackholeLocked(match func(*Conn) bool) {
	for c := range n.conns {
		if match(c) {
			c.in.startDropping()
			c.out.startDropping()
		}
	}
}

// Crash resets all connections of a host and closes its listeners.
func (n *Network) Crash(host netip.Addr) {
	n.mu.Lock()
	var broken []*Conn
	for c := range n.conns {
		if c.local.Addr() == host || c.remote.Addr() == host {
			broken = append(broken, c)
		}
	}
	for addr, l := range n.listeners {
		if addr.Addr() == host {
			delete(n.listeners, addr)
			l.once.Do(func() { close(l.closed) })
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.Abort()
	}
}

func (n *Network) untrack(c *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

type listener struct {
	network *Network
	addr    netip.AddrPort
	backlog chan *Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.network.mu.Lock()
	if l.network.listeners[l.addr] == l {
		delete(l.network.listeners, l.addr)
	}
	l.network.mu.Unlock()
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }
