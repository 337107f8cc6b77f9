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
	"samphiremux/entry/snapshotter"
)

// Values of the label "result" of requests that are passed on to other entries.
const (
	delegatedResponded = "responded"
	delegatedRefused   = "refused"
	delegatedLost      = "lost"
	delegatedUnreached = "unreached"
)

// unreachedTime is the time for which no requests of a service are taken from other entries
// after its servers were not reached.
const unreachedTime = 300 * time.Millisecond

// hop is what another entry tells of a request that it passes on.
type hop struct {
	// from is the id of that entry.
	from string
	// attempts is the number of attempts that have reached backend servers.
	attempts int
	// configuration is the version of the configuration by which it accepted the
	// request.
	configuration int64
}

// readHop takes the headers of a hop off a request.
func readHop(h http.Header) *hop {
	from := h.Get(delegator.HopHeader)
	attempts, _ := strconv.Atoi(h.Get(delegator.AttemptsHeader))
	configuration, _ := strconv.ParseInt(h.Get(delegator.ConfigurationHeader), 10, 64)
	for _, name := range []string{delegator.HopHeader, delegator.AttemptsHeader, delegator.ConfigurationHeader} {
		h.Del(name)
	}
	return &hop{from: from, attempts: max(0, attempts), configuration: configuration}
}

// ServeDelegated serves the requests and probes of other entries. A request is passed on
// once at most.
func (b *Balancer) ServeDelegated(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == delegator.HealthPath {
		b.serveHealth(w, r)
		return
	}
	h := readHop(r.Header)
	b.metrics.taken.With(strconv.FormatBool(!b.monitor.Isolated())).Inc()
	b.serve(w, r, h)
}

// serveHealth answers the probe of another entry: 200 if this one takes requests.
func (b *Balancer) serveHealth(w http.ResponseWriter, r *http.Request) {
	configuration, _ := strconv.ParseInt(r.URL.Query().Get(delegator.ConfigurationParameter), 10, 64)
	table := b.opts.Snapshot().Table
	w.Header().Set(delegator.EntryHeader, b.opts.Self)
	w.Header().Set("Content-Length", "0")
	if b.monitor.Isolated() || table == nil || table.Version < configuration || b.unreached(r.URL.Query().Get(delegator.ServiceParameter)) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// mayDelegate reports whether a request for which no server was picked may be passed on
// to another entry.
func (b *Balancer) mayDelegate(c *call, reason refuser.Reason) bool {
	if c.hop != nil || b.opts.Delegator == nil {
		return false
	}
	switch reason {
	case refuser.UnreachableServers, refuser.BackendUnreachable:
		return true
	case refuser.DeadlineTooNear, refuser.ColdServers, refuser.RateLimitedServers:
		return c.mostlyUnreached()
	default:
		return false
	}
}

// mostlyUnreached reports whether half of the servers that were probed for the last attempt
// or more could not be reached, so that the others are no measure of the service.
func (c *call) mostlyUnreached() bool { return c.probes > 0 && 2*c.unreached >= c.probes }

// observePick records that no server was picked for a request, if that is because servers
// are not reached. Requests of the service are not taken from other entries for some time.
func (b *Balancer) observePick(c *call, reason refuser.Reason) {
	if reason != refuser.BackendUnreachable && !c.mostlyUnreached() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unreachedUntil[c.service] = time.Now().Add(unreachedTime)
}

// unreached reports whether the servers of a service were not reached lately.
func (b *Balancer) unreached(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.unreachedUntil[service])
}

