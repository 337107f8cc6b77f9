// Package expirer closes callers' connections that stay unused, or take to send
// their headers, for longer than the configuration in force allows. The limits of
// net/http cannot change while a server runs.
package expirer

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Timeouts bound what a connection may do without a request at work.
type Timeouts struct {
	// Header is the time from the first byte of a request to the end of its
	// headers.
	Header time.Duration
	// Idle is the time without any byte of a request.
	Idle time.Duration
}

// Closed counts connections that were closed, by reason.
type Closed struct {
	Header int
	Idle   int
}

// Expirer follows the connections of one listener.
type Expirer struct {
	now func() time.Time

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns an expirer without connections.
func New(now func() time.Time) *Expirer {
	return &Expirer{now: now, conns: map[*conn]struct{}{}}
}

// WrapListener returns a listener whose connections the expirer follows.
func (e *Expirer) WrapListener(l net.Listener) net.Listener { return &listener{Listener: l, owner: e} }

// ConnState follows the state of a connection. It is the hook of http.Server.
func (e *Expirer) ConnState(c net.Conn, state http.ConnState) {
	own, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		e.mu.Lock()
		e.conns[own] = struct{}{}
		e.mu.Unlock()
	case http.StateActive:
		own.setWaiting(false, e.now())
	case http.StateIdle:
		own.setWaiting(true, e.now())
	case http.StateClosed, http.StateHijacked:
		e.mu.Lock()
		delete(e.conns, own)
		e.mu.Unlock()
	}
}

// CloseExpired closes the connections that are over a limit.
func (e *Expirer) CloseExpired(l Timeouts) (closed Closed) {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		switch c.over(now, l) {
		case overHeader:
			closed.Header++
		case overIdle:
			closed.Idle++
		case overNothing:
			continue
		}
		delete(e.conns, c)
		_ = c.Close() // the server sees the end of the connection
	}
	return closed
}

type listener struct {
	net.Listener
	owner *Expirer
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, now: l.owner.now, waiting: true, since: l.owner.now()}, nil
}

// conn is a connection with the time since which it waits for a request.
type conn struct {
	net.Conn
	now func() time.Time

	mu      sync.Mutex
	waiting bool
	// since is when the connection began to wait, or when the first byte of a
	// request came.
	since time.Time
	begun bool
}

// Read notes the first byte of a request.
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n > 0 {
		c.begin()
	}
	return n, err
}

// CloseWrite ends what is sent, so that a caller that is still sending reads the
// answer before the end. Without it net/http resets the connection.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && !c.begun {
		c.begun = true
		c.since = c.now()
	}
}

func (c *conn) setWaiting(waiting bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.begun, c.since = waiting, false, now
}

type over int

const (
	overNothing over = iota
	overHeader
	overIdle
)

func (c *conn) over(now time.Time, l Timeouts) over {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now.Sub(c.since)
	switch {
	case !c.waiting:
		return overNothing
	case c.begun && age > l.Header:
		return overHeader
	case !c.begun && age > l.Idle:
		return overIdle
	default:
		return overNothing
	}
}
