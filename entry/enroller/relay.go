package enroller

import (
	"slices"
	"time"

	"samphiremux/entry/tracker"
)

const (
	// maxRelayCandidates is the number of entries of a failure domain, in the order in which
	// they become its relay, that follow the store closely while it is unavailable.
	maxRelayCandidates = 3
	// electionDelay is the time after the start in which no relay is passed over, and other
	// failure domains are not sought for relays: the others need some time to receive the
	// registration of this entry.
	electionDelay = 2 * time.Second
	// successorTimeout is the time within which the next candidate sends a heartbeat as the
	// relay once one has been passed over.
	successorTimeout = 400 * time.Millisecond
	// roundGrowth is the factor by which the number of candidates grows that are passed over
	// in a round, 1 << roundGrowthBits, and maxRounds bounds the rounds in which it does.
	roundGrowthBits = 2
	roundGrowth     = 1 << roundGrowthBits
	maxRounds       = 8
	// outageCandidates is the number of entries of a failure domain that seek the role at once
	// when the relay has lost the store. The store may refuse a part of the entries only, a third
	// or more; with three candidates, a domain in which it refused all of them had no relay for 7 s.
	outageCandidates = 9
	// minOutageWait and maxOutageWait bound the time for which an entry that is not among the
	// first relays neither watches the store nor seeks the role, once the relay has reported that
	// the store does not answer it. Otherwise every entry makes two to three calls in an outage
	// of 5 s. The first relays find out whether the store answers them, and then the
	// others one by one, each outageTurn later than the one before it.
	minOutageWait = 5 * time.Second
	maxOutageWait = 15 * time.Second
	outageTurn    = 500 * time.Millisecond
	// relayKey is the key of the rendezvous order of relays.
	relayKey = "scout"
)

// election is what an entry knows of the relay of its failure domain.
type election struct {
	// expected is the entry that should be the relay, and due the time until which it must
	// have sent a heartbeat as such.
	expected string
	due      time.Time
	// passedOver holds the entries that have not. Most entries exchange no heartbeats with a
	// candidate, so nothing else shows that it has crashed.
	passedOver map[string]bool
	// last is the entry that has sent the last heartbeat as the relay.
	last string
	// storeLostUntil is the time until which only the first relays try to reach
	// the store. It is zero unless a relay has reported that the store does not answer it, and none
	// has sent a heartbeat since.
	storeLostUntil time.Time
	// rounds is the number of times that candidates were passed over since the last
	// heartbeat of a relay.
	rounds int
}

// recordHeartbeat records a heartbeat of a relay.
func (l *election) recordHeartbeat(now time.Time, id string) {
	delete(l.passedOver, id)
	l.rounds = 0
	l.last, l.storeLostUntil = id, time.Time{}
	if due := now.Add(relayTimeout); due.After(l.due) {
		l.due = due
	}
}

// expect records which other entry should be the relay now. It reports false if that one
// has been silent for too long.
func (l *election) expect(now time.Time, id string) bool {
	if id != l.expected {
		l.expected = id
		timeout := relayTimeout
		if l.rounds > 0 {
			timeout = successorTimeout
		}
		if due := now.Add(timeout); due.After(l.due) {
			l.due = due
		}
	}
	return now.Before(l.due)
}

// passOver passes over candidates until it meets an entry, and returns the others. The first
// time it is one of them, then three, then twelve, and so on, so that a few rounds suffice
// when most entries are lost at once.
func (l *election) passOver(candidates []tracker.Member, until string) []tracker.Member {
	n := 1
	if l.rounds > 0 {
		n = (roundGrowth - 1) << (roundGrowthBits * min(l.rounds-1, maxRounds))
	}
	l.rounds++
	for ; n > 0 && len(candidates) > 0; n-- {
		first := firstRelay(candidates)
		if first.ID == until {
			break
		}
		l.passedOver[first.ID] = true
		candidates = slices.DeleteFunc(candidates, func(m tracker.Member) bool { return m.ID == first.ID })
	}
	return candidates
}

