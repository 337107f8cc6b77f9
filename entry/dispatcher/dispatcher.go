// Package dispatcher gives the requests of one service to its backend servers.
// It holds what one entry knows of them, and queues requests while every quota
// is used.
package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"samphiremux/entry/chooser"
	"samphiremux/entry/estimator"
	"samphiremux/entry/limiter"
	"samphiremux/entry/quarantiner"
	"samphiremux/entry/queuer"
	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
)

const (
	// hedgeQuantile is the latency quantile after which a request may be sent to
	// a second server, if the first shows other signs of slowness.
	hedgeQuantile = 80
	// hedgeSlowness is the slowness, by other requests, that is such a sign.
	hedgeSlowness = 1.5
	// hedgeAnyway is the age, in hedge delays, from which no other sign is needed.
	hedgeAnyway = 1.6
	// hedgeSamples is the number of answers needed to know the quantile.
	hedgeSamples = 100
	// hedgeUnknown is the hedge delay, in mean latencies, while the quantile is
	// not known.
	hedgeUnknown = 8
	// hedgeRefresh is the time between two readings of the quantile.
	hedgeRefresh = 100 * time.Millisecond
	// sampleGap is the time between two attempts at a server that are compared
	// with those of another version.
	sampleGap = 100 * time.Millisecond
	// histogramLife is the time that one of the two histogram windows covers.
	histogramLife     = 3 * time.Second
	maxLatency        = time.Minute
	histogramFigures  = 2
	histogramWindows  = 2
	minLatencyMeasure = 1
)

// VersionWeight is the part of requests that a version gets, between 0 and 1.
type VersionWeight struct {
	Version string
	Weight  float64
}

// Plan is what the dispatcher follows. It is immutable.
type Plan struct {
	Placements []Placement
	// Versions lists the weights. The first is the one that takes over when
	// another has no free server.
	Versions []VersionWeight
	// RouteWeights overrides the weight of the second version by route.
	RouteWeights map[string]float64
	RetryBudget  float64
}

// Request is what the dispatcher needs to know of a request.
type Request struct {
	Route      string
	Caller     string
	Importance int
	Deadline   time.Time
	// AvoidServer names a server that an earlier attempt used.
	AvoidServer string
}

// Dispatcher is the state of one service at one entry. Its methods may be
// called concurrently.
type Dispatcher struct {
	id  string
	now func() time.Time

	mu        sync.Mutex
	rng       *rand.Rand
	chooser   *chooser.Chooser
	plan      Plan
	servers   []*server
	byName    map[string]*server
	mean      estimator.MeanLatency
	queues    map[string]*queuer.Queue
	budget    *retrier.Budget
	suspects  *quarantiner.Suspects
	latencies *hdrhistogram.WindowedHistogram
	rotated   time.Time
	hedgeAt   time.Duration
	hedgeRead time.Time
	answers   int
	observer  Observer
}

// Observer hears how each attempt ended, with the dispatcher's lock held.
type Observer interface {
	Observe(now time.Time, a Attempt)
}

// Attempt is one finished attempt.
type Attempt struct {
	Server  string
	Version string
	Route   string
	Latency time.Duration
	Failed  bool
	// Sampled tells that the attempt was chosen for comparisons when it was sent.
	Sampled bool
	// OnlyInFlight tells that the server had no other request of this entry then.
	OnlyInFlight bool
	// Abandoned tells that the answer was not awaited.
	Abandoned bool
}

// New returns a dispatcher without servers. Id names the entry.
func New(id string, p chooser.Policy, rng *rand.Rand, now func() time.Time, o Observer) *Dispatcher {
	return &Dispatcher{
		id: id, now: now, rng: rng, observer: o,
		chooser:  chooser.New(p, rng),
		byName:   map[string]*server{},
		queues:   map[string]*queuer.Queue{},
		budget:   retrier.NewBudget(0),
		suspects: quarantiner.New(),
		rotated:  now(),
		latencies: hdrhistogram.NewWindowed(histogramWindows, minLatencyMeasure,
			maxLatency.Microseconds(), histogramFigures),
	}
}

// Update follows a new plan. Servers that stay keep what is known of them.
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
	for _, place := range p.Placements {
		name := place.Server.Name
		s, ok := d.byName[name]
		if !ok || s.place.Server.Address != place.Server.Address {
			s = &server{allotment: limiter.NewAllotment(now)}
		} else {
			s.replaced(now, place)
		}
		s.place = place
		next[name] = s
		d.servers = append(d.servers, s)
	}
	d.byName = next
	d.drain(now)
}

// replaced adapts a kept server to its new placement.
func (s *server) replaced(now time.Time, place Placement) {
	if s.place.Holders != place.Holders || s.place.Rank != place.Rank || s.place.Owner != place.Owner {
		s.allotment = s.allotment.WithSubsetChange(now)
	}
	if s.place.DomainOut && !place.DomainOut {
		s.allotment = limiter.NewAllotment(now)
		s.coldSign = true
		s.failures, s.ejections, s.ejectedUntil = 0, 0, time.Time{}
	}
}

