package balancer

import (
	"net/http"
	"strings"
	"time"

	"samphiremux/entry/bodyreader"
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
	held *reserver.Hold
	// responses is the memory of the bodies of servers' responses.
	responses *reserver.Group
	id        string
	tried     map[string]bool
	leftOut   leftOut
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
	held := bodyreader.Hold(b.opts.Bodies, w, now)
	body, refusal := bodyreader.Read(w, r, bodyLimit, held, deadline)
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
		header: header, body: body, held: held, responses: b.opts.Bodies.Group(), id: id, tried: map[string]bool{}, hop: h,
	}, nil
}

// notAllowed returns the refusal of a request that the current configuration does not allow,
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
