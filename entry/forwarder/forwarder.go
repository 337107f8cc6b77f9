// Package forwarder handles the requests of callers. It selects the entry and
// the backend server that run a request, and returns the complete response or a
// refusal.
package forwarder

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/bodyreader"
	"samphiremux/entry/deliverer"
	"samphiremux/entry/quarantiner"
	"samphiremux/entry/reconciler"
	"samphiremux/entry/refuser"
	"samphiremux/entry/reserver"
	"samphiremux/entry/retrier"
	"samphiremux/entry/sanitizer"
	"samphiremux/entry/sender"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/parser"
	"samphiremux/pkg/publisher"
)

// Headers between callers, entries and backend servers.
const (
	// DeadlineHeader carries the absolute deadline in milliseconds of Unix
	// time.
	DeadlineHeader = "Samphire-Deadline"
	// AttemptHeader carries the attempt number of the sending layer, starting
	// at 1.
	AttemptHeader = "Samphire-Attempt"
	// CallerHeader carries the IP address of the caller of a request that another entry
	// forwarded, so that callers keep their own shares of the queue.
	CallerHeader = "Samphire-Caller"
	// HopHeader marks a request that another entry forwarded. It carries the id
	// of that entry.
	HopHeader = "Samphire-Hop"
	// RevisionHeader carries the revision of the document by which another entry accepted
	// the request that it forwarded.
	RevisionHeader = "Samphire-Document-Revision"
	// PassedHeader marks a response over a hop that comes from a backend server. A refusal
	// in it is one that the server got itself, and the request has run.
	PassedHeader = "Samphire-Passed"
	// IdempotencyKeyHeader carries the caller's idempotency key.
	IdempotencyKeyHeader = "Idempotency-Key"
	// RequestIDHeader carries the caller's request id, for the caller's own
	// logs.
	RequestIDHeader = "X-Request-Id"
)

const (
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 1 << 20
	// bodyTimeout bounds the time to read a request body, which also ends at the deadline of
	// the request.
	bodyTimeout = 30 * time.Second
	// memoryRetryAfter is long enough for one of the largest bodies to be passed on.
	memoryRetryAfter = 500 * time.Millisecond
)

// Notifier informs the other entries of a service.
type Notifier interface {
	// NotifySuspect reports how many servers this entry saw crash while they
	// ran requests with a fingerprint. Zero clears the fingerprint of
	// suspicion.
	NotifySuspect(service string, f quarantiner.Fingerprint, crashes int, last quarantiner.Attempt)
}

// Reaches checks for a service whether this entry reaches any server but one.
type Reaches func(ctx context.Context, sv *reconciler.Service, except netip.AddrPort) bool

// Forwarder handles requests from callers and from other entries. It implements
// http.Handler.
type Forwarder struct {
	node     *reconciler.Node
	servers  *sender.Sender
	peers    *sender.Sender
	notifier Notifier
	reaches  Reaches
	// mayTake reports whether a request with this deadline may be passed on.
	mayTake   func(deadline time.Time) bool
	log       hclog.Logger
	bounds    Bounds
	lostPeers lostPeers
	// attemptIDPrefix makes attempt ids unique across entries and restarts.
	attemptIDPrefix string
	attempts        atomic.Uint64
}

// New returns a forwarder. It sends requests to backend servers through
// servers, and to other entries through peers. MayTake reports whether a request with this
// deadline may still be passed on.
func New(n *reconciler.Node, servers, peers *sender.Sender, notifier Notifier, mayTake func(deadline time.Time) bool, reaches Reaches, log hclog.Logger) *Forwarder {
	self := n.Self()
	return &Forwarder{
		node: n, servers: servers, peers: peers, notifier: notifier, mayTake: mayTake, reaches: reaches, log: log,
		lostPeers: lostPeers{until: map[peerService]time.Time{}}, attemptIDPrefix: self.ID + "." + self.Incarnation + ".",
	}
}

