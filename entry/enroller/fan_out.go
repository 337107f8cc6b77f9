package enroller

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"samphiremux/entry/reflector"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/placer"
	"samphiremux/pkg/storer"
)

const (
	// minFanOut is the number of other entries of a failure domain from which a relay sends
	// changes to some of them only, which forward them. To 99 others it sent 14 MB of changes while
	// 1,000 servers and 100 entries returned within 6 s, and at most 4 MB with ten secondary relays.
	minFanOut = 32
	// confirmTimeout is the time within which an entry confirms changes that its secondary relay
	// was sent. It has them within milliseconds, but it confirms them in the answer to the next
	// heartbeat. What it has not confirmed by then the relay sends itself.
	confirmTimeout = 500 * time.Millisecond
	// secondaryKey is the key of the rendezvous order of secondary relays.
	secondaryKey = "secondary-relay"
	// forwardQueueLength bounds the heartbeats with changes that wait to be forwarded. Beyond
	// it they are left to the relay.
	forwardQueueLength = 8
)

// fanOut is how the changes of a relay reach the entries of its failure domain. It follows
// from the registered entries and those reported as unreachable, so that a relay and its
// secondary relays mostly agree on it. Entries that they see differently get changes twice, or
// from the relay after confirmTimeout. It is immutable.
type fanOut struct {
	// groups holds the entries that each secondary relay forwards to. It is empty in a small
	// domain.
	groups map[string][]tracker.Member
	// secondaryOf holds the secondary relay of each other entry.
	secondaryOf map[string]string
	// limit is the size in bytes up to which changes are sent in one heartbeat to a secondary
	// relay.
	limit int
	// confirmedUpTo is the revision that entries with a secondary relay have confirmed, unless
	// that has failed.
	confirmedUpTo storer.Revision
}

// leavesTo reports whether an entry that has confirmed a revision gets the changes since from
// its secondary relay.
func (f fanOut) leavesTo(id string, confirmed storer.Revision) bool {
	return f.secondaryOf[id] != "" && confirmed >= f.confirmedUpTo
}

// newFanOut returns how the changes of a relay reach the other usable entries of its failure
// domain: the square root of their number forwards them to the others, those with the fastest
// links first. The limit lets the heartbeats of the relay and of each secondary relay take half
// of their link.
func newFanOut(relay tracker.Member, others []tracker.Member) fanOut {
	if len(others) < minFanOut {
		return fanOut{}
	}
	f := fanOut{groups: map[string][]tracker.Member{}, secondaryOf: map[string]string{}}
	ranked := slices.Clone(others)
	slices.SortFunc(ranked, func(x, y tracker.Member) int {
		return cmp.Or(cmp.Compare(y.LinkRate, x.LinkRate), cmp.Compare(placer.Weight(secondaryKey, y.ID), placer.Weight(secondaryKey, x.ID)), cmp.Compare(x.ID, y.ID))
	})
	n := int(math.Ceil(math.Sqrt(float64(len(others)))))
	rate := relay.LinkRate
	for i, m := range ranked[n:] {
		secondary := ranked[i%n]
		rate = min(rate, secondary.LinkRate)
		f.groups[secondary.ID] = append(f.groups[secondary.ID], m)
		f.secondaryOf[m.ID] = secondary.ID
	}
	f.limit = boundedLimit(rate, n)
	return f
}

// fanOutOf returns how the changes of a relay, this entry or another one, reach its failure
// domain. The caller holds the lock.
func (e *Enroller) fanOutOf(now time.Time, relay tracker.Member) fanOut {
	t := e.tracked(now)
	others := e.domainMembers(now, func(m tracker.Member) bool { return t.Usable(now, m.ID) })
	return newFanOut(relay, slices.DeleteFunc(others, func(m tracker.Member) bool { return m.ID == relay.ID }))
}

// sentRevisions holds the revisions that a relay knew at its last heartbeats, oldest first.
type sentRevisions []sentRevision

type sentRevision struct {
	at       time.Time
	revision storer.Revision
}

// with returns the revisions with one more, and the one that entries with a secondary relay must
// have confirmed: the newest that is confirmTimeout old, or the first one since this entry has
// become the relay.
func (s sentRevisions) with(now time.Time, revision storer.Revision) (next sentRevisions, confirmed storer.Revision) {
	next = append(s, sentRevision{now, revision})
	for len(next) > 1 && now.Sub(next[1].at) >= confirmTimeout {
		next = next[1:]
	}
	return next, next[0].revision
}

// runFanOut forwards the changes of relays until ctx ends.
func (e *Enroller) runFanOut(ctx context.Context) {
	for {
		select {
		case r := <-e.forwardQueue:
			e.forward(ctx, r)
		case <-ctx.Done():
			return
		}
	}
}

// forward sends the changes in a heartbeat of a relay to the entries for which this one is the
// secondary relay. The heartbeats are those of an ordinary entry otherwise.
func (e *Enroller) forward(ctx context.Context, r *linkpb.BeatRequest) {
	now := time.Now()
	e.mu.Lock()
	relay, ok := e.registered[r.GetEntryId()]
	var targets []tracker.Member
	if ok && relay.Domain == e.o.Self.Domain {
		targets = e.fanOutOf(now, relay).groups[e.o.Self.ID]
	}
	e.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	forwarded := e.newRequest(e.o.Self, e.newRound(now, false))
	forwarded.Changes, forwarded.Omitted, forwarded.Whole, forwarded.AboveRevision = r.GetChanges(), r.GetOmitted(), r.GetWhole(), r.GetAboveRevision()
	forwarded.CoveredRevision, forwarded.DocumentRevision, forwarded.Era = r.GetCoveredRevision(), r.GetDocumentRevision(), r.GetEra()
	size := int64(reflector.Batch{Changes: r.GetChanges()}.Size())
	for _, m := range targets {
		e.forwardedBytes.Add(size)
		go e.callBeat(ctx, m, func() *linkpb.BeatRequest { return forwarded })
	}
}
