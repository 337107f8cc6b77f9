// Package capper bounds what peers of a protocol of requests and responses can make a
// process hold: the number of their connections, and the bytes that each sends without
// getting a response. It handles peers that are faulty: those that open connections and
// leave them, and those that send messages without end.
package capper

import (
	"net"
	"sync"
	"time"

	"samphiremux/entry/reserver"
)

// freeBytes is the number of bytes for each connection that are not charged, which covers
// the usual messages.
const freeBytes = 4 << 10

// Reason states at which bound a connection was closed.
type Reason string

// Reasons for which connections are closed.
const (
	TooManyConnections Reason = "too-many-connections"
	MemoryFull         Reason = "memory-full"
)

// Bounds limits what the peers of a listener can make the process hold.
type Bounds struct {
	Connections int
	// Memory holds the bytes that were received and not responded to.
	Memory *reserver.Reserver
	// OnClose is called with each connection that is closed at a bound.
	OnClose func(Reason)
}

// listener is a listener with bounds.
type listener struct {
	net.Listener
	bounds Bounds

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Wrap returns a listener whose connections keep within bounds.
func Wrap(l net.Listener, b Bounds) net.Listener {
	return &listener{Listener: l, bounds: b, conns: map[*conn]struct{}{}}
}

// Accept returns the next connection. It closes the one that has been idle for the longest
// time if there are too many.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, owner: l, readAt: time.Now()}
	c.held = l.bounds.Memory.HoldUntilEvicted(c.readAt, c.closeFull)
	if idle := l.add(c); idle != nil {
		l.bounds.OnClose(TooManyConnections)
		_ = idle.Close()
	}
	return c, nil
}

// add tracks a connection. It returns the one to close for it, or nil.
func (l *listener) add(c *conn) (idle *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.bounds.Connections {
		for other := range l.conns {
			if idle == nil || other.lastRead().Before(idle.lastRead()) {
				idle = other
			}
		}
		delete(l.conns, idle)
	}
	l.conns[c] = struct{}{}
	return idle
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// conn is a connection of a peer.
type conn struct {
	net.Conn
	owner *listener
	held  *reserver.Hold

	mu     sync.Mutex
	readAt time.Time
	// pending is the number of bytes that were read since the last write.
	pending int64
	closed  bool
}

func (c *conn) lastRead() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAt
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if !c.charge(time.Now(), n) {
		if !c.held.IsEvicted() {
			c.closeFull()
		}
		return 0, net.ErrClosed
	}
	return n, err
}

// charge counts bytes that were read. It reports false if there is no memory for them.
func (c *conn) charge(now time.Time, n int) bool {
	c.mu.Lock()
	c.readAt = now
	c.pending += int64(n)
	pending, closed := c.pending, c.closed
	c.mu.Unlock()
	c.held.Progress(now, n)
	if closed || pending <= freeBytes {
		return true
	}
	ok := c.held.ResizeAt(now, pending)
	c.mu.Lock()
	closed = c.closed
	c.mu.Unlock()
	if closed {
		// The connection was closed before the resize, and had released its earlier hold.
		c.held.Resize(0)
	}
	return ok
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (n int, err error) {
	c.mu.Lock()
	isCharged := c.pending > freeBytes
	c.pending = 0
	c.mu.Unlock()
	if isCharged {
		c.held.Resize(0)
	}
	return c.Conn.Write(p)
}

// closeFull closes the connection since there is no memory for what it sends.
func (c *conn) closeFull() {
	c.owner.bounds.OnClose(MemoryFull)
	_ = c.Close()
}

// Close implements io.Closer.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.owner.remove(c)
	c.held.Release()
	return c.Conn.Close()
}