// delegate passes a request on to another entry, after a reason not to send it to a server
// from here. It reports whether the request may be tried again.
func (b *Balancer) delegate(ctx context.Context, c *call, state *attempts, reason refuser.Reason) (resp *roundtripper.Response, refusal *refuser.Refusal, retry bool) {
	switch result := b.sendToEntry(ctx, c, state.sent).(type) {
	case delegator.Responded:
		c.traceDelegated(result.Entry, delegatedResponded)
		b.metrics.delegated.With(delegatedResponded).Inc()
		c.delegated = result.Entry
		b.setLeaving(c.service, result.Leaving)
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
		retry = c.route.Idempotent && ctx.Err() == nil && time.Now().Before(c.deadline) &&
			state.sent < c.route.MaxAttempts && b.tryWithdraw(c.service)
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
// entry has passed on.
func (b *Balancer) setLeaving(service, id string) {
	for _, srv := range b.opts.Snapshot().Services[service] {
		if id != "" && srv.ID == id {
			srv.State.SetLeaving()
		}
	}
}

// writeHopHeaders adds what another entry is to know of a response that is passed on to it.
func (b *Balancer) writeHopHeaders(c *call, resp *roundtripper.Response) {
	resp.Header.Set(delegator.OutcomeHeader, delegator.Passed)
	resp.Header.Del(delegator.LeavingHeader)
	for _, srv := range c.view.Services[c.service] {
		if srv.ID == c.server && srv.State.Leaving() {
			resp.Header.Set(delegator.LeavingHeader, c.server)
		}
	}
}

// sendToEntry passes a request on that has been sent to servers a number of times.
func (b *Balancer) sendToEntry(ctx context.Context, c *call, sent int) delegator.Result {
	header := c.header.Clone()
	b.opts.Headers.SetDeadline(header, time.Until(c.deadline))
	return b.opts.Delegator.Send(ctx, delegator.Request{
		Request:  roundtripper.Request{Method: c.method, Host: c.host, Target: c.target, Header: header, Body: c.body, ID: c.id},
		Attempts: sent, Configuration: c.view.Table.Version, Service: c.service,
	})
}

// delegateHedge passes on the hedge of an idempotent request. A refusal counts as not sent,
// so that the first attempt decides.
func (b *Balancer) delegateHedge(ctx context.Context, c *call, sent int) attemptResult {
	switch result := b.sendToEntry(ctx, c, sent).(type) {
	case delegator.Responded:
		b.metrics.delegated.With(delegatedResponded).Inc()
		return attemptResult{server: result.Entry, response: result.Response, outcome: retrier.Answered{}}
	case delegator.Lost:
		b.metrics.delegated.With(delegatedLost).Inc()
		return attemptResult{server: result.Entry, outcome: result.Outcome}
	case delegator.Refused:
		b.metrics.delegated.With(delegatedRefused).Inc()
		return attemptResult{server: result.Entry, outcome: retrier.NotSent{Cause: result.Refusal}}
	default:
		b.metrics.delegated.With(delegatedUnreached).Inc()
		return attemptResult{outcome: retrier.NotSent{}}
	}
}

func (c *call) traceDelegated(entry, result string) {
	c.trace.add(Delegated, "entry", entry, "result", result)
}

// ReachesServers reports whether this entry reaches any backend server.
func (b *Balancer) ReachesServers() bool { return !b.monitor.Isolated() }

// observeReached records that a server has responded. If the entry was isolated from the
// servers, all of them may be used again at once.
func (b *Balancer) observeReached() {
	if !b.monitor.ObserveResponse(time.Now()) {
		return
	}
	for _, servers := range b.opts.Snapshot().Services {
		for _, srv := range servers {
			srv.State.Readmit()
		}
	}
	b.opts.Log.Info("Backend servers reached again.")
}

// observeUnreached records that a server could not be connected to or did not answer a
// probe.
func (b *Balancer) observeUnreached(server string) {
	known := 0
	for _, servers := range b.opts.Snapshot().Services {
		known += len(servers)
	}
	if b.monitor.ObserveFailure(time.Now(), server, known) {
		b.opts.Log.Warn("No backend server reached; requests are passed on to other entries.", "servers", known)
	}
}

const (
	// reachInterval is the time between two checks whether an isolated entry reaches a
	// server again, and reachProbes the number of servers that each check probes.
	reachInterval = 200 * time.Millisecond
	reachProbes   = 3
)

// RunReachChecks probes servers while this entry reaches none, until ctx ends.
func (b *Balancer) RunReachChecks(ctx context.Context) {
	t := time.NewTicker(reachInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if b.monitor.Isolated() {
				b.checkReach(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

// checkReach probes servers that are picked at random.
func (b *Balancer) checkReach(ctx context.Context) {
	view := b.opts.Snapshot()
	if view.Table == nil {
		return
	}
	all := b.shuffledServers(view)
	for _, srv := range all[:min(reachProbes, len(all))] {
		if b.isReached(ctx, view, srv) {
			return
		}
	}
}

// isReached reports whether a server responds to a probe within probeRoundTimeout.
func (b *Balancer) isReached(ctx context.Context, view *snapshotter.Snapshot, srv candidate) (reached bool) {
	for _, r := range b.probeRound(ctx, view, srv.Service, []candidate{srv}) {
		r.release()
		reached = reached || r.err == nil || responded(r.err)
	}
	return reached
}

// shuffledServers returns the servers of all services in random order, without those that
// want nothing from this entry.
func (b *Balancer) shuffledServers(view *snapshotter.Snapshot) (all []candidate) {
	now := time.Now()
	for _, servers := range view.Services {
		for _, srv := range servers {
			if unavailable(srv.State) == "" {
				all = append(all, candidate{Backend: srv, state: srv.State.Snapshot(now)})
			}
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}
