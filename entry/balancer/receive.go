package balancer

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"samphiremux/entry/refuser"
	"samphiremux/entry/reserver"
	"samphiremux/entry/snapshotter"
	"samphiremux/pkg/describer"
)

// call is the state of one caller's request.
type call struct {
	identity
	route    describer.Route
	service  string
	version  string
	view     *snapshotter.Snapshot
	arrived  time.Time
	deadline time.Time
	method   string
	host     string
	target   string
	header   http.Header
	body     []byte
	// held is the memory of the body.
	held    *reserver.Hold
	id      string
	tried   map[string]bool
	leftOut leftOut
	// hop is nil for a request that comes from a caller.
	hop *hop
	// probes is the number of servers that were probed for the last attempt, and unreached
	// the number of those that did not respond in their round.
	probes    int
	unreached int
	// backend is the server of the last attempt, unless that was passed on.
	backend snapshotter.Backend
	// delegated is the id of the entry that the request was passed on to.
	delegated string
	count     runCount
	// trial reports that the request is the trial of one that is suspected of crashing
	// servers.
	trial bool
	// turn is nil if the requests of the service do not differ in urgency.
	turn  *turn
	trace trace
}

func notRun(reason refuser.Reason) *refuser.Refusal {
	r := refuser.NewNotRun(reason)
	return &r
}

// receive reads a request, checks its size and matches its route. The size of a request
// that another entry passes on has been checked there.
func (b *Balancer) receive(w http.ResponseWriter, r *http.Request, h *hop) (*call, *refuser.Refusal) {
	now := time.Now()
	view := b.opts.Snapshot()
	if view.Table == nil || (h != nil && view.Table.Version < h.configuration) {
		return nil, notRun(refuser.NoDocument)
	}
	target := originForm(r.RequestURI)
	path, _, _ := strings.Cut(target, "?")
	if limit := view.Table.Limits.HeaderBytes; h == nil && limit > 0 && headerBytes(r) > limit {
		return nil, b.notAllowed(refuser.HeadersTooLarge)
	}
	route, ok := view.Table.Match(r.Host, path)
	if !ok {
		return nil, b.notAllowed(refuser.NoSuchRoute)
	}
	caller, refusal := b.identify(r, view.Table, route)
	if refusal != nil {
		return nil, refusal
	}
	id := r.Header.Get(b.opts.Headers.RequestID)
	if id == "" {
		return nil, notRun(refuser.BadRequest)
	}
	timeout := route.TimeLimit
	if remaining, ok := b.opts.Headers.ReadDeadline(r.Header); ok {
		timeout = min(timeout, remaining)
	}
	deadline := now.Add(timeout)
	if !b.opts.MayTake(deadline) {
		return nil, notRun(refuser.Stopping)
	}
	bodyLimit := view.Table.Limits.BodyBytes
	if h != nil {
		bodyLimit = 0
	}
	service := route.PickService(b.draw(route.Name))
	if tooLarge := bodyLimit > 0 && r.ContentLength > bodyLimit; r.ContentLength != 0 && !tooLarge {
		if refusal := b.refuseUpload(now, service); refusal != nil {
			return nil, refusal
		}
	}
	held := b.holdBody(w, now)
	body, refusal := readBody(w, r, bodyLimit, held, deadline)
	switch {
	case refusal != nil && refusal.Reason == refuser.BodyTooLarge:
		refusal = b.notAllowed(refuser.BodyTooLarge)
	case refusal == nil && !b.opts.MayTake(deadline):
		refusal = notRun(refuser.Stopping)
	}
	if refusal != nil {
		held.Release()
		return nil, refusal
	}
	header := b.takeIdentity(&caller, r.Header)
	return &call{
		identity: caller, route: route, service: service, version: view.Splits[service].PickVersion(b.draw("version of " + service)),
		view: view, arrived: now, deadline: deadline, method: r.Method, host: r.Host, target: target,
		header: header, body: body, held: held, id: id, tried: map[string]bool{}, hop: h,
	}, nil
}

// notAllowed returns the refusal of a request that the configuration in force does not allow,
// for a reason. It is temporary while a newer configuration may allow the request.
func (b *Balancer) notAllowed(reason refuser.Reason) *refuser.Refusal {
	if b.opts.Outdated != nil && b.opts.Outdated() {
		return notRun(refuser.Outdated)
	}
	return notRun(reason)
}

// originForm returns a request target without the scheme and the authority that the absolute
// form has. The rest is unchanged.
func originForm(target string) string {
	_, rest, absolute := strings.Cut(target, "://")
	if !absolute || strings.HasPrefix(target, "/") {
		return target
	}
	begin := strings.IndexAny(rest, "/?")
	switch {
	case begin < 0:
		return "/"
	case rest[begin] == '?':
		return "/" + rest[begin:]
	}
	return rest[begin:]
}

// readBody reads the whole body within the limit of the configuration and the memory of the
// hold, until the deadline or the end of the context of the request.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, held *reserver.Hold, deadline time.Time) ([]byte, *refuser.Refusal) {
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

// firstBodyBytes is the size in bytes of the first part of a body of unknown length, and
// maxPartBytes that of the largest.
const (
	firstBodyBytes = 4 << 10
	maxPartBytes   = 256 << 10
)

// errMemoryFull is returned if a body grows beyond the memory that is left.
var errMemoryFull = errors.New("no memory is left for the body")

// readUnknownLength reads a whole body in parts, which are joined at its end. A buffer that
// is copied as it grows would leave as much garbage as it holds for each body that does not
// end.
func readUnknownLength(r io.Reader, held *reserver.Hold) (body []byte, err error) {
	var parts [][]byte
	total := int64(0)
	for size := firstBodyBytes; ; size = min(2*size, maxPartBytes) {
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

// unwrapped returns the writer of net/http, which a reader tells to close the connection
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

// goldenRatio is the step of the low-discrepancy sequence of a key. The draws
// spread evenly, so that traffic shares hold also over few requests.
const goldenRatio = 0.6180339887498949

// draw returns the next draw of a key's sequence, in [0, 1).
func (b *Balancer) draw(key string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	d, ok := b.draws[key]
	if !ok {
		d = b.rng.Float64()
	}
	d += goldenRatio
	if d >= 1 {
		d--
	}
	b.draws[key] = d
	return d
}

// useStableVersion switches the call to the stable version of its service for the
// attempts after the first, so that one request is not tried twice on a version
// that is being rolled out.
func (c *call) useStableVersion() { c.version = c.view.Splits[c.service].Stable }
