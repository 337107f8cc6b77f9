// Package buffersizer bounds the kernel's send buffers of the sockets of a process. By themselves
// they grow to megabytes for each connection, which are memory of the VM that no size of the
// process shows. It handles peers that do not read what the process sends: the buffers of all
// connections share one sum, connections that carry large messages get larger ones while there is
// room, and idle ones give theirs back when there is not. Receive buffers are left to the kernel:
// one of a fixed size drops segments of large messages, which then arrive hundreds of milliseconds
// late.
package buffersizer

import (
	"net"
	"sync"
	"time"
)

const (
	// LeastBytes is the memory in bytes that the buffer of a connection takes at least.
	LeastBytes = minBytes * kernelFactor
	// minBytes is the size in bytes of a buffer for which no room is left.
	minBytes = 4 << 10
	// sendBytes is the size in bytes of the buffer of a new connection.
	sendBytes = 16 << 10
	// maxBytes is the size in bytes of the largest buffer, which is what a link of 200 Mbit/s
	// carries in 20 ms.
	maxBytes = 512 << 10
	// kernelFactor is the memory that the kernel uses for each byte of a buffer's size.
	kernelFactor = 2
	// grantShare is the part of the room that one buffer may take at once, as a divisor, so that
	// a few connections do not take all of it.
	grantShare = 16
	// rateTime is the time in which a connection that fills its buffer gets a larger one.
	rateTime = time.Second
	// idleTime is the time after which a connection may lose the room of its buffers, and
	// reclaimInterval the least time between two searches for such connections. A search takes
	// a system call for each connection.
	idleTime        = time.Second
	reclaimInterval = time.Second
)

// Sizer sets the sizes of the buffers of connections. It is safe for concurrent use. A nil Sizer
// leaves the sizes to the kernel.
type Sizer struct {
	now func() time.Time

	mu sync.Mutex
	// room is the number of bytes that buffers may take beyond their least size.
	room  int64
	conns map[*conn]struct{}
	// nextReclaim is the time of the next search for idle connections.
	nextReclaim time.Time
}

// New returns a sizer of buffers that take a number of bytes in all, beyond LeastBytes for each
// connection.
func New(bytes int64, now func() time.Time) *Sizer {
	return &Sizer{now: now, room: bytes, conns: map[*conn]struct{}{}}
}

// Room returns the bytes that are left.
func (s *Sizer) Room() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.room
}

// WrapListener returns a listener whose connections have bounded buffers.
func (s *Sizer) WrapListener(l net.Listener) net.Listener { return &listener{l, s} }

type listener struct {
	net.Listener
	sizer *Sizer
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.sizer.Wrap(c), nil
}

// Wrap returns a connection with bounded buffers. A connection that is not of TCP is returned
// as it is.
func (s *Sizer) Wrap(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if s == nil || !ok {
		return c
	}
	wrapped := &conn{TCPConn: tcp, sizer: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	wrapped.usedAt = now
	wrapped.sent = buffer{size: minBytes, set: tcp.SetWriteBuffer}
	s.conns[wrapped] = struct{}{}
	s.enlarge(now, &wrapped.sent, sendBytes)
	wrapped.sent.apply()
	return wrapped
}

// buffer is the send buffer of a connection.
type buffer struct {
	// size is the size in bytes. The kernel takes kernelFactor times as much.
	size int
	// carried is the number of bytes that passed through it in the rateTime before rateEnd.
	carried int
	rateEnd time.Time
	set     func(bytes int) error
}

// apply sets the size. A connection that has failed has no buffers.
func (b *buffer) apply() { _ = b.set(b.size) }

// count counts bytes that passed, and reports whether the buffer is small for them.
func (b *buffer) count(now time.Time, n int) bool {
	if now.After(b.rateEnd) {
		b.carried, b.rateEnd = 0, now.Add(rateTime)
	}
	b.carried += n
	return b.carried >= b.size && b.size < maxBytes
}

// carry counts bytes that passed through the buffer of a connection, and makes it larger if it is
// small for them.
func (s *Sizer) carry(c *conn, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, b := s.now(), &c.sent
	c.usedAt = now
	if !b.count(now, n) || c.closed {
		return
	}
	b.carried = 0
	if s.enlarge(now, b, 2*b.size) {
		b.apply()
	}
}

// enlarge makes a buffer one of up to a number of bytes, as far as there is room, and reports
// whether it is larger. The caller holds s.mu.
func (s *Sizer) enlarge(now time.Time, b *buffer, size int) bool {
	size = min(size, maxBytes)
	if s.grant(b) < size {
		s.reclaim(now)
	}
	for ; size > b.size; size /= 2 {
		if size <= s.grant(b) {
			s.resize(b, size)
			return true
		}
	}
	return false
}

// grant returns the size that a buffer may have.
func (s *Sizer) grant(b *buffer) int {
	return b.size + int(max(0, s.room)/(grantShare*kernelFactor))
}

// resize records another size. The caller applies it, unless the connection is closed.
func (s *Sizer) resize(b *buffer, size int) {
	s.room -= kernelFactor * int64(size-b.size)
	b.size = size
}

// reclaim takes room from the buffers of idle connections. The caller holds s.mu.
func (s *Sizer) reclaim(now time.Time) {
	if now.Before(s.nextReclaim) {
		return
	}
	s.nextReclaim = now.Add(reclaimInterval)
	for c := range s.conns {
		if now.Sub(c.usedAt) >= idleTime && c.sent.size > minBytes && c.isEmpty() {
			s.resize(&c.sent, minBytes)
			c.sent.apply()
		}
	}
}

// remove gives the room of a connection back.
func (s *Sizer) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	delete(s.conns, c)
	s.resize(&c.sent, minBytes)
}
