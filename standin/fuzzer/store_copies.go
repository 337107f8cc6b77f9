package fuzzer

import (
	"context"
	"strconv"
	"time"

	"samphiremux/pkg/publisher"
	"samphiremux/standin/platformemulator"
)

const (
	// copyInterval is the time between two copies of the store.
	copyInterval = 250 * time.Millisecond
	// rewriteDelay is the time after a restore of the store at which the operators write
	// the document in force again.
	rewriteDelay = 500 * time.Millisecond
)

// storeCopy is a copy of the store and the time at which it was taken.
type storeCopy struct {
	at   time.Time
	copy platformemulator.Copy
}

// copyStore takes copies of the store until ctx ends.
func (r *run) copyStore(ctx context.Context) {
	for ctx.Err() == nil {
		r.addCopy()
		select {
		case <-time.After(copyInterval):
		case <-ctx.Done():
		}
	}
}

func (r *run) addCopy() {
	r.copiesMu.Lock()
	defer r.copiesMu.Unlock()
	r.copies = append(r.copies, storeCopy{at: time.Now(), copy: r.cluster.Store.Copy()})
}

// copyOf returns the newest copy that is at least so old, or the oldest one.
func (r *run) copyOf(age time.Duration) platformemulator.Copy {
	r.copiesMu.Lock()
	defer r.copiesMu.Unlock()
	chosen := r.copies[0]
	for _, c := range r.copies {
		if time.Since(c.at) >= age {
			chosen = c
		}
	}
	return chosen.copy
}

// storeRestore brings the store back from a copy that is some seconds old. The operators
// write the document in force again a little later.
func (r *run) storeRestore(args []string) {
	seconds, err := strconv.Atoi(args[0])
	if err != nil || r.restored {
		return
	}
	key := publisher.DocumentKey(r.cluster.Document().Environment)
	value := r.cluster.Store.Copy().Value(key)
	r.cluster.Store.Restore(r.copyOf(time.Duration(seconds) * time.Second))
	if r.script.InjectedBug == "forget-writes" {
		return
	}
	r.background(func() {
		time.Sleep(rewriteDelay)
		if olderDocument(r.cluster.Store.Copy().Value(key), value) {
			r.cluster.Store.PutUnguarded(key, value)
		}
	})
}

// olderDocument reports whether a stored document is missing or older than another.
func olderDocument(stored, other []byte) bool {
	s, err := publisher.Decode(stored)
	o, otherErr := publisher.Decode(other)
	return otherErr == nil && (err != nil || s.Revision < o.Revision)
}
