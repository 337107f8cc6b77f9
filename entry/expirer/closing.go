package expirer

import (
	"context"
	"time"

	"samphiremux/entry/lingerer"
	"samphiremux/entry/peeker"
)

// closing is the state of a connection that the process closes.
type closing struct {
	// begun is set once the server gets nothing more from the connection.
	begun bool
	since time.Time
	// cancel closes the socket of a connection whose peer may not have received the last
	// response. It is nil for other connections.
	cancel context.CancelFunc
}

// Close implements net.Conn. It returns at once, but the socket stays open until the peer has
// received the last response.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.close()
}

// CloseWrite is as Close: net/http calls it once it reads nothing more, waits for some time and
// closes the connection.
func (c *conn) CloseWrite() error { return c.Close() }

// close is as Close. The caller holds c.mu.
func (c *conn) close() error {
	if c.closing.cancel != nil {
		return nil
	}
	first := !c.closing.begun
	c.closing.begun, c.closing.since = true, c.now()
	socket, ok := c.Conn.(lingerer.Conn)
	if !first || !ok || !c.mayLoseResponse() {
		return c.Conn.Close()
	}
	ctx, cancel := context.WithCancel(c.owner.lingering)
	c.closing.cancel = cancel
	go c.linger(ctx, socket)
	return nil
}

// linger closes the socket once the peer has received the last response.
func (c *conn) linger(ctx context.Context, socket lingerer.Conn) {
	end := lingerer.Close(ctx, socket)
	c.mu.Lock()
	c.closing.cancel()
	c.closing.cancel = nil
	c.mu.Unlock()
	c.owner.remove(c)
	c.bounds.OnEnd(end)
}

// mayLoseResponse reports whether a response is possibly lost if the socket is closed now. The
// caller holds c.mu.
func (c *conn) mayLoseResponse() bool {
	if !c.written {
		return false
	}
	switch peeker.Peek(c.Conn) {
	case peeker.Ended, peeker.Unknown:
		return false
	case peeker.Empty, peeker.Unread:
	}
	if !c.awaiting || c.refused {
		return true
	}
	// The connection is idle: its last response was written some time before.
	unacknowledged, err := peeker.Unacknowledged(c.Conn)
	return err != nil || unacknowledged > 0
}

// closeAtOnce closes the socket of a connection, whether or not its peer has received the last
// response.
func (c *conn) closeAtOnce() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing.begun = true
	if c.closing.cancel != nil {
		c.closing.cancel()
	}
	_ = c.Conn.Close()
}

// isClosing reports whether the server gets nothing more from the connection.
func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing.begun
}

// isLingering reports whether the socket stays open until the peer has received the last
// response.
func (c *conn) isLingering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing.cancel != nil
}
