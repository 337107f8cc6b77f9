// Package balancer serves callers' requests: it finds the route, asks a few
// backend servers how they do just before the send, picks the one that is
// expected to answer first, and tries again where that is safe.
package balancer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/chooser"
	"samphiremux/entry/estimator"
	"samphiremux/entry/meter"
	"samphiremux/entry/quarantiner"
	"samphiremux/entry/snapshotter"
	"samphiremux/entry/throttler"
)

// Headers are the names that callers and backend servers use in headers, and the
// formats of what they hold.
type Headers struct {
	RequestID string
	// Instance names the server that a request is meant for.
	Instance      string
	ReadDeadline  func(http.Header) (time.Duration, bool)
	SetDeadline   func(http.Header, time.Duration)
	SetRetryAfter func(http.Header, time.Duration)
}

// Limits bounds the repetitions of a service over all entries together.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Options are what a balancer needs.
type Options struct {
	Domain  string
	Policy  chooser.Policy
	Headers Headers
	// RetryLimits returns the bounds in force.
	RetryLimits func() Limits
	// View returns what is known now.
	View func() *snapshotter.Snapshot
	// EntryCount returns the number of entries that share limits with this one.
	EntryCount func() int
	// OnAttempt hears how each attempt ended. It may be nil.
	OnAttempt func(Attempt)
	// NotifySuspect tells the other entries that a server died under a request. It
	// may be nil.
	NotifySuspect func(service string, print quarantiner.Fingerprint, deaths int)
	// Metrics takes the counters of the request path. It may be nil.
	Metrics *meter.Registry
	Log     hclog.Logger
}

// Attempt is one finished attempt, for the comparison of versions.
type Attempt struct {
	Service string
	Version string
	Route   string
	Server  string
	// LatencyRatio is the latency relative to what the route usually takes on a server
	// of that slowness.
	LatencyRatio float64
	Failed       bool
}

// Balancer is the handler of callers' requests.
type Balancer struct {
	o      Options
	counts counts

	mu      sync.Mutex
	rng     *rand.Rand
	chooser *chooser.Chooser
	budgets map[string]*throttler.RetryBudget
	routes  map[string]*usual
	draws   map[string]float64
	// badLines and goodLines bound what is logged of requests.
	badLines  allowance
	goodLines allowance
	// suspects is empty for services whose servers have not died under a
	// request.
	suspects map[string]*quarantiner.Suspects
}

// usual is what a route usually takes.
type usual struct {
	// latency is that of an unloaded server without neighbours.
	latency estimator.MeanLatency
	bytes   float64
}

// New returns a balancer.
func New(o Options, rng *rand.Rand) *Balancer {
	if o.OnAttempt == nil {
		o.OnAttempt = func(Attempt) {}
	}
	if o.NotifySuspect == nil {
		o.NotifySuspect = func(string, quarantiner.Fingerprint, int) {}
	}
	if o.Metrics == nil {
		o.Metrics = meter.New()
	}
	return &Balancer{
		o: o, counts: newCounts(o.Metrics), rng: rng, chooser: chooser.New(o.Policy, rng),
		badLines: allowance{perSecond: badLines}, goodLines: allowance{perSecond: goodLines},
		budgets: map[string]*throttler.RetryBudget{}, routes: map[string]*usual{}, draws: map[string]float64{}, suspects: map[string]*quarantiner.Suspects{},
	}
}

// deadlineSlack lets a server's own answer at the deadline come through.
const deadlineSlack = 20 * time.Millisecond

// ServeHTTP implements http.Handler.
func (s *Balancer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, refusal := s.receive(w, r)
	if refusal != nil {
		s.refuse(w, r, *refusal, &trail{})
		return
	}
	c.noteReceived()
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline.Add(deadlineSlack))
	defer cancel()
	answer, refusal := s.run(ctx, c)
	if refusal != nil {
		s.refuse(w, r, *refusal, &c.trail)
		return
	}
	c.trail.add(Answered, "status", answer.Status, "took-ms", time.Since(c.arrived).Milliseconds())
	s.answered(c, answer.Status)
	s.flush(c.id, &c.trail, c.good(answer.Status))
	s.pass(w, answer)
}