// Permit is the right to send one attempt to a server. It must be ended by Done
// or Abandon.
type Permit struct {
	Server  Placement
	Request Request

	start   time.Time
	owner   *Dispatcher
	state   *server
	sampled bool
	alone   bool
}

// Acquire waits for a server. It ends with a refusal if none is free in time.
func (d *Dispatcher) Acquire(ctx context.Context, r Request) (t *Permit, refusal *refuser.Refusal) {
	d.mu.Lock()
	now := d.now()
	version := d.draw(r.Route)
	t, waitable := d.take(now, r, &version)
	if t != nil {
		d.mu.Unlock()
		return t, nil
	}
	if !waitable {
		d.mu.Unlock()
		return nil, refusalOf(refuser.NoBackendServer)
	}
	done := make(chan result, 1)
	it := &queuer.Item{Caller: r.Caller, Importance: r.Importance, Deadline: r.Deadline}
	it.OnReady = func() { done <- result{ticket: d.ready(r, version)} }
	q := d.queue(version)
	if reason, ok := q.Push(now, it, d.load(now, version)); !ok {
		d.mu.Unlock()
		return nil, refusalOf(reason)
	}
	d.mu.Unlock()
	return d.await(ctx, q, it, r.Deadline, done)
}

type result struct{ ticket *Permit }

func refusalOf(reason refuser.Reason) *refuser.Refusal {
	r := refuser.NewNotRun(reason)
	return &r
}

func (d *Dispatcher) await(ctx context.Context, q *queuer.Queue, it *queuer.Item, deadline time.Time, done <-chan result) (*Permit, *refuser.Refusal) {
	timer := time.NewTimer(deadline.Sub(d.now()))
	defer timer.Stop()
	reason := refuser.DeadlinePassed
	select {
	case res := <-done:
		if res.ticket != nil {
			return res.ticket, nil
		}
	case <-ctx.Done():
		reason = refuser.CallerDisconnected
	case <-timer.C:
	}
	d.mu.Lock()
	removed := q.Remove(it)
	d.mu.Unlock()
	if !removed {
		select {
		case res := <-done:
			if res.ticket != nil {
				res.ticket.Abandon()
			}
		default:
		}
	}
	return nil, refusalOf(reason)
}

func (d *Dispatcher) queue(version string) *queuer.Queue {
	q, ok := d.queues[version]
	if !ok {
		q = queuer.New()
		d.queues[version] = q
	}
	return q
}

