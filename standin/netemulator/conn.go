package netemulator

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is one end of a connection.
type Conn struct {
	network *Network
	local   netip.AddrPort
	remote  netip.AddrPort
	in      *pipe
	out     *pipe
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.in.read(b)
	_ = c.network.awaitResume(context.Background(), c.local.Addr())
	return n, err
}

// Write implements net.Conn. It waits only while its host is paused.
func (c *Conn) Write(b []byte) (int, error) {
	_ = c.network.awaitResume(context.Background(), c.local.Addr())
	return c.out.write(b)
}

// Close implements net.Conn. The other end reads what was sent, then io.EOF.
func (c *Conn) Close() error {
	c.network.forget(c)
	c.out.finish(io.EOF)
	c.in.fail(net.ErrClosed)
	return nil
}

// Abort resets the connection at both ends.
func (c *Conn) Abort() {
	c.network.forget(c)
	c.out.fail(syscall.ECONNRESET)
	c.in.fail(syscall.ECONNRESET)
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn. Writes never wait.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// chunk is data on its way.
type chunk struct {
	data    []byte
	arrives time.Time
}

// pipe carries data one way.
type pipe struct {
	delay time.Duration

	mu       sync.Mutex
	chunks   []chunk
	silent   bool
	ended    error // read after all chunks
	failed   error // read at once
	deadline time.Time
	changed  chan struct{} // closed and replaced at each change
}

func newPipe(delay time.Duration) *pipe {
	return &pipe{delay: delay, changed: make(chan struct{})}
}

// change runs f under the lock and wakes readers.
func (p *pipe) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) write(b []byte) (n int, err error) {
	p.change(func() {
		switch {
		case p.failed != nil:
			err = p.failed
		case p.ended != nil:
			err = net.ErrClosed
		case !p.silent:
			p.chunks = append(p.chunks, chunk{append([]byte(nil), b...), time.Now().Add(p.delay)})
		}
	})
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// finish ends the data with an error that is read after it. The end takes the
// same time to arrive as data.
func (p *pipe) finish(err error) {
	p.change(func() {
		if p.ended == nil && !p.silent {
			p.ended = err
			p.chunks = append(p.chunks, chunk{nil, time.Now().Add(p.delay)})
		}
	})
}

func (p *pipe) fail(err error) {
	p.change(func() {
		if p.failed == nil {
			p.failed = err
		}
	})
}

func (p *pipe) silence() {
	p.change(func() {
		p.silent = true
		p.chunks = nil
	})
}

func (p *pipe) setDeadline(t time.Time) { p.change(func() { p.deadline = t }) }

func (p *pipe) read(b []byte) (int, error) {
	for {
		n, wake, changed, err := p.tryRead(b)
		if n > 0 || err != nil || len(b) == 0 {
			return n, err
		}
		await(wake, changed)
	}
}

// await returns at a time, or at a change if that comes first. A zero time
// waits for the change alone.
func await(wake time.Time, changed <-chan struct{}) {
	if wake.IsZero() {
		<-changed
		return
	}
	t := time.NewTimer(time.Until(wake))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	}
}

// tryRead reads what has arrived. If nothing has, it returns when to look again.
func (p *pipe) tryRead(b []byte) (n int, wake time.Time, changed <-chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	switch {
	case p.failed != nil:
		return 0, wake, nil, p.failed
	case !p.deadline.IsZero() && !p.deadline.After(now):
		return 0, wake, nil, os.ErrDeadlineExceeded
	}
	for len(p.chunks) > 0 && !p.chunks[0].arrives.After(now) {
		c := &p.chunks[0]
		if len(c.data) == 0 {
			if len(p.chunks) == 1 && p.ended != nil {
				return 0, wake, nil, p.ended
			}
			p.chunks = p.chunks[1:]
			continue
		}
		n = copy(b, c.data)
		c.data = c.data[n:]
		if len(c.data) == 0 && (len(p.chunks) > 1 || p.ended == nil) {
			p.chunks = p.chunks[1:]
		}
		return n, wake, nil, nil
	}
	wake = p.deadline
	if len(p.chunks) > 0 && (wake.IsZero() || p.chunks[0].arrives.Before(wake)) {
		wake = p.chunks[0].arrives
	}
	return 0, wake, p.changed, nil
}
