package limiter

import (
	"cmp"
	"slices"
	"time"
)

const (
	// coldLimit is the limit of a server that has just turned cold.
	coldLimit = 1
	// rampStep is the least time between two increases of a limit.
	rampStep = 400 * time.Millisecond
	// rampAnswers is the number of answers per unit of the limit that must come
	// before a limit grows.
	rampAnswers = 3
	// shedHold is the time for which a limit stays after the server shed load.
	shedHold = time.Second
	// shedFactor reduces a limit when the server sheds load.
	shedFactor = 0.7
)

// Report is what one holder saw of a server since its last report.
type Report struct {
	Holder string
	// Holding is the grant, or the floor without one, that the holder has as it
	// reports. Answers may be lost, so the owner counts it until the next report.
	Holding   int
	InFlight  int
	Demand    int
	Completed int
	Refused   int
	Failed    int
	// SuspectCold says that the server lost its connections or refused work
	// well below its limit.
	SuspectCold bool
	// Draining says that the holder takes the server as one that is leaving, by
	// the server's own word or by the owner's.
	Draining bool
	// Released says that the holder has no work and has given up its floor. It
	// takes it back no sooner than the owner has answered a later report.
	Released bool
	// Warm says that the holder has used the server as a warm one and has no
	// reason to doubt it. It proves a server to a new owner.
	Warm bool
	// Slow says that answers took much longer than those of other servers.
	Slow bool
}

// Owner learns the limit of one server and shares it out.
type Owner struct {
	slots int
	limit int
	cold  bool
	// proven tells that the owner knows whether the server is cold.
	proven   bool
	draining bool
	// ramping tells that a cold server has answered, which its ramp counts from.
	ramping   bool
	answers   int
	slow      bool
	nextStep  time.Time
	grantFrom time.Time
	holders   map[string]*holder
}

type holder struct {
	demand   int
	granted  int
	released bool
	// toldDraining tells what the last grant said. A holder that repeats it
	// gives no new sign.
	toldDraining bool
	// floored tells that the holder may use its floor: it reported the server as
	// warm, or the answer, which may be lost, calls it warm.
	floored bool
	expires time.Time
}

// NewOwner returns the state of an entry that becomes owner at now. Until the
// grants of an earlier owner have lapsed it grants no more than floors, and only
// once a holder has proved the server warm. A server that nobody proves by then
// is taken as cold.
func NewOwner(now time.Time, slots int) *Owner {
	return &Owner{slots: slots, limit: MaxInFlight(slots), grantFrom: now.Add(GrantTTL), holders: map[string]*holder{}}
}

func (o *Owner) turnCold(now time.Time) {
	o.proven = true
	o.cold = true
	o.ramping = false
	o.limit = coldLimit
	o.answers = 0
	o.nextStep = now.Add(rampStep)
}

// Cold tells whether the server is taken as cold.
func (o *Owner) Cold() bool { return o.cold || !o.proven }

// Draining tells whether the server said that it is leaving.
func (o *Owner) Draining() bool { return o.draining }

// MarkCold restarts the ramp, as after a probe that found the server cold or
// its return from a failure.
func (o *Owner) MarkCold(now time.Time) { o.turnCold(now) }

// SetDraining notes what a probe said about the server's leaving.
func (o *Owner) SetDraining(draining bool) { o.draining = draining }

// HandleReport takes in a holder's report and returns its grant. Members are the
// holders of the server in the order of their rank.
func (o *Owner) HandleReport(now time.Time, r Report, members []string) Grant {
	h, ok := o.holders[r.Holder]
	if !ok {
		h = &holder{}
		o.holders[r.Holder] = h
	}
	o.learn(now, r)
	// An owner that has just started hears of earlier drains in this way.
	o.draining = o.draining || (r.Draining && !h.toldDraining)
	h.toldDraining = o.draining
	h.demand = max(r.Demand, r.InFlight)
	h.released = r.Released
	slots := 0
	if o.proven && slices.Contains(members, r.Holder) {
		slots = o.share(now, r, members)
	}
	h.granted = max(slots, r.Holding)
	h.floored = r.Warm || !o.Cold()
	h.expires = now.Add(GrantTTL)
	return Grant{Slots: slots, Deadline: h.expires, Cold: o.cold || !o.proven, Draining: o.draining}
}

