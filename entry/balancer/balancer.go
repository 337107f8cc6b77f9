// Package balancer serves callers' requests. It matches the route, probes a few
// backend servers just before the send, picks the one with the lowest expected
// latency, and retries or hedges where that is safe.
package balancer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/bodyreader"
	"samphiremux/entry/chooser"
	"samphiremux/entry/delegator"
	"samphiremux/entry/estimator"
	"samphiremux/entry/hedger"
	"samphiremux/entry/linkgauger"
	"samphiremux/entry/meter"
	"samphiremux/entry/monitor"
	"samphiremux/entry/quarantiner"
	"samphiremux/entry/refuser"
	"samphiremux/entry/reserver"
	"samphiremux/entry/roundtripper"
	"samphiremux/entry/snapshotter"
	"samphiremux/entry/throttler"
	"samphiremux/pkg/placer"
)

// Headers holds the header names that callers and backend servers use, and the
// functions that read and write their values.
type Headers struct {
	RequestID string
	// Instance names the server instance for which a request is meant.
	Instance      string
	ReadDeadline  func(http.Header) (time.Duration, bool)
	SetDeadline   func(http.Header, time.Duration)
	SetRetryAfter func(http.Header, time.Duration)
	// Key names the header with the caller's API key, which ReadKey reads. Servers do not
	// get it while the configuration has workspaces. Both are unset if there are no keys.
	Key     string
	ReadKey func(http.Header) (key string, ok bool)
	// Workspace names the header with the workspace of a request, for servers.
	Workspace string
	// SetChallenge adds to a response how to send a key. It may be nil.
	SetChallenge func(http.Header)
}

// Limits bounds the retries of a service over all entries together: Ratio
// retries per first send plus Slack further retries, within a sliding Window.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Options configures a Balancer.
type Options struct {
	// Self is the id of this entry.
	Self    string
	Domain  string
	Policy  chooser.Policy
	Headers Headers
	// RetryLimits returns the current retry limits.
	RetryLimits func() Limits
	// Snapshot returns the current snapshot.
	Snapshot func() *snapshotter.Snapshot
	// Outdated reports whether a newer configuration than the current one may exist. It
	// may be nil.
	Outdated func() bool
	// EntryCount returns the number of entries that share the limits, this one
	// included.
	EntryCount func() int
	// Rank returns the position of this entry, from 0, in the order of the entries for
	// a server, and the number of entries. Entries that know the same entries agree on
	// the order, which differs from server to server.
	Rank func(server string) (rank, entries int)
	// Entries returns the entries that use the servers, this one included. If it is nil, the
	// balancer uses all servers of a service alike, and no subset of them.
	Entries func() []placer.Member
	// Settled reports whether this entry and the others know one another. Only then does it
	// send requests to cold servers and to those that state a rate limit. It may be nil if
	// that is always so.
	Settled func() bool
	// Resumed reports whether the others have counted this entry since its previous process,
	// so that it takes part in a share of the rates of cold servers before it is settled. It
	// may be nil if that is never so.
	Resumed func() bool
	// FirstEntries returns the ids of the first n entries, in the order for a key, of those
	// that callers may be directed to. It may be nil if there is only this entry.
	FirstEntries func(key string, n int) []string
	// MayTake reports whether a request with this deadline may still be passed on. It may
	// be nil.
	MayTake func(deadline time.Time) bool
	// IdleTimeout returns the time after which callers' idle connections are closed. It may
	// be nil.
	IdleTimeout func() time.Duration
	// OnAttempt is called with each attempt that was sent, once it has ended. It
	// may be nil.
	OnAttempt func(Attempt)
	// OnRun is called once for each request of a workspace, when its first attempt that may
	// have run has ended or has run for long, with the time at which that began. The function
	// that it returns is called if the request was refused as not run after all, and reports
	// whether the request is certainly not counted then. It may be nil.
	OnRun func(workspace string, begun time.Time) (reverse func() (certain bool))
	// OnProbe is called when a backend server has answered a probe, and OnResponse when its
	// response has been passed on. They may be nil.
	OnProbe, OnResponse func()
	// NotifySuspect notifies the other entries that a backend server crashed while
	// it ran a request, how many crashes this entry has seen for it, and the attempt at
	// the last of them. Zero crashes clear the request. It may be nil.
	NotifySuspect func(service string, fingerprint quarantiner.Fingerprint, crashes int, last quarantiner.Attempt)
	// Bodies bounds the memory of request bodies and of responses that callers read slowly.
	// Nil means that it is not bounded.
	Bodies *reserver.Reserver
	// Delegator passes requests on to other entries while this one reaches no backend
	// server. It may be nil.
	Delegator *delegator.Delegator
	// Link gauges the own link of this entry. Nil means that it is never saturated.
	Link *linkgauger.Gauger
	// Metrics registers the metrics of the request path. It may be nil.
	Metrics *meter.Registry
	Log     hclog.Logger
}

// Attempt is a finished attempt, for the comparison of versions during a
// version move.
type Attempt struct {
	Service string
	Version string
	Route   string
	Server  string
	// LatencyRatio is the latency relative to the expected latency of the route
	// on a server of that slowness and load.
	LatencyRatio float64
	Failed       bool
}

