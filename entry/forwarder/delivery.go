package forwarder

import (
	"net/http"
	"time"

	"samphiremux/entry/deliverer"
	"samphiremux/entry/reserver"
	"samphiremux/entry/sender"
)

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

// beginDelivery begins a delivery that holds a number of units until hold is released. It
// reports false if there is no room for them.
func beginDelivery(w http.ResponseWriter, from *reserver.Reserver, units int64) (d *deliverer.Delivery, hold *reserver.Hold, ok bool) {
	hold = from.Hold()
	d = deliverer.New(w, hold, 0)
	if !hold.ResizeAt(time.Now(), units) {
		hold.Release()
		return nil, nil, false
	}
	return d, hold, true
}

// deliver writes the body of a response. The memory of what was read already is held until
// then, and given up if the caller does not read.
func (f *Forwarder) deliver(w http.ResponseWriter, a *sender.Response) error {
	deliverer.BoundWrite(w)
	held := int64(len(a.Body))
	if held <= deliverer.StreamCost {
		// Smaller bodies fit in the buffers of the connection.
		held = 0
	}
	d, hold, ok := beginDelivery(w, f.bounds.Memory, held)
	if !ok {
		return deliverer.ErrNoRoom
	}
	_, err := d.Write(a.Body)
	hold.Release()
	if err != nil || a.Remainder == nil {
		return err
	}
	a.Body = nil // may be collected while the rest is streamed
	if d, hold, ok = beginDelivery(w, f.bounds.Streams, 1); !ok {
		deliverer.GiveUp(w)
		return deliverer.ErrNoRoom
	}
	defer hold.Release()
	return d.Stream(a.Remainder)
}
