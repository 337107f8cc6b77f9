package reflector

import (
	"time"

	"samphiremux/pkg/storer"
)

const (
	// maxOrdinaryGap is the time for which an entry may be behind others while changes
	// are forwarded as usual.
	maxOrdinaryGap = time.Second
	// firstContact is the time within which an entry that starts hears the revisions of
	// other entries. It exceeds the time between two heartbeats.
	firstContact = 1500 * time.Millisecond
	// maxGap bounds the time for which an entry counts as outdated, since another one may
	// have told a revision that the store does not have.
	maxGap = 10 * time.Second
)

// gap is a store revision that another entry has reached and this one has not. The zero
// value means that there is none.
type gap struct {
	upTo  storer.Revision
	since time.Time
}

// open records that another entry has reached a revision, unless there is a gap already.
func (g *gap) open(now time.Time, upTo storer.Revision) {
	if g.upTo == 0 {
		*g = gap{upTo: upTo, since: now}
	}
}

// close ends the gap if the copy is complete up to its revision.
func (g *gap) close(revision storer.Revision) {
	if revision >= g.upTo {
		*g = gap{}
	}
}

// Outdated reports whether the known value of a key is, or may be, older than the one that
// another entry knows: because a newer one has been named and is still to be read, or
// because this entry has been behind for longer than the forwarding of changes takes. An
// entry that has started from another one's copy may be behind until the store or further
// entries have answered. All of this lasts maxGap at most.
func (r *Reflector) Outdated(now time.Time, key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o, named := r.omitted[key]; named && now.Sub(o.since) <= maxGap {
		return true
	}
	grace := maxOrdinaryGap
	if !r.unconfirmedSince.IsZero() {
		if now.Sub(r.unconfirmedSince) <= firstContact {
			return true
		}
		grace = 0
	}
	behind := now.Sub(r.gap.since)
	return r.gap.upTo != 0 && behind > grace && behind <= maxGap
}

// confirm records that the state after a start is current, once the store answers and no
// other entry has reported a newer revision within firstContact.
func (r *Reflector) confirm(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.unconfirmedSince) > firstContact && r.gap.upTo == 0 && !r.storeLost {
		r.unconfirmedSince = time.Time{}
	}
}
