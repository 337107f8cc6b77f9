package snapshotter

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"samphiremux/entry/roundtripper"
	"samphiremux/entry/throttler"
	"samphiremux/pkg/describer"
)

const (
	// initialEjection and maxEjection bound the time for which a server that did
	// not answer stays ejected. The time doubles with each failure in a row.
	initialEjection = 250 * time.Millisecond
	maxEjection     = 2 * time.Second
	// failureHalfLife is the time in which a failure loses half its weight.
	failureHalfLife = 2 * time.Second
	// loadMaxAge is the age from which a load report is ignored. The neighbours on
	// a server's machine come and go several times a second, so that an older report
	// no longer describes its load.
	loadMaxAge = 400 * time.Millisecond
	// statementMaxAge is the age from which a rate limit that allows no request now, or a cold
	// start, is checked by a probe, since it may be over.
	statementMaxAge = 2 * time.Second
)

// Backend is the registration of a backend server together with the state that
// this entry keeps of it.
type Backend struct {
	describer.Server
	State *ServerState
}

// Connect creates the state of a backend server that has just appeared, with the
// client that reaches it.
type Connect func(describer.Server) *ServerState

// ServerState is what this entry has observed of one incarnation of a backend
// server: its load, recent failures, cold start and ejection. It is safe for
// concurrent use.
type ServerState struct {
	*roundtripper.Client
	onChange func(roundtripper.Notice)

	mu        sync.Mutex
	inFlight  int
	used      bool
	coldUntil time.Time
	// coldStatedAt is when a response last stated that the server is cold.
	coldStatedAt time.Time
	coldLimiter  throttler.RateLimiter
	load         describer.Load
	loadAt       time.Time
	heardAt      time.Time
	ejections    int
	ejectedUntil time.Time
	failures     float64
	failuresAt   time.Time
	leaving      bool
	pause        throttler.Pause
	rateLimit    describer.RateLimit
	rateLimitAt  time.Time
	rateTokens   throttler.TokenBucket
	lostAt       time.Time
	// changed is closed by the next event that Changes reports. It is nil if nobody waits.
	changed chan struct{}
}

// NewServerState returns the state of a server that has not been used yet. It follows
// what the server says of itself in its responses.
func NewServerState(c *roundtripper.Client) *ServerState {
	s := &ServerState{Client: c, onChange: func(roundtripper.Notice) {}}
	c.OnNotice(s.ObserveNotice)
	return s
}

// OnChange sets the function that is called with each notice of the server that changes
// the state. It must be called before the state is used.
func (s *ServerState) OnChange(f func(roundtripper.Notice)) { s.onChange = f }

// ObserveNotice records what the server says of itself in a response, which may have come
// by another entry.
func (s *ServerState) ObserveNotice(n roundtripper.Notice) {
	switch n := n.(type) {
	case roundtripper.Leaving:
		if s.SetLeaving() {
			s.onChange(n)
		}
	case roundtripper.Paused:
		if s.observePause(time.Now(), n.Pause) {
			s.onChange(n)
		}
	}
}

// StateSnapshot is a copy of a server's state at one moment.
type StateSnapshot struct {
	// InFlight is the number of attempts of this entry that have not ended.
	InFlight int
	// Used reports whether this entry has sent it a request.
	Used bool
	// Load is the server's last load report. LoadFresh reports whether it is
	// recent enough to rely on.
	Load      describer.Load
	LoadFresh bool
	// Cold reports whether the server is still in its cold start.
	Cold bool
	// ColdFresh reports whether it has stated that lately, so that no probe is needed.
	ColdFresh bool
	// ColdReady reports whether this entry's rate limit for a cold server allows
	// a request now.
	ColdReady bool
	// Ejected reports whether the server is ejected because it recently did not
	// answer.
	Ejected bool
	// Unanswered reports whether it has not answered a probe since it was ejected, though the
	// ejection may be over.
	Unanswered bool
	// Leaving reports whether the server is shutting down or has lost its address
	// to another server.
	Leaving bool
	// HeardAt is the time of the last response to a probe, or to a request with a load
	// report.
	HeardAt time.Time
	// Paused reports whether the server asked for a pause that is not over.
	Paused bool
	// RecentFailures is the number of failed attempts, decayed exponentially with
	// their age.
	RecentFailures float64
	// RateLimit is the rate limit that the server last stated. RateLimitFresh reports
	// whether it is recent enough to rely on without a probe.
	RateLimit      describer.RateLimit
	RateLimitFresh bool
}

// Snapshot returns a copy of the state at now.
func (s *ServerState) Snapshot(now time.Time) StateSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, paused := s.pause.ResumesAt(now)
	return StateSnapshot{
		InFlight: s.inFlight, Used: s.used, Load: s.load, LoadFresh: !s.loadAt.IsZero() && now.Sub(s.loadAt) < loadMaxAge,
		Cold: now.Before(s.coldUntil), ColdFresh: now.Before(s.coldUntil) && now.Sub(s.coldStatedAt) < statementMaxAge, ColdReady: s.coldLimiter.Ready(now), HeardAt: s.heardAt, Ejected: now.Before(s.ejectedUntil), Unanswered: s.ejections > 0, Leaving: s.leaving,
		Paused: paused, RecentFailures: s.decayedFailures(now), RateLimit: s.rateLimit,
		RateLimitFresh: now.Sub(s.rateLimitAt) < statementMaxAge,
	}
}

