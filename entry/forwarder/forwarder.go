// Package forwarder serves callers: it takes in a request, finds the entry and
// the backend server for it, and passes on the whole answer or a refusal.
package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/quarantiner"
	"samphiremux/entry/reconciler"
	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
	"samphiremux/entry/sanitizer"
	"samphiremux/entry/sender"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/parser"
)

// Headers between callers, entries and backend servers.
const (
	// DeadlineHeader carries the absolute deadline in milliseconds of Unix time.
	DeadlineHeader = "Samphire-Deadline"
	// AttemptHeader carries the number of the attempt that a layer makes, from 1.
	AttemptHeader = "Samphire-Attempt"
	// HopHeader marks a request that another entry passed on.
	HopHeader = "Samphire-Hop"
	// IdempotencyKeyHeader carries the caller's idempotency key.
	IdempotencyKeyHeader = "Idempotency-Key"
	// RequestIDHeader carries the caller's id of the request, for its logs.
	RequestIDHeader = "X-Request-Id"
)

// maxBodyBytes is the largest request body that is taken in.
const maxBodyBytes = 1 << 20

// Notifier passes what this entry found to the other entries of a service.
type Notifier interface {
	NotifySuspect(service string, f quarantiner.Fingerprint, deaths int)
}

// Forwarder answers callers. It is an http.Handler.
type Forwarder struct {
	node    *reconciler.Node
	servers *sender.Sender
	peers   *sender.Sender
	teller  Notifier
	log     hclog.Logger
	// prefix makes attempt ids unique over entries and restarts.
	prefix   string
	attempts atomic.Uint64
}

// New returns a forwarder that sends to backend servers and to other entries.
func New(n *reconciler.Node, servers, peers *sender.Sender, t Notifier, log hclog.Logger) *Forwarder {
	self := n.Self()
	return &Forwarder{
		node: n, servers: servers, peers: peers, teller: t, log: log, prefix: self.ID + "." + self.Incarnation + ".",
	}
}

// call is one request in work.
type call struct {
	service  *reconciler.Service
	route    parser.Route
	caller   string
	deadline time.Time
	outer    int
	hop      bool
	key      string
	method   string
	uri      string
	header   http.Header
	body     []byte
	print    quarantiner.Fingerprint
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := f.node.Now()
	if id := r.Header.Get(sender.AttemptIDHeader); id != "" && r.Header.Get(HopHeader) != "" {
		w.Header().Set(sender.AttemptIDHeader, id)
	}
	c, refusal := f.intake(r, arrived)
	if refusal != nil {
		f.refuse(w, "", *refusal)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.deadline.Sub(arrived))
	defer cancel()
	answer, refusal := f.serve(ctx, c)
	name := c.service.Declared.Name
	f.node.Metrics().Latency.WithLabelValues(name).Observe(f.node.Now().Sub(arrived).Seconds())
	if refusal != nil {
		f.refuse(w, name, *refusal)
		return
	}
	f.pass(w, name, answer)
}

func (f *Forwarder) refuse(w http.ResponseWriter, service string, r refuser.Refusal) {
	f.node.Metrics().Refused(r)
	f.node.Metrics().Requests.WithLabelValues(service, string(r.Kind)).Inc()
	r.Write(w)
}

// intake reads a request and checks its bounds.
func (f *Forwarder) intake(r *http.Request, now time.Time) (c *call, refusal *refuser.Refusal) {
	snapshot := f.node.Snapshot()
	if snapshot == nil {
		return nil, notRun(refuser.NoDocument)
	}
	name, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		name = r.Host
	}
	service, ok := snapshot.Services[name]
	if !ok {
		return nil, notRun(refuser.NoSuchService)
	}
	route, ok := service.Declared.Route(r.Method, r.URL.Path)
	if !ok {
		return nil, notRun(refuser.NoSuchRoute)
	}
	c = &call{
		service: service, route: route, caller: callerOf(r), deadline: now.Add(route.TimeLimit), outer: 1,
		hop: r.Header.Get(HopHeader) != "", method: r.Method, uri: r.URL.RequestURI(), header: cleanHeader(r.Header),
	}
	if !route.Idempotent {
		c.key = r.Header.Get(IdempotencyKeyHeader)
	}
	if refusal := c.readLimits(r.Header, now); refusal != nil {
		return nil, refusal
	}
	c.body, err = io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	switch {
	case err != nil:
		return nil, notRun(refuser.CallerDisconnected)
	case len(c.body) > maxBodyBytes:
		return nil, notRun(refuser.BodyTooLarge)
	}
	c.print = quarantiner.FingerprintOf(name, c.method, c.uri, c.body)
	return c, nil
}

func notRun(reason refuser.Reason) *refuser.Refusal {
	r := refuser.NewNotRun(reason)
	return &r
}

func unknown(reason refuser.Reason) *refuser.Refusal {
	r := refuser.NewOutcomeUnknown(reason)
	return &r
}

