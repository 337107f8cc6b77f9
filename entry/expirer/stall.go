package expirer

import (
	"net"
	"syscall"
	"time"
)

const (
	// stallTime is the time without progress after which a connection counts as stalled. Links
	// lose packets; a retransmission takes 0.2 to 0.4 s.
	stallTime = time.Second
	// slowRate is the progress in bytes per second below which a connection stalls too, so that a
	// peer cannot keep it with a byte now and then.
	slowRate = 8 << 10
)

// wait records how a request waits for its peer: for the rest of its body, or to read the
// response.
type wait struct {
	inProgress bool
	// stalledAt is when the connection stalls unless its peer makes progress. The time between
	// two waits does not count.
	stalledAt time.Time
	// pausedAt is the end of the last wait.
	pausedAt time.Time
}

// begin records that a call waits for the peer.
func (w *wait) begin(now time.Time) {
	w.inProgress = true
	if w.stalledAt.IsZero() {
		w.stalledAt = now.Add(stallTime)
		return
	}
	w.stalledAt = w.stalledAt.Add(now.Sub(w.pausedAt))
}

// end records that the call has returned with a number of bytes.
func (w *wait) end(now time.Time, n int) {
	w.inProgress, w.pausedAt = false, now
	w.stalledAt = w.stalledAt.Add(time.Duration(n) * time.Second / slowRate)
	if latest := now.Add(stallTime); w.stalledAt.After(latest) {
		w.stalledAt = latest
	}
}

// stalled returns since when the peer has stalled.
func (w *wait) stalled(now time.Time) (since time.Time, ok bool) {
	return w.stalledAt, w.inProgress && !now.Before(w.stalledAt)
}

// stalled returns since when the peer of a connection with a request has stalled. The caller
// holds c.mu.
func (c *conn) stalled(now time.Time) (since time.Time, ok bool) {
	if c.awaiting {
		return time.Time{}, false
	}
	if since, ok = c.writing.stalled(now); ok {
		return since, true
	}
	return c.reading.stalled(now)
}

// runWait runs a call that may wait for the peer.
func (c *conn) runWait(w *wait, call func(p []byte) (int, error), p []byte) (n int, err error) {
	c.mu.Lock()
	w.begin(c.now())
	c.mu.Unlock()
	n, err = call(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	w.end(c.now(), n)
	c.written = c.written || w == &c.writing
	return n, err
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (n int, err error) { return c.runWait(&c.writing, c.Conn.Write, p) }

// read reads from the connection. While a request is in progress the server watches for the end
// of the connection by reads of one byte, which do not wait for the peer.
func (c *conn) read(p []byte) (n int, err error) {
	if len(p) == 1 {
		return c.Conn.Read(p)
	}
	return c.runWait(&c.reading, c.Conn.Read, p)
}

// reset makes the close of a connection drop what its peer has not read. The kernel would keep
// it for minutes, and a peer of HTTP/1.0 would take its end for the end of a response.
func reset(c net.Conn) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptLinger(int(fd), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	})
}
