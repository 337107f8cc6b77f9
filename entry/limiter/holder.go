// Package limiter bounds the requests in flight at a backend server across all
// entries that use it. One entry owns each server: it adapts the server's
// concurrency limit and grants parts of it with deadlines. The entries that use
// the server, its owner among them, are its holders: they report what they saw
// of it and stay within their grants.
package limiter

import (
	"time"

	"samphiremux/pkg/describer"
)

const (
	// GrantTTL is the lifetime of a grant. Its holder counts it from when it sent
	// the report that the grant answers.
	GrantTTL = time.Second
	// ReportInterval is the time between two reports of a holder.
	ReportInterval = 200 * time.Millisecond
	// FloorTTL is the time after a grant for which a holder may use its floor. It
	// covers a change of the owner while the store is unavailable, which takes the
	// lease of an entry and some seconds.
	FloorTTL = 12 * time.Second
	// overcommit is the number of requests in flight beyond a server's slots. They
	// hide the network latency between entry and server.
	overcommit = 1
	// slowRounding is added before the limit of a slow server is rounded down, so
	// that a small difference in speed does not cost a request.
	slowRounding = 0.4
)

// MaxInFlight returns the maximum number of requests in flight at a warm server.
func MaxInFlight(slots int) int { return slots + overcommit }

// FloorQuota returns the floor of the holder of a rank among k holders: what it
// may use at a warm server without a grant. The owner reserves the same amount
// for each holder, so the sum stays within the limit even if the entries do not
// know each other's state.
func FloorQuota(slots, k, rank int) int {
	if k <= 0 || rank < 0 {
		return 0
	}
	limit := MaxInFlight(slots)
	if limit >= k {
		return limit / k
	}
	if rank < limit {
		return 1
	}
	return 0
}

// Grant is a lease on part of a server's limit. It is immutable.
type Grant struct {
	// Slots is the number of requests that the holder may have in flight.
	Slots    int
	Deadline time.Time
	// Cold is true if the owner treats the server as cold.
	Cold bool
	// Draining is true if the owner knows that the server is leaving.
	Draining bool
	// RateLimitKnown is true if the owner knows of a rate limit that the server states or
	// has stated. RateLimit is what its last response stated.
	RateLimitKnown bool
	RateLimit      describer.RateLimit
}

// Allotment is what one holder may use of one server: its grant, or its floor
// while no grant is valid. It is immutable.
type Allotment struct {
	grant Grant
	// warm is true if the last grant was for a warm server and nothing has
	// put that in doubt since. Without it the holder has no floor.
	warm bool
	// floorReleased is true if the holder has given up its floor to the owner.
	floorReleased bool
	// floorValidFrom is when the floor becomes valid. By then the holder has been
	// in the subset for longer than any grant to its predecessor is valid.
	floorValidFrom time.Time
	// cappedUntil is the end of the cap that the holder set on itself.
	cappedUntil time.Time
}

// NewAllotment returns the allotment of a holder that joined the subset at now.
// Its floor becomes valid when the grants of earlier holders have expired.
func NewAllotment(now time.Time) Allotment {
	return Allotment{floorValidFrom: now.Add(GrantTTL)}
}

// WithGrant returns a copy with a newer grant.
func (a Allotment) WithGrant(g Grant) Allotment {
	a.grant = g
	a.warm = !g.Cold
	return a
}

// WithFloorReleased returns a copy that has given up its floor, or taken it back.
// The next report must carry the change to the owner.
func (a Allotment) WithFloorReleased(released bool) Allotment {
	a.floorReleased = released
	return a
}

// FloorReleased reports whether the holder has given up its floor.
func (a Allotment) FloorReleased() bool { return a.floorReleased }

// WithoutFloor returns a copy without a floor, for a server that may have turned
// cold. A later grant for a warm server restores the floor.
func (a Allotment) WithoutFloor() Allotment {
	a.warm = false
	return a
}

// WithCap returns a copy that is limited to CappedQuota until a deadline.
func (a Allotment) WithCap(until time.Time) Allotment {
	a.cappedUntil = until
	return a
}

// WithSubsetChange returns a copy for a holder whose subset changed at now. Its
// floor becomes valid when the grants from before the change have expired.
func (a Allotment) WithSubsetChange(now time.Time) Allotment {
	a.floorValidFrom = now.Add(GrantTTL)
	return a
}

// Warm reports whether the holder knows that the server is warm. That knowledge
// expires together with the floor.
func (a Allotment) Warm(now time.Time) bool {
	return a.warm && now.Before(a.grant.Deadline.Add(FloorTTL))
}

// Cold reports whether the last grant was for a cold server.
func (a Allotment) Cold() bool { return a.grant.Cold }

// Granted reports whether the grant is valid.
func (a Allotment) Granted(now time.Time) bool { return now.Before(a.grant.Deadline) }

// Holding returns the slots of the valid grant, or the floor if there is none.
func (a Allotment) Holding(now time.Time, slots, k, rank int) int {
	switch {
	case a.Granted(now):
		return a.grant.Slots
	case a.Warm(now) && !a.floorReleased && !now.Before(a.floorValidFrom):
		return FloorQuota(slots, k, rank)
	default:
		return 0
	}
}

// Quota returns the number of requests that the holder may have in flight now.
func (a Allotment) Quota(now time.Time, slots, k, rank int) int {
	quota := a.Holding(now, slots, k, rank)
	if now.Before(a.cappedUntil) {
		quota = min(quota, CappedQuota(rank))
	}
	return quota
}

// CappedQuota returns what the holder of a rank may use of a server that seems
// overloaded or cold: one request over all holders, without coordination between
// them.
func CappedQuota(rank int) int {
	if rank == 0 {
		return 1
	}
	return 0
}

// SlowServerQuota returns what the holder of a rank among k holders may use of a
// slow server: the slower it is, the less load it can take. The quotas of all
// holders add up to the reduced limit without coordination between them.
func SlowServerQuota(slots, k, rank int, slowness float64) int {
	if slowness <= 1 || k <= 0 {
		return MaxInFlight(slots)
	}
	limit := max(1, int(float64(MaxInFlight(slots))/slowness+slowRounding))
	return evenShare(limit, k, rank)
}

// evenShare returns the share of a limit for the holder of a rank when k holders
// divide it evenly. The lowest ranks get the remainder.
func evenShare(limit, k, rank int) int {
	n := limit / k
	if rank < limit%k {
		n++
	}
	return n
}
