// Package reflector keeps a copy of a part of the platform's store in step with it.
// A few entries, the scouts, watch the store and pass its changes on; the others
// watch it only while they hear no scout. No key ever goes back to an older state.
package reflector

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
)

// tombstoneLife is the time for which the removal of a key is remembered, for
// entries that ask for changes.
const tombstoneLife = time.Minute

// Change is one key of the store.
type Change struct {
	Key      string
	Value    []byte
	Revision storer.Revision
	Deleted  bool
}

// Sink takes in changes in the order of their revisions. It is called by one
// goroutine at a time.
type Sink func(now time.Time, c Change)

// Batch is a set of changes as entries pass it on.
type Batch struct {
	Changes []*linkpb.Change
	// Revision is that up to which the batch is whole.
	Revision storer.Revision
	// Full tells that the changes are all keys: what is missing was removed.
	Full bool
}

// Options are what a reflector needs.
type Options struct {
	Store storer.Store
	// Prefix is the part of the store to follow.
	Prefix string
	// FetchFromPeers asks other entries for the changes above a revision.
	FetchFromPeers func(ctx context.Context, above storer.Revision) (Batch, error)
	// IsRelay tells whether this entry watches the store for others.
	IsRelay func() bool
	// HasRelay tells whether a scout was heard a short time ago.
	HasRelay func() bool
	// RemovalDelay is the time for which the removal of a key is not passed on after
	// the store was out, since its writer may not have reached it yet.
	RemovalDelay func(key string) time.Duration
	// OnChange is called after changes came from the store.
	OnChange func()
	Sink     Sink
	Log      hclog.Logger
}

// Reflector keeps the copy.
type Reflector struct {
	o Options

	mu       sync.Mutex
	keys     map[string]*entry
	revision storer.Revision
	// floor is the revision from which removals are remembered.
	floor storer.Revision
	lost  bool
	ready bool
	// restart ends the watch that is under way, and behind is since when another
	// entry is known to have newer changes meanwhile.
	restart context.CancelFunc
	behind  time.Time
	held    map[string]heldRemoval
}

// entry is a key with its newest known state.
type entry struct {
	value    []byte
	revision storer.Revision
	deleted  bool
	at       time.Time
}

// heldRemoval is a removal that is passed on at its deadline.
type heldRemoval struct {
	revision storer.Revision
	deadline time.Time
}

// New returns a reflector that knows nothing.
func New(o Options) *Reflector {
	return &Reflector{o: o, keys: map[string]*entry{}, held: map[string]heldRemoval{}}
}

// Ready tells whether the part was read whole once.
func (f *Reflector) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready
}

// StoreReachable tells whether the store answers this entry.
func (f *Reflector) StoreReachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready && !f.lost
}

// Revision returns the store revision up to which the copy is whole.
func (f *Reflector) Revision() storer.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shared()
}

// shared is the revision that other entries may take as known. Held removals are
// not passed on yet. The lock is held.
func (f *Reflector) shared() storer.Revision {
	revision := f.revision
	for _, h := range f.held {
		revision = min(revision, h.revision-1)
	}
	return revision
}

// Get returns the newest known value of a key, or a zero revision. A removed key
// has no value and a zero revision, as a transaction expects.
func (f *Reflector) Get(key string) (value []byte, revision storer.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.keys[key]
	if !ok || e.deleted {
		return nil, 0
	}
	return e.value, e.revision
}

// ChangesSince returns the changes above a revision, for another entry. Below the
// revision from which removals are remembered it returns all keys.
func (f *Reflector) ChangesSince(above storer.Revision) (b Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b = Batch{Revision: f.shared(), Full: above < f.floor}
	if !f.ready {
		return Batch{}
	}
	for key, e := range f.keys {
		if (b.Full && !e.deleted) || (!b.Full && e.revision > above) {
			b.Changes = append(b.Changes, &linkpb.Change{
				Key: key, Value: e.value, Revision: uint64(e.revision), Deleted: e.deleted,
			})
		}
	}
	return b
}