// learn adapts the limit to a report.
func (o *Owner) learn(now time.Time, r Report) {
	full := MaxInFlight(o.slots)
	o.proven = o.proven || r.Warm
	if !o.proven && !now.Before(o.grantFrom) {
		o.turnCold(now)
	}
	o.answers += r.Completed
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
		o.answers = 0
		o.nextStep = now.Add(shedHold)
	case now.Before(o.nextStep) || o.limit >= full:
		o.cold = o.cold && o.limit < full
	case o.slow:
		o.slow = false
		o.answers = 0
		o.nextStep = now.Add(rampStep)
	case o.answers >= rampAnswers*o.limit:
		o.grow(now, full)
	}
}

// grow doubles the limit of a cold server that answers well, and adds one to
// that of a warm one.
func (o *Owner) grow(now time.Time, full int) {
	next := o.limit + 1
	if o.cold {
		next = o.limit * 2
	}
	o.limit = min(next, full)
	o.cold = o.cold && o.limit < full
	o.answers = 0
	o.nextStep = now.Add(rampStep)
}

// share returns the part of the limit for one holder. Every member keeps its
// floor, and what is left goes by demand. Unexpired grants of others are never
// given out twice. While grants of an earlier owner may hold, no holder gets more
// than it has.
func (o *Owner) share(now time.Time, r Report, members []string) int {
	id := r.Holder
	wanted := o.apportion(now, members)[id]
	if now.Before(o.grantFrom) {
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

// reserve is the floor that a member may use without a grant. A holder that gave
// it up has none. A cold server has no floor, but a holder that did not hear so
// may use one for a while.
func (o *Owner) reserve(now time.Time, id string, members []string) int {
	rank := slices.Index(members, id)
	h, ok := o.holders[id]
	switch {
	case rank < 0 || (ok && h.released):
		return 0
	case o.cold && ok && h.floored && now.Before(h.expires.Add(FloorTTL)):
		return FloorQuota(o.slots, len(members), rank)
	case o.cold && !ok && now.Before(o.grantFrom.Add(FloorTTL)):
		return FloorQuota(o.slots, len(members), rank)
	case o.cold:
		return 0
	}
	return min(FloorQuota(o.slots, len(members), rank), max(1, o.limit/max(1, len(members))))
}

// apportion shares the limit: the floors first, then one by one to the holder
// with the largest unmet demand.
func (o *Owner) apportion(now time.Time, members []string) map[string]int {
	shares := map[string]int{}
	left := o.limit
	for _, m := range members {
		part := min(left, o.reserve(now, m, members))
		shares[m] = part
		left -= part
	}
	for ; left > 0; left-- {
		best := slices.MaxFunc(members, func(a, b string) int {
			return cmp.Or(
				cmp.Compare(o.unmet(now, a, shares), o.unmet(now, b, shares)),
				cmp.Compare(slices.Index(members, b), slices.Index(members, a)))
		})
		shares[best]++
	}
	return shares
}

func (o *Owner) unmet(now time.Time, id string, shares map[string]int) int {
	h, ok := o.holders[id]
	if !ok || !now.Before(h.expires) {
		return -shares[id] - o.limit
	}
	return h.demand - shares[id]
}

// Retain forgets holders that are no longer members and whose grants have
// lapsed.
func (o *Owner) Retain(now time.Time, members []string) {
	for id, h := range o.holders {
		if !slices.Contains(members, id) && !now.Before(h.expires) {
			delete(o.holders, id)
		}
	}
}
