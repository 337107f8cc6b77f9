package balancer

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"samphiremux/entry/delegator"
	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
	"samphiremux/entry/roundtripper"
)

// Values of the label "result" of requests that are passed on to other entries.
const (
	delegatedResponded = "responded"
	delegatedRefused   = "refused"
	delegatedLost      = "lost"
	delegatedUnreached = "unreached"
)

// hop is what another entry states about a request that it passes on.
type hop struct {
	// from is the id of that entry.
	from string
	// attempts is the number of attempts that have reached backend servers.
	attempts int
	// configuration is the version of the configuration by which it accepted the
	// request.
	configuration int64
	// trial reports that this entry is to run the request as a trial.
	trial bool
	// counted reports that the other entry has counted the request as run.
	counted bool
	// tell reports the number of attempts to that entry, once another one is about to begin.
	tell func(attempts int)
}

// tellAttempts reports an attempt after the first of this entry, which needs no report, to
// the entry that passed the request on.
func (c *call) tellAttempts(attempts int) {
	if c.hop != nil && attempts > c.hop.attempts+1 {
		c.hop.tell(attempts)
	}
}

// readHop takes the headers of a hop off a request.
func readHop(h http.Header) *hop {
	from := h.Get(delegator.HopHeader)
	attempts, _ := strconv.Atoi(h.Get(delegator.AttemptsHeader))
	configuration, _ := strconv.ParseInt(h.Get(delegator.ConfigurationHeader), 10, 64)
	trial, counted := h.Get(delegator.TrialHeader) != "", h.Get(delegator.CountedHeader) != ""
	for _, name := range []string{delegator.HopHeader, delegator.AttemptsHeader, delegator.ConfigurationHeader, delegator.TrialHeader, delegator.CountedHeader} {
		h.Del(name)
	}
	return &hop{from: from, attempts: max(0, attempts), configuration: configuration, trial: trial, counted: counted}
}

// ServeDelegated serves the requests and probes of other entries. A request is passed on
// once at most.
func (b *Balancer) ServeDelegated(w http.ResponseWriter, r *http.Request) {
	if delegator.IsProbe(r) {
		BoundWrite(w)
		b.serveHealth(w, r)
		return
	}
	h := readHop(r.Header)
	h.tell = func(attempts int) {
		BoundWrite(w)
		w.Header().Set(delegator.AttemptsHeader, strconv.Itoa(attempts))
		w.WriteHeader(http.StatusProcessing)
		w.Header().Del(delegator.AttemptsHeader)
	}
	b.metrics.taken.With(strconv.FormatBool(!b.monitor.Isolated())).Inc()
	b.serve(w, r, h)
}

