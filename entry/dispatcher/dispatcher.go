// Package dispatcher assigns the requests of one service to its backend servers. It
// holds what one entry knows of the servers, and queues requests while all quotas
// are used up.
package dispatcher

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"samphiremux/entry/chooser"
	"samphiremux/entry/detector"
	"samphiremux/entry/estimator"
	"samphiremux/entry/limiter"
	"samphiremux/entry/quarantiner"
	"samphiremux/entry/queuer"
	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
	"samphiremux/entry/throttler"
)

const (
	// hedgeQuantile is the latency percentile after which a request may be hedged,
	// that is, sent to a second server, if the first shows other signs of slowness.
	hedgeQuantile = 80
	// hedgeSlowness is the slowness of the first server, judged by its other
	// requests, that is such a sign.
	hedgeSlowness = 1.5
	// hedgeAgeFactor is the age, in hedge delays, from which a request may be hedged
	// without another sign.
	hedgeAgeFactor = 1.6
	// hedgeSamples is the number of responses needed for an estimate of the percentile.
	hedgeSamples = 100
	// hedgeDefaultFactor is the hedge delay, in mean latencies, while the percentile
	// is not known.
	hedgeDefaultFactor = 8
	// hedgeRefresh is the time between two readings of the percentile.
	hedgeRefresh = 100 * time.Millisecond
	// sampleGap is the minimum time between two attempts at a server that are
	// sampled for comparison with another version.
	sampleGap = 100 * time.Millisecond
	// histogramWindowLength is the time that one of the histogram's windows covers.
	histogramWindowLength = 3 * time.Second
	// maxLatency is the largest latency that the histogram records.
	maxLatency = time.Minute
	// histogramDigits is the number of significant digits of a recorded latency.
	histogramDigits        = 2
	histogramWindows       = 2
	minLatencyMicroseconds = 1
)

// VersionWeight is the share of requests for a version, between 0 and 1.
type VersionWeight struct {
	Version string
	Weight  float64
}

// Plan is the configuration of a dispatcher. It is immutable.
type Plan struct {
	Placements []Placement
	// Versions lists the weights. Requests fall back to the first version if another
	// has no free server.
	Versions []VersionWeight
	// RouteWeights overrides the weight of the second version by route.
	RouteWeights map[string]float64
	// RetryBudget is the share of first attempts that retries and hedges may add.
	RetryBudget float64
}

// Request is what the dispatcher needs to know about a request.
type Request struct {
	Route      string
	Caller     string
	Importance int
	Deadline   time.Time
	// AvoidServer names a server that an earlier attempt used. It is chosen only if
	// no other server is left that is not ejected.
	AvoidServer string
	// NoWait states that the request must not wait in the queue.
	NoWait bool
}

// Dispatcher is the state of one service at one entry. Its methods may be called
// concurrently.
type Dispatcher struct {
	id  string
	now func() time.Time

	mu      sync.Mutex
	rng     *rand.Rand
	chooser *chooser.Chooser
	plan    Plan
	servers []*server
	byName  map[string]*server
	// pauses holds the pauses of servers by address, also of those that are not in the plan.
	pauses map[netip.AddrPort]*throttler.Pause
	mean   estimator.MeanLatency
	// queues holds the queued requests by version.
	queues    map[string]*queuer.Queue
	budget    *retrier.Budget
	suspects  *quarantiner.Suspects
	latencies *hdrhistogram.WindowedHistogram
	rotatedAt time.Time
	// hedgeDelay is the last reading of the percentile, or zero before the first.
	hedgeDelay  time.Duration
	hedgeReadAt time.Time
	// responses counts the successful responses since the start.
	responses int
	observer  Observer
	contact   *detector.Contact
	// onDoubt is called when a check of the contact becomes due. It may be nil.
	onDoubt func()
	// unserved is true if requests went to other entries since the last report, since
	// this one holds no grants.
	unserved bool
}

