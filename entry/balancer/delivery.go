package balancer

import (
	"errors"
	"net/http"
	"os"
	"time"

	"samphiremux/entry/deliverer"
	"samphiremux/entry/roundtripper"
)

// Values of the label "cause" of responses that callers do not read.
const (
	undeliveredStalled    = "stalled"
	undeliveredMemoryFull = "memory-full"
)

// BoundWrite bounds the time for which a caller or another entry may leave a small response
// unread, as deliverer.BoundWrite does.
func BoundWrite(w http.ResponseWriter) { deliverer.BoundWrite(w) }

// deliver writes the body of a response. The memory of what was read already, or of the piece
// that is streamed, is held until then, and given up if the caller does not read.
func (b *Balancer) deliver(w http.ResponseWriter, resp *roundtripper.Response) (err error) {
	idle := time.Duration(0)
	if b.opts.IdleTimeout != nil {
		idle = b.opts.IdleTimeout()
	}
	BoundWrite(w)
	hold := resp.Held
	d := deliverer.New(w, hold, idle)
	defer hold.Release()
	defer func() {
		switch {
		case err == nil:
		case errors.Is(err, deliverer.ErrNoRoom), hold.IsEvicted():
			b.metrics.undelivered.With(undeliveredMemoryFull).Inc()
		case errors.Is(err, os.ErrDeadlineExceeded):
			b.metrics.undelivered.With(undeliveredStalled).Inc()
		}
	}()
	if _, err = d.Write(resp.Body); err != nil || resp.Remainder == nil {
		return err
	}
	resp.Body = nil // may be collected while the rest is streamed
	hold.ResizeAt(time.Now(), deliverer.StreamCost)
	return d.Stream(resp.Remainder)
}
