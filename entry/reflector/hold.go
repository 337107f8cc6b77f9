package reflector

import (
	"bytes"
	"time"

	"samphiremux/pkg/storer"
)

// heldChange is a change that is applied at its deadline unless the key is written
// again before.
type heldChange struct {
	change   Change
	deadline time.Time
}

// applyAll applies a complete list of the keys as of a revision: a known key that the
// list lacks has been removed. Changes of keys that were last known in an earlier era of
// the store are held back, as are removals after an outage. The caller holds the lock.
func (r *Reflector) applyAll(now time.Time, changes []Change, at storer.Revision, afterOutage bool) {
	present := map[string]bool{}
	for _, c := range changes {
		present[c.Key] = true
		known, ok := r.keys[c.Key]
		if ok && known.revision.Era() < c.Revision.Era() && known.differs(c) {
			r.applyOrHold(now, c, r.o.HoldTime(c.Key, true))
			continue
		}
		r.apply(now, c)
	}
	for key, known := range r.keys {
		if present[key] || known.deleted || known.revision > at {
			continue
		}
		hold := time.Duration(0)
		if restored := known.revision.Era() < at.Era(); restored || afterOutage {
			hold = r.o.HoldTime(key, restored)
		}
		r.applyOrHold(now, Change{Key: key, Revision: at, Deleted: true}, hold)
	}
}

// differs reports whether a change would alter the state of the key.
func (k *keyState) differs(c Change) bool {
	return k.deleted != c.Deleted || !bytes.Equal(k.value, c.Value)
}

// applyOrHold applies a change, or holds it back for a time. A key that was written again
// since it is held is applied at once. The caller holds the lock.
func (r *Reflector) applyOrHold(now time.Time, c Change, hold time.Duration) {
	clear(r.batches)
	h, held := r.held[c.Key]
	writtenAgain := held && !c.Deleted && c.Revision > h.change.Revision
	switch {
	case hold == 0 || writtenAgain:
		r.apply(now, c)
	case !held:
		r.held[c.Key] = heldChange{change: c, deadline: now.Add(hold)}
	case c.Deleted && !h.change.Deleted:
		r.held[c.Key] = heldChange{change: c, deadline: h.deadline}
	}
}

// releaseHeld applies held changes that have passed their deadline.
func (r *Reflector) releaseHeld(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, h := range r.held {
		if now.Before(h.deadline) {
			continue
		}
		delete(r.held, key)
		clear(r.batches)
		r.apply(now, h.change)
	}
}
