package limiter

import (
	"cmp"
	"slices"
	"time"

	"samphiremux/pkg/describer"
)

const (
	// coldLimit is the limit of a server that has just turned cold.
	coldLimit = 1
	// rampStep is the minimum time between two increases of a limit.
	rampStep = 400 * time.Millisecond
	// rampResponses is the number of responses per unit of the limit that must arrive
	// before the limit is raised.
	rampResponses = 3
	// shedHold is the time for which a limit is not raised after the server shed load.
	shedHold = time.Second
	// shedFactor is the factor by which a limit is reduced when the server sheds load.
	shedFactor = 0.7
)

// Report is what one holder saw of a server since its last report.
type Report struct {
	Holder string
	// Holding is the holder's grant as it reports, or its floor if no grant is
	// valid. The answer to the report may be lost, so the owner counts Holding as
	// in use until the next report.
	Holding  int
	InFlight int
	// Demand is the number of requests that the holder would keep in flight.
	Demand    int
	Completed int
	Refused   int
	Failed    int
	// SuspectCold is true if the server may have turned cold: a connection to it
	// failed or broke, or its failure domain came back.
	SuspectCold bool
	// Draining is true if the holder knows that the server is leaving, because the
	// server or the owner announced it.
	Draining bool
	// Released is true if the holder has no work and has given up its floor. It
	// takes the floor back no sooner than the owner has answered a later report.
	Released bool
	// Warm is true if the holder knows that the server is warm and has no evidence
	// to the contrary. It proves to a new owner that the server is warm.
	Warm bool
	// Slow is true if responses took much longer than those of other servers.
	Slow bool
	// RateLimitKnown is true if a response since the last report stated a rate limit or
	// ceased to. RateLimit is what the last response stated.
	RateLimitKnown bool
	RateLimit      describer.RateLimit
}

// Owner adapts the limit of one server and divides it among the holders. It is
// not safe for concurrent use.
type Owner struct {
	slots int
	limit int
	cold  bool
	// coldKnown is true if the owner knows whether the server is cold.
	coldKnown bool
	draining  bool
	// ramping is true if the server has answered since it turned cold. Its slow
	// start counts from that response.
	ramping bool
	// responses counts the responses since the last step of the limit.
	responses int
	// slow is true if a holder reported slow responses. It delays the next increase
	// of the limit by one step.
	slow     bool
	nextStep time.Time
	// fullGrantsFrom is when the grants of an earlier owner have expired.
	fullGrantsFrom time.Time
	// rateLimitKnown is true once the server has stated a rate limit, to this owner or to
	// a holder. RateLimit is what its last response stated.
	rateLimitKnown bool
	rateLimit      describer.RateLimit
	holders        map[string]*holder
}

// holder is what the owner knows of one holder.
type holder struct {
	demand   int
	granted  int
	released bool
	// sentDraining is the Draining field of the last grant. A holder that only
	// repeats it gives no new evidence.
	sentDraining bool
	// mayUseFloor is true if the holder may use its floor: it reported the server
	// as warm, or the grant sent to it, which may have been lost, is for a warm
	// server.
	mayUseFloor bool
	expires     time.Time
}

// NewOwner returns the state of an entry that becomes owner at now. Until the
// grants of an earlier owner have expired it grants no more than floors, and only
// once a holder has proved the server warm. A server that no holder has proved
// warm by then is treated as cold.
func NewOwner(now time.Time, slots int) *Owner {
	return &Owner{slots: slots, limit: MaxInFlight(slots), fullGrantsFrom: now.Add(GrantTTL), holders: map[string]*holder{}}
}

// turnCold restarts the slow start of the server.
func (o *Owner) turnCold(now time.Time) {
	o.coldKnown = true
	o.cold = true
	o.ramping = false
	o.limit = coldLimit
	o.responses = 0
	o.nextStep = now.Add(rampStep)
}

// Cold reports whether the server is treated as cold. This includes the time in which
// the owner does not yet know whether it is.
func (o *Owner) Cold() bool { return o.cold || !o.coldKnown }

// Draining reports whether the server has announced that it is leaving.
func (o *Owner) Draining() bool { return o.draining }

// MarkCold restarts the slow start, as after a probe that found the server cold or
// after the server's return from a failure.
func (o *Owner) MarkCold(now time.Time) { o.turnCold(now) }

// SetDraining records whether a probe found the server draining.
func (o *Owner) SetDraining(draining bool) { o.draining = draining }

// RateLimit returns the rate limit that the server last stated, to this entry or to a
// holder.
func (o *Owner) RateLimit() describer.RateLimit { return o.rateLimit }

// SetRateLimit records the rate limit that the response to a probe stated.
func (o *Owner) SetRateLimit(l describer.RateLimit) {
	o.rateLimitKnown = o.rateLimitKnown || l.Stated
	o.rateLimit = l
}