// IsRelay reports whether this entry watches the store for the other entries of its
// failure domain: whether it is the first of those that the store may answer, by the
// bandwidth of the link and then by rendezvous hashing. One that is expected to be the relay
// and sends no heartbeats is passed over.
func (e *Enroller) IsRelay() bool {
	if !e.ReachesStore() {
		return false
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.tracked(now)
	if e.awaitsRelay(now) {
		return false
	}
	candidates := e.domainMembers(now, func(m tracker.Member) bool {
		return !e.isPassedOver(m.ID) && t.Usable(now, m.ID) && t.PeerMayReachStore(m.ID)
	})
	for len(candidates) > 0 {
		first := firstRelay(candidates)
		if first.ID == e.o.Self.ID {
			return true
		}
		if e.election.expect(now, first.ID) {
			return false
		}
		candidates = e.election.passOver(candidates, e.o.Self.ID)
	}
	return false
}

// AwaitsRelay reports whether this entry leaves it to the first outageCandidates of its failure
// domain to reach the store, since the store has not answered the last relay.
func (e *Enroller) AwaitsRelay() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.awaitsRelay(time.Now())
}

// awaitsRelay is AwaitsRelay. The caller holds the lock.
func (e *Enroller) awaitsRelay(now time.Time) bool {
	l := &e.election
	if l.storeLostUntil.IsZero() && l.last != "" && e.tracked(now).PeerLacksStore(now, l.last) {
		turn := time.Duration(e.relayPosition(now, len(e.registered), e.isPassedOver)) * outageTurn
		l.storeLostUntil = now.Add(min(minOutageWait+turn, maxOutageWait))
	}
	return now.Before(l.storeLostUntil) && e.relayPosition(now, outageCandidates, e.isPassedOver) == outageCandidates
}

// MayBecomeRelay reports whether this entry is among the first of its failure domain,
// whether the store answers it or not. Once the store has refused this entry, those that it
// passed over count too: the store may have refused them as well, and each entry that passed
// over some would try as often as they do. Crashed ones are unresponsive soon and do not count.
func (e *Enroller) MayBecomeRelay() bool {
	reached := e.ReachesStore()
	e.mu.Lock()
	defer e.mu.Unlock()
	without := func(id string) bool { return reached && e.isPassedOver(id) }
	return e.relayPosition(time.Now(), maxRelayCandidates, without) < maxRelayCandidates
}

// relayPosition returns the position of this entry, from 0, in the order in which the entries
// of its failure domain become the relay, or limit if it is not among the first of that number.
// Those that match do not count. The caller holds the lock.
func (e *Enroller) relayPosition(now time.Time, limit int, without func(id string) bool) int {
	t := e.tracked(now)
	candidates := e.domainMembers(now, func(m tracker.Member) bool { return t.Usable(now, m.ID) && !without(m.ID) })
	for i := range limit {
		if len(candidates) == 0 {
			break
		}
		first := firstRelay(candidates)
		if first.ID == e.o.Self.ID {
			return i
		}
		candidates = slices.DeleteFunc(candidates, func(m tracker.Member) bool { return m.ID == first.ID })
	}
	return limit
}

// isPassedOver reports whether an entry has been passed over as the relay. The caller holds the
// lock.
func (e *Enroller) isPassedOver(id string) bool { return e.election.passedOver[id] }

// domainMembers returns this entry, and those other members of its failure domain that
// match. The caller holds the lock.
func (e *Enroller) domainMembers(now time.Time, match func(tracker.Member) bool) (members []tracker.Member) {
	for _, m := range e.tracked(now).Members() {
		if m.Domain != e.o.Self.Domain {
			continue
		}
		if m.ID == e.o.Self.ID || match(m) {
			members = append(members, m)
		}
	}
	return members
}

// firstRelay returns the first of one or more candidates: of those with the fastest links,
// the first by rendezvous hashing.
func firstRelay(candidates []tracker.Member) tracker.Member {
	fastest := 0.0
	for _, m := range candidates {
		fastest = max(fastest, m.LinkRate)
	}
	first, _ := tracker.HighestRanked(relayKey, slices.DeleteFunc(slices.Clone(candidates), func(m tracker.Member) bool {
		return m.LinkRate < fastest
	}))
	return first
}

// changeLimit returns the size in bytes up to which changes are sent in one heartbeat, so
// that those to all entries of the failure domain take half of the link. The caller holds
// the lock.
func (e *Enroller) changeLimit(now time.Time) int {
	return boundedLimit(e.o.Self.LinkRate, len(e.domainMembers(now, func(m tracker.Member) bool { return !e.isPassedOver(m.ID) })))
}

// boundedLimit returns the size in bytes up to which changes are sent in one heartbeat, for an
// entry with a link that sends them to a number of others.
func boundedLimit(linkRate float64, receivers int) int {
	limit := linkShare * linkRate * relayInterval.Seconds() / float64(max(1, receivers))
	return int(min(max(limit, minChangeBytes), maxChangeBytes))
}
