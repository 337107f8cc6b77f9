// Package hedger decides when an idempotent request is sent to a second backend server
// because the response to the first attempt is late, lost or stuck. It answers the load of
// few slow responses among many fast ones: servers that noisy neighbours slow for a moment,
// and responses that are lost on the way. It yields under a shortage, when a hedge would
// take the place of another request. Its extra work stays within a share of each service's
// requests that the operators set.
package hedger

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxSavedTokens bounds the hedges that a service saves while none is needed, since slow
	// responses come together. In any window n entries exceed the share by 4n hedges at most.
	// With two, entries with 6 requests a second used less than half of a limit of 0.05.
	maxSavedTokens = 4.0
	// hedgeToken is one hedge, less the error of adding up shares such as 0.1.
	hedgeToken = 1 - 1e-9
	// reservedTokens is the number of saved hedges that are left to attempts whose hedge can
	// still be in time for the objective. With none, where more responses are late than the
	// limit allows to hedge, hedges by evidence mostly found the limit used up.
	reservedTokens = 1
	// shortageMemory is the time after a sign of a shortage in which nothing is hedged.
	shortageMemory = time.Second
	// marginRatio is the time, in usual latencies, that is left for a hedge to be in time for
	// the objective. With one, half of the hedges would miss it.
	marginRatio = 1.25
	// defaultRatio is the time to wait, in expected latencies, before enough responses are
	// known.
	defaultRatio = 2.0
	// minSamples is the number of responses of a route from which the quantile is used.
	// Fewer say nothing about one slow response in twenty.
	minSamples = 40
	// minQuantile and maxQuantile bound the quantile in percent that follows from the
	// limit. Below, hedges would go to requests that are not late; above, an entry with a
	// few requests per second sees too few responses for an estimate.
	minQuantile, maxQuantile = 85.0, 98.0
	// windowCount windows of windowLength each hold the responses that count. Noisy
	// neighbours change within a second, the mix of requests over many.
	windowCount  = 4
	windowLength = 10 * time.Second
	// maxRatio is the largest ratio of latency to expected latency that is told apart.
	maxRatio = 32
	// ratioScale is the resolution of stored ratios.
	ratioScale = 100
	// ratioDigits is the number of significant digits of stored ratios.
	ratioDigits = 1
)

// Hedger holds what one entry knows of its routes and services. It is not safe for
// concurrent use.
type Hedger struct {
	limit    float64
	services map[string]*service
	routes   map[string]*route
}

// service is the state of one service: the saved hedges, and until when a shortage counts.
type service struct {
	tokens        float64
	shortageUntil time.Time
}

// route is the distribution of the latencies of a route, as ratios to those expected.
type route struct {
	ratios  *hdrhistogram.WindowedHistogram
	samples int64
	// quantile is the last reading, and readAt the number of samples at that time.
	quantile float64
	readAt   int64
	rotateAt time.Time
}

// New returns a hedger with a limit: the hedges of a service as a share of its requests.
func New(limit float64) *Hedger {
	return &Hedger{limit: limit, services: map[string]*service{}, routes: map[string]*route{}}
}

func (h *Hedger) service(name string) *service {
	s, ok := h.services[name]
	if !ok {
		s = &service{}
		h.services[name] = s
	}
	return s
}

// ObserveRequest counts the first attempt of a request of a service.
func (h *Hedger) ObserveRequest(name string) {
	s := h.service(name)
	s.tokens = min(s.tokens+h.limit, maxSavedTokens)
}

// ObserveShortage records that a request of a service waits or was refused for lack of
// capacity.
func (h *Hedger) ObserveShortage(now time.Time, name string) {
	h.service(name).shortageUntil = now.Add(shortageMemory)
}

// ObserveLatency records a response of a route by the ratio of its latency to the one that
// was expected at the server's stated slowness and load.
func (h *Hedger) ObserveLatency(now time.Time, name string, ratio float64) {
	r, ok := h.routes[name]
	if !ok {
		r = &route{ratios: hdrhistogram.NewWindowed(windowCount, 1, maxRatio*ratioScale, ratioDigits), rotateAt: now.Add(windowLength)}
		h.routes[name] = r
	}
	if !now.Before(r.rotateAt) {
		r.ratios.Rotate()
		r.rotateAt = now.Add(windowLength)
	}
	// A value out of range cannot occur after the clamp.
	_ = r.ratios.Current.RecordValue(int64(min(max(ratio*ratioScale, 1), maxRatio*ratioScale)))
	r.samples++
}

// refreshSamples is the number of responses between two readings of the quantile.
const refreshSamples = 16