// serveHealth answers the probe of another entry: 200 if this one takes requests.
func (b *Balancer) serveHealth(w http.ResponseWriter, r *http.Request) {
	configuration, _ := strconv.ParseInt(r.URL.Query().Get(delegator.ConfigurationParameter), 10, 64)
	table := b.opts.Snapshot().Table
	w.Header().Set(delegator.EntryHeader, b.opts.Self)
	w.Header().Set("Content-Length", "0")
	reached := b.reachOf(r.URL.Query().Get(delegator.ServiceParameter))
	if b.monitor.Isolated() || table == nil || table.Version < configuration || reached == delegator.ReachNone {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(delegator.ReachHeader, string(reached))
	w.WriteHeader(http.StatusOK)
}

// mayDelegate reports whether a request for which no server was picked may be passed on
// to another entry.
func (b *Balancer) mayDelegate(c *call, reason refuser.Reason) bool {
	if c.hop != nil || b.opts.Delegator == nil {
		return false
	}
	switch reason {
	case refuser.UnreachableServers, refuser.BackendUnreachable, refuser.OwnLinkSaturated:
		return true
	case refuser.DeadlineTooNear, refuser.ColdServers, refuser.RateLimitedServers:
		return c.mostlyUnreached()
	default:
		return false
	}
}

// delegate passes a request on to another entry, after a reason not to send it to a server
// from here. It reports whether the request may be tried again.
func (b *Balancer) delegate(ctx context.Context, c *call, state *attempts, reason refuser.Reason) (resp *roundtripper.Response, refusal *refuser.Refusal, retry bool) {
	return b.conclude(ctx, c, state, b.sendToEntry(ctx, c, state.sent, reason), reason)
}

// conclude concludes from the result of passing a request on, as delegate does.
func (b *Balancer) conclude(ctx context.Context, c *call, state *attempts, result delegator.Result, reason refuser.Reason) (resp *roundtripper.Response, refusal *refuser.Refusal, retry bool) {
	switch result := result.(type) {
	case delegator.Responded:
		c.traceDelegated(result.Entry, delegatedResponded)
		b.metrics.delegated.With(delegatedResponded).Inc()
		c.delegated = result.Entry
		return result.Response, nil, false
	case delegator.Refused:
		c.traceDelegated(result.Entry, result.Refusal.Header())
		b.metrics.delegated.With(delegatedRefused).Inc()
		if result.Refusal.Kind == refuser.OutcomeUnknown {
			return nil, &result.Refusal, false
		}
		told := state.refusal(result.Refusal.Reason).WithRetryAt(result.Refusal.RetryAt)
		return nil, &told, false
	case delegator.Lost:
		c.traceDelegated(result.Entry, outcomeName(result.Outcome))
		b.metrics.delegated.With(delegatedLost).Inc()
		state.add(result.Outcome)
		state.sent = max(state.sent, result.Attempts)
		retry = c.route.Idempotent && ctx.Err() == nil && time.Now().Before(c.deadline) &&
			state.sent < c.route.MaxAttempts && b.tryWithdraw(c)
		if retry {
			b.metrics.retries.With(causeOf(attemptResult{outcome: result.Outcome})).Inc()
		}
		return nil, state.refusal(""), retry
	default:
		c.traceDelegated("", delegatedUnreached)
		b.metrics.delegated.With(delegatedUnreached).Inc()
		return nil, state.refusal(reason), false
	}
}

// setLeaving records that a server of a service is shutting down by a response that another
// entry has passed on. It says nothing of a later incarnation.
func (b *Balancer) setLeaving(service string, leaving delegator.LeavingServer) {
	for _, srv := range b.opts.Snapshot().Services[service] {
		if srv.ID == leaving.ID && srv.Incarnation <= leaving.Incarnation {
			srv.State.ObserveNotice(roundtripper.Leaving{})
		}
	}
}

// writeHopHeaders adds the headers between entries to a response that is passed on.
func (b *Balancer) writeHopHeaders(c *call, resp *roundtripper.Response) {
	resp.Header.Set(delegator.OutcomeHeader, delegator.Passed)
	resp.Header.Del(delegator.LeavingHeader)
	if c.backend.State != nil && c.backend.State.Leaving() {
		resp.Header.Set(delegator.LeavingHeader, delegator.LeavingServer{ID: c.backend.ID, Incarnation: c.backend.Incarnation}.Header())
	}
}

// sendToEntry passes a request on that has been sent to servers a number of times, after a
// reason not to send it to another one from here. It records what the response says of the
// server.
func (b *Balancer) sendToEntry(ctx context.Context, c *call, sent int, reason refuser.Reason) delegator.Result {
	r := b.delegatedRequest(c, sent)
	r.ReachesNone = reason == refuser.UnreachableServers || reason == refuser.BackendUnreachable || reason == refuser.OwnLinkSaturated
	result := b.opts.Delegator.Send(ctx, r)
	c.observeCount(result)
	if responded, ok := result.(delegator.Responded); ok {
		b.setLeaving(c.service, responded.Leaving)
	}
	return result
}

// delegatedRequest returns a request to pass on that has been sent to servers a number of
// times.
func (b *Balancer) delegatedRequest(c *call, sent int) delegator.Request {
	header := c.header.Clone()
	b.opts.Headers.SetDeadline(header, time.Until(c.deadline))
	b.setCredentials(header, c.identity)
	return delegator.Request{
		Request:  roundtripper.Request{Method: c.method, Host: c.host, Target: c.target, Header: header, Body: c.body, ID: c.id, Memory: c.responses},
		Attempts: sent, Configuration: c.view.Table.Version, Service: c.service, Counted: c.hasCounted(),
	}
}

// delegateHedge passes on the hedge of an idempotent request. A refusal as not run counts as
// not sent, so that the first attempt decides.
func (b *Balancer) delegateHedge(ctx context.Context, c *call, sent int, reason refuser.Reason) attemptResult {
	switch result := b.sendToEntry(ctx, c, sent, reason).(type) {
	case delegator.Responded:
		b.metrics.delegated.With(delegatedResponded).Inc()
		return attemptResult{server: result.Entry, response: result.Response, outcome: retrier.Answered{}, attempts: result.Attempts}
	case delegator.Lost:
		b.metrics.delegated.With(delegatedLost).Inc()
		return attemptResult{server: result.Entry, outcome: result.Outcome, attempts: result.Attempts}
	case delegator.Refused:
		b.metrics.delegated.With(delegatedRefused).Inc()
		if result.Refusal.Kind == refuser.OutcomeUnknown {
			return attemptResult{server: result.Entry, outcome: retrier.ConnectionLost{Cause: result.Refusal}, attempts: result.Attempts}
		}
		return attemptResult{server: result.Entry, outcome: retrier.NotSent{Cause: result.Refusal}}
	default:
		b.metrics.delegated.With(delegatedUnreached).Inc()
		return attemptResult{outcome: retrier.NotSent{}}
	}
}

func (c *call) traceDelegated(entry, result string) {
	c.trace.add(Delegated, "entry", entry, "result", result)
}
