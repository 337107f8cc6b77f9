package sender

import (
	"net"
	"sync/atomic"
)

// conn is a connection to a server. When it breaks, it ends the attempt that was sent on
// it: http.Transport itself would send a request without a body again, on another
// connection, and the server may have run it.
type conn struct {
	net.Conn
	// refused is set once the server has refused a request on the connection.
	refused atomic.Bool
	// taken is the number of requests that have taken the connection, and cleared the
	// number of those whose response is known to be no refusal.
	taken, cleared atomic.Int64
	// current is the attempt that has the connection, or nil.
	current atomic.Pointer[attempt]
	// sent is set once a byte of the current attempt may have been sent.
	sent atomic.Bool
}

// begin records that an attempt has taken the connection.
func (c *conn) begin(a *attempt) {
	c.sent.Store(false)
	c.current.Store(a)
}

// end records that an attempt does not wait for a response on the connection any more.
func (c *conn) end(a *attempt) { c.current.CompareAndSwap(a, nil) }

// Write implements net.Conn.
func (c *conn) Write(b []byte) (n int, err error) {
	// The server may respond before the write returns.
	before := c.sent.Swap(true)
	n, err = c.Conn.Write(b)
	if n == 0 && !before {
		c.sent.Store(false)
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if a := c.current.Load(); n == 0 && err != nil && a != nil && c.sent.Load() {
		a.lose(err)
	}
	return n, err
}

var _ net.Conn = (*conn)(nil)
