package roller

import (
	"math/rand/v2"
	"slices"
	"time"

	"samphiremux/entry/snapshotter"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/describer"
)

const (
	// rewriteDelay is the time after which a record that the store lacks counts as lost.
	// Until then it may be on its way: a step that its leader has just written, or a
	// rollback that it has announced.
	rewriteDelay = 500 * time.Millisecond
	// rewriteSpread is the time over which the entries other than the leader spread their
	// writes of a lost record, so that the first one serves for all.
	rewriteSpread = time.Second
)

// rewriteDue reports whether this entry is to write a record that the store lacks, since it was
// restored from a copy without it, or its leader was lost after it announced a rollback. Every
// entry may do so: the leader may not know the record.
func (r *Roller) rewriteDue(o describer.MoveOrder, rec snapshotter.MoveRecord, leader bool) bool {
	service := o.Service
	stored, _, err := r.storedRecord(service)
	isUnknownToStore := stored.Precedes(rec) || (r.opts.Snapshots.IsAnnounced(service) && !stored.Phase.Final())
	if err != nil || !isUnknownToStore || !r.reachesStore() {
		delete(r.rewriteAt, service)
		return false
	}
	now := time.Now()
	at, ok := r.rewriteAt[service]
	if !ok {
		at = now.Add(rewriteDelay)
		switch {
		case r.mayHaveEnded(o, rec):
			at = at.Add(rewriteSpread + rewriteDelay + rand.N(rewriteSpread))
		case !leader:
			at = at.Add(rand.N(rewriteSpread))
		}
		r.rewriteAt[service] = at
	}
	if now.Before(at) {
		return false
	}
	delete(r.rewriteAt, service)
	return true
}

// mayHaveEnded reports whether the store may have held another end of the move than an announced
// rollback before it was restored from a copy. Entries that know that end write it again first.
func (r *Roller) mayHaveEnded(o describer.MoveOrder, rec snapshotter.MoveRecord) bool {
	return rec.Restored(o) && r.opts.Snapshots.IsAnnounced(o.Service)
}

// reachesStore reports whether the store answers this entry.
func (r *Roller) reachesStore() bool {
	return slices.ContainsFunc(r.opts.LeaderCandidates(time.Now()), func(m tracker.Member) bool { return m.ID == r.opts.Self })
}
