package linkgauger

import "time"

const (
	// minStall is the time by which a timer fires late from which the process counts as
	// stalled. A VM with 0.16 of a core gets no processor time for up to 84 of 100 ms while
	// it is busy. Timers of an idle process are late by less than 1 ms.
	minStall = 5 * time.Millisecond
	// stallGrace is the time after a stall in which the process reads what arrived during it.
	// It is the shortest timeout of probes. Timers that passed in the stall fire before that.
	stallGrace = 10 * time.Millisecond
)

// ObserveTimer records that a timer which was due at a time has fired now. If it is late, the
// process got no processor time, and what has arrived since is still unread.
func (g *Gauger) ObserveTimer(now, due time.Time) {
	if g == nil || now.Sub(due) < minStall {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	from, to := due, now.Add(stallGrace)
	if from.Before(g.stalledUntil) {
		from = g.stalledUntil
	}
	if to.After(from) {
		g.stalled += to.Sub(from)
		g.stalledUntil = to
	}
}

// stalledTime returns the total time for which the process was stalled until now, and the
// time for which it still counts as stalled.
func (g *Gauger) stalledTime(now time.Time) (total, left time.Duration) {
	if g == nil {
		return 0, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	left = max(0, g.stalledUntil.Sub(now))
	return g.stalled - left, left
}

// ObserveTimer records that a timer of this timeout which was due at a time has fired now.
func (t Timeout) ObserveTimer(now, due time.Time) { t.gauger.ObserveTimer(now, due) }

// stalledTime returns for how long the process was stalled since the begin.
func (t Timeout) stalledTime(now time.Time) time.Duration {
	total, _ := t.gauger.stalledTime(now)
	return min(now.Sub(t.begun), max(0, total-t.stalled))
}

// IsStalled reports whether a peer whose answer was not read until now may have answered: the
// process was stalled, and ran for less than the timeout.
func (t Timeout) IsStalled(now time.Time) bool {
	stalled := t.stalledTime(now)
	return stalled > 0 && now.Sub(t.begun)-stalled-t.SaturatedTime(now) < t.duration
}
