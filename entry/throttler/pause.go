package throttler

import (
	"time"

	"samphiremux/pkg/describer"
)

const (
	// resumeSpread is the fraction of a pause, and maxResumeSpread the time, over which
	// entries return to a server after its pause.
	resumeSpread    = 0.25
	maxResumeSpread = 500 * time.Millisecond
	// retrySpread is the fraction of the time to the end of a pause, and maxRetrySpread
	// the time, over which refused callers return after it.
	retrySpread    = 0.25
	maxRetrySpread = 250 * time.Millisecond
	// rejectedInterval is the time between two reports of pauses that a server stated but
	// that do not hold as stated.
	rejectedInterval = 10 * time.Second
)

// Pause is the time for which a server wants no requests from this entry. The zero value
// is no pause. It is not safe for concurrent use.
type Pause struct {
	// until is the end that the server asked for, and resumesAt the later time from which
	// this entry uses it again.
	until, resumesAt time.Time
	// nextRejected is the time from which the next one that does not hold as stated is
	// reported.
	nextRejected time.Time
}

// Observe extends the pause by what the server stated in a response. It reports whether a
// pause has begun by that, or one that does not hold as stated is due to be reported. It never
// shortens a pause, since responses may arrive in another order than they were sent. Draw is a
// random number in [0, 1) that differs from entry to entry.
func (p *Pause) Observe(now time.Time, stated describer.Pause, draw float64) (news bool) {
	if stated.Rejected != "" && !now.Before(p.nextRejected) {
		p.nextRejected = now.Add(rejectedInterval)
		news = true
	}
	begun := p.extend(now, stated.Until, draw)
	return news || begun
}

// extend lets the pause last until a time, and reports whether a pause has begun by that.
func (p *Pause) extend(now, until time.Time, draw float64) (begun bool) {
	if !until.After(p.until) {
		return false
	}
	begun = !now.Before(p.resumesAt)
	p.until = until
	spread := min(float64(maxResumeSpread), resumeSpread*float64(until.Sub(now)))
	p.resumesAt = until.Add(time.Duration(spread * draw))
	return begun
}

// ResumesAt returns the time from which this entry uses the server again. Paused is false
// if that is not after now.
func (p *Pause) ResumesAt(now time.Time) (at time.Time, paused bool) {
	return p.resumesAt, now.Before(p.resumesAt)
}

// RetryAt returns the time at which a caller is told to return that is refused while all
// servers pause, the first of them until a time. Draw is a random number in [0, 1) that
// differs from caller to caller.
func RetryAt(now, first time.Time, draw float64) time.Time {
	spread := draw * min(float64(maxRetrySpread), retrySpread*float64(first.Sub(now)))
	// The time on the wire has whole milliseconds.
	return first.Add(time.Duration(spread) + time.Millisecond)
}