// Observer is notified how each attempt ended. Observe is called with the
// dispatcher's lock held.
type Observer interface {
	Observe(now time.Time, a Attempt)
}

// Attempt is a finished attempt.
type Attempt struct {
	Server  string
	Version string
	Route   string
	Latency time.Duration
	Failed  bool
	// Sampled is true if the attempt was chosen for comparison when it was sent.
	Sampled bool
	// OnlyInFlight is true if the server had no other request of this entry when
	// the attempt was sent.
	OnlyInFlight bool
	// Censored is true if the attempt ended without waiting for its response.
	Censored bool
}

// New returns a dispatcher without servers. Id is the id of the entry.
func New(id string, p chooser.Policy, rng *rand.Rand, now func() time.Time, o Observer) *Dispatcher {
	return &Dispatcher{
		id: id, now: now, rng: rng, observer: o,
		chooser:   chooser.New(p, rng),
		byName:    map[string]*server{},
		pauses:    map[netip.AddrPort]*throttler.Pause{},
		queues:    map[string]*queuer.Queue{},
		budget:    retrier.NewBudget(0),
		suspects:  quarantiner.New(),
		contact:   detector.New(now()),
		rotatedAt: now(),
		latencies: hdrhistogram.NewWindowed(histogramWindows, minLatencyMicroseconds,
			maxLatency.Microseconds(), histogramDigits),
	}
}

// Update applies a new plan. A server that stays at its address keeps its state.
func (d *Dispatcher) Update(p Plan) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if d.plan.RetryBudget == 0 && p.RetryBudget > 0 {
		d.budget = retrier.NewBudget(p.RetryBudget)
	}
	d.budget = d.budget.WithShare(p.RetryBudget)
	d.plan = p
	d.servers = d.servers[:0]
	next := map[string]*server{}
	for _, placement := range p.Placements {
		name := placement.Server.Name
		s, ok := d.byName[name]
		if !ok || s.placement.Server.Address != placement.Server.Address {
			s = &server{allotment: limiter.NewAllotment(now), pause: d.pauseOf(placement.Server.Address)}
		} else {
			s.updatePlacement(now, placement)
		}
		s.placement = placement
		next[name] = s
		d.servers = append(d.servers, s)
	}
	d.byName = next
	d.forgetPauses(now)
	d.drainQueues(now)
}

// updatePlacement adapts a kept server to its new placement. The floor is invalid
// for a while if the subset changed. A server whose failure domain came back
// starts with fresh state and is suspected to be cold.
func (s *server) updatePlacement(now time.Time, placement Placement) {
	if s.placement.Holders != placement.Holders || s.placement.Rank != placement.Rank || s.placement.Owner != placement.Owner {
		s.allotment = s.allotment.WithSubsetChange(now)
	}
	if s.placement.DomainOut && !placement.DomainOut {
		s.allotment = limiter.NewAllotment(now)
		s.suspectCold, s.suspectedAt = true, time.Time{}
		s.failures, s.ejections, s.ejectedUntil = 0, 0, time.Time{}
	}
}

// Permit is the right to send one attempt to a server. Its holder must call Done or
// Abandon.
type Permit struct {
	Server  Placement
	Request Request

	start      time.Time
	dispatcher *Dispatcher
	state      *server
	// sampled and onlyInFlight are reported in the Attempt.
	sampled      bool
	onlyInFlight bool
}

