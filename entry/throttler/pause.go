package throttler

import "time"

const (
	// resumeSpread is the fraction of a pause, and maxResumeSpread the time, over which
	// entries return to a server after its pause.
	resumeSpread    = 0.25
	maxResumeSpread = 500 * time.Millisecond
	// retrySpread is the fraction of the time to the end of a pause, and maxRetrySpread
	// the time, over which refused callers return after it.
	retrySpread    = 0.25
	maxRetrySpread = 250 * time.Millisecond
)

// Pause is the time for which a server wants no requests from this entry. The zero value
// is no pause. It is not safe for concurrent use.
type Pause struct {
	// until is the end that the server asked for, and resumesAt the later time from which
	// this entry uses it again.
	until, resumesAt time.Time
}

// Extend lets the pause last until a time, and reports whether a pause has begun by that.
// It never shortens it, since responses may arrive in another order than they were sent.
// Draw is a random number in [0, 1) that differs from entry to entry.
func (p *Pause) Extend(now, until time.Time, draw float64) (begun bool) {
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
