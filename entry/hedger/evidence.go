package hedger

import "time"

const (
	// minSlowdown is the ratio of the slowness that a server states to the one at the send
	// from which it counts as slower. A hedge may go to a server with a slowness of 1.6, and
	// would gain little below; noisy neighbours slow a server about seven times.
	minSlowdown = 2.0
	// meanOnset is the part of the time since the send after which the server became slow,
	// on average, if it was not at the send and states it now.
	meanOnset = 0.5
)

// Evidence is what an entry has observed of the server of an attempt since the send: Slowed,
// Ejected or Lost.
type Evidence interface{ evidence() }

// Slowed means that a response of the server, to a probe or to another request, stated its
// slowness.
type Slowed struct{ Slowness float64 }

// Ejected means that the server is ejected, since it did not answer, reported itself
// unhealthy or crashed.
type Ejected struct{}

// Lost means that the registration of the server has ended, or that another server has its
// address.
type Lost struct{}

func (Slowed) evidence()  {}
func (Ejected) evidence() {}
func (Lost) evidence()    {}

// EvidenceKind names a kind of evidence. It is a label value of a metric.
type EvidenceKind string

// Kinds of evidence.
const (
	SlowedKind  EvidenceKind = "slowed"
	EjectedKind EvidenceKind = "ejected"
	LostKind    EvidenceKind = "lost"
)

// EvidenceKinds returns all kinds of evidence.
func EvidenceKinds() []EvidenceKind { return []EvidenceKind{SlowedKind, EjectedKind, LostKind} }

// KindOf returns the kind of a piece of evidence.
func KindOf(e Evidence) EvidenceKind {
	switch e.(type) {
	case Slowed:
		return SlowedKind
	case Ejected:
		return EjectedKind
	case Lost:
		return LostKind
	}
	return ""
}

// DueBy reports whether evidence makes the hedge of an attempt due now, whatever DueAt
// returns: a hedge is expected to respond before the deadline, and before the attempt.
func (a Attempt) DueBy(now time.Time, e Evidence) bool {
	hedged := time.Duration(marginRatio * float64(a.Usual))
	if now.Add(hedged).After(a.Deadline) {
		return false
	}
	slowed, ok := e.(Slowed)
	if !ok {
		return true
	}
	return a.remaining(now, slowed) > hedged
}

// remaining returns the time that an attempt is expected to take still at a server that has
// become slower since the send, or zero if it has not. The work that is done so far follows
// from the time before the server became slow and the time since.
func (a Attempt) remaining(now time.Time, e Slowed) time.Duration {
	slowdown := e.Slowness / max(a.Slowness, 1)
	if slowdown < minSlowdown {
		return 0
	}
	elapsed := float64(now.Sub(a.Sent))
	done := elapsed * (meanOnset + (1-meanOnset)/slowdown)
	return time.Duration(max(0, float64(a.Expected)-done) * slowdown)
}