// HandleReport applies a holder's report and returns its grant. Members are the
// holders of the server in the order of their rank.
func (o *Owner) HandleReport(now time.Time, r Report, members []string) Grant {
	h, ok := o.holders[r.Holder]
	if !ok {
		h = &holder{}
		o.holders[r.Holder] = h
	}
	o.adjustLimit(now, r)
	// An owner that has just started learns of earlier drains in this way.
	o.draining = o.draining || (r.Draining && !h.sentDraining)
	h.sentDraining = o.draining
	if r.RateLimitKnown {
		o.SetRateLimit(r.RateLimit)
	}
	h.demand = max(r.Demand, r.InFlight)
	h.released = r.Released
	slots := 0
	if o.coldKnown && slices.Contains(members, r.Holder) {
		slots = o.slotsFor(now, r, members)
	}
	h.granted = max(slots, r.Holding)
	h.mayUseFloor = r.Warm || !o.Cold()
	h.expires = now.Add(GrantTTL)
	return Grant{
		Slots: slots, Deadline: h.expires, Cold: o.cold || !o.coldKnown, Draining: o.draining,
		RateLimitKnown: o.rateLimitKnown, RateLimit: o.rateLimit,
	}
}

// adjustLimit adapts the limit to a report.
func (o *Owner) adjustLimit(now time.Time, r Report) {
	full := MaxInFlight(o.slots)
	o.coldKnown = o.coldKnown || r.Warm
	if !o.coldKnown && !now.Before(o.fullGrantsFrom) {
		o.turnCold(now)
	}
	o.responses += r.Completed
	o.slow = o.slow || r.Slow
	if o.cold && !o.ramping && r.Completed > 0 {
		o.ramping = true
		o.nextStep = now.Add(rampStep)
	}
	switch {
	case r.SuspectCold:
		o.turnCold(now)
	case r.Refused > 0:
		o.limit = max(1, min(o.limit-1, int(float64(o.limit)*shedFactor)))
		o.responses = 0
		o.nextStep = now.Add(shedHold)
	case now.Before(o.nextStep) || o.limit >= full:
		o.cold = o.cold && o.limit < full
	case o.slow:
		o.slow = false
		o.responses = 0
		o.nextStep = now.Add(rampStep)
	case o.responses >= rampResponses*o.limit:
		o.grow(now, full)
	}
}

// grow raises the limit: it doubles that of a cold server and adds one to that of
// a warm server.
func (o *Owner) grow(now time.Time, full int) {
	next := o.limit + 1
	if o.cold {
		next = o.limit * 2
	}
	o.limit = min(next, full)
	o.cold = o.cold && o.limit < full
	o.responses = 0
	o.nextStep = now.Add(rampStep)
}

// slotsFor returns the part of the limit for the holder that sent r. Every member
// keeps its floor, and the rest is divided by demand. Slots of other holders'
// valid grants are never granted again. While grants of an earlier owner may be
// valid, no holder gets more than it has.
func (o *Owner) slotsFor(now time.Time, r Report, members []string) int {
	id := r.Holder
	wanted := o.apportion(now, members)[id]
	if now.Before(o.fullGrantsFrom) {
		wanted = min(wanted, r.Holding, o.reserve(now, id, members))
	}
	available := o.limit
	for other, h := range o.holders {
		if other == id {
			continue
		}
		held := 0
		if now.Before(h.expires) {
			held = h.granted
		}
		available -= max(held, o.reserve(now, other, members))
	}
	for _, m := range members {
		if _, known := o.holders[m]; !known && m != id {
			available -= o.reserve(now, m, members)
		}
	}
	return max(0, min(wanted, available))
}

// reserve returns the floor that a member may use without a grant. A holder that
// released its floor has none. A cold server has no floor, but a holder that has
// not learned that the server is cold may still use one until FloorTTL has passed.
func (o *Owner) reserve(now time.Time, id string, members []string) int {
	rank := slices.Index(members, id)
	h, ok := o.holders[id]
	switch {
	case rank < 0 || (ok && h.released):
		return 0
	case o.cold && ok && h.mayUseFloor && now.Before(h.expires.Add(FloorTTL)):
		return FloorQuota(o.slots, len(members), rank)
	case o.cold && !ok && now.Before(o.fullGrantsFrom.Add(FloorTTL)):
		return FloorQuota(o.slots, len(members), rank)
	case o.cold:
		return 0
	}
	return min(FloorQuota(o.slots, len(members), rank), max(1, o.limit/max(1, len(members))))
}

// apportion divides the limit: first the floors, then one slot at a time to the
// member with the largest unmet demand.
func (o *Owner) apportion(now time.Time, members []string) map[string]int {
	shares := map[string]int{}
	remaining := o.limit
	for _, m := range members {
		reserved := min(remaining, o.reserve(now, m, members))
		shares[m] = reserved
		remaining -= reserved
	}
	for ; remaining > 0; remaining-- {
		best := slices.MaxFunc(members, func(a, b string) int {
			return cmp.Or(
				cmp.Compare(o.unmetDemand(now, a, shares), o.unmetDemand(now, b, shares)),
				cmp.Compare(slices.Index(members, b), slices.Index(members, a)))
		})
		shares[best]++
	}
	return shares
}

// unmetDemand returns the demand of a member beyond its share. A member without a
// recent report ranks below all others.
func (o *Owner) unmetDemand(now time.Time, id string, shares map[string]int) int {
	h, ok := o.holders[id]
	if !ok || !now.Before(h.expires) {
		return -shares[id] - o.limit
	}
	return h.demand - shares[id]
}

// Retain drops the state of holders that are no longer members and whose grants
// have expired.
func (o *Owner) Retain(now time.Time, members []string) {
	for id, h := range o.holders {
		if !slices.Contains(members, id) && !now.Before(h.expires) {
			delete(o.holders, id)
		}
	}
}
