package buffersizer

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"samphiremux/entry/peeker"
)

// pieceBytes is the size in bytes of the largest piece of a write.
const pieceBytes = 64 << 10

// conn is a connection with bounded buffers. The sizer's lock guards its fields, but isStalled.
type conn struct {
	*net.TCPConn
	sizer *Sizer

	usedAt time.Time
	sent   buffer
	closed bool
	// isStalled is set if a write has failed since the peer did not read, or further ones are to fail.
	isStalled atomic.Bool
}

// Write implements io.Writer. It writes in pieces, since the buffer grows between them only.
func (c *conn) Write(p []byte) (n int, err error) {
	for {
		piece := p[n:min(len(p), n+pieceBytes)]
		var written int
		written, err = c.TCPConn.Write(piece)
		n += written
		if written > 0 {
			c.sizer.carry(c, written)
		}
		if err != nil || n == len(p) {
			break
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.isStalled.Store(true)
	}
	return n, err
}

// SetWriteDeadline implements net.Conn. A deadline that has passed means that the peer is given up.
func (c *conn) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		c.isStalled.Store(true)
	}
	return c.TCPConn.SetWriteDeadline(t)
}

// ReadFrom implements io.ReaderFrom by way of Write.
func (c *conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(writer{c}, r) }

// writer hides the other methods of a connection.
type writer struct{ io.Writer }

// Close implements io.Closer. The kernel would keep what a peer does not read for minutes, so
// that it is dropped if a write has failed for that.
func (c *conn) Close() error {
	if c.isStalled.Load() {
		_ = c.SetLinger(0)
	}
	defer c.sizer.remove(c)
	return c.TCPConn.Close()
}

// CloseWrite ends the sending side. It fails if the peer is given up: an orderly end could be
// taken for that of a response without a length.
func (c *conn) CloseWrite() error {
	if c.isStalled.Load() {
		return net.ErrClosed
	}
	return c.TCPConn.CloseWrite()
}

// isEmpty reports whether the peer has acknowledged what was sent.
func (c *conn) isEmpty() bool {
	unacknowledged, err := peeker.Unacknowledged(c.TCPConn)
	return err == nil && unacknowledged == 0
}