// call is one request in progress.
type call struct {
	service  *reconciler.Service
	revision publisher.Revision
	route    parser.Route
	caller   string
	deadline time.Time
	// outerAttempt is the attempt number that an outer layer gave, or 1.
	outerAttempt int
	// forwarder is the id of the entry that forwarded the request, or empty.
	forwarder string
	// idempotencyKey is empty if the route is idempotent, since its requests
	// may run more than once.
	idempotencyKey string
	method         string
	uri            string
	header         http.Header
	body           []byte
	// held is the memory of the body, and empty once the run of a request with a key holds it.
	held        *reserver.Hold
	fingerprint quarantiner.Fingerprint
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := f.node.Now()
	if id := r.Header.Get(sender.AttemptIDHeader); id != "" && r.Header.Get(HopHeader) != "" {
		w.Header().Set(sender.AttemptIDHeader, id)
	}
	c, refusal := f.newCall(w, r, arrived)
	if refusal != nil {
		bodyreader.BoundDiscard(w, r)
		f.refuse(w, "", *refusal)
		return
	}
	defer func() { c.takeHold().Release() }()
	// The time to read the body is over, and a request may last longer.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	ctx, cancel := context.WithTimeout(r.Context(), c.deadline.Sub(arrived))
	defer cancel()
	response, refusal := f.serve(ctx, c)
	name := c.service.Spec.Name
	f.node.Metrics().Latency.WithLabelValues(name).Observe(f.node.Now().Sub(arrived).Seconds())
	if refusal != nil {
		f.refuse(w, name, *refusal)
		return
	}
	f.writeResponse(w, name, response)
}

// takeHold returns the memory of the body, which the caller has to release.
func (c *call) takeHold() *reserver.Hold {
	held := c.held
	c.held = &reserver.Hold{}
	return held
}

func (f *Forwarder) refuse(w http.ResponseWriter, service string, r refuser.Refusal) {
	if r.Reason == refuser.MemoryFull {
		r = r.WithRetryAt(time.Now().Add(memoryRetryAfter))
	}
	deliverer.BoundWrite(w)
	f.node.Metrics().Refused(r)
	f.node.Metrics().Requests.WithLabelValues(service, string(r.Kind)).Inc()
	r.Write(w)
}

// newCall reads a request, looks up its service and route, and checks its
// limits.
func (f *Forwarder) newCall(w http.ResponseWriter, r *http.Request, now time.Time) (c *call, refusal *refuser.Refusal) {
	snapshot := f.node.Snapshot()
	if snapshot == nil {
		return nil, notRun(refuser.NoDocument)
	}
	name, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		name = r.Host
	}
	name = strings.ToLower(name)
	service, ok := snapshot.Services[name]
	if !ok {
		return nil, f.notFound(r.Header, snapshot, refuser.NoSuchService)
	}
	route, ok := service.Spec.Route(r.Method, r.URL.Path)
	if !ok {
		return nil, f.notFound(r.Header, snapshot, refuser.NoSuchRoute)
	}
	c = &call{
		service: service, revision: snapshot.Revision, route: route, caller: f.callerOf(r), deadline: now.Add(route.TimeLimit), outerAttempt: 1,
		forwarder: r.Header.Get(HopHeader), method: r.Method, uri: r.URL.RequestURI(), header: endToEndHeader(r.Header),
	}
	if !route.Idempotent {
		c.idempotencyKey = r.Header.Get(IdempotencyKeyHeader)
	}
	if refusal := c.applyOuterLimits(r.Header, now); refusal != nil {
		return nil, refusal
	}
	begun := time.Now()
	end := begun.Add(bodyTimeout)
	if c.deadline.Before(end) {
		end = c.deadline
	}
	c.held = bodyreader.Hold(f.bounds.Memory, w, begun)
	c.body, refusal = bodyreader.Read(w, r, maxBodyBytes, c.held, end)
	if refusal == nil && !f.mayTake(c.deadline) {
		refusal = notRun(refuser.Stopping)
	}
	if refusal != nil {
		c.held.Release()
		return nil, refusal
	}
	c.fingerprint = quarantiner.FingerprintOf(name, c.method, c.uri, c.body)
	return c, nil
}

// notFound returns the refusal of a request for what the document of a snapshot does not
// have. An entry that forwards the request may have accepted it by a newer one.
func (f *Forwarder) notFound(h http.Header, s *reconciler.Snapshot, reason refuser.Reason) *refuser.Refusal {
	r := f.node.NotFound(s, reason)
	if accepted, err := strconv.ParseUint(h.Get(RevisionHeader), 10, 64); err == nil && publisher.Revision(accepted) > s.Revision {
		r = f.node.OutdatedRefusal()
	}
	return &r
}

