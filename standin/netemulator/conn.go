package netemulator

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is one end of an emulated TCP connection. It implements net.Conn.
type Conn struct {
	network *Network
	local   netip.AddrPort
	remote  netip.AddrPort
	in      *pipe
	out     *pipe
}

// Read implements net.Conn. While its host is paused, it does not return.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.in.read(b)
	_ = c.network.awaitResume(context.Background(), c.local.Addr())
	return n, err
}

// Write implements net.Conn. It blocks while its host is paused or the link of the host
// is busy.
func (c *Conn) Write(b []byte) (int, error) {
	_ = c.network.awaitResume(context.Background(), c.local.Addr())
	return c.out.write(b)
}

// Close implements net.Conn. The other end reads what was sent, then io.EOF.
func (c *Conn) Close() error {
	c.network.untrack(c)
	c.out.finish(io.EOF)
	c.in.fail(net.ErrClosed)
	return nil
}

// Abort resets the connection at both ends.
func (c *Conn) Abort() {
	c.network.untrack(c)
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

// SetWriteDeadline implements net.Conn. It does nothing, since the receiver never makes
// a write block.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// chunk is data in flight. After pipe.finish, an empty last chunk
// marks the end of the stream.
type chunk struct {
	data    []byte
	arrives time.Time
}

// pipe is one direction of a connection.
type pipe struct {
	delay time.Duration
	// links are those of the sender and of the receiver whose bandwidth is bounded.
	links []*link

	mu       sync.Mutex
	chunks   []chunk
	dropping bool  // all data is lost
	ended    error // returned to the reader after all chunks
	failed   error // returned to reader and writer at once
	deadline time.Time
	changed  chan struct{} // closed and replaced by each update
}

func newPipe(delay time.Duration, uplink, downlink *link) *pipe {
	p := &pipe{delay: delay, changed: make(chan struct{})}
	for _, l := range []*link{uplink, downlink} {
		if l != nil {
			p.links = append(p.links, l)
		}
	}
	return p
}

// update runs f under the lock and wakes readers.
func (p *pipe) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

// write sends data in segments, each once the links of both hosts have carried it.
func (p *pipe) write(b []byte) (n int, err error) {
	if len(p.links) == 0 {
		return p.send(b)
	}
	for n < len(b) {
		segment := b[n:min(len(b), n+segmentSize)]
		now := time.Now()
		carried := now
		for _, l := range p.links {
			if at := l.reserve(now, len(segment)); at.After(carried) {
				carried = at
			}
		}
		if err := p.awaitSent(carried); err != nil {
			return n, err
		}
		sent, err := p.send(segment)
		n += sent
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// awaitSent waits until a time. It fails at once if the connection does.
func (p *pipe) awaitSent(at time.Time) error {
	for {
		p.mu.Lock()
		failed, changed := cmp.Or(p.failed, p.ended), p.changed
		p.mu.Unlock()
		switch {
		case failed != nil:
			return net.ErrClosed
		case !time.Now().Before(at):
			return nil
		}
		await(at, changed)
	}
}

// send puts data in flight.
func (p *pipe) send(b []byte) (n int, err error) {
	p.update(func() {
		switch {
		case p.failed != nil:
			err = p.failed
		case p.ended != nil:
			err = net.ErrClosed
		case !p.dropping:
			p.chunks = append(p.chunks, chunk{append([]byte(nil), b...), time.Now().Add(p.delay)})
		}
	})
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// finish ends the stream. The reader gets err after the data sent before, and the end
// takes as long to arrive as data does.
func (p *pipe) finish(err error) {
	p.update(func() {
		if p.ended == nil && !p.dropping {
			p.ended = err
			p.chunks = append(p.chunks, chunk{nil, time.Now().Add(p.delay)})
		}
	})
}

func (p *pipe) fail(err error) {
	p.update(func() {
		if p.failed == nil {
			p.failed = err
		}
	})
}

func (p *pipe) startDropping() {
	p.update(func() {
		p.dropping = true
		p.chunks = nil
	})
}

func (p *pipe) setDeadline(t time.Time) { p.update(func() { p.deadline = t }) }

func (p *pipe) read(b []byte) (int, error) {
	for {
		n, wake, changed, err := p.tryRead(b)
		if n > 0 || err != nil || len(b) == 0 {
			return n, err
		}
		await(wake, changed)
	}
}

// await returns at the time wake or when changed is closed, whichever is first. A zero
// wake means no time limit.
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

// tryRead reads data that has arrived. If there is none, it returns the time and the
// channel to wait for before the next try.
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
