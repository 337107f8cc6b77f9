// Package linkcounter counts the bytes of connections for the gauger of an entry's link, and
// ends contexts at timeouts that the gauger extends.
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

// Write implements io.Writer. The bytes count before they are written, since the write may
// wait for the link.
func (c *conn) Write(p []byte) (n int, err error) {
	c.gauger.Sent(time.Now(), len(p))
	return c.Conn.Write(p)
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
	var check func()
	check = func() {
		if ctx.Err() != nil {
			return
		}
		// Bytes that follow extend the timeout, and nothing shortens it.
		remaining := t.Remaining(time.Now())
		if remaining <= 0 {
			cancel(context.DeadlineExceeded)
			return
		}
		time.AfterFunc(remaining, check)
	}
	check()
	return ctx, func() { cancel(nil) }
}
