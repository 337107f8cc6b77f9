package balancer

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"samphiremux/entry/reserver"
	"samphiremux/entry/roundtripper"
)

const (
	// deliveryPiece is the size in bytes of the pieces in which a response is written, so
	// that a caller which reads slowly differs from one that does not read.
	deliveryPiece = 16 << 10
	// streamPiece is the size in bytes of the buffer of a streamed response. It is small since
	// each caller that does not read keeps one; net/http writes no more than that at once. The
	// deadline of the request bounds the delivery beside the stall time of each piece.
	streamPiece = 4 << 10
	// streamCost is the memory in bytes that a streamed response takes, in buffers and by its
	// connection to the server.
	streamCost = 16 << 10
	// minStallTime is the least time after which a caller that reads nothing of a response is
	// given up. The idle timeout may be shorter, but a caller that reads slowly makes room in
	// the buffers of the connection only every few seconds.
	minStallTime = 15 * time.Second
)

// Values of the label "cause" of responses that callers do not read.
const (
	undeliveredStalled    = "stalled"
	undeliveredMemoryFull = "memory-full"
)

// pieces holds the buffers of streamed responses.
var pieces = sync.Pool{New: func() any { return new([streamPiece]byte) }}

// errNoRoom is returned for a response that is held for a caller that reads slowly, if there
// is no memory left for such responses.
var errNoRoom = errors.New("no memory is left for a response that is not read")

// delivery writes a response to a caller that may read slowly or not at all.
type delivery struct {
	w     http.ResponseWriter
	stall time.Duration
	hold  *reserver.Hold
}

// Write implements io.Writer.
func (d *delivery) Write(p []byte) (written int, err error) {
	connection := http.NewResponseController(d.w)
	for written < len(p) && err == nil {
		_ = connection.SetWriteDeadline(time.Now().Add(d.stall))
		if d.hold.IsEvicted() {
			return written, errNoRoom
		}
		var n int
		n, err = d.w.Write(p[written:min(len(p), written+deliveryPiece)])
		written += n
		d.hold.Progress(time.Now(), n)
	}
	return written, err
}

// BoundWrite bounds the time for which a caller may leave a small response unread. Without it
// the connection stays in use, and the bound of connections closes none in use.
func BoundWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(minStallTime))
}

// deliver writes the body of a response. The memory of what was read already, or of the piece
// that is streamed, is held meanwhile, and given up if the caller does not read.
func (b *Balancer) deliver(w http.ResponseWriter, resp *roundtripper.Response) (err error) {
	d := &delivery{w: w, stall: minStallTime}
	if b.opts.IdleTimeout != nil {
		d.stall = max(d.stall, b.opts.IdleTimeout())
	}
	BoundWrite(w)
	now := time.Now()
	d.hold = resp.Held
	d.hold.AllowEviction(now, func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Now()) })
	defer d.hold.Release()
	defer func() {
		switch {
		case err == nil:
		case errors.Is(err, errNoRoom), d.hold.IsEvicted():
			b.metrics.undelivered.With(undeliveredMemoryFull).Inc()
		case errors.Is(err, os.ErrDeadlineExceeded):
			b.metrics.undelivered.With(undeliveredStalled).Inc()
		}
	}()
	if _, err = d.Write(resp.Body); err != nil || resp.Remainder == nil {
		return err
	}
	resp.Body = nil // may be collected while the rest is streamed
	d.hold.ResizeAt(time.Now(), streamCost)
	piece := pieces.Get().(*[streamPiece]byte)
	defer pieces.Put(piece)
	_, err = io.CopyBuffer(d, resp.Remainder, piece[:])
	return err
}