func notRun(reason refuser.Reason) *refuser.Refusal {
	r := refuser.NewNotRun(reason)
	return &r
}

func outcomeUnknown(reason refuser.Reason) *refuser.Refusal {
	r := refuser.NewOutcomeUnknown(reason)
	return &r
}

// applyOuterLimits applies the deadline and the attempt number that an outer
// layer gave. The deadline can only become earlier.
func (c *call) applyOuterLimits(h http.Header, now time.Time) *refuser.Refusal {
	if v := h.Get(DeadlineHeader); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			r := refuser.NewNotRun(refuser.BadRequest).WithDetail("%s %q is not a Unix time in milliseconds", DeadlineHeader, v)
			return &r
		}
		if outer := time.UnixMilli(ms); outer.Before(c.deadline) {
			c.deadline = outer
		}
	}
	if v := h.Get(AttemptHeader); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 {
			r := refuser.NewNotRun(refuser.BadRequest).WithDetail("%s %q is not a positive number", AttemptHeader, v)
			return &r
		}
		c.outerAttempt = n
	}
	if !now.Before(c.deadline) {
		return notRun(refuser.DeadlinePassed)
	}
	return nil
}

// callerOf returns the IP address of the caller. CallerHeader counts only if it comes
// from the address of a member.
func (f *Forwarder) callerOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	caller := r.Header.Get(CallerHeader)
	if m, ok := f.node.Member(r.Header.Get(HopHeader)); ok && caller != "" {
		if address, err := netip.ParseAddrPort(m.Address); err == nil && address.Addr().String() == host {
			return caller
		}
	}
	return host
}

// endToEndHeader returns a copy of h without hop-by-hop headers and without the
// headers that are used only between entries.
func endToEndHeader(h http.Header) http.Header {
	return sanitizer.StripHopByHop(h, HopHeader, CallerHeader, RevisionHeader, PassedHeader, sender.AttemptIDHeader)
}

// serve runs the request here, or forwards it to the entry that has to run it.
func (f *Forwarder) serve(ctx context.Context, c *call) (*sender.Response, *refuser.Refusal) {
	switch {
	case c.idempotencyKey != "":
		return f.serveKeyed(ctx, c)
	case !c.service.InSubset || c.service.Dispatcher == nil:
		if c.forwarded() {
			return nil, notRun(refuser.Misdirected)
		}
		return f.forwardToPeers(ctx, c, c.service.Subset)
	case !c.forwarded() && !c.service.Dispatcher.ContactLost() && f.lacksGrants(c):
		c.service.Dispatcher.RecordUnserved()
		if response, refusal := f.forwardToPeers(ctx, c, c.service.Subset); refusal == nil || !foundNoPeer(refusal.Reason) {
			return response, refusal
		}
	}
	return f.run(ctx, c)
}

// lacksGrants reports whether this entry has joined the subset but holds no
// grants yet, while another member may.
func (f *Forwarder) lacksGrants(c *call) bool {
	return len(c.service.Subset) > 1 && c.service.Dispatcher.Capacity() == 0
}

// forwarded reports whether another entry forwarded the request.
func (c *call) forwarded() bool { return c.forwarder != "" }

// newRequest returns the request to send to a backend server or another entry.
// Each call assigns a new attempt id.
func (f *Forwarder) newRequest(c *call, attempt int) sender.Request {
	h := c.header.Clone()
	h.Set(DeadlineHeader, strconv.FormatInt(c.deadline.UnixMilli(), 10))
	h.Set(AttemptHeader, strconv.Itoa(attempt))
	return sender.Request{
		Method: c.method, Host: c.service.Spec.Name, URI: c.uri, Header: h, Body: c.body,
		AttemptID:  f.attemptIDPrefix + strconv.FormatUint(f.attempts.Add(1), 10),
		Idempotent: c.route.Idempotent,
	}
}

