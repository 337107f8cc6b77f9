package expirer

import (
	"bytes"
	"net"
	"time"

	"samphiremux/entry/lingerer"
	"samphiremux/entry/peeker"
	"samphiremux/entry/reserver"
)

// Reason states at which bound a connection was closed.
type Reason string

// Reasons for which connections are closed at a bound.
const (
	TooManyConnections Reason = "too-many-connections"
	HeadTooLarge       Reason = "head-too-large"
	HeadMemoryFull     Reason = "head-memory-full"
)

// Reasons lists the reasons.
func Reasons() []Reason { return []Reason{TooManyConnections, HeadTooLarge, HeadMemoryFull} }

// freshTime is the time within which the first request of a new connection is expected. A
// connection without one is the first to be closed at the bound after that.
const freshTime = 250 * time.Millisecond

// Bounds limits what peers can make the process hold by connections and request heads.
type Bounds struct {
	// Connections bounds the open connections. Zero means that they are not bounded.
	Connections int
	// Head returns the current limits of request heads. Nil means that there are none.
	Head func() HeadLimits
	// Memory holds the heads of requests until they end. It may be nil.
	Memory *reserver.Reserver
	// OnClose is called with each connection that is closed at a bound. It may be nil.
	OnClose func(Reason)
	// OnEnd is called as the socket of a connection is closed that the server has closed after
	// a response. It may be nil.
	OnEnd func(lingerer.End)
}

// WithBounds sets the bounds of an expirer that has no connections yet, and returns it.
func (e *Expirer) WithBounds(b Bounds) *Expirer {
	if b.OnClose == nil {
		b.OnClose = func(Reason) {}
	}
	if b.OnEnd == nil {
		b.OnEnd = func(lingerer.End) {}
	}
	e.bounds = b
	return e
}

// admit makes room for a connection that was accepted. It reports false if there is none.
func (e *Expirer) admit(now time.Time) bool {
	victim, ok := e.chooseVictim(now)
	if victim == nil && ok {
		return true
	}
	e.bounds.OnClose(TooManyConnections)
	if victim == nil {
		return false
	}
	if victim.hasStalled(now) {
		reset(victim.Conn)
	}
	victim.closeAtOnce()
	return true
}

// hasStalled reports whether the peer of a connection with a request makes no progress.
func (c *conn) hasStalled(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.stalled(now)
	return ok
}

// chooseVictim returns the connection to close for another one. It is nil if there is room,
// or, with ok false, if all connections carry requests whose peers make progress or wait for
// their responses.
func (e *Expirer) chooseVictim(now time.Time) (victim *conn, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bounds.Connections == 0 || len(e.conns) < e.bounds.Connections {
		return nil, true
	}
	var best claim
	for c := range e.conns {
		if next := c.claim(now); next.mayClose && (victim == nil || next.isWeaker(best)) && !c.hasRequest() {
			victim, best = c, next
		}
	}
	if victim == nil {
		return nil, false
	}
	delete(e.conns, victim)
	return victim, true
}

// claim is what decides at the bound whether a connection is closed.
type claim struct {
	mayClose bool
	use      use
	since    time.Time
}

// use is what a connection is in use for.
type use int

// Uses, in the order in which connections are closed.
const (
	// ending is a connection whose last response is on its way to the peer.
	ending use = iota
	// unused is a connection that has not carried a request in freshTime, or is in the middle
	// of a head for that time.
	unused
	// idle is one between two requests.
	idle
	// stalled is one with a request whose peer makes no progress.
	stalled
)

// isWeaker reports whether a connection is to be closed before another one: the oldest
// unfinished one, or else the one that is idle, or else stalled, for the longest time.
func (c claim) isWeaker(other claim) bool {
	if c.use != other.use {
		return c.use < other.use
	}
	return c.since.Before(other.since)
}

func (c *conn) claim(now time.Time) claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing.begun {
		return claim{mayClose: true, use: ending, since: c.closing.since}
	}
	if since, ok := c.stalled(now); ok {
		return claim{mayClose: true, use: stalled, since: since}
	}
	if isUnfinished := c.headerStarted || !c.used; isUnfinished && now.Sub(c.since) >= freshTime {
		return claim{mayClose: c.awaiting, use: unused, since: c.since}
	}
	return claim{mayClose: c.awaiting, use: idle, since: c.since}
}

// hasRequest reports whether a connection that was idle has the start of a request that the
// server has not read.
func (c *conn) hasRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing.begun && c.awaiting && c.used && !c.headerStarted && (len(c.rest) > 0 || peeker.Peek(c.Conn) == peeker.Unread)
}

const (
	// tooLargeResponse and memoryFullResponse answer a request whose head is not read to
	// its end. It cannot have run.
	tooLargeResponse   = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	memoryFullResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	// refusalWriteTime bounds the time to write a refusal.
	refusalWriteTime = 500 * time.Millisecond
)

// errRefused is the error of reads from a connection whose request was refused in its head.
// The server does not respond to it.
var errRefused = &net.OpError{Op: "read", Err: net.ErrClosed}

// boundHead counts the bytes of a head that were read, keeps those behind its end for the
// next read, and refuses a head that exceeds a bound.
func (c *conn) boundHead(p []byte, n int) (int, error) {
	if c.bounds.Head == nil {
		return n, nil
	}
	c.mu.Lock()
	if !c.awaiting {
		c.mu.Unlock()
		return n, nil
	}
	size, _ := c.scanner.scan(p[:n])
	if size < n {
		c.rest = append(bytes.Clone(p[size:n]), c.rest...)
	}
	if c.head == nil {
		c.head = c.bounds.Memory.HoldUntilEvicted(c.now(), func() {
			c.bounds.OnClose(HeadMemoryFull)
			_ = c.Conn.Close()
		})
	}
	head, cost, limits := c.head, c.scanner.cost(), c.bounds.Head()
	isTooLarge := c.scanner.exceeds(limits)
	c.mu.Unlock()
	switch {
	case isTooLarge:
		c.refuse(HeadTooLarge, tooLargeResponse)
		return 0, errRefused
	case !head.ResizeAt(c.now(), cost):
		if !head.IsEvicted() {
			c.refuse(HeadMemoryFull, memoryFullResponse)
		}
		return 0, errRefused
	}
	head.Progress(c.now(), size)
	return size, nil
}

// takeRest returns bytes that were read behind the end of a head.
func (c *conn) takeRest(p []byte) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = copy(p, c.rest)
	c.rest = c.rest[n:]
	if len(c.rest) == 0 {
		c.rest = nil
	}
	return n
}

// refuse responds to a head that is not read on.
func (c *conn) refuse(reason Reason, response string) {
	c.bounds.OnClose(reason)
	_ = c.SetWriteDeadline(c.now().Add(refusalWriteTime))
	_, _ = c.Write([]byte(response))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = true
	_ = c.close()
}

// releaseHead gives the memory of the head back. The caller holds c.mu.
func (c *conn) releaseHead() {
	if c.head != nil {
		c.head.Release()
		c.head = nil
	}
	c.scanner = headScanner{}
}
