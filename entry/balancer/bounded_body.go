package balancer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"samphiremux/entry/refuser"
	"samphiremux/entry/reserver"
)

// discardTime is the time for which the rest of a refused request's body is read, so that
// the connection can be used on. Without a bound a caller that stops short of its end keeps
// the connection.
const discardTime = 2 * time.Second

// holdBody returns the hold of a request's body. If it is evicted, the read of the body ends.
func (b *Balancer) holdBody(w http.ResponseWriter, now time.Time) *reserver.Hold {
	return b.opts.Bodies.HoldUntilEvicted(now, func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) })
}

// boundRead makes reads of a body fail at the deadline of the request, behind which it is not
// served, or when ctx ends. The function that it returns ends that; reads go on only if the
// body was read whole.
func boundRead(ctx context.Context, w http.ResponseWriter, deadline time.Time) (end func(whole bool)) {
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = connection.SetReadDeadline(time.Now()) })
	return func(whole bool) {
		stop()
		if whole {
			// The server watches for the end of the connection by a read.
			_ = connection.SetReadDeadline(time.Time{})
		}
	}
}

// boundDiscard bounds the time for which the server reads the rest of the body of a request
// that is refused.
func boundDiscard(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 && r.Context().Err() == nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTime))
	}
}

// readFailure returns the refusal of a request whose body could not be read.
func readFailure(ctx context.Context, held *reserver.Hold, deadline time.Time, err error) *refuser.Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errMemoryFull), held.IsEvicted():
		return notRun(refuser.MemoryFull)
	case errors.As(err, &tooLarge):
		return notRun(refuser.BodyTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(deadline):
		// The context ends with a failed read too, so that it does not tell them apart.
		return notRun(refuser.DeadlinePassed)
	case errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() != nil:
		return notRun(refuser.Stopping)
	}
	// The caller has disconnected, or its framing is malformed.
	return notRun(refuser.CallerDisconnected)
}

// progressReader records the progress of a body at its hold.
type progressReader struct {
	io.Reader
	held *reserver.Hold
}

// Read implements io.Reader.
func (r progressReader) Read(p []byte) (n int, err error) {
	n, err = r.Reader.Read(p)
	r.held.Progress(time.Now(), n)
	return n, err
}
