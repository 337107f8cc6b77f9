package balancer

import (
	"context"
	"time"

	"samphiremux/entry/linkcounter"
	"samphiremux/entry/linkgauger"
	"samphiremux/entry/refuser"
	"samphiremux/entry/roundtripper"
	"samphiremux/entry/snapshotter"
)

// probeResult is the outcome of one probe.
type probeResult struct {
	candidate
	// round is the round in which the probe was started.
	round  int
	health roundtripper.Health
	conn   *roundtripper.Conn
	err    error
	// linkTime is the part of the time that the probe took in which the own link was saturated.
	linkTime time.Duration
}

// probeRounds probes the candidates in rounds, those of the lowest prior cost
// first, until a server is good enough. It picks the server of the lowest cost
// among those that answered.
func (b *Balancer) probeRounds(ctx context.Context, c *call, view *snapshotter.Snapshot, est routeEstimate, candidates []candidate) (*picked, refuser.Reason) {
	var best *picked
	bestCost := 0.0
	reason := refuser.BackendUnreachable
	round := firstRoundProbes
	probed, answers := 0, 0
	probes := b.newProbes(view, c.service, c.deadline.Add(-est.latency))
	defer probes.end()
	for ctx.Err() == nil {
		batch := withoutOpening(candidates[probed:min(len(candidates), c.maxProbes(), probed+round)])
		if len(batch) == 0 && (answers > 0 || !probes.mayAnswer(time.Now())) {
			break
		}
		probed += len(batch)
		c.probes += len(batch)
		c.unreached += len(batch)
		round = nextRoundProbes
		for _, r := range probes.round(ctx, batch) {
			if r.err == nil || responded(r.err) {
				c.unreached--
				answers++
			}
			p, cost, unusable := b.evaluate(c, est, r)
			if unusable != "" {
				reason = unusable
			}
			if p == nil || (best != nil && cost >= bestCost) {
				r.release()
				continue
			}
			if best != nil {
				best.State.Release(best.conn)
			}
			best, bestCost = p, cost
		}
		if best == nil || !best.isGood() {
			continue
		}
		if reason = b.admit(view, best); reason == "" {
			best.probed = probed
			return best, ""
		}
		best.State.Release(best.conn)
		best = nil
	}
	if best == nil {
		if reason == refuser.BackendUnreachable && probes.late.IsInconclusive(time.Now()) {
			reason = refuser.OwnLinkSaturated
		}
		return nil, reason
	}
	if best.busy >= best.Slots && best.expected > b.maxQueueLatency(c) {
		// Every server is full, and the best one would not answer in time.
		best.State.Release(best.conn)
		return nil, refuser.DeadlineTooNear
	}
	if reason = b.admit(view, best); reason != "" {
		best.State.Release(best.conn)
		return nil, reason
	}
	best.probed = probed
	return best, ""
}

// isGood reports whether the server is fast and has a free slot, so that no further one
// needs to be probed.
func (p *picked) isGood() bool { return p.slowness <= goodSlowness && p.busy < p.Slots }

// admit takes the tokens that the attempt needs: of a cold server and of one that states
// a rate limit. Another request of this entry may have taken them since the server was
// evaluated, or the server may have begun to leave or asked for a pause; then it returns
// the reason for a refusal.
func (b *Balancer) admit(view *snapshotter.Snapshot, p *picked) refuser.Reason {
	if reason := unavailable(p.State); reason != "" {
		return reason
	}
	switch {
	case !b.admitCold(view, p):
		return refuser.ColdServers
	case !b.takeRateToken(time.Now(), p.Backend, p.rateLimit):
		return refuser.RateLimitedServers
	}
	return ""
}

// maxQueueLatency returns the expected latency beyond which a request does not
// queue at a full server.
func (b *Balancer) maxQueueLatency(c *call) time.Duration {
	remaining := time.Until(c.deadline)
	if c.route.TargetLatency == 0 {
		return remaining
	}
	return min(remaining, time.Duration(maxQueueObjective*float64(c.route.TargetLatency)))
}

func (r *probeResult) release() {
	if r.err == nil && r.conn != nil {
		r.State.Release(r.conn)
	}
}

// evaluate decides whether a server that was probed may run the request, and at
// what cost. A server that is cold or states a rate limit may only if this entry's
// part of the rate allows a request now. If that is why it may not, unusable is the
// reason for a refusal.
func (b *Balancer) evaluate(c *call, est routeEstimate, r *probeResult) (p *picked, cost float64, unusable refuser.Reason) {
	if reason := unavailable(r.State); reason != "" {
		return nil, 0, reason
	}
	if r.err != nil {
		return nil, 0, ""
	}
	h := r.health
	if !b.hasRateToken(time.Now(), r.Backend, h.RateLimit) {
		return nil, 0, refuser.RateLimitedServers
	}
	slowness, busy := 1.0, r.state.InFlight
	if h.HasLoad {
		slowness, busy = h.Load.Slowness, h.Load.Running+h.Load.Waiting
	}
	cost = b.cost(c, est, r.candidate, slowness, busy)
	if h.ColdRemaining > 0 {
		if !b.hasColdToken(c.view, r.candidate) {
			return nil, 0, refuser.ColdServers
		}
	}
	cost *= b.costFactor(c.view, r.candidate, h.ColdRemaining > 0)
	p = &picked{Backend: r.Backend, conn: r.conn, slowness: slowness, busy: busy, rateLimit: h.RateLimit, beyond: r.isBeyond()}
	p.expected = time.Duration(float64(est.latency) * p.slowdown())
	if r.linkTime > 0 && time.Until(c.deadline) < r.linkTime/2 {
		// The request and its response would wait for the link as the probe did, which may
		// have opened a connection before.
		return nil, 0, refuser.OwnLinkSaturated
	}
	if !b.hasRoom(c, est, p) {
		return nil, 0, refuser.DeadlineTooNear
	}
	return p, cost, ""
}

