package scheduler

import (
	"math"
	"time"
)

const (
	// usualLimitRise and usualLimitFall are the parts of the difference by which the usual
	// limit of a route follows longer and shorter ones. They differ by a factor of 33, so that
	// it stays within 5 percent of the limit of first tries while three in four are retries
	// with half of it.
	usualLimitRise = 0.25
	usualLimitFall = 0.0075
	// limitError is the part of the usual limit by which it may be too low. Without it, a
	// request that was refused since it is late would count as in time when it comes again.
	limitError = 0.05
	// minAge is the part of the usual limit that must have passed for a retry.
	minAge = 0.08
	// hitDecay is the weight of the newest try in the share of tries that found capacity.
	hitDecay = 0.2
	// minHitRate bounds the estimate, so that one lucky try among many still counts.
	minHitRate = 0.02
	// hitRecovery is the time in which half of the missed tries is forgotten. A shortage
	// ends within a second or two when load falls.
	hitRecovery = time.Second
	// hitLevels is the number of levels of urgency that are told apart, the last for late
	// requests.
	hitLevels = 8
)

// usualLimit is the time limit that the callers of a route usually state. Nothing marks a
// retry, so a request that states less has been under way for the difference.
type usualLimit struct{ limit time.Duration }

// age returns how long a request with a time limit has been under way before it arrived. The
// limit of its route bounds the usual one: it follows shorter ones so slowly that requests
// would count as retries for a hundred requests after operators shortened it.
func (u *usualLimit) age(limit, route time.Duration) time.Duration {
	if route > 0 {
		u.limit = min(u.limit, route)
	}
	d := limit - u.limit
	switch {
	case u.limit == 0:
		u.limit = limit
	case d > 0:
		u.limit += time.Duration(usualLimitRise * float64(d))
	default:
		u.limit += time.Duration(usualLimitFall * float64(d))
	}
	age, usual := float64(u.limit-limit), float64(u.limit)
	if age <= minAge*usual {
		return 0
	}
	return time.Duration(age + limitError*usual)
}

func (s *Scheduler) usualLimitOf(route string) *usualLimit {
	u, ok := s.limits[route]
	if !ok {
		u = &usualLimit{}
		s.limits[route] = u
	}
	return u
}

// hitRate is the share of tries that found capacity lately. The zero value is 1.
type hitRate struct {
	missed float64
	at     time.Time
}

func (h *hitRate) value(now time.Time) float64 {
	return max(minHitRate, 1-h.missedAt(now, hitRecovery))
}

// missedAt returns the share of missed tries, of which half is forgotten within a time.
func (h *hitRate) missedAt(now time.Time, halfLife time.Duration) float64 {
	return h.missed * math.Exp2(-float64(now.Sub(h.at))/float64(halfLife))
}

// add adds a try that found a part of 0 or 1 of the capacity that it needs.
func (h *hitRate) add(now time.Time, found float64, halfLife time.Duration) {
	missed := h.missedAt(now, halfLife)
	h.missed = missed + hitDecay*(1-found-missed)
	h.at = now
}

// level returns the level of urgency of the request.
func (t *Ticket) level() int {
	if t.late {
		return hitLevels - 1
	}
	return int(t.standing * (hitLevels - 2))
}