// ApplyBatch takes in what another entry knows.
func (f *Reflector) ApplyBatch(now time.Time, b Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.Revision == 0 || (!f.ready && !b.Full) {
		return
	}
	present := map[string]bool{}
	for _, c := range b.Changes {
		present[c.GetKey()] = true
		f.apply(now, Change{
			Key: c.GetKey(), Value: c.GetValue(), Revision: storer.Revision(c.GetRevision()), Deleted: c.GetDeleted(),
		})
	}
	if b.Full {
		f.removeAbsent(now, present, b.Revision, false)
	}
	if !f.ready {
		f.ready = true
		f.floor = b.Revision
		f.o.Log.Info("State taken from another entry.", "revision", b.Revision)
	}
	f.reach(b.Revision)
}

// list takes in the whole part as it was at a revision.
func (f *Reflector) list(now time.Time, pairs []storer.KeyValue, at storer.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	returned := f.lost
	f.lost = false
	present := map[string]bool{}
	for _, p := range pairs {
		present[p.Key] = true
		f.apply(now, Change{Key: p.Key, Value: p.Value, Revision: p.ModRevision})
	}
	f.removeAbsent(now, present, at, returned)
	f.reach(at)
	if !f.ready {
		f.floor = at
	}
	f.ready = true
	if returned {
		f.o.Log.Info("Store answers again.", "revision", at)
	}
}

// watched takes in a batch of changes of a watch.
func (f *Reflector) watched(now time.Time, events []storer.Event, upTo storer.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range events {
		f.apply(now, Change{Key: e.Pair.Key, Value: e.Pair.Value, Revision: e.Pair.ModRevision, Deleted: e.Deleted})
	}
	f.reach(upTo)
}

// reach notes that the copy is whole up to a revision. The lock is held.
func (f *Reflector) reach(revision storer.Revision) {
	if revision > f.revision {
		f.revision = revision
		f.behind = time.Time{}
	}
}

// removeAbsent notes that keys are gone that a whole reading does not have. The
// lock is held.
func (f *Reflector) removeAbsent(now time.Time, present map[string]bool, at storer.Revision, returned bool) {
	for key, e := range f.keys {
		if !present[key] && !e.deleted && e.revision <= at {
			f.remove(now, key, at, returned)
		}
	}
}

// remove notes that a key is gone. After the store was out, removals of keys
// that may come back are held for a while.
func (f *Reflector) remove(now time.Time, key string, at storer.Revision, returned bool) {
	wait := f.o.RemovalDelay(key)
	if !returned || wait == 0 {
		f.apply(now, Change{Key: key, Revision: at, Deleted: true})
		return
	}
	if _, ok := f.held[key]; !ok {
		f.held[key] = heldRemoval{revision: at, deadline: now.Add(wait)}
	}
}

// passHeld passes on removals whose time is up, and forgets old ones.
func (f *Reflector) passHeld(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, h := range f.held {
		if now.Before(h.deadline) {
			continue
		}
		delete(f.held, key)
		f.apply(now, Change{Key: key, Revision: h.revision, Deleted: true})
	}
	for key, e := range f.keys {
		if e.deleted && now.Sub(e.at) > tombstoneLife {
			delete(f.keys, key)
			f.floor = max(f.floor, e.revision)
		}
	}
}

// apply takes in a change unless a newer one is known. The lock is held.
func (f *Reflector) apply(now time.Time, c Change) {
	known, ok := f.keys[c.Key]
	if ok && c.Revision <= known.revision {
		return
	}
	if h, held := f.held[c.Key]; held && c.Revision > h.revision {
		delete(f.held, c.Key)
	}
	if !ok && c.Deleted {
		return
	}
	f.keys[c.Key] = &entry{value: c.Value, revision: c.Revision, deleted: c.Deleted, at: now}
	f.o.Sink(now, c)
}
