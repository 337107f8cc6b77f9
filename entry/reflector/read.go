package reflector

import (
	"context"
	"errors"
	"sync"
	"time"

	"samphiremux/pkg/linker"
	"samphiremux/pkg/storer"
)

const (
	// readTimeout bounds the read of one omitted value from the store.
	readTimeout = 2 * time.Second
	// readPatience is the time without a response of the store after which other entries are
	// asked beside it.
	readPatience = 500 * time.Millisecond
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
			if storeAnswers && r.readAll(ctx, keys) {
				continue
			}
			r.fetch(ctx)
			if !sleep(ctx, readRetryInterval) {
				return
			}
		}
	}
}

// readAll reads keys from the store. It reports whether all are known or gone.
func (r *Reflector) readAll(ctx context.Context, keys []string) bool {
	for _, key := range keys {
		if err := r.readOmitted(ctx, key); err != nil && r.isOmitted(key) {
			r.o.Log.Warn("Value not read from the store; asking other entries.", "key", key, "error", err)
			return false
		}
	}
	return true
}

// readOmitted reads a key from the store. While no response arrives, other entries are asked
// too, and the read ends when one of them has given the value.
func (r *Reflector) readOmitted(ctx context.Context, key string) error {
	readCtx, cancelRead := storer.WithTransferTimeout(ctx, time.Now().Add(readTimeout), transferTimeout)
	defer cancelRead()
	fetchCtx, cancelFetch := context.WithCancel(ctx)
	var fetches sync.WaitGroup
	fetches.Go(func() {
		if r.fetchOmitted(fetchCtx, key) {
			cancelRead()
		}
	})
	// The value would come twice over the same link.
	pair, err := r.o.Store.Get(storer.WithProgress(readCtx, cancelFetch), key)
	cancelFetch()
	fetches.Wait()
	var noSuchKey storer.ErrNoSuchKey
	if err != nil && !errors.As(err, &noSuchKey) {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.apply(time.Now(), Change{Key: key, Value: pair.Value, Revision: pair.ModRevision})
	}
	if _, ok := r.omitted[key]; ok {
		r.endOmission(key)
	}
	return nil
}

// fetchOmitted asks other entries for the value of a key from readPatience on, until ctx
// ends. It reports whether the value is known or gone.
func (r *Reflector) fetchOmitted(ctx context.Context, key string) bool {
	for wait := readPatience; sleep(ctx, wait); wait = peerSyncInterval {
		r.fetch(ctx)
		if !r.isOmitted(key) {
			return true
		}
	}
	return false
}

// isOmitted reports whether a key is still to be read.
func (r *Reflector) isOmitted(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.omitted[key]
	return ok
}
