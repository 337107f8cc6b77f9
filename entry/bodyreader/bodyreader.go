// Package bodyreader reads the bodies of requests into memory that is bounded over all of
// them. It handles callers that begin many bodies and stop short of their end: a body is
// read until the deadline of its request, and its memory counts from the first byte.
package bodyreader

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

const (
	// discardTime is the time for which the rest of a refused request's body is read, so
	// that the connection can be used on. Without a bound a caller that stops short of its
	// end keeps the connection.
	discardTime = 2 * time.Second
	// firstPartBytes is the size in bytes of the first part of a body of unknown length, and
	// maxPartBytes that of the largest.
	firstPartBytes = 4 << 10
	maxPartBytes   = 256 << 10
)

// errMemoryFull is returned if a body grows beyond the memory that is left.
var errMemoryFull = errors.New("no memory is left for the body")

// Hold returns the hold of a request's body. If it is evicted, the read of the body ends.
func Hold(memory *reserver.Reserver, w http.ResponseWriter, now time.Time) *reserver.Hold {
	return memory.HoldUntilEvicted(now, func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) })
}

// BoundDiscard bounds the time for which the server reads the rest of the body of a request
// that is refused.
func BoundDiscard(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 && r.Context().Err() == nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTime))
	}
}

// Read reads the whole body of a request within a limit in bytes, if that is not zero, and
// within the memory of the hold, until the deadline or the end of the context of the
// request.
func Read(w http.ResponseWriter, r *http.Request, limit int64, held *reserver.Hold, deadline time.Time) ([]byte, *refuser.Refusal) {
	if r.ContentLength == 0 {
		held.Keep()
		return nil, nil
	}
	if limit > 0 {
		if r.ContentLength > limit {
			return nil, notRun(refuser.BodyTooLarge)
		}
		r.Body = http.MaxBytesReader(unwrapped(w), r.Body, limit)
	}
	if !held.ResizeAt(time.Now(), max(0, r.ContentLength)) {
		return nil, notRun(refuser.MemoryFull)
	}
	end := boundRead(r.Context(), w, deadline)
	from := progressReader{r.Body, held}
	var body []byte
	var err error
	if r.ContentLength > 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(from, body)
	} else {
		body, err = readUnknownLength(from, held)
	}
	whole := err == nil && held.Keep()
	end(whole)
	if !whole {
		return nil, readFailure(r.Context(), held, deadline, err)
	}
	return body, nil
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

// readUnknownLength reads a whole body in parts, which are joined at its end. A buffer that
// is copied as it grows would leave as much garbage as it holds for each body that does not
// end.
func readUnknownLength(r io.Reader, held *reserver.Hold) (body []byte, err error) {
	var parts [][]byte
	total := int64(0)
	for size := firstPartBytes; ; size = min(2*size, maxPartBytes) {
		if !held.ResizeAt(time.Now(), total+int64(size)) {
			return nil, errMemoryFull
		}
		part := make([]byte, 0, size)
		for len(part) < size && err == nil {
			var n int
			n, err = r.Read(part[len(part):size])
			part = part[:len(part)+n]
		}
		total += int64(len(part))
		parts = append(parts, part)
		switch {
		case errors.Is(err, io.EOF):
			return join(parts, total, held)
		case err != nil:
			// A body that is cut off ends with another error.
			return nil, err
		}
	}
}

// join returns the body of parts that have a number of bytes in all. Both are held while it
// is copied.
func join(parts [][]byte, total int64, held *reserver.Hold) (body []byte, err error) {
	if len(parts) == 1 {
		return parts[0], nil
	}
	if !held.ResizeAt(time.Now(), 2*total) {
		return nil, errMemoryFull
	}
	body = make([]byte, 0, total)
	for _, part := range parts {
		body = append(body, part...)
	}
	held.Resize(total)
	return body, nil
}

// unwrapped returns the writer of net/http, which a reader makes close the connection
// behind a body that is too large.
func unwrapped(w http.ResponseWriter) http.ResponseWriter {
	for {
		outer, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return w
		}
		w = outer.Unwrap()
	}
}

func notRun(reason refuser.Reason) *refuser.Refusal {
	r := refuser.NewNotRun(reason)
	return &r
}