// probes is the probes of servers of one service for one attempt.
type probes struct {
	balancer *Balancer
	path     string
	results  chan *probeResult
	// pending is the number of probes that have not ended.
	pending int
	rounds  int
	// late is the time for which a first answer counts after the last round. No timeout is
	// extended beyond limit.
	late  linkgauger.Timeout
	limit time.Time
}

// newProbes returns the probes for an attempt that wait for the own link until a time at most.
func (b *Balancer) newProbes(view *snapshotter.Snapshot, service string, limit time.Time) *probes {
	return &probes{
		balancer: b, path: view.Table.Services[service].HealthPath, results: make(chan *probeResult, maxProbes), limit: limit,
		late: b.opts.Link.Start(time.Now(), maxRounds*probeRoundTimeout).WithLimit(limit),
	}
}

// mayAnswer reports whether the answer to a probe may still come in time.
func (p *probes) mayAnswer(now time.Time) bool { return p.pending > 0 && p.late.Remaining(now) > 0 }

// round probes servers concurrently. It returns when all have answered, probeGrace after
// the first response, or after probeRoundTimeout without a response, which is extended while
// the own link is saturated or the process was stalled. Answers to earlier rounds count as
// well. Without servers it waits for those until they are too late.
func (p *probes) round(ctx context.Context, batch []candidate) (results []*probeResult) {
	p.rounds++
	round, awaited := p.rounds, len(batch)
	timeout := p.balancer.opts.Link.Start(time.Now(), probeRoundTimeout).WithLimit(p.limit)
	if awaited == 0 {
		awaited, timeout = p.pending, p.late
	}
	for i := range batch {
		r := &probeResult{candidate: batch[i], round: round}
		go func() {
			p.balancer.probe(ctx, p.path, r)
			p.results <- r
		}()
	}
	p.pending += len(batch)
	limit := time.NewTimer(0)
	defer limit.Stop()
	var due time.Time
	wait := func(d time.Duration) {
		limit.Reset(d)
		due = time.Now().Add(d)
	}
	wait(min(maxRoundStep, timeout.Remaining(time.Now())))
	answered := false
	for awaited > 0 {
		select {
		case r := <-p.results:
			p.pending--
			results = append(results, r)
			if r.round == round || len(batch) == 0 {
				awaited--
			}
			if r.err == nil && !answered {
				answered = true
				wait(probeGrace)
			}
			continue
		case <-limit.C:
			timeout.ObserveTimer(time.Now(), due)
		}
		if rest := timeout.Remaining(time.Now()); rest > 0 && !answered && ctx.Err() == nil {
			wait(min(maxRoundStep, rest))
			continue
		}
		break
	}
	return results
}

// end releases the connections of probes that end later, so that they are reused.
func (p *probes) end() {
	n := p.pending
	go func() {
		for range n {
			r := <-p.results
			r.release()
		}
	}()
}

// probe probes the server of a result and completes the result. It goes on when the request
// ends first, so that servers that do not answer count.
func (b *Balancer) probe(ctx context.Context, path string, r *probeResult) {
	sent := time.Now()
	timeout := b.opts.Link.Start(sent, probeTimeout)
	ctx, cancel := linkcounter.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	r.health, r.conn, r.err = r.State.Probe(ctx, path)
	failure := probeFailure("")
	if r.err != nil {
		failure = failureOf(ctx, timeout, r.err)
	}
	b.observeProbe(r, sent, failure)
	r.linkTime = timeout.SaturatedTime(time.Now())
}

// observeProbe updates the state of a server after a probe that was sent at a time, and
// failed in a way unless the error of the result is nil.
func (b *Balancer) observeProbe(r *probeResult, sent time.Time, failure probeFailure) {
	now := time.Now()
	result := "ok"
	if r.err != nil {
		result = "error"
		b.metrics.failedProbes.With(string(failure)).Inc()
	}
	b.metrics.probes.With(result).Inc()
	switch {
	case failure == probeAtBound, failure == probeOwnLink, failure == probeOwnProcessor:
	case r.err == nil:
		r.State.ObserveProbe(now, sent, r.health)
		b.opts.OnProbe()
		b.observeRateLimit(now, r.Backend, r.health.RateLimit)
		b.observeReached()
	case isWrongInstance(r.err):
		r.State.SetReplaced(now)
		b.observeReached()
	case responded(r.err):
		r.State.Eject(now)
		b.observeReached()
	default:
		r.State.Eject(now)
		b.observeUnreached(r.ID)
	}
}
