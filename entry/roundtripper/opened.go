package roundtripper

import (
	"sync/atomic"
	"time"
)

// OpenCause is why a new connection to a server was opened. It is a label value of a
// metric.
type OpenCause string

const (
	// OpenedFirst means that the client had no connection before, or none for a reason that
	// is not known.
	OpenedFirst OpenCause = "none"
	// OpenedInUse means that all connections were carrying requests or probes.
	OpenedInUse OpenCause = "in-use"
	// OpenedExpired means that the last connection had been idle for too long.
	OpenedExpired OpenCause = "expired"
	// OpenedClosed means that the last connection was closed or broken by the server, or was
	// closed after a failure.
	OpenedClosed OpenCause = "closed"
)

// OpenCauses returns all causes for which connections are opened.
func OpenCauses() []OpenCause {
	return []OpenCause{OpenedFirst, OpenedInUse, OpenedExpired, OpenedClosed}
}

// openings counts the open connections of a client and holds how the last one ended.
type openings struct {
	open atomic.Int64
	// ended is how the last connection ended, as the cause of the next one.
	ended atomic.Value
}

// cause returns why the next connection is opened.
func (o *openings) cause() OpenCause {
	if o.open.Load() > 0 {
		return OpenedInUse
	}
	if ended, ok := o.ended.Load().(OpenCause); ok {
		return ended
	}
	return OpenedFirst
}

// end records the end of a connection.
func (o *openings) end(cause OpenCause) {
	o.open.Add(-1)
	o.ended.Store(cause)
}

// end closes the connection. The first cause counts, since a connection may be closed again.
func (c *Conn) end(cause OpenCause) (err error) {
	if c.ended.CompareAndSwap(false, true) {
		c.openings.end(cause)
	}
	return c.net.Close()
}

// OnOpen sets the function that is called with the cause of each new connection, possibly
// concurrently. It must be called before the client is used.
func (cl *Client) OnOpen(f func(OpenCause)) { cl.onOpen = f }

// HasIdle reports whether a connection is open that carries no request or probe and has not
// been idle for too long.
func (cl *Client) HasIdle(now time.Time) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return len(cl.idle) > 0 && now.Before(cl.idle[len(cl.idle)-1].idleUntil)
}
