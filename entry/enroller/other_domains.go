package enroller

import (
	"slices"
	"time"

	"samphiremux/entry/tracker"
)

const (
	// remoteReportTimeout is the time for which the report of another failure domain's
	// relay that one of its entries is unreachable applies.
	remoteReportTimeout = 2500 * time.Millisecond
	// remoteRelayTimeout is the time for which an entry of another failure domain counts as
	// responding after its last heartbeat or answer.
	remoteRelayTimeout = 1200 * time.Millisecond
	// remoteCandidates is the number of entries that are sent heartbeats when the presumed
	// relay of their failure domain does not respond, before all of them are.
	remoteCandidates = 4
	// remoteInterval is the time between two heartbeats to an entry of another failure
	// domain.
	remoteInterval = tracker.HeartbeatInterval - relayInterval/2
)

// remoteTargets returns the members of other failure domains that this entry, a relay, is to
// send heartbeats to now: of each domain the presumed relay, and those that this entry has
// found unresponsive. While no relay responds, nobody would report which entries of its
// domain are lost, so further members follow, at last all of them.
func (e *Enroller) remoteTargets(now time.Time) (targets []tracker.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.tracked(now)
	domains := map[string][]tracker.Member{}
	for _, m := range t.Members() {
		if m.Domain != e.o.Self.Domain {
			domains[m.Domain] = append(domains[m.Domain], m)
		}
	}
	for _, members := range domains {
		sought := relayTargets(now, t, members, now.Before(e.electionStart))
		for _, m := range members {
			wanted := slices.Contains(sought, m) || t.Unresponsive(now, m.ID)
			if wanted && !t.SentWithin(now, m.ID, remoteInterval) {
				targets = append(targets, m)
			}
		}
	}
	return targets
}

// relayTargets returns the members of a failure domain among which its relay is sought: the
// presumed one, if it does not respond the next ones, and if none of these does, all. While
// entries start, it is the presumed one only.
func relayTargets(now time.Time, t *tracker.Tracker, members []tracker.Member, starting bool) (targets []tracker.Member) {
	candidates := slices.DeleteFunc(slices.Clone(members), func(m tracker.Member) bool {
		return !t.Usable(now, m.ID) || t.PeerLacksStore(now, m.ID)
	})
	for _, n := range []int{1, remoteCandidates} {
		if len(candidates) == 0 {
			break
		}
		responding, waiting := false, false
		for ; n > 0 && len(candidates) > 0; n-- {
			first := firstRelay(candidates)
			candidates = slices.DeleteFunc(candidates, func(m tracker.Member) bool { return m.ID == first.ID })
			targets = append(targets, first)
			responding = responding || t.HeardWithin(now, first.ID, remoteRelayTimeout)
			waiting = waiting || !t.Unanswered(now, first.ID, relayInterval)
		}
		if responding || waiting || starting {
			return targets
		}
	}
	return members
}

// recordRemote records that an entry of another failure domain reports one of that domain
// as unreachable. A relay passes this on to its own domain, and only this, so that reports
// do not keep each other alive. The caller holds the lock.
func (e *Enroller) recordRemote(now time.Time, reporter, id string) {
	domain := e.registered[reporter].Domain
	if domain != "" && domain != e.o.Self.Domain && e.registered[id].Domain == domain {
		e.remoteUntil[id] = now.Add(remoteReportTimeout)
	}
}

// remoteUnreachable returns the entries of other failure domains that are reported as
// unreachable. The caller holds the lock.
func (e *Enroller) remoteUnreachable(now time.Time) (ids []string) {
	for id, until := range e.remoteUntil {
		if now.Before(until) {
			ids = append(ids, id)
			continue
		}
		delete(e.remoteUntil, id)
	}
	return ids
}
