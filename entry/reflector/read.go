package reflector

import (
	"context"
	"errors"
	"time"

	"samphiremux/pkg/linker"
	"samphiremux/pkg/storer"
)

const (
	// readTimeout bounds the read of one omitted value from the store.
	readTimeout = 2 * time.Second
	// readRetryInterval is the time between two tries to read an omitted value.
	readRetryInterval = 100 * time.Millisecond
)

// omission is a value that another entry has named but not sent.
type omission struct {
	// revision is the one at which the other entry knows the value.
	revision storer.Revision
	since    time.Time
}

// with returns the omission with a revision that has been named too. It is as old as
// before.
func (o omission) with(now time.Time, revision storer.Revision) omission {
	if o.since.IsZero() {
		o.since = now
	}
	o.revision = max(o.revision, revision)
	return o
}

// recordOmitted records which omitted values of a batch are newer than the copy, and
// starts their reads. The caller holds the lock.
func (r *Reflector) recordOmitted(now time.Time, b Batch) {
	for _, c := range b.Omitted {
		revision := linker.DecodeRevision(c.GetRevision(), c.GetEra(), b.Revision.Era())
		if known, ok := r.keys[c.GetKey()]; !ok || known.revision < revision {
			r.omitted[c.GetKey()] = r.omitted[c.GetKey()].with(now, revision)
		}
	}
	if len(r.omitted) == 0 {
		return
	}
	if r.cancelFetch != nil && !r.storeLost {
		// The value would come twice over the same link.
		r.cancelFetch()
	}
	r.omittedUpTo = max(r.omittedUpTo, b.Revision)
	select {
	case r.wakeReads <- struct{}{}:
	default:
	}
}

// beforeOmitted returns the revision up to which the copy lacks no omitted value. The
// caller holds the lock.
func (r *Reflector) beforeOmitted() (revision storer.Revision) {
	revision = maxRevision
	for _, omitted := range r.omitted {
		revision = min(revision, omitted.revision-1)
	}
	return revision
}

// maxRevision is the highest revision.
const maxRevision = storer.Revision(1<<63 - 1)

// endOmission records that an omitted value is known or gone. The caller holds the lock.
func (r *Reflector) endOmission(key string) {
	delete(r.omitted, key)
	if len(r.omitted) == 0 {
		r.advance(r.omittedUpTo)
		r.omittedUpTo = 0
	}
}

// omittedKeys returns the keys to read from the store, and whether the store answered the
// last list or watch.
func (r *Reflector) omittedKeys() (keys []string, storeAnswers bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.omitted {
		keys = append(keys, key)
	}
	return keys, !r.storeLost
}

// runReads reads omitted values until ctx ends: from the store, or from other entries
// while it does not answer.
func (r *Reflector) runReads(ctx context.Context) {
	for {
		select {
		case <-r.wakeReads:
		case <-ctx.Done():
			return
		}
		for {
			keys, storeAnswers := r.omittedKeys()
			if len(keys) == 0 {
				break
			}
			if storeAnswers && r.readOmitted(ctx, keys) {
				continue
			}
			r.fetch(ctx)
			if !sleep(ctx, readRetryInterval) {
				return
			}
		}
	}
}

// readOmitted reads keys from the store. It reports whether the store answered.
func (r *Reflector) readOmitted(ctx context.Context, keys []string) bool {
	for _, key := range keys {
		readCtx, cancel := storer.WithTransferTimeout(ctx, time.Now().Add(readTimeout), transferTimeout)
		pair, err := r.o.Store.Get(readCtx, key)
		cancel()
		var noSuchKey storer.ErrNoSuchKey
		if err != nil && !errors.As(err, &noSuchKey) {
			r.o.Log.Warn("Value not read from the store; asking other entries.", "key", key, "error", err)
			return false
		}
		r.mu.Lock()
		if err == nil {
			r.apply(time.Now(), Change{Key: key, Value: pair.Value, Revision: pair.ModRevision})
		}
		if _, ok := r.omitted[key]; ok {
			r.endOmission(key)
		}
		r.mu.Unlock()
	}
	return true
}
