// Package netemulator is an in-memory network with delays and faults. Whole
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

const listenBacklog = 1024

// Network joins hosts. A host is an IP number with a location, such as its
// failure domain.
type Network struct {
	// delay returns the one-way delay between two locations.
	delay func(from, to string) time.Duration

	mu        sync.Mutex
	locations map[netip.Addr]string
	listeners map[netip.AddrPort]*listener
	conns     map[*Conn]struct{}
	cut       map[[2]netip.Addr]bool
	paused    map[netip.Addr]chan struct{}
	ports     uint16
}

// New returns a network whose one-way delays are given by delay.
func New(delay func(from, to string) time.Duration) *Network {
	return &Network{
		delay:     delay,
		locations: map[netip.Addr]string{},
		listeners: map[netip.AddrPort]*listener{},
		conns:     map[*Conn]struct{}{},
		cut:       map[[2]netip.Addr]bool{},
		paused:    map[netip.Addr]chan struct{}{},
	}
}

// SetLocation sets the location of a host.
func (n *Network) SetLocation(host netip.Addr, location string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.locations[host] = location
}

// Listen opens a listener at an address.
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

// Dial connects a host to an address. A dial over a cut waits for its context.
func (n *Network) Dial(ctx context.Context, from netip.Addr, to netip.AddrPort) (net.Conn, error) {
	if err := n.awaitResume(ctx, from); err != nil {
		return nil, fmt.Errorf("dial %s: %w", to, err)
	}
	if err := n.awaitResume(ctx, to.Addr()); err != nil {
		return nil, fmt.Errorf("dial %s: %w", to, err)
	}
	n.mu.Lock()
	l := n.listeners[to]
	cut := n.isCut(from, to.Addr())
	delay := n.delay(n.locations[from], n.locations[to.Addr()])
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, fmt.Errorf("dial %s: %w", to, ctx.Err())
	}
	if err := sleep(ctx, 2*delay); err != nil {
		return nil, fmt.Errorf("dial %s: %w", to, err)
	}
	if l == nil {
		return nil, fmt.Errorf("dial %s: %w", to, syscall.ECONNREFUSED)
	}
	client, server := n.join(from, to, delay)
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

func (n *Network) join(from netip.Addr, to netip.AddrPort, delay time.Duration) (client, server *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ports++
	source := netip.AddrPortFrom(from, n.ports)
	there, back := newPipe(delay), newPipe(delay)
	client = &Conn{network: n, local: source, remote: to, in: back, out: there}
	server = &Conn{network: n, local: to, remote: source, in: there, out: back}
	n.conns[client] = struct{}{}
	n.conns[server] = struct{}{}
	return client, server
}

func pair(a, b netip.Addr) [2]netip.Addr {
	if b.Less(a) {
		a, b = b, a
	}
	return [2]netip.Addr{a, b}
}

func (n *Network) isCut(a, b netip.Addr) bool { return n.cut[pair(a, b)] }

// Partition stops all traffic between two hosts without a sign to either.
func (n *Network) Partition(a, b netip.Addr) { n.setCut(a, b, true) }

// Heal lets traffic between two hosts pass again. Connections that lost data
// stay silent.
func (n *Network) Heal(a, b netip.Addr) { n.setCut(a, b, false) }

func (n *Network) setCut(a, b netip.Addr, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pair(a, b)] = cut
	if cut {
		n.silence(func(c *Conn) bool { return pair(c.local.Addr(), c.remote.Addr()) == pair(a, b) })
	}
}

// Pause stops a host from sending and receiving. What is sent to it waits.
func (n *Network) Pause(host netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[host] == nil {
		n.paused[host] = make(chan struct{})
	}
}

// Resume lets a paused host go on.
func (n *Network) Resume(host netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if resumed := n.paused[host]; resumed != nil {
		close(resumed)
		delete(n.paused, host)
	}
}

// awaitResume waits while a host is paused, at most until ctx ends.
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

// Blackhole makes open connections that match lose all data from now on. New
// connections work.
func (n *Network) Blackhole(match func(local, remote netip.AddrPort) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silence(func(c *Conn) bool { return match(c.local, c.remote) })
}

func (n *Network) silence(match func(*Conn) bool) {
	for c := range n.conns {
		if match(c) {
			c.in.silence()
			c.out.silence()
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

func (n *Network) forget(c *Conn) {
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
