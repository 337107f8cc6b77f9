package forwarder

import (
	"errors"
	"io"
	"net/http"
	"time"

	"samphiremux/entry/reserver"
	"samphiremux/entry/sender"
)

const (
	// deliveryPiece is the size in bytes of the pieces in which a response is written, so
	// that a caller which reads slowly differs from one that does not read.
	deliveryPiece = 16 << 10
	// stallTime is the time after which a caller that reads nothing of a response is given
	// up. A caller that reads slowly makes room in the buffers of the connection only every
	// few seconds.
	stallTime = 15 * time.Second
)

// errNoRoom is returned for a response that is held for a caller that reads slowly, if there
// is no room left for such responses.
var errNoRoom = errors.New("no room is left for a response that is not read")

// Bounds are the bounds on what callers can make a forwarder hold. Nil ones do not bound.
type Bounds struct {
	// Memory holds the bodies of requests, and of responses that callers read slowly.
	Memory *reserver.Reserver
	// Streams holds one unit for each response that is streamed, since it takes a connection
	// to a server until its caller has read it.
	Streams *reserver.Reserver
}

// WithBounds sets the bounds of a forwarder that serves no requests yet, and returns it.
func (f *Forwarder) WithBounds(b Bounds) *Forwarder {
	f.bounds = b
	return f
}

// BoundWrite bounds the time for which a caller may leave a small response unread. Without it
// the connection stays in use, and the bound of connections closes none in use.
func BoundWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(stallTime))
}

// delivery writes a response to a caller that may read slowly or not at all.
type delivery struct {
	w    http.ResponseWriter
	hold *reserver.Hold
}

// beginDelivery begins a delivery that holds a number of units. It reports false if there is
// no room for them.
func beginDelivery(w http.ResponseWriter, from *reserver.Reserver, units int64) (d *delivery, ok bool) {
	now := time.Now()
	d = &delivery{w: w, hold: from.HoldUntilEvicted(now, func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Now()) })}
	if !d.hold.ResizeAt(now, units) {
		d.hold.Release()
		return nil, false
	}
	return d, true
}

// Write implements io.Writer.
func (d *delivery) Write(p []byte) (written int, err error) {
	for written < len(p) && err == nil {
		BoundWrite(d.w)
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

// deliver writes the body of a response. The memory of what was read already is held
// meanwhile, and given up if the caller does not read.
func (f *Forwarder) deliver(w http.ResponseWriter, a *sender.Response) (err error) {
	BoundWrite(w)
	held := int64(len(a.Body))
	if held <= deliveryPiece {
		// Smaller bodies fit in the buffers of the connection.
		held = 0
	}
	d, ok := beginDelivery(w, f.bounds.Memory, held)
	if !ok {
		return errNoRoom
	}
	_, err = d.Write(a.Body)
	d.hold.Release()
	if err != nil || a.Remainder == nil {
		return err
	}
	a.Body = nil // may be collected while the rest is streamed
	if d, ok = beginDelivery(w, f.bounds.Streams, 1); !ok {
		return errNoRoom
	}
	defer d.hold.Release()
	_, err = io.CopyBuffer(d, a.Remainder, make([]byte, deliveryPiece))
	return err
}