// decayedFailures returns the failure count with its decay up to now. The caller
// holds the lock.
func (s *ServerState) decayedFailures(now time.Time) float64 {
	return s.failures * math.Exp2(-float64(now.Sub(s.failuresAt))/float64(failureHalfLife))
}

// SetCold extends the server's cold start until a time. It never shortens it: only
// the answer to a probe does.
func (s *ServerState) SetCold(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

// ObserveLoad records the load that the server reported with an answer to a
// request.
func (s *ServerState) ObserveLoad(now time.Time, load describer.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load, s.loadAt, s.heardAt = load, now, now
	s.notify()
}

// ObserveProbe records the answer to a probe that was sent at a time: the load, if the server
// reports one, and the rest of the cold start. It ends an ejection and resets its backoff. An
// answer that was under way when a later one stated that the server is cold does not end
// the cold start.
func (s *ServerState) ObserveProbe(now, sent time.Time, h roundtripper.Health) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.HasLoad {
		s.load, s.loadAt = h.Load, now
		s.notify()
	}
	s.heardAt = now
	s.ejections = 0
	s.ejectedUntil = time.Time{}
	until := now.Add(h.ColdRemaining)
	if until.After(s.coldUntil) || sent.After(s.coldStatedAt) {
		s.coldUntil = until
	}
	if h.ColdRemaining > 0 {
		s.coldStatedAt = now
	}
}

// ObserveRateLimit records the rate limit that a response of the server stated, or that
// it stated none. It returns the previous one.
func (s *ServerState) ObserveRateLimit(now time.Time, l describer.RateLimit) (previous describer.RateLimit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous = s.rateLimit
	s.rateLimit, s.rateLimitAt = l, now
	return previous
}

// HasRateToken reports whether this entry may send a request now within a rate limit that
// the server stated, as one of a number of holders.
func (s *ServerState) HasRateToken(now time.Time, l describer.RateLimit, holders int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rateTokens.Ready(now, l.PerSecond, holders)
}

// TakeRateToken takes a token to send one request within a rate limit that the server
// stated, as one of a number of holders. It reports false if this entry has no token left.
func (s *ServerState) TakeRateToken(now time.Time, l describer.RateLimit, holders int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rateTokens.Take(now, l.PerSecond, holders)
}

// Eject ejects a server that did not answer. The ejection time doubles with each
// failure in a row, up to a limit.
func (s *ServerState) Eject(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := min(maxEjection, initialEjection<<min(s.ejections, 4))
	s.ejections++
	s.ejectedUntil = now.Add(wait)
	s.notify()
}

// Readmit ends an ejection, after the entry itself could not reach any server.
func (s *ServerState) Readmit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ejections = 0
	s.ejectedUntil = time.Time{}
}

// observePause extends the pause of the server. It reports whether a pause has begun, or
// one that does not hold as stated is due to be reported.
func (s *ServerState) observePause(now time.Time, p describer.Pause) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pause.Observe(now, p, rand.Float64())
}

// ResumesAt returns the time until which the server gets nothing from this entry, probes
// included, since it asked for a pause. Paused is false if it has not, or the time is over.
func (s *ServerState) ResumesAt(now time.Time) (at time.Time, paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pause.ResumesAt(now)
}

// SetLeaving records that the server is shutting down or that another server now
// has its address. It reports whether that was not known before. Nothing ends it: a later
// incarnation has a state of its own.
func (s *ServerState) SetLeaving() (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = !s.leaving
	s.leaving = true
	return changed
}

// Leaving reports whether the server is shutting down or has lost its address.
func (s *ServerState) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// ObserveFailure records a failed attempt.
func (s *ServerState) ObserveFailure(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = s.decayedFailures(now) + 1
	s.failuresAt = now
}

// TakeColdToken takes a token to send one request to a cold server, as one of a number of
// holders. The server may get perSecond requests from all holders together, and each has an
// equal part of them. It reports false if this entry has no token left.
func (s *ServerState) TakeColdToken(now time.Time, perSecond float64, holders int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coldLimiter.Allow(now, perSecond, holders)
}

// inheritColdTokens continues the token interval of an earlier incarnation, so that a restart
// gives no further token.
func (s *ServerState) inheritColdTokens(earlier *ServerState) {
	earlier.mu.Lock()
	limiter := earlier.coldLimiter
	earlier.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldLimiter = limiter
}

// Begin records the start of an attempt.
func (s *ServerState) Begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.used = true
}

// End records the end of an attempt.
func (s *ServerState) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}