// Acquire waits for a server and returns the permit for it. It returns a refusal if
// no server is free before the request's deadline or ctx ends, or if the queue does
// not admit the request.
func (d *Dispatcher) Acquire(ctx context.Context, r Request) (p *Permit, refusal *refuser.Refusal) {
	d.mu.Lock()
	now := d.now()
	version := d.drawVersion(r.Route)
	p, waitable := d.chooseWithFallback(now, r, &version)
	if p != nil {
		d.mu.Unlock()
		return p, nil
	}
	if !waitable {
		refusal = d.noServerRefusal(now, version)
		d.mu.Unlock()
		return nil, refusal
	}
	if r.NoWait {
		d.unserved = true
		d.mu.Unlock()
		return nil, refusalOf(refuser.UnreachableServers)
	}
	done := make(chan result, 1)
	item := &queuer.Item{Caller: r.Caller, Importance: r.Importance, Deadline: r.Deadline}
	item.OnReady = func() { done <- d.serveQueued(r, version) }
	q := d.queue(version)
	if reason, ok := q.Push(now, item, d.load(now, version)); !ok {
		d.mu.Unlock()
		return nil, refusalOf(reason)
	}
	silent := d.contact.Silent()
	d.mu.Unlock()
	return d.await(ctx, q, item, r.Deadline, done, silent)
}

// result is the permit for a queued request, or nil if the chooser found no server. Then
// refusal says why, if the servers pause.
type result struct {
	permit  *Permit
	refusal *refuser.Refusal
}

// refusalOf returns the refusal of a request that did not run.
func refusalOf(reason refuser.Reason) *refuser.Refusal {
	r := refuser.NewNotRun(reason)
	return &r
}

// await waits for the permit of a queued request. A permit that arrives together
// with the deadline, the end of ctx or the loss of contact with the servers is
// abandoned.
func (d *Dispatcher) await(
	ctx context.Context, q *queuer.Queue, item *queuer.Item, deadline time.Time, done <-chan result, silent <-chan struct{},
) (*Permit, *refuser.Refusal) {
	timer := time.NewTimer(deadline.Sub(d.now()))
	defer timer.Stop()
	reason := refuser.DeadlinePassed
	select {
	case res := <-done:
		if res.permit != nil || res.refusal != nil {
			return res.permit, res.refusal
		}
	case <-ctx.Done():
		reason = refuser.CallerDisconnected
	case <-silent:
		reason = refuser.UnreachableServers
	case <-timer.C:
	}
	d.mu.Lock()
	removed := q.Remove(item)
	d.mu.Unlock()
	if !removed {
		select {
		case res := <-done:
			if res.permit != nil {
				res.permit.Abandon()
			}
		default:
		}
	}
	return nil, refusalOf(reason)
}

// queue returns the queue of a version, and creates it if there is none.
func (d *Dispatcher) queue(version string) *queuer.Queue {
	q, ok := d.queues[version]
	if !ok {
		q = queuer.New()
		d.queues[version] = q
	}
	return q
}

// drawVersion picks the version for a request at random by weight.
func (d *Dispatcher) drawVersion(route string) string {
	u := d.rng.Float64()
	for i := len(d.plan.Versions) - 1; i > 0; i-- {
		weight := d.plan.Versions[i].Weight
		if w, ok := d.plan.RouteWeights[route]; ok && i == 1 {
			weight = w
		}
		if u < weight {
			return d.plan.Versions[i].Version
		}
		u -= weight
	}
	if len(d.plan.Versions) == 0 {
		return ""
	}
	return d.plan.Versions[0].Version
}

// chooseWithFallback returns a permit at a free server of a version, or else of the
// first version, and then sets version to it. Waitable reports whether the
// request may wait for a server of the resulting version.
func (d *Dispatcher) chooseWithFallback(now time.Time, r Request, version *string) (p *Permit, waitable bool) {
	p, waitable = d.choose(now, r, *version)
	if p != nil || len(d.plan.Versions) == 0 || *version == d.plan.Versions[0].Version {
		return p, waitable
	}
	first := d.plan.Versions[0].Version
	p, firstWaitable := d.choose(now, r, first)
	if p != nil || firstWaitable {
		*version = first
		return p, true
	}
	return nil, waitable
}

// choose returns a permit at a free server of a version. Waitable reports whether
// any server of the version may become free.
func (d *Dispatcher) choose(now time.Time, r Request, version string) (p *Permit, waitable bool) {
	candidates := d.candidates(now, version, r.AvoidServer)
	i, ok := d.chooser.Choose(candidates)
	if !ok {
		return nil, len(candidates) > 0
	}
	return d.issue(now, d.servers[candidates[i].Index], r), true
}

