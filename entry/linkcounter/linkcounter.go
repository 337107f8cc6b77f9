// Package linkcounter counts the bytes of connections for the gauger of an entry's link, writes
// large messages at its pace, and ends contexts at timeouts that it extends.
package linkcounter

import (
	"context"
	"net"
	"syscall"
	"time"

	"samphiremux/entry/linkgauger"
)

// Wrap returns a connection whose bytes are counted.
func Wrap(c net.Conn, g *linkgauger.Gauger) net.Conn {
	counted := &conn{Conn: c, gauger: g}
	if socket, ok := c.(syscall.Conn); ok {
		return &connWithSocket{counted, socket}
	}
	return counted
}

// WrapListener returns a listener whose connections are counted.
func WrapListener(l net.Listener, g *linkgauger.Gauger) net.Listener { return &listener{l, g} }

type listener struct {
	net.Listener
	gauger *linkgauger.Gauger
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Wrap(c, l.gauger), nil
}

// conn is a connection whose bytes are counted.
type conn struct {
	net.Conn
	gauger *linkgauger.Gauger
}

// connWithSocket is a connection whose socket callers may look at.
type connWithSocket struct {
	*conn
	syscall.Conn
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n > 0 {
		c.gauger.Received(time.Now(), n)
	}
	return n, err
}

// bulkBytes is the least size of a write that is a part of a large message. Servers of
// net/http write those in parts of up to 16 KiB, and small responses in fewer than 4 KiB.
const bulkBytes = 4 << 10

// Write implements io.Writer. The bytes count before they are written, since the write may
// wait for the link. Large writes are made in pieces that wait for one another.
func (c *conn) Write(p []byte) (n int, err error) {
	piece := c.gauger.PieceBytes()
	if len(p) < bulkBytes || piece == 0 {
		c.gauger.Sent(time.Now(), len(p))
		return c.Conn.Write(p)
	}
	for n < len(p) && err == nil {
		next := p[n:min(len(p), n+piece)]
		if wait := c.gauger.Reserve(time.Now(), len(next)); wait > 0 {
			time.Sleep(wait)
		}
		c.gauger.SentReserved(time.Now(), len(next))
		var written int
		written, err = c.Conn.Write(next)
		n += written
	}
	return n, err
}

// CloseWrite shuts down the writing side, if the connection has one.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// WithTimeout returns a context that ends with context.DeadlineExceeded as its cause when a
// timeout has passed.
func WithTimeout(ctx context.Context, t linkgauger.Timeout) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	var check func(due time.Time)
	check = func(due time.Time) {
		if ctx.Err() != nil {
			return
		}
		now := time.Now()
		t.ObserveTimer(now, due)
		// Bytes that follow extend the timeout, and nothing shortens it.
		remaining := t.Remaining(now)
		if remaining <= 0 {
			cancel(context.DeadlineExceeded)
			return
		}
		time.AfterFunc(remaining, func() { check(now.Add(remaining)) })
	}
	check(time.Now())
	return ctx, func() { cancel(nil) }
}
