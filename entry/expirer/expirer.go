// Package expirer closes callers' connections that stay idle, or take to send
// their request headers, for longer than the current configuration allows, those
// that are idle as a process stops, and those beyond the bounds of connections and heads:
// of those beyond the bound, idle ones first, and then those whose peers have stalled. It
// replaces the timeouts of net/http, which cannot change while a server runs, and its
// shutdown, which closes connections from which a request is being read. A connection that the
// server closes after a response stays open until its peer has received the response.
package expirer

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"samphiremux/entry/peeker"
	"samphiremux/entry/reserver"
)

// longAgo is a deadline that has passed.
var longAgo = time.Time{}.Add(time.Second)

// Timeouts bounds the time that a connection may spend without a request in
// progress.
type Timeouts struct {
	// Header is the time from the first byte of a request to the end of its
	// headers.
	Header time.Duration
	// Idle is the time without any byte of a request.
	Idle time.Duration
}

// Closed counts the connections that were closed, by the timeout that expired.
type Closed struct {
	Header int
	Idle   int
}

// Expirer tracks the connections of listeners.
type Expirer struct {
	now    func() time.Time
	bounds Bounds

	// lingering is the context of connections that the server has closed and whose sockets stay
	// open.
	lingering context.Context
	abort     context.CancelFunc

	mu    sync.Mutex
	conns map[*conn]struct{}
	// accepting is the number of listeners that may still return a connection.
	accepting int
}

// New returns an expirer that tracks no connections yet.
func New(now func() time.Time) *Expirer {
	e := &Expirer{now: now, conns: map[*conn]struct{}{}}
	e.lingering, e.abort = context.WithCancel(context.Background())
	return e.WithBounds(Bounds{})
}

// Abort closes the sockets that stay open until their peers have received the last response.
func (e *Expirer) Abort() { e.abort() }

// WrapListener returns a listener whose connections the expirer can track. A server has to
// accept from it until it is closed.
func (e *Expirer) WrapListener(l net.Listener) net.Listener {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accepting++
	return &listener{Listener: l, owner: e}
}

// ConnState tracks the state of a connection. It is the ConnState hook of an
// http.Server.
func (e *Expirer) ConnState(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		e.mu.Lock()
		e.conns[tracked] = struct{}{}
		e.mu.Unlock()
	case http.StateActive:
		tracked.endHeader(e.now())
	case http.StateIdle:
		tracked.await(e.now())
	case http.StateClosed, http.StateHijacked:
		if !tracked.isLingering() {
			e.remove(tracked)
		}
		tracked.end()
	}
}

func (e *Expirer) remove(c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, c)
}

// Open returns the number of connections that are open.
func (e *Expirer) Open() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

// Ended reports whether the listeners are closed and no connection is open. A connection that
// was accepted as its listener closed counts before the server has told its state.
func (e *Expirer) Ended() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.accepting == 0 && len(e.conns) == 0
}

// CloseExpired closes the connections that have exceeded a timeout.
func (e *Expirer) CloseExpired(limits Timeouts) (closed Closed) {
	now := e.now()
	for _, c := range e.tracked() {
		switch c.expire(func() expiry { return c.expiry(now, limits) }) {
		case headerExpired:
			closed.Header++
		case idleExpired:
			closed.Idle++
		case notExpired:
		}
	}
	return closed
}

// CloseIdle closes the connections that have carried a request and await another one of
// which no byte has come. A connection on which the server ends a request at this moment
// may be left open, so that a process that stops calls it again.
func (e *Expirer) CloseIdle() {
	for _, c := range e.tracked() {
		c.expire(c.idle)
	}
}

func (e *Expirer) tracked() []*conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Keys(e.conns))
}

type listener struct {
	net.Listener
	owner   *Expirer
	endOnce sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			l.endOnce.Do(l.owner.endAccept)
		}
		if err != nil {
			return nil, err
		}
		now := l.owner.now()
		if l.owner.admit(now) {
			return &conn{Conn: c, owner: l.owner, now: l.owner.now, bounds: &l.owner.bounds, awaiting: true, since: now}, nil
		}
		_ = c.Close()
	}
}

// endAccept records that a listener is closed. The server has told the state of each connection
// that it has accepted from it before.
func (e *Expirer) endAccept() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accepting--
}

// conn is a connection that records since when it awaits a request.
type conn struct {
	net.Conn
	owner  *Expirer
	now    func() time.Time
	bounds *Bounds

	mu       sync.Mutex
	awaiting bool
	// since is when the connection began to await a request, or, if
	// headerStarted is set, when the first byte of the request came.
	since         time.Time
	headerStarted bool
	// used is set once the connection has carried a request.
	used bool
	// expired is set while the connection is to be closed.
	expired bool
	// scanner counts the head that is read, and head is the memory of the current
	// request's. It is nil before its first byte.
	scanner headScanner
	head    *reserver.Hold
	// rest holds bytes that were read behind a head.
	rest []byte
	// reading and writing record the waits of the current request.
	reading, writing wait
	// written is set once something was sent, and refused once that was a refusal of a head.
	written, refused bool
	closing          closing
}

// Read records the first byte of a request. It closes the connection if it has expired while
// the server lacks a part of the headers, so that the server cannot respond with status 400.
func (c *conn) Read(p []byte) (n int, err error) {
	if n = c.takeRest(p); n == 0 {
		n, err = c.read(p)
	}
	if c.isClosing() {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.startHeader()
		return c.boundHead(p, n)
	}
	if err != nil {
		c.closeIfExpired()
	}
	return n, err
}

func (c *conn) closeIfExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaiting && c.expired {
		_ = c.close()
	}
}

func (c *conn) startHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaiting && !c.headerStarted {
		c.headerStarted = true
		c.since = c.now()
	}
}

// endHeader records that a request is in progress. It keeps the connection open, if it has
// expired, since the headers were complete before the server could close it.
func (c *conn) endHeader(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting, c.headerStarted, c.since, c.used = false, false, now, true
	c.reading, c.writing = wait{}, wait{}
	if c.head != nil {
		c.head.Keep()
	}
	if c.expired {
		c.expired = false
		_ = c.SetReadDeadline(time.Time{})
	}
}

// await records that the connection awaits a request.
func (c *conn) await(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting, c.headerStarted, c.since = true, false, now
	c.releaseHead()
}

// end gives back what the connection holds.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHead()
}

// expire closes the connection if it has expired. It returns what has expired, unless an
// earlier call has.
func (c *conn) expire(check func() expiry) expiry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing.begun {
		return notExpired
	}
	expired := check()
	if expired == notExpired || len(c.rest) > 0 || peeker.Peek(c.Conn) == peeker.Unread {
		// Bytes that the server has not read yet came in time.
		return notExpired
	}
	// The server's read fails only if it lacks a part of the headers.
	_ = c.SetReadDeadline(longAgo)
	if c.expired {
		return notExpired
	}
	c.expired = true
	return expired
}

type expiry int

const (
	notExpired expiry = iota
	headerExpired
	idleExpired
)

// idle tells whether the connection is idle between two requests. The caller holds c.mu.
func (c *conn) idle() expiry {
	if c.awaiting && c.used && !c.headerStarted {
		return idleExpired
	}
	return notExpired
}

// expiry tells which timeout the connection exceeds. The caller holds c.mu.
func (c *conn) expiry(now time.Time, limits Timeouts) expiry {
	age := now.Sub(c.since)
	switch {
	case !c.awaiting:
		return notExpired
	case c.headerStarted && age > limits.Header:
		return headerExpired
	case !c.headerStarted && age > limits.Idle:
		return idleExpired
	default:
		return notExpired
	}
}
