package balancer

import (
	"context"
	"sync/atomic"
	"time"

	"samphiremux/entry/hedger"
	"samphiremux/entry/meter"
	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
)

const (
	// hedgeRatio is the multiple of the expected latency after which an
	// idempotent request is hedged to a second server, if no hedge limit is set. An
	// attempt that is cancelled later than that counts as a failure of its server.
	hedgeRatio = 2.0
	// hedgeObjective is the fraction of the target latency that must have
	// passed as well, if no hedge limit is set.
	hedgeObjective = 0.5
	// limitedHedgeLooks is how often a server is sought for a hedge if a limit is set. Noisy
	// neighbours come and go within half a second, so that a second look can find one.
	limitedHedgeLooks = 2
)

// hedgeMetrics holds the metrics of hedges. The counters show the results of hedges that
// were sent and the reasons for which hedges were not sent.
type hedgeMetrics struct {
	results *meter.CounterVec
	skipped *meter.CounterVec
	// evidence counts the attempts whose hedge became due by evidence.
	evidence *meter.CounterVec
	// wasted is the time in nanoseconds of attempts whose responses were not used.
	wasted *atomic.Int64
}

// Values of the label "result" of hedges.
const (
	hedgeWon  = "won"
	hedgeLost = "lost"
)

func newHedgeMetrics(r *meter.Registry) hedgeMetrics {
	m := hedgeMetrics{
		results:  r.CounterVec("hedges_total", "Hedged requests, by whether the response to the hedge was used.", "result"),
		skipped:  r.CounterVec("skipped_hedges_total", "Hedges that were due and not sent, by reason.", "reason"),
		evidence: r.CounterVec("hedge_evidence_total", "Attempts whose hedge became due because their server had become slow or was gone, by evidence.", "evidence"),
		wasted:   &atomic.Int64{},
	}
	for _, result := range []string{hedgeWon, hedgeLost} {
		m.results.With(result)
	}
	for _, reason := range hedger.Reasons() {
		m.skipped.With(string(reason))
	}
	for _, kind := range hedger.EvidenceKinds() {
		m.evidence.With(string(kind))
	}
	r.Gauge("hedge_wasted_seconds_total", "Time of attempts of hedged requests whose responses were not used.", func() float64 {
		return time.Duration(m.wasted.Load()).Seconds()
	})
	return m
}