// Balancer is the http.Handler of callers' requests.
type Balancer struct {
	opts    Options
	metrics metrics
	monitor monitor.Monitor

	mu      sync.Mutex
	rng     *rand.Rand
	chooser *chooser.Chooser
	budgets map[string]*throttler.RetryBudget
	routes  map[string]*routeStats
	draws   map[string]float64
	// badLines and goodLines limit the rate of log lines about requests that
	// went wrong and that went well.
	badLines  lineBucket
	goodLines lineBucket
	// suspects has no element for a service until one of its servers crashes
	// under a request.
	suspects map[string]*quarantiner.Suspects
	// hedger is nil if no limit of hedges is set.
	hedger *hedger.Hedger
	// reaches holds which servers of each service were reached lately.
	reaches map[string]reach
	// workspaceLabels holds the workspaces that have a counter of their own.
	workspaceLabels map[string]bool
	// subsets holds the subset of each service that has more than a few servers.
	subsets map[string]*serviceSubset
	// queueing is as in EnableQueueing.
	queueing bool
	// shortage has a lock of its own, which is taken before mu.
	shortage shortage
	// refusalLog belongs to the goroutine that calls LogRefusals.
	refusalLog refusalLog
}

// routeStats holds the running means of a route's responses.
type routeStats struct {
	// latency is the mean latency, normalized to an idle server without noisy
	// neighbours.
	latency estimator.MeanLatency
	// responseBytes is the mean size of the response bodies.
	responseBytes float64
}

// New returns a balancer that draws its random numbers from rng.
func New(opts Options, rng *rand.Rand) *Balancer {
	if opts.OnAttempt == nil {
		opts.OnAttempt = func(Attempt) {}
	}
	if opts.OnRun == nil {
		opts.OnRun = func(string, time.Time) func() bool { return func() bool { return true } }
	}
	if opts.MayTake == nil {
		opts.MayTake = func(time.Time) bool { return true }
	}
	if opts.OnProbe == nil {
		opts.OnProbe = func() {}
	}
	if opts.OnResponse == nil {
		opts.OnResponse = func() {}
	}
	if opts.Settled == nil {
		opts.Settled = func() bool { return true }
	}
	if opts.Resumed == nil {
		opts.Resumed = func() bool { return false }
	}
	if opts.FirstEntries == nil {
		opts.FirstEntries = func(string, int) []string { return []string{opts.Self} }
	}
	if opts.NotifySuspect == nil {
		opts.NotifySuspect = func(string, quarantiner.Fingerprint, int, quarantiner.Attempt) {}
	}
	if opts.Headers.ReadKey == nil {
		opts.Headers.ReadKey = func(http.Header) (string, bool) { return "", false }
	}
	if opts.Headers.SetChallenge == nil {
		opts.Headers.SetChallenge = func(http.Header) {}
	}
	if opts.Metrics == nil {
		opts.Metrics = meter.New()
	}
	b := &Balancer{
		opts: opts, metrics: newMetrics(opts.Metrics), rng: rng, chooser: chooser.New(opts.Policy, rng),
		badLines: lineBucket{perSecond: badLinesPerSecond}, goodLines: lineBucket{perSecond: goodLinesPerSecond},
		budgets: map[string]*throttler.RetryBudget{}, routes: map[string]*routeStats{}, draws: map[string]float64{}, suspects: map[string]*quarantiner.Suspects{},
		reaches: map[string]reach{}, workspaceLabels: map[string]bool{}, subsets: map[string]*serviceSubset{},
		refusalLog: refusalLog{logged: map[refuser.Reason]int64{}},
	}
	opts.Metrics.Gauge("waiting_requests", "Requests that wait for capacity of backend servers.", func() float64 { return float64(b.shortage.waiting()) })
	return b
}

// UseHedger makes h decide when idempotent requests are hedged. Without one, they are hedged
// after a fixed multiple of the expected latency. It must be called before the first request.
func (b *Balancer) UseHedger(h *hedger.Hedger) { b.hedger = h }

// deadlineSlack is added to the deadline of the request's context, so that a
// response that the server sends at the deadline still reaches the caller.
const deadlineSlack = 20 * time.Millisecond

// ServeHTTP implements http.Handler.
func (b *Balancer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if b.opts.IdleTimeout != nil && !r.Close {
		setKeepAlive(w.Header(), b.opts.IdleTimeout())
	}
	b.serve(w, r, nil)
}

// serve serves a request of a caller, or one that another entry passes on.
func (b *Balancer) serve(w http.ResponseWriter, r *http.Request, h *hop) {
	c := b.take(w, r, h)
	if c == nil {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline.Add(deadlineSlack))
	defer cancel()
	defer c.held.Release()
	defer c.responses.Release()
	defer b.endTrial(c)
	if resp := b.process(ctx, w, r, c); resp != nil {
		b.writeResponse(w, resp)
		b.opts.OnResponse()
	}
}

// take reads a request. It returns nil if the request was refused.
func (b *Balancer) take(w http.ResponseWriter, r *http.Request, h *hop) *call {
	c, refusal := b.receive(w, r, h)
	if refusal != nil {
		bodyreader.BoundDiscard(w, r)
		b.refuse(w, r, h, *refusal, &trace{})
		return nil
	}
	return c
}

// process runs a request. It returns the response that is to be written, or nil if the request
// was refused. It is apart from serve since its frame would stay on the stack while the caller
// reads the response.
func (b *Balancer) process(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) *roundtripper.Response {
	h := c.hop
	c.traceReceived()
	b.countWorkspace(c)
	resp, refusal := b.run(ctx, c)
	c.endCount(refusal)
	if refusal != nil {
		if h != nil && c.hasCounted() {
			w.Header().Set(delegator.CountedHeader, "1")
		}
		b.refuse(w, r, h, b.withRetryTime(time.Now(), c, *refusal), &c.trace)
		return nil
	}
	c.trace.add(Answered, "status", resp.Status, "took-ms", time.Since(c.arrived).Milliseconds())
	if c.delegated == "" {
		b.countAnswered(c, resp.Status)
	}
	b.flush(c.id, &c.trace, c.metObjective(resp.Status))
	if h != nil {
		b.writeHopHeaders(c, resp)
	}
	return resp
}
