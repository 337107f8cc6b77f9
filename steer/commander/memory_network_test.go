package commander

import (
	"context"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"samphiremux/platform/translator"
)

// cutKind is what connections from an entry to the backend servers do while the entry is
// partitioned from them.
type cutKind string

const (
	// notCut connects as usual.
	notCut cutKind = ""
	// hanging connections carry nothing, and new ones are not established.
	hanging cutKind = "hanging"
	// resetting connections are reset, and new ones are refused.
	resetting cutKind = "resetting"
	// refusing keeps open connections, and refuses new ones.
	refusing cutKind = "refusing"
)

// memoryNetwork connects entries and backend servers in memory.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	servers   map[string]bool
	cuts      map[string]cutKind
	conns     []*memoryConn
	// partitioned holds the entries that reach no other entry.
	partitioned map[string]bool
	// silentStore holds the entries that the store does not answer.
	silentStore map[string]bool
	// sends counts the times that each request was written whole to a server, by its id.
	sends map[string]int
	// closed is set once the fleet has ended. Listeners and connections that are opened
	// later are closed.
	closed bool
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{
		listeners: map[string]*pipeListener{}, servers: map[string]bool{}, cuts: map[string]cutKind{}, partitioned: map[string]bool{},
		silentStore: map[string]bool{}, sends: map[string]int{},
	}
}

func (n *memoryNetwork) listen(address string) *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if earlier, ok := n.listeners[address]; ok {
		_ = earlier.Close()
	}
	l := newPipeListener()
	n.listeners[address] = l
	if n.closed {
		_ = l.Close()
	}
	return l
}

// listenServer opens the listener of a backend server.
func (n *memoryNetwork) listenServer(address string) *pipeListener {
	n.mu.Lock()
	n.servers[address] = true
	n.mu.Unlock()
	return n.listen(address)
}

// setCut partitions an entry from the backend servers, or heals the partition.
func (n *memoryNetwork) setCut(entry string, kind cutKind) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[entry] = kind
	for _, c := range n.conns {
		if c.entry != entry || !c.toServer {
			continue
		}
		switch kind {
		case hanging:
			c.hang()
		case resetting:
			_ = c.Close()
		}
	}
}

// silenceStore lets the store answer an entry no more: its open connections carry nothing,
// and new ones are not established.
func (n *memoryNetwork) silenceStore(entry string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silentStore[entry] = true
	for _, c := range n.conns {
		if c.entry == entry && c.toStore {
			c.hang()
		}
	}
}

// partition cuts an entry off from all others.
func (n *memoryNetwork) partition(entry string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[entry] = true
	for _, c := range n.conns {
		if c.entry == entry && !c.toServer {
			_ = c.Close()
		}
	}
}

// dialer returns the function with which an entry opens connections.
func (n *memoryNetwork) dialer(entry string) dialFunc {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		l, ok := n.listeners[address]
		toServer := n.servers[address]
		cut, partitioned := n.cuts[entry], n.partitioned[entry]
		toStore := address == fleetSettings(0).StoreAddress
		silent := toStore && n.silentStore[entry]
		n.mu.Unlock()
		switch {
		case silent:
			time.Sleep(dialTimeout)
			return nil, syscall.ETIMEDOUT
		case !toServer && partitioned:
			return nil, syscall.ECONNREFUSED
		case toServer && cut == hanging:
			<-ctx.Done()
			return nil, ctx.Err()
		case !ok || (toServer && cut != notCut):
			return nil, syscall.ECONNREFUSED
		}
		select {
		case <-l.closed:
			// Accept may still take a connection, which a crashed process does not.
			return nil, syscall.ECONNREFUSED
		default:
		}
		client, server := net.Pipe()
		select {
		case l.conns <- server:
		case <-l.closed:
			return nil, syscall.ECONNREFUSED
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		c := &memoryConn{Conn: client, network: n, entry: entry, toServer: toServer, toStore: toStore, hung: make(chan struct{}), closed: make(chan struct{})}
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.closed {
			_ = c.Close()
			return nil, syscall.ECONNREFUSED
		}
		n.conns = append(n.conns, c)
		return c, nil
	}
}

// close closes the connections and the listeners.
func (n *memoryNetwork) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for _, c := range n.conns {
		_ = c.Close()
	}
}

// memoryConn is a connection from an entry to a backend server, to another entry or to the
// store.
type memoryConn struct {
	net.Conn
	network  *memoryNetwork
	entry    string
	toServer bool
	toStore  bool

	hangOnce, closeOnce sync.Once
	hung, closed        chan struct{}
}

func (c *memoryConn) hang() { c.hangOnce.Do(func() { close(c.hung) }) }

func (c *memoryConn) isHung() bool {
	select {
	case <-c.hung:
		return true
	default:
		return false
	}
}

// Read implements net.Conn. On a hung connection it blocks until the connection is closed.
func (c *memoryConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if !c.isHung() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write implements net.Conn. On a hung connection the bytes are lost.
func (c *memoryConn) Write(p []byte) (n int, err error) {
	if c.isHung() {
		c.countSend(p)
		return len(p), nil
	}
	n, err = c.Conn.Write(p)
	if err == nil {
		c.countSend(p)
	}
	return n, err
}

// countSend counts a request to a server that was written.
func (c *memoryConn) countSend(p []byte) {
	_, rest, ok := strings.Cut(string(p), "\r\n"+translator.HeaderRequestID+": ")
	if !c.toServer || !ok {
		return
	}
	id, _, _ := strings.Cut(rest, "\r\n")
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.sends[id]++
}

// sendsOf returns the number of times that a request was written whole to a server.
func (n *memoryNetwork) sendsOf(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sends[id]
}

// Close implements net.Conn.
func (c *memoryConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
