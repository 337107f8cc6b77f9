// Package deliverer writes responses to callers that may read slowly or not at all.
package deliverer

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"samphiremux/entry/reserver"
)

const (
	// StreamCost is the memory in bytes that a streamed response takes, in buffers and by its
	// connection to the server.
	StreamCost = 16 << 10
	// pieceBytes is the size of the pieces in which a response is written, so that a caller
	// which reads slowly differs from one that does not read.
	pieceBytes = 16 << 10
	// streamBytes is the size of the buffer of a streamed response. It is small since each
	// caller that does not read keeps one; net/http writes no more than that at once.
	streamBytes = 4 << 10
	// minStallTime is the least time after which a caller that reads nothing of a response is
	// given up. The idle timeout may be shorter, but a caller that reads slowly makes room in
	// the buffers of the connection only every few seconds.
	minStallTime = 15 * time.Second
)

// ErrNoRoom is returned for a response that is held for a caller that reads slowly, if there
// is no room left for such responses.
var ErrNoRoom = errors.New("no room is left for a response that is not read")

// pieces holds the buffers of streamed responses.
var pieces = sync.Pool{New: func() any { return new([streamBytes]byte) }}

// BoundWrite bounds the time for which a caller may leave a small response unread. Without it
// the connection stays in use, and the bound of connections closes none in use.
func BoundWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(minStallTime))
}

// GiveUp makes the connection drop what its caller has not read when it is closed, for a response
// that is broken off. The kernel would keep it for minutes.
func GiveUp(w http.ResponseWriter) { _ = http.NewResponseController(w).SetWriteDeadline(time.Now()) }

// Delivery writes the body of a response and records what its caller reads.
type Delivery struct {
	w     http.ResponseWriter
	hold  *reserver.Hold
	stall time.Duration
}

// New returns a delivery whose hold may be evicted from now on, which ends it. It fails if the
// caller reads nothing for the idle timeout, but not sooner than after 15 s.
func New(w http.ResponseWriter, hold *reserver.Hold, idleTimeout time.Duration) *Delivery {
	hold.AllowEviction(time.Now(), func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Now()) })
	return &Delivery{w: w, hold: hold, stall: max(minStallTime, idleTimeout)}
}

// Write implements io.Writer.
func (d *Delivery) Write(p []byte) (written int, err error) {
	connection := http.NewResponseController(d.w)
	for written < len(p) && err == nil {
		_ = connection.SetWriteDeadline(time.Now().Add(d.stall))
		if d.hold.IsEvicted() {
			return written, ErrNoRoom
		}
		var n int
		n, err = d.w.Write(p[written:min(len(p), written+pieceBytes)])
		written += n
		d.hold.Progress(time.Now(), n)
	}
	return written, err
}

// Stream writes what is read from r.
func (d *Delivery) Stream(r io.Reader) error {
	piece := pieces.Get().(*[streamBytes]byte)
	defer pieces.Put(piece)
	_, err := io.CopyBuffer(d, r, piece[:])
	return err
}