// ratio returns the quantile of a route's ratios beyond which a response counts as late. The
// quantile follows from the limit: a share of 0.05 can hedge the slowest 5 in 100.
func (h *Hedger) ratio(name string) float64 {
	r, ok := h.routes[name]
	if !ok || r.samples < minSamples {
		return defaultRatio
	}
	if r.readAt == 0 || r.samples-r.readAt >= refreshSamples {
		percent := min(max(100*(1-h.limit), minQuantile), maxQuantile)
		r.quantile = float64(r.ratios.Merge().ValueAtQuantile(percent)) / ratioScale
		r.readAt = r.samples
	}
	return r.quantile
}

// Attempt is the first attempt of an idempotent request.
type Attempt struct {
	Service, Route string
	Sent           time.Time
	// Expected is its latency by the server's stated slowness and load, and Usual that of
	// the route on an idle server without noisy neighbours.
	Expected, Usual time.Duration
	// Slowness is the server's stated slowness at the send.
	Slowness float64
	// Objective is when the response becomes late, or zero if the route has no objective.
	Objective time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// DueAt returns when a hedge of an attempt is due if there is no response until then: when
// the response is later than most of its route, or when a hedge could just be in time for
// the objective. It is no earlier than the usual latency, so that ordinary responses are
// not hedged, and early enough that the hedge can end before the deadline. An objective that
// no hedge after the usual latency can meet does not count.
func (h *Hedger) DueAt(a Attempt) time.Time {
	late, earliest := a.Sent.Add(time.Duration(h.ratio(a.Route)*float64(a.Expected))), a.Sent.Add(a.Usual)
	if lastInTime := a.Objective.Add(-time.Duration(marginRatio * float64(a.Usual))); lastInTime.Before(late) && !lastInTime.Before(earliest) {
		late = lastInTime
	}
	if last := a.Deadline.Add(-2 * a.Usual); last.Before(late) {
		late = last
	}
	if late.Before(earliest) {
		return earliest
	}
	return late
}

// Verdict is whether a hedge may be sent: Hedge or Skip.
type Verdict interface{ verdict() }

// Hedge allows a hedge, whose token is taken.
type Hedge struct{}

// Skip forbids a hedge for a reason.
type Skip struct{ Reason Reason }

func (Hedge) verdict() {}
func (Skip) verdict()  {}

// Reason states why a hedge that was due was not sent.
type Reason string

// Reasons for hedges that are not sent.
const (
	// LimitReached means that the service's share of hedges is used up.
	LimitReached Reason = "limit"
	// Shortage means that requests of the service wait or were refused lately.
	Shortage Reason = "shortage"
	// NoServer means that no other server is fast and has a free slot.
	NoServer Reason = "no-server"
	// AttemptsUsed means that the route allows no further attempt.
	AttemptsUsed Reason = "attempts"
	// BudgetSpent means that the retry budget of the service is spent.
	BudgetSpent Reason = "retry-budget"
	// KeyRevoked means that the current configuration no longer allows the request as it
	// was first sent.
	KeyRevoked Reason = "key-revoked"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{AttemptsUsed, KeyRevoked, LimitReached, NoServer, BudgetSpent, Shortage}
}

// Admit reports whether a hedge of a service may be sent now, before a server is sought for
// it. It takes no token.
func (h *Hedger) Admit(now time.Time, name string) Verdict {
	s := h.service(name)
	switch {
	case now.Before(s.shortageUntil):
		return Skip{Shortage}
	case s.tokens < hedgeToken:
		return Skip{LimitReached}
	}
	return Hedge{}
}

// AdmitFor is Admit for the hedge of an attempt. A hedge that cannot be in time for the
// objective leaves reservedTokens to others.
func (h *Hedger) AdmitFor(now time.Time, a Attempt) Verdict {
	inTime := a.Objective.IsZero() || !now.Add(a.Usual).After(a.Objective)
	if !inTime && h.service(a.Service).tokens < hedgeToken+reservedTokens {
		if skip, ok := h.Admit(now, a.Service).(Skip); ok {
			return skip
		}
		return Skip{LimitReached}
	}
	return h.Admit(now, a.Service)
}

// Take takes the token of a hedge. It reports false if another request has taken it since
// Admit.
func (h *Hedger) Take(name string) bool {
	s := h.service(name)
	if s.tokens < hedgeToken {
		return false
	}
	s.tokens = max(0, s.tokens-1)
	return true
}

// Target is a server that a hedge could go to, by its own report just before the send.
type Target struct {
	FreeSlots int
	Slowness  float64
	// Cold and RateLimited report that it is in its slow start or states a rate limit.
	Cold, RateLimited bool
}

// maxTargetSlowness is the slowness beyond which a server is no faster than what the hedge
// is to avoid.
const maxTargetSlowness = 1.6

// Suits reports whether a hedge may go to the server.
func (t Target) Suits() bool {
	return t.FreeSlots > 0 && !t.Cold && !t.RateLimited && t.Slowness <= maxTargetSlowness
}