// readLimits follows the deadline and attempt number that an outer layer gave.
func (c *call) readLimits(h http.Header, now time.Time) *refuser.Refusal {
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
		c.outer = n
	}
	if !now.Before(c.deadline) {
		return notRun(refuser.DeadlinePassed)
	}
	return nil
}

func callerOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// cleanHeader returns the headers that pass on, without those between entries.
func cleanHeader(h http.Header) http.Header {
	return sanitizer.StripHopByHop(h, HopHeader, sender.AttemptIDHeader)
}

// serve finds the entry that has to run the request.
func (f *Forwarder) serve(ctx context.Context, c *call) (*sender.Response, *refuser.Refusal) {
	switch {
	case c.key != "":
		return f.serveKeyed(ctx, c)
	case !c.service.InSubset || c.service.Dispatcher == nil:
		if c.hop {
			return nil, notRun(refuser.Misdirected)
		}
		return f.passOn(ctx, c, c.service.Subset)
	case !c.hop && f.unready(c):
		if answer, refusal := f.passOn(ctx, c, c.service.Subset); refusal == nil || refusal.Reason != refuser.EntryUnreachable {
			return answer, refusal
		}
	}
	return f.run(ctx, c)
}

// unready tells whether this entry has joined the subset but holds no grants
// yet, while another member may.
func (f *Forwarder) unready(c *call) bool {
	return len(c.service.Subset) > 1 && c.service.Dispatcher.Capacity() == 0
}

// message returns the request for a backend server or another entry.
func (f *Forwarder) message(c *call, attempt int) sender.Request {
	h := c.header.Clone()
	h.Set(DeadlineHeader, strconv.FormatInt(c.deadline.UnixMilli(), 10))
	h.Set(AttemptHeader, strconv.Itoa(attempt))
	return sender.Request{
		Method: c.method, Host: c.service.Declared.Name, URI: c.uri, Header: h, Body: c.body,
		AttemptID:  f.prefix + strconv.FormatUint(f.attempts.Add(1), 10),
		Idempotent: c.route.Idempotent,
	}
}

// pass writes an answer to the caller. A streamed answer that ends early ends
// the caller's connection, so that it is never taken as whole.
func (f *Forwarder) pass(w http.ResponseWriter, service string, a *sender.Response) {
	f.node.Metrics().Requests.WithLabelValues(service, strconv.Itoa(a.Status/100)+"xx").Inc()
	h := w.Header()
	own := h.Get(sender.AttemptIDHeader)
	for name, values := range cleanHeader(a.Header) {
		h[name] = values
	}
	if own != "" {
		h.Set(sender.AttemptIDHeader, own)
	}
	if a.Remainder == nil {
		if a.Header.Get("Content-Length") == "" || len(a.Body) > 0 {
			h.Set("Content-Length", strconv.Itoa(len(a.Body)))
		}
		w.WriteHeader(a.Status)
		_, _ = w.Write(a.Body)
		return
	}
	defer a.Remainder.Close()
	w.WriteHeader(a.Status)
	if err := stream(w, a); err != nil {
		f.node.Metrics().CutStreams.Inc()
		f.log.Warn("Streamed answer ended early.", "service", service, "error", err)
		panic(http.ErrAbortHandler)
	}
}

func stream(w io.Writer, a *sender.Response) error {
	if _, err := w.Write(a.Body); err != nil {
		return err
	}
	_, err := io.Copy(w, a.Remainder)
	return err
}

// passOn sends the request to another entry that may run it.
func (f *Forwarder) passOn(ctx context.Context, c *call, members []tracker.Member) (answer *sender.Response, refusal *refuser.Refusal) {
	tried := false
	state := retrier.Request{Idempotent: c.route.Idempotent, Deadline: c.deadline, OuterAttempt: c.outer}
	for _, m := range f.usable(members) {
		if tried {
			f.node.Metrics().Retried(retrier.CauseForward)
		}
		tried = true
		answer, o := f.sendToPeer(ctx, c, m)
		if _, ok := o.(retrier.Answered); ok {
			if isMisdirected(answer) {
				continue
			}
			if r := state.Refusal(refuser.EntryUnreachable); r.Kind == refuser.OutcomeUnknown && isNotRun(answer) {
				// The other entry knows nothing of the attempts before its own.
				return nil, &r
			}
			return answer, nil
		}
		state = state.WithAttempt(o)
		if retrier.MayHaveRun(o) && !c.route.Idempotent {
			return nil, unknown(refuser.PeerLost)
		}
	}
	r := state.Refusal(refuser.EntryUnreachable)
	return nil, &r
}

// isNotRun tells whether another entry answered that it did not run the request.
func isNotRun(a *sender.Response) bool {
	return strings.HasPrefix(a.Header.Get(refuser.RefusalHeader), string(refuser.NotRun))
}

func isMisdirected(a *sender.Response) bool {
	return a.Header.Get(refuser.RefusalHeader) == refuser.NewNotRun(refuser.Misdirected).Header()
}