// draw picks the version for a request.
func (d *Dispatcher) draw(route string) string {
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

// take sends a request to a free server of its version, or else of the first
// version, to which it then belongs.
func (d *Dispatcher) take(now time.Time, r Request, version *string) (t *Permit, waitable bool) {
	t, waitable = d.choose(now, r, *version)
	if t != nil || len(d.plan.Versions) == 0 || *version == d.plan.Versions[0].Version {
		return t, waitable
	}
	first := d.plan.Versions[0].Version
	t, firstWaitable := d.choose(now, r, first)
	if t != nil || firstWaitable {
		*version = first
		return t, true
	}
	return nil, waitable
}

// choose sends a request to a server of a version. It also tells whether any
// server of it may become free.
func (d *Dispatcher) choose(now time.Time, r Request, version string) (t *Permit, waitable bool) {
	candidates := d.candidates(now, version, r.AvoidServer)
	i, ok := d.chooser.Choose(candidates)
	if !ok {
		return nil, len(candidates) > 0
	}
	return d.issue(now, d.servers[candidates[i].Index], r), true
}

func (d *Dispatcher) issue(now time.Time, s *server, r Request) *Permit {
	t := &Permit{Server: s.place, Request: r, start: now, owner: d, state: s, alone: len(s.starts) == 0}
	if !now.Before(s.sampleFrom) {
		t.sampled = true
		s.sampleFrom = now.Add(sampleGap)
	}
	s.begin(now)
	return t
}

// candidates lists the servers that may get work. Ejected servers count only if
// no other is left.
func (d *Dispatcher) candidates(now time.Time, version, avoid string) []chooser.Candidate {
	all := make([]chooser.Candidate, 0, len(d.servers))
	var ejected, avoided []chooser.Candidate
	mean := d.mean.Value()
	for i, s := range d.servers {
		if s.place.Server.Version != version || s.leaving() {
			continue
		}
		c := s.candidate(now, i, mean)
		switch {
		case s.ejected(now):
			ejected = append(ejected, c)
		case s.place.Server.Name == avoid:
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

// load returns the capacity that the queue of a version waits for.
func (d *Dispatcher) load(now time.Time, version string) queuer.Load {
	capacity := 0
	mean := d.mean.Value()
	for _, s := range d.servers {
		if s.place.Server.Version == version && !s.leaving() && !s.ejected(now) {
			capacity += s.quota(now, s.speed.Value(now, mean, s.starts))
		}
	}
	return queuer.Load{Capacity: capacity, MeanServiceTime: mean}
}

// Capacity returns the requests that this entry may have in flight now.
func (d *Dispatcher) Capacity() (capacity int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, v := range d.plan.Versions {
		capacity += d.load(now, v.Version).Capacity
	}
	return capacity
}

// ready gives a waiting request its server. The lock is held.
func (d *Dispatcher) ready(r Request, version string) *Permit {
	t, _ := d.choose(d.now(), r, version)
	return t
}

// drain serves waiting requests while servers are free. The lock is held.
func (d *Dispatcher) drain(now time.Time) {
	for version, q := range d.queues {
		for q.Len() > 0 {
			candidates := d.candidates(now, version, "")
			if !anyFree(candidates) {
				break
			}
			// Expired requests are answered by their own timers.
			it := q.Pop(now, func(*queuer.Item) {})
			if it == nil {
				break
			}
			it.OnReady()
		}
	}
}

func anyFree(candidates []chooser.Candidate) bool {
	for _, c := range candidates {
		if c.InFlight < c.Quota {
			return true
		}
	}
	return false
}

// AcquireHedge returns a permit at another server with a free slot, if the budget
// allows. Baseline policies do not hedge.
func (d *Dispatcher) AcquireHedge(t *Permit) (*Permit, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !chooser.Coordinated(d.chooser.Policy()) {
		return nil, false
	}
	now := d.now()
	if !d.overdue(now, t) {
		return nil, false
	}
	var spare []chooser.Candidate
	for _, c := range d.candidates(now, t.Server.Server.Version, t.Server.Server.Name) {
		if float64(c.InFlight) < c.SlotShare && c.InFlight < c.Quota && d.servers[c.Index] != t.state {
			spare = append(spare, c)
		}
	}
	i, ok := d.chooser.Choose(spare)
	if !ok || !d.budget.TryWithdraw() {
		return nil, false
	}
	second := d.issue(now, d.servers[spare[i].Index], t.Request)
	// The request is known to be long, so it says nothing about its version.
	second.sampled = false
	return second, true
}

// overdue tells whether a request is late enough for a hedge. The older it is,
// the less other evidence of a slow server is needed.
func (d *Dispatcher) overdue(now time.Time, t *Permit) bool {
	if float64(now.Sub(t.start)) >= hedgeAnyway*float64(d.hedgeAt) {
		return true
	}
	others := make([]time.Time, 0, len(t.state.starts))
	for _, start := range t.state.starts {
		if !start.Equal(t.start) {
			others = append(others, start)
		}
	}
	return t.state.speed.Value(now, d.mean.Value(), others) >= hedgeSlowness
}

// HedgeDelay returns the time after which an unanswered request may be sent to
// a second server.
func (d *Dispatcher) HedgeDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if d.answers < hedgeSamples {
		return hedgeUnknown * d.mean.Value()
	}
	if now.Sub(d.hedgeRead) >= hedgeRefresh {
		d.hedgeRead = now
		d.hedgeAt = time.Duration(d.latencies.Merge().ValueAtQuantile(hedgeQuantile)) * time.Microsecond
	}
	return d.hedgeAt
}

// Done ends the attempt. FailedAnswer tells that the answer was an error of the
// server.
func (t *Permit) Done(o retrier.Outcome, failedAnswer bool) {
	d := t.owner
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	t.state.end(t.start)
	t.state.learn(now, t.start, o, failedAnswer, d.mean.Value())
	_, answered := o.(retrier.Answered)
	latency := now.Sub(t.start)
	if answered && !failedAnswer {
		d.mean.Add(latency)
		d.record(now, latency)
	}
	t.observe(now, failedAnswer || (!answered && retrier.MayHaveRun(o)), false)
	d.drain(now)
}

func (t *Permit) observe(now time.Time, failed, abandoned bool) {
	if t.owner.observer == nil {
		return
	}
	t.owner.observer.Observe(now, Attempt{
		Server: t.Server.Server.Name, Version: t.Server.Server.Version, Route: t.Request.Route,
		Latency: now.Sub(t.start), Failed: failed, Sampled: t.sampled, OnlyInFlight: t.alone, Abandoned: abandoned,
	})
}

func (d *Dispatcher) record(now time.Time, latency time.Duration) {
	if now.Sub(d.rotated) >= histogramLife {
		d.latencies.Rotate()
		d.rotated = now
	}
	d.answers++
	_ = d.latencies.Current.RecordValue(min(max(latency, time.Microsecond), maxLatency).Microseconds())
}

// Abandon ends an attempt that was not sent, or whose answer is no longer
// needed. The time that a cancelled attempt took is a lower bound of its latency.
func (t *Permit) Abandon() {
	d := t.owner
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	t.state.end(t.start)
	if mean := d.mean.Value(); now.Sub(t.start) > mean {
		t.state.speed.Add(now, now.Sub(t.start), mean)
	}
	t.observe(now, false, true)
	d.drain(now)
}