// writeResponse writes a response to the caller. If a streamed response ends
// early, it aborts the caller's connection, so that the caller cannot take the
// response as complete.
func (f *Forwarder) writeResponse(w http.ResponseWriter, service string, a *sender.Response) {
	f.node.Metrics().Requests.WithLabelValues(service, strconv.Itoa(a.Status/100)+"xx").Inc()
	h := w.Header()
	attemptID := h.Get(sender.AttemptIDHeader)
	for name, values := range endToEndHeader(a.Header) {
		h[name] = values
	}
	if attemptID != "" {
		h.Set(sender.AttemptIDHeader, attemptID)
		if isPassed(a) {
			h.Set(PassedHeader, "true")
		}
	}
	if a.Remainder != nil {
		defer a.Remainder.Close()
	} else if a.Header.Get("Content-Length") == "" || len(a.Body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	streamed := a.Remainder != nil
	err := f.deliver(w, a)
	if err == nil {
		return
	}
	if streamed {
		f.node.Metrics().CutStreams.Inc()
		f.log.Warn("Streamed response ended early; aborting the connection of the caller.", "service", service, "error", err)
	}
	panic(http.ErrAbortHandler)
}

// forwardToPeers forwards the request to one member after another until one
// answers. It stops early if the request may have run and its route is not
// idempotent.
func (f *Forwarder) forwardToPeers(ctx context.Context, c *call, members []tracker.Member) (response *sender.Response, refusal *refuser.Refusal) {
	state := retrier.Request{Idempotent: c.route.Idempotent, Deadline: c.deadline, OuterAttempt: c.outerAttempt}
	return f.forwardFrom(ctx, c, members, state)
}

// forwardFrom does the work of forwardToPeers for a request with a state.
func (f *Forwarder) forwardFrom(ctx context.Context, c *call, members []tracker.Member, state retrier.Request) (response *sender.Response, refusal *refuser.Refusal) {
	reason := refuser.EntryUnreachable
	peers, lost := f.usablePeers(members, c.service.Spec.Name)
	if lost {
		reason = refuser.UnreachableServers
	}
	tried := false
	for _, m := range peers {
		if tried {
			f.node.Metrics().Retried(retrier.CauseForward)
		}
		tried = true
		response, o := f.sendToPeer(ctx, c, m)
		if _, ok := o.(retrier.Answered); ok {
			if isMisdirected(response) || hasRefusal(response, refuser.BackendUnreachable) {
				continue
			}
			if hasRefusal(response, refuser.Outdated) {
				reason = refuser.Outdated
				continue
			}
			if isCutOff(response) {
				f.lostPeers.record(f.node.Now(), m.ID, c.service.Spec.Name)
				reason = refuser.UnreachableServers
				continue
			}
			if r := state.Refusal(reason); r.Kind == refuser.OutcomeUnknown && isNotRun(response) {
				// The peer does not know of earlier attempts, which may have run.
				return nil, &r
			}
			return response, nil
		}
		state = state.WithAttempt(o)
		if retrier.MayHaveRun(o) && !c.route.Idempotent {
			return nil, outcomeUnknown(refuser.PeerLost)
		}
	}
	r := state.Refusal(reason)
	if r.Reason == refuser.Outdated {
		r = f.node.OutdatedRefusal()
	}
	return nil, &r
}

// foundNoPeer reports whether a refusal for a reason means that no other member could run
// the request.
func foundNoPeer(reason refuser.Reason) bool {
	return reason == refuser.EntryUnreachable || reason == refuser.UnreachableServers || reason == refuser.Outdated
}

// isNotRun reports whether another entry answered that it did not run the
// request.
func isNotRun(a *sender.Response) bool {
	return !isPassed(a) && strings.HasPrefix(a.Header.Get(refuser.RefusalHeader), string(refuser.NotRun))
}

// isCutOff reports whether another entry declined the request because it reaches no
// server of the service.
func isCutOff(a *sender.Response) bool { return hasRefusal(a, refuser.UnreachableServers) }

// isPassed reports whether a response comes from a backend server.
func isPassed(a *sender.Response) bool { return a.Header.Get(PassedHeader) != "" }

// hasRefusal reports whether another entry refused the request as not run for a reason.
func hasRefusal(a *sender.Response, reason refuser.Reason) bool {
	return !isPassed(a) && a.Header.Get(refuser.RefusalHeader) == refuser.NewNotRun(reason).Header()
}

// isMisdirected reports whether another entry declined the request because it
// is not the one that has to run it.
func isMisdirected(a *sender.Response) bool {
	return hasRefusal(a, refuser.Misdirected)
}
