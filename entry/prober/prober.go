// Package prober decides when the owner of a backend server sends it a health
// probe. Probes fill in where there is too little traffic. They stay within the
// probe budget over all entries, also while the owner changes.
package prober

import "time"

const (
	// probeCost is the slot time that one probe uses.
	probeCost = 6 * time.Millisecond
	// connectionCost is the slot time that a new connection adds.
	connectionCost = time.Millisecond
	// concurrentOwners is the number of entries that may take themselves for the
	// owner at the same time, while the list of members changes.
	concurrentOwners = 2
	// idleAfter is the time without a response from which a server is probed.
	idleAfter = time.Second
	// unhealthyInterval is the minimum time between probes of a server that is
	// cold, unreachable or draining.
	unhealthyInterval = 500 * time.Millisecond
)

// Schedule is the probe state of one server. It is immutable.
type Schedule struct {
	// interval is the time between probes that the budget allows, or zero if the
	// server is never probed.
	interval time.Duration
	// next is the earliest time of the next probe.
	next time.Time
	// lastResponse is when the server last answered a request.
	lastResponse time.Time
}

// New returns the schedule of an entry that becomes owner at now. The first probe
// waits for one interval, since the previous owner may just have sent one.
func New(now time.Time, slots int, budget float64) Schedule {
	s := Schedule{lastResponse: now, interval: Interval(slots, budget)}
	s.next = now.Add(s.interval)
	return s
}

// Interval returns the time between probes at which all concurrent owners together
// stay within the budget, a share of the server's slot time. Zero means no probes.
func Interval(slots int, budget float64) time.Duration {
	if budget <= 0 || slots <= 0 {
		return 0
	}
	cost := float64(probeCost + connectionCost)
	return time.Duration(concurrentOwners * cost / (budget * float64(slots)))
}

// WithResponse returns a copy for a server that answered a request at the given time.
func (s Schedule) WithResponse(at time.Time) Schedule {
	s.lastResponse = at
	return s
}

// WithProbe returns a copy after a probe that was sent at the given time.
func (s Schedule) WithProbe(at time.Time) Schedule {
	s.next = at.Add(s.interval)
	return s
}

// ShouldProbe reports whether to send a probe now. Unhealthy is true if the server
// is cold, unreachable or draining.
func (s Schedule) ShouldProbe(now time.Time, unhealthy bool) bool {
	if s.interval == 0 || now.Before(s.next) {
		return false
	}
	if unhealthy {
		return now.Sub(s.next) >= unhealthyInterval-s.interval
	}
	return now.Sub(s.lastResponse) >= idleAfter
}
