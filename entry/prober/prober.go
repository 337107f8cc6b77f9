// Package prober decides when the owner of a backend server probes it. Probes
// fill in where there is too little traffic, and stay within the budget over all
// entries also while owners change.
package prober

import "time"

const (
	// probeCost is the slot time that one probe uses.
	probeCost = 6 * time.Millisecond
	// connectionCost is the time that a new connection adds.
	connectionCost = time.Millisecond
	// owners is the number of entries that may take themselves for the owner
	// at the same time, while the list of members changes.
	owners = 2
	// idleAfter is the time without answers after which a server is probed.
	idleAfter = time.Second
	// troubledInterval is the least time between probes of a server that is
	// cold, failed or draining.
	troubledInterval = 500 * time.Millisecond
)

// Schedule is the probe state of one server. It is immutable.
type Schedule struct {
	interval time.Duration
	next     time.Time
	answered time.Time
}

// New returns the schedule of an entry that becomes owner at now. It waits one
// interval, since the owner before it may just have probed.
func New(now time.Time, slots int, budget float64) Schedule {
	s := Schedule{answered: now, interval: Interval(slots, budget)}
	s.next = now.Add(s.interval)
	return s
}

// Interval returns the time between probes that keeps all owners within the
// budget, a share of the server's slot time. Zero means no probes.
func Interval(slots int, budget float64) time.Duration {
	if budget <= 0 || slots <= 0 {
		return 0
	}
	cost := float64(probeCost + connectionCost)
	return time.Duration(owners * cost / (budget * float64(slots)))
}

// WithAnswer returns a copy after the server answered a request.
func (s Schedule) WithAnswer(at time.Time) Schedule {
	s.answered = at
	return s
}

// WithProbe returns a copy after a probe was sent at a time.
func (s Schedule) WithProbe(at time.Time) Schedule {
	s.next = at.Add(s.interval)
	return s
}

// ShouldProbe tells whether to probe now.
func (s Schedule) ShouldProbe(now time.Time, troubled bool) bool {
	if s.interval == 0 || now.Before(s.next) {
		return false
	}
	if troubled {
		return now.Sub(s.next) >= troubledInterval-s.interval
	}
	return now.Sub(s.answered) >= idleAfter
}