// issue returns a permit and counts its attempt as in flight.
func (d *Dispatcher) issue(now time.Time, s *server, r Request) *Permit {
	p := &Permit{Server: s.placement, Request: r, start: now, dispatcher: d, state: s, onlyInFlight: len(s.starts) == 0}
	if !now.Before(s.sampleFrom) {
		p.sampled = true
		s.sampleFrom = now.Add(sampleGap)
	}
	s.begin(now)
	return p
}

// candidates lists the servers of a version that may get a request, without those
// that are leaving or pause. The server to avoid is listed only if no other is left, and
// ejected servers only if no server is left that is not ejected.
func (d *Dispatcher) candidates(now time.Time, version, avoid string) []chooser.Candidate {
	all := make([]chooser.Candidate, 0, len(d.servers))
	var ejected, avoided []chooser.Candidate
	mean := d.mean.Value()
	for i, s := range d.servers {
		if s.placement.Server.Version != version || s.leaving() || s.paused(now) {
			continue
		}
		c := s.candidate(now, i, mean)
		switch {
		case s.ejected(now):
			ejected = append(ejected, c)
		case s.placement.Server.Name == avoid:
			avoided = append(avoided, c)
		default:
			all = append(all, c)
		}
	}
	if len(all) > 0 {
		return all
	}
	if len(avoided) > 0 {
		return avoided
	}
	return ejected
}

// load returns the capacity and mean latency of the servers that the queue of a
// version waits for.
func (d *Dispatcher) load(now time.Time, version string) queuer.Load {
	capacity := 0
	mean := d.mean.Value()
	for _, s := range d.servers {
		if s.placement.Server.Version == version && !s.leaving() && !s.paused(now) && !s.ejected(now) {
			capacity += s.quota(now, s.slowness.Value(now, mean, s.starts))
		}
	}
	return queuer.Load{Capacity: capacity, MeanServiceTime: mean}
}

// Capacity returns the number of requests that this entry may have in flight now.
func (d *Dispatcher) Capacity() (capacity int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, v := range d.plan.Versions {
		capacity += d.load(now, v.Version).Capacity
	}
	return capacity
}

// serveQueued returns the permit for a queued request, or its refusal if all servers pause.
// The lock must be held.
func (d *Dispatcher) serveQueued(r Request, version string) result {
	now := d.now()
	if d.allPaused(now, version) {
		return result{refusal: d.noServerRefusal(now, version)}
	}
	p, _ := d.choose(now, r, version)
	return result{permit: p}
}

// drainQueues serves queued requests while servers are free, and refuses them if all
// servers pause. The lock must be held.
func (d *Dispatcher) drainQueues(now time.Time) {
	for version, q := range d.queues {
		for q.Len() > 0 {
			candidates := d.candidates(now, version, "")
			if !anyFree(candidates) && !d.allPaused(now, version) {
				break
			}
			// The timer of an expired request refuses it.
			item := q.Pop(now, func(*queuer.Item) {})
			if item == nil {
				break
			}
			item.OnReady()
		}
	}
}

// anyFree reports whether a candidate is below its quota.
func anyFree(candidates []chooser.Candidate) bool {
	for _, c := range candidates {
		if c.InFlight < c.Quota {
			return true
		}
	}
	return false
}

