package responder

import "time"

// RateLimit is a rate limit that a server states in its responses, and what it got since.
type RateLimit struct {
	PerSecond float64
	// Since is when the server first stated it.
	Since time.Time
	// Arrivals holds the arrival times of requests since then.
	Arrivals []time.Time
}

// MostArrivals returns the largest number of requests that arrived within a window of the
// given length that began at a time or later.
func (l RateLimit) MostArrivals(window time.Duration, from time.Time) (most int) {
	first := 0
	for last, at := range l.Arrivals {
		for first < last && (l.Arrivals[first].Before(from) || at.Sub(l.Arrivals[first]) >= window) {
			first++
		}
		if !at.Before(from) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// SetRateLimit makes the server state a rate limit in its responses. It takes more
// requests all the same. A limit that is in force keeps the time of its first statement.
func (s *Server) SetRateLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rateLimit != nil && s.rateLimit.PerSecond == perSecond {
		return
	}
	s.rateLimit = &RateLimit{PerSecond: perSecond, Since: time.Now()}
}

// ClearRateLimit ends the rate limit.
func (s *Server) ClearRateLimit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimit = nil
}

// RateLimit returns the rate limit in force and the requests that arrived since it was
// first stated. Ok is false if there is none.
func (s *Server) RateLimit() (l RateLimit, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rateLimit == nil {
		return RateLimit{}, false
	}
	return *s.rateLimit, true
}

func (s *Server) recordArrival(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rateLimit != nil {
		s.rateLimit.Arrivals = append(s.rateLimit.Arrivals, now)
	}
}
