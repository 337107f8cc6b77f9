package snapshotter

import (
	"math"
	"sync"
	"time"

	"samphiremux/entry/roundtripper"
	"samphiremux/entry/throttler"
	"samphiremux/pkg/describer"
)

const (
	// firstPenalty and lastPenalty bound the time for which a server that did
	// not answer is not asked again.
	firstPenalty = 250 * time.Millisecond
	lastPenalty  = 2 * time.Second
	// faultLife is the time in which a server's faults lose half their weight.
	faultLife = 2 * time.Second
	// noteLife is the age from which what a server said of itself is as good as
	// nothing: neighbours on its machine come and go several times a second.
	noteLife = 400 * time.Millisecond
)

// Backend is a backend server with its live state.
type Backend struct {
	describer.Server
	State *ServerState
}

// Connect opens the live state of a backend server.
type Connect func(describer.Server) *ServerState

// ServerState is what this entry sees of one incarnation of a backend server. Its
// methods may be called concurrently.
type ServerState struct {
	*roundtripper.Client

	mu        sync.Mutex
	inFlight  int
	coldUntil time.Time
	cold      throttler.RateLimiter
	note      describer.Load
	noted     time.Time
	penalties int
	shunUntil time.Time
	faults    float64
	faultsAt  time.Time
	leaving   bool
}

// NewServerState returns the state of a server that was not used yet.
func NewServerState(s *roundtripper.Client) *ServerState { return &ServerState{Client: s} }

// StateSnapshot is a snapshot of a server's live state.
type StateSnapshot struct {
	InFlight int
	// Load is what the server last said of itself. LoadFresh tells that it still
	// counts.
	Load      describer.Load
	LoadFresh bool
	Cold      bool
	// ColdReady tells that this entry may send a request to the server although
	// it is cold.
	ColdReady bool
	// Ejected tells that the server did not answer a short time ago.
	Ejected bool
	Leaving bool
	// RecentFailures is the number of recent faults, weighed by their age.
	RecentFailures float64
}

// Snapshot returns a snapshot.
func (l *ServerState) Snapshot(now time.Time) StateSnapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return StateSnapshot{
		InFlight: l.inFlight, Load: l.note, LoadFresh: !l.noted.IsZero() && now.Sub(l.noted) < noteLife,
		Cold: now.Before(l.coldUntil), ColdReady: l.cold.Ready(now), Ejected: now.Before(l.shunUntil), Leaving: l.leaving,
		RecentFailures: l.decayed(now),
	}
}

func (l *ServerState) decayed(now time.Time) float64 {
	return l.faults * math.Exp2(-float64(now.Sub(l.faultsAt))/float64(faultLife))
}

// SetCold notes until when the server is cold. Only a probe takes that back.
func (l *ServerState) SetCold(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.coldUntil) {
		l.coldUntil = until
	}
}

// ObserveLoad takes in what the server says of itself in an answer to a request.
func (l *ServerState) ObserveLoad(now time.Time, load describer.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note, l.noted = load, now
}

// ObserveProbe takes in the answer to a probe.
func (l *ServerState) ObserveProbe(now time.Time, h roundtripper.Health) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note, l.noted = h.Load, now
	l.penalties = 0
	l.shunUntil = time.Time{}
	l.coldUntil = now.Add(h.ColdRemaining)
}

// Eject notes that the server did not answer. It is left alone for a time that
// grows with each failure in a row.
func (l *ServerState) Eject(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := min(lastPenalty, firstPenalty<<min(l.penalties, 4))
	l.penalties++
	l.shunUntil = now.Add(wait)
}

// SetLeaving notes the server's own word that it is leaving or that another
// server has its address.
func (l *ServerState) SetLeaving() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

// ObserveFailure notes a failed attempt.
func (l *ServerState) ObserveFailure(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = l.decayed(now) + 1
	l.faultsAt = now
}

// TakeColdToken takes the right to send one request to a cold server.
func (l *ServerState) TakeColdToken(now time.Time, perSecond float64, entries int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold.Allow(now, perSecond, entries)
}

// Begin notes that an attempt is sent.
func (l *ServerState) Begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
}

// End notes that an attempt has ended.
func (l *ServerState) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}
