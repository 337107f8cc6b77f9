package reflector

import (
	"context"
	"time"
)

// maxContacts bounds the attempts of an entry to reach the store that are made since it answers
// other entries. It may refuse this one only, and refused calls cost as much as others.
const maxContacts = 3

// start is what an entry needs until the store has answered it for the first time. The fields but
// the channels are guarded by the reflector's lock.
type start struct {
	// listedAt is when the list under way was sent, and cancelList cancels it. They are zero if
	// there is none.
	listedAt   time.Time
	cancelList context.CancelFunc
	// overdue cancels the list under way once it is overdue. It is nil unless the store
	// answers other entries.
	overdue *time.Timer
	// answered is set once the store has answered a list, and contacts is the number of
	// attempts to reach it that were made since it answers other entries.
	answered bool
	contacts int
	// contact ends the wait before the next list, and sync the one before the next fetch from
	// other entries.
	contact, sync chan struct{}
}

func newStart() start { return start{contact: make(chan struct{}, 1), sync: make(chan struct{}, 1)} }

// beginList records a list that is sent at a time, or that none is under way.
func (r *Reflector) beginList(at time.Time, cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start.listedAt, r.start.cancelList = at, cancel
	if r.start.overdue != nil {
		r.start.overdue.Stop()
		r.start.overdue = nil
	}
	r.receivingSince = time.Time{}
}

// observeListProgress records that a part of the response to a list has arrived.
func (r *Reflector) observeListProgress() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.receivingSince.IsZero() {
		r.receivingSince = time.Now()
	}
}

// ObservePeerContact records that another entry has sent or answered a heartbeat, and whether
// the store answers it. If so, an entry that the store has not answered yet asks it at once: when
// an outage ends, the entries need not wait for their next attempts.
func (r *Reflector) ObservePeerContact(now time.Time, storeReached bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !storeReached || r.start.answered || r.start.contacts >= maxContacts {
		return
	}
	wake(r.start.contact)
	if r.start.overdue == nil && r.start.cancelList != nil {
		listedAt := r.start.listedAt
		r.start.overdue = time.AfterFunc(listOverdue-now.Sub(listedAt), func() { r.cancelOverdue(listedAt) })
	}
}

// cancelOverdue cancels the list that was sent at a time unless its response has begun to arrive.
func (r *Reflector) cancelOverdue(listedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.start.cancelList != nil && r.start.listedAt.Equal(listedAt) && r.receivingSince.IsZero() {
		r.start.cancelList()
	}
}

// storeAnswered reports whether the store has answered a list of this entry.
func (r *Reflector) storeAnswered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.start.answered
}

// wakePeerSync ends the wait before the next fetch from other entries.
func (r *Reflector) wakePeerSync() { wake(r.start.sync) }

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleepUntilContact waits for d, or until the store answers another entry. It reports false if
// ctx ends first.
func (r *Reflector) sleepUntilContact(ctx context.Context, d time.Duration) bool {
	woken, ok := sleepUntil(ctx, d, r.start.contact)
	if woken {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.start.contacts++
	}
	return ok
}

// sleepUntilSync waits for d, or until changes are to be fetched from other entries at once. It
// reports false if ctx ends first.
func (r *Reflector) sleepUntilSync(ctx context.Context, d time.Duration) bool {
	_, ok := sleepUntil(ctx, d, r.start.sync)
	return ok
}

// sleepUntil waits for d, or until it is woken. Ok is false if ctx ends first.
func sleepUntil(ctx context.Context, d time.Duration, wakes <-chan struct{}) (woken, ok bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return false, true
	case <-wakes:
		return true, true
	case <-ctx.Done():
		return false, false
	}
}
