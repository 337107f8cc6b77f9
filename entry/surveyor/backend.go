package surveyor

import (
	"math"
	"sync"
	"time"

	"samphiremux/entry/exchanger"
	"samphiremux/entry/pacer"
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
	Live *Live
}

// Connect opens the live state of a backend server.
type Connect func(describer.Server) *Live

// Live is what this entry sees of one incarnation of a backend server. Its
// methods may be called concurrently.
type Live struct {
	*exchanger.Client

	mu        sync.Mutex
	inFlight  int
	coldUntil time.Time
	cold      pacer.RateLimiter
	note      describer.Load
	noted     time.Time
	penalties int
	shunUntil time.Time
	faults    float64
	faultsAt  time.Time
	leaving   bool
}

// NewLive returns the state of a server that was not used yet.
func NewLive(s *exchanger.Client) *Live { return &Live{Client: s} }

// State is a snapshot of a server's live state.
type State struct {
	InFlight int
	// Note is what the server last said of itself. Noted tells that it still
	// counts.
	Note  describer.Load
	Noted bool
	Cold  bool
	// ColdReady tells that this entry may send a request to the server although
	// it is cold.
	ColdReady bool
	// Shunned tells that the server did not answer a short time ago.
	Shunned bool
	Leaving bool
	// Faults is the number of recent faults, weighed by their age.
	Faults float64
}

// State returns a snapshot.
func (l *Live) State(now time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{
		InFlight: l.inFlight, Note: l.note, Noted: !l.noted.IsZero() && now.Sub(l.noted) < noteLife,
		Cold: now.Before(l.coldUntil), ColdReady: l.cold.Ready(now), Shunned: now.Before(l.shunUntil), Leaving: l.leaving,
		Faults: l.decayed(now),
	}
}

func (l *Live) decayed(now time.Time) float64 {
	return l.faults * math.Exp2(-float64(now.Sub(l.faultsAt))/float64(faultLife))
}

// SetCold notes until when the server is cold. Only a probe takes that back.
func (l *Live) SetCold(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.coldUntil) {
		l.coldUntil = until
	}
}

// Note takes in what the server says of itself in an answer to a request.
func (l *Live) Note(now time.Time, load describer.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note, l.noted = load, now
}

// NoteHealth takes in the answer to a probe.
func (l *Live) NoteHealth(now time.Time, h exchanger.Health) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note, l.noted = h.Load, now
	l.penalties = 0
	l.shunUntil = time.Time{}
	l.coldUntil = now.Add(h.ColdRemaining)
}

// Shun notes that the server did not answer. It is left alone for a time that
// grows with each failure in a row.
func (l *Live) Shun(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := min(lastPenalty, firstPenalty<<min(l.penalties, 4))
	l.penalties++
	l.shunUntil = now.Add(wait)
}

// SetLeaving notes the server's own word that it is leaving or that another
// server has its address.
func (l *Live) SetLeaving() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

// Fault notes a failed attempt.
func (l *Live) Fault(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = l.decayed(now) + 1
	l.faultsAt = now
}

// TakeCold takes the right to send one request to a cold server.
func (l *Live) TakeCold(now time.Time, perSecond float64, entries int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold.Allow(now, perSecond, entries)
}

// Begin notes that an attempt is sent.
func (l *Live) Begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
}

// End notes that an attempt has ended.
func (l *Live) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}