// AcquireHedge returns a permit at another server with a free slot for a request
// that is slow at its first server. It reports false if the request is not overdue,
// no other server is free, or the retry budget is spent. Baseline policies do not
// hedge.
func (d *Dispatcher) AcquireHedge(p *Permit) (*Permit, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !chooser.Coordinated(d.chooser.Policy()) {
		return nil, false
	}
	now := d.now()
	if !d.overdue(now, p) {
		return nil, false
	}
	var spare []chooser.Candidate
	for _, c := range d.candidates(now, p.Server.Server.Version, p.Server.Server.Name) {
		if float64(c.InFlight) < c.SlotShare && c.InFlight < c.Quota && d.servers[c.Index] != p.state {
			spare = append(spare, c)
		}
	}
	i, ok := d.chooser.Choose(spare)
	if !ok || !d.budget.TryWithdraw() {
		return nil, false
	}
	second := d.issue(now, d.servers[spare[i].Index], p.Request)
	// The request is known to be slow, so its latency says nothing about the version.
	second.sampled = false
	return second, true
}

// overdue reports whether a request is late enough for a hedge. From hedgeAgeFactor
// hedge delays on, its age suffices; before that, the other requests at the server
// must show that it is slow. While the percentile is unknown, any age suffices.
func (d *Dispatcher) overdue(now time.Time, p *Permit) bool {
	if float64(now.Sub(p.start)) >= hedgeAgeFactor*float64(d.hedgeDelay) {
		return true
	}
	others := make([]time.Time, 0, len(p.state.starts))
	for _, start := range p.state.starts {
		if !start.Equal(p.start) {
			others = append(others, start)
		}
	}
	return p.state.slowness.Value(now, d.mean.Value(), others) >= hedgeSlowness
}

// HedgeDelay returns the time after which an unanswered request may be hedged.
func (d *Dispatcher) HedgeDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if d.responses < hedgeSamples {
		return hedgeDefaultFactor * d.mean.Value()
	}
	if now.Sub(d.hedgeReadAt) >= hedgeRefresh {
		d.hedgeReadAt = now
		d.hedgeDelay = time.Duration(d.latencies.Merge().ValueAtQuantile(hedgeQuantile)) * time.Microsecond
	}
	return d.hedgeDelay
}

// Done ends the attempt. FailedResponse is true if the server returned an error.
func (p *Permit) Done(o retrier.Outcome, failedResponse bool) {
	d := p.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	p.state.end(p.start)
	d.recordContact(now, o)
	blameless := d.blameless(p.start, o)
	if !blameless {
		p.state.recordOutcome(now, p.start, o, failedResponse, d.mean.Value())
	}
	_, answered := o.(retrier.Answered)
	latency := now.Sub(p.start)
	if answered && !failedResponse {
		d.mean.Add(latency)
		d.recordLatency(now, latency)
	}
	p.observe(now, failedResponse || (!answered && !blameless && retrier.MayHaveRun(o)), blameless)
	d.drainQueues(now)
}

// observe passes the finished attempt to the observer, if there is one.
func (p *Permit) observe(now time.Time, failed, abandoned bool) {
	if p.dispatcher.observer == nil {
		return
	}
	p.dispatcher.observer.Observe(now, Attempt{
		Server: p.Server.Server.Name, Version: p.Server.Server.Version, Route: p.Request.Route,
		Latency: now.Sub(p.start), Failed: failed, Sampled: p.sampled, OnlyInFlight: p.onlyInFlight, Censored: abandoned,
	})
}

// recordLatency adds a latency to the histogram and rotates its windows.
func (d *Dispatcher) recordLatency(now time.Time, latency time.Duration) {
	if now.Sub(d.rotatedAt) >= histogramWindowLength {
		d.latencies.Rotate()
		d.rotatedAt = now
	}
	d.responses++
	_ = d.latencies.Current.RecordValue(min(max(latency, time.Microsecond), maxLatency).Microseconds())
}

// Abandon ends an attempt that was not sent or whose response is no longer needed. The
// time that a cancelled attempt took is a lower bound of its latency, so it counts
// as evidence of slowness if it is above the mean.
func (p *Permit) Abandon() {
	d := p.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	p.state.end(p.start)
	if mean := d.mean.Value(); now.Sub(p.start) > mean {
		p.state.slowness.Add(now, now.Sub(p.start), mean)
	}
	p.observe(now, false, true)
	d.drainQueues(now)
}