// hedgeDue returns when an attempt is hedged.
func (b *Balancer) hedgeDue(c *call, a hedger.Attempt) time.Time {
	if b.hedger == nil {
		byObjective := time.Duration(hedgeObjective * float64(c.route.TargetLatency))
		return a.Sent.Add(max(byObjective, time.Duration(hedgeRatio*float64(a.Expected))))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hedger.DueAt(a)
}

// describeAttempt describes an attempt to the hedger.
func (b *Balancer) describeAttempt(c *call, p *picked, sent time.Time) hedger.Attempt {
	a := hedger.Attempt{
		Service: c.service, Route: c.route.Name, Sent: sent, Expected: p.expected,
		Usual: b.estimate(c.route.Name).latency, Slowness: p.slowness, Deadline: c.deadline,
	}
	if c.route.TargetLatency > 0 {
		a.Objective = c.arrived.Add(c.route.TargetLatency)
	}
	return a
}

// maxHedgeLooks returns how often a server is sought for the hedge of one attempt.
func (b *Balancer) maxHedgeLooks() int {
	if b.hedger == nil {
		return 1
	}
	return limitedHedgeLooks
}

// hedge picks a second server for an attempt and returns the function that sends the request there. If
// this entry reaches no server, the hedge is passed on to another entry. It returns nil if
// the route allows no further attempt, if the server is full or too slow, or if the retry
// budget or the operators' limit is used up.
func (b *Balancer) hedge(ctx context.Context, c *call, state *attempts, first hedger.Attempt) (send sendFunc) {
	send, reason := b.admitHedge(ctx, c, state, first)
	if send == nil {
		b.metrics.hedges.skipped.With(string(reason)).Inc()
		if b.hedger != nil {
			c.trace.add(HedgeSkipped, "reason", string(reason))
		}
	}
	return send
}

// admitHedge is hedge with the reason if there is none.
func (b *Balancer) admitHedge(ctx context.Context, c *call, state *attempts, first hedger.Attempt) (send sendFunc, reason hedger.Reason) {
	if c.trial || state.sent+2 > c.route.MaxAttempts {
		return nil, hedger.AttemptsUsed
	}
	if !b.mayHedge(c) {
		return nil, hedger.KeyRevoked
	}
	if skip, ok := b.checkHedgeLimit(first).(hedger.Skip); ok {
		return nil, skip.Reason
	}
	p, cause := b.pick(ctx, c)
	if p == nil {
		if !b.mayDelegate(c, cause) {
			return nil, hedger.NoServer
		}
		if reason = b.takeHedge(c); reason != "" {
			return nil, reason
		}
		sent := state.sent + 1
		// The attempt that is running here may have run, and the other entry is not to count it too.
		b.countRun(c, time.Now(), retrier.TimedOut{})
		return func(ctx context.Context) attemptResult { return b.delegateHedge(ctx, c, sent, cause) }, ""
	}
	if ctx.Err() != nil || !b.suitsHedge(p) || !b.mayHedge(c) {
		p.release()
		return nil, hedger.NoServer
	}
	if reason = b.takeHedge(c); reason != "" {
		p.release()
		return nil, reason
	}
	c.tried[p.ID] = true
	b.observeChosen(c, Hedged, p)
	c.tellAttempts(state.sent + 2)
	return func(ctx context.Context) attemptResult { return b.send(ctx, c, p) }, ""
}

// checkHedgeLimit returns whether the operators' limit allows a hedge of an attempt now.
func (b *Balancer) checkHedgeLimit(first hedger.Attempt) hedger.Verdict {
	if b.hedger == nil {
		return hedger.Hedge{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hedger.AdmitFor(time.Now(), first)
}

// suitsHedge reports whether a hedge may go to a server. Without a limit, cold servers and
// those that state a rate limit may get one if this entry has a token.
func (b *Balancer) suitsHedge(p *picked) bool {
	t := hedger.Target{FreeSlots: p.Slots - p.busy, Slowness: p.slowness}
	if b.hedger != nil {
		t.Cold, t.RateLimited = p.cold != nil, p.rateLimit.Stated
	}
	return t.Suits()
}

// takeHedge takes a hedge from the retry budget of the service and from the operators'
// limit. It returns the reason if either is used up.
func (b *Balancer) takeHedge(c *call) hedger.Reason {
	if !b.tryWithdraw(c) {
		return hedger.BudgetSpent
	}
	if b.hedger == nil {
		return ""
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hedger.Take(c.service) {
		return hedger.LimitReached
	}
	return ""
}

// observeHedgeable counts a request in the share of its service that may be hedged.
func (b *Balancer) observeHedgeable(service string) {
	if b.hedger == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedger.ObserveRequest(service)
}

// observeShortage records that no server was picked for a request of a service, if that is
// for lack of capacity.
func (b *Balancer) observeShortage(service string, reason refuser.Reason) {
	if b.hedger == nil || !isShortage(reason) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedger.ObserveShortage(time.Now(), service)
}

// isShortage reports whether a refusal is due to a lack of capacity.
func isShortage(reason refuser.Reason) bool {
	switch reason {
	case refuser.DeadlineTooNear, refuser.ColdServers, refuser.RateLimitedServers, refuser.PausedServers, refuser.BackendShedding:
		return true
	default:
		return false
	}
}

// observeHedgeRatio records the latency of an attempt relative to the expected one. For an
// attempt that was cancelled it is a lower bound; without those the slowest responses, which
// are hedged, would be missing.
func (b *Balancer) observeHedgeRatio(now time.Time, route string, ratio float64) {
	if b.hedger == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedger.ObserveLatency(now, route, ratio)
}

// countHedged counts the result of an attempt that was hedged, and the time of the attempt
// that is cancelled while it runs.
func (b *Balancer) countHedged(used attemptResult, begun []time.Time, running int) {
	if len(begun) < 2 {
		return
	}
	result := hedgeLost
	if used.index > 0 {
		result = hedgeWon
	}
	b.metrics.hedges.results.With(result).Inc()
	if running > 0 {
		b.metrics.hedges.wasted.Add(int64(time.Since(begun[1-used.index])))
	}
}
