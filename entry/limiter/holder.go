// Package limiter keeps the requests in flight at a backend server within what
// it bears, over all entries that use it. One entry owns each server: it learns
// the limit and grants parts of it with deadlines. The others hold the grants.
package limiter

import "time"

const (
	// GrantTTL is the time for which a grant holds, counted by its holder
	// from when it sent the report that the grant answers.
	GrantTTL = time.Second
	// ReportInterval is the time between two reports of a holder.
	ReportInterval = 200 * time.Millisecond
	// FloorTTL is the time after a grant for which a holder may use its floor.
	// It covers a change of the owner while the store is out, which takes an
	// entry's lease and some seconds.
	FloorTTL = 12 * time.Second
	// overcommit is the number of requests beyond a server's slots that hide
	// the way between entry and server.
	overcommit = 1
	// slowedRounding keeps small differences in speed from costing a request.
	slowedRounding = 0.4
)

// MaxInFlight returns the most requests that a warm server gets at a time.
func MaxInFlight(slots int) int { return slots + overcommit }

// FloorQuota returns what each of k holders may use at a warm server without a
// grant. The owner reserves as much for each of them, so the sum stays within
// the limit whatever the entries know of each other.
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

// Grant is a right to keep requests in flight at a server until a deadline.
// It is immutable.
type Grant struct {
	Slots    int
	Deadline time.Time
	Cold     bool
	Draining bool
}

// Allotment is what one holder may use of one server.
type Allotment struct {
	grant Grant
	// warmSeen tells that the last grant was for a warm server, which is what
	// the floor relies on.
	warmSeen bool
	// released tells that the holder has given up its floor to the owner.
	released bool
	// floorFrom is when the floor becomes valid: the holder has then been in
	// the subset for longer than any grant to its predecessor holds.
	floorFrom time.Time
	// cappedUntil is when a cap that the holder set on itself ends.
	cappedUntil time.Time
}

// NewAllotment returns the allotment of a holder that joined the subset at now.
// Its floor becomes valid when the grants of earlier holders have lapsed.
func NewAllotment(now time.Time) Allotment {
	return Allotment{floorFrom: now.Add(GrantTTL)}
}

// WithGrant returns a copy that holds a newer grant.
func (a Allotment) WithGrant(g Grant) Allotment {
	a.grant = g
	a.warmSeen = !g.Cold
	return a
}

// WithFloorReleased returns a copy that has given up its floor, or taken it back. The
// owner must hear of it with the next report.
func (a Allotment) WithFloorReleased(released bool) Allotment {
	a.released = released
	return a
}

// FloorReleased tells whether the floor is given up.
func (a Allotment) FloorReleased() bool { return a.released }

// WithoutFloor returns a copy without its floor: the server may have turned cold.
func (a Allotment) WithoutFloor() Allotment {
	a.warmSeen = false
	return a
}

// WithCap returns a copy that uses the least until a deadline.
func (a Allotment) WithCap(until time.Time) Allotment {
	a.cappedUntil = until
	return a
}

// WithSubsetChange returns a copy for a holder whose subset changed at now.
func (a Allotment) WithSubsetChange(now time.Time) Allotment {
	a.floorFrom = now.Add(GrantTTL)
	return a
}

// Warm tells whether the holder knows the server as a warm one. What it knew
// ends with its floor.
func (a Allotment) Warm(now time.Time) bool {
	return a.warmSeen && now.Before(a.grant.Deadline.Add(FloorTTL))
}

// Cold tells whether the last grant was for a cold server.
func (a Allotment) Cold() bool { return a.grant.Cold }

// Granted tells whether a grant is valid.
func (a Allotment) Granted(now time.Time) bool { return now.Before(a.grant.Deadline) }

// Holding returns the slots of the valid grant, or of the floor without one.
func (a Allotment) Holding(now time.Time, slots, k, rank int) int {
	switch {
	case a.Granted(now):
		return a.grant.Slots
	case a.Warm(now) && !a.released && !now.Before(a.floorFrom):
		return FloorQuota(slots, k, rank)
	default:
		return 0
	}
}

// Quota returns the requests that the holder may have in flight now.
func (a Allotment) Quota(now time.Time, slots, k, rank int) int {
	quota := a.Holding(now, slots, k, rank)
	if now.Before(a.cappedUntil) {
		quota = min(quota, CappedQuota(rank))
	}
	return quota
}

// CappedQuota returns what a holder may use of a server that seems overloaded or cold:
// one request over all holders, without a word between them.
func CappedQuota(rank int) int {
	if rank == 0 {
		return 1
	}
	return 0
}

// SlowServerQuota returns what each of k holders may use of a server by its slowness: the
// slower it is, the less work it bears. The holders reach the same sum without a
// word between them.
func SlowServerQuota(slots, k, rank int, slowness float64) int {
	if slowness <= 1 || k <= 0 {
		return MaxInFlight(slots)
	}
	limit := max(1, int(float64(MaxInFlight(slots))/slowness+slowedRounding))
	return part(limit, k, rank)
}

// part returns the part of a limit that falls to the holder of a rank.
func part(limit, k, rank int) int {
	n := limit / k
	if rank < limit%k {
		n++
	}
	return n
}
