// Package reflector keeps a local copy of the keys below a prefix of the platform's
// store. It lists the keys and then watches for changes.
//
// Only a few entries, the relays, watch the store all the time and forward its
// changes to the others with their heartbeats. An entry watches the store itself
// while it receives no heartbeats from a relay. While the store is down, entries
// fetch changes from each other. Values that are too large to be forwarded to all entries
// of a failure domain are read from the store by each. A key never reverts to an older revision, whatever
// source it comes from. When the store is restored from a copy, what differs from the
// known state is held back until its writers had time to write it again.
package reflector

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/pkg/linker"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
)

// tombstoneTTL is the time for which a tombstone of a removed key is kept, for
// entries that fetch changes.
const tombstoneTTL = time.Minute

// Change is a new value of a key, or its removal.
type Change struct {
	Key      string
	Value    []byte
	Revision storer.Revision
	Deleted  bool
}

// Sink receives changes. Those of one key come in the order of their revisions. It is
// called by one goroutine at a time, with the reflector's lock held.
type Sink func(now time.Time, c Change)

// Batch is a set of changes that one entry sends to another.
type Batch struct {
	Changes []*linkpb.Change
	// Omitted holds the changes without their values that are too large for the batch.
	Omitted []*linkpb.Change
	// Above is the store revision from which the batch has all changes, zero if it is
	// not known.
	Above storer.Revision
	// Revision is the store revision up to which the batch is complete, apart from what
	// is omitted.
	Revision storer.Revision
	// Full reports that the changes hold all keys: a key that is missing has been
	// removed.
	Full bool
	// CutShort reports that further changes are known that did not fit.
	CutShort bool
}

// CompleteRevision returns the store revision up to which nothing is omitted.
func (b Batch) CompleteRevision() storer.Revision {
	revision := b.Revision
	for _, c := range b.Omitted {
		revision = min(revision, linker.DecodeRevision(c.GetRevision(), c.GetEra(), b.Revision.Era())-1)
	}
	return revision
}

// Size returns the size of the keys and values of the batch in bytes.
func (b Batch) Size() (bytes int) {
	for _, c := range b.Changes {
		bytes += changeSize(c)
	}
	return bytes
}

func changeSize(c *linkpb.Change) int { return len(c.GetKey()) + len(c.GetValue()) }

// Source is where the first complete copy came from.
type Source int

const (
	// FromStore is a list of the store.
	FromStore Source = iota
	// FromPeer is the copy of another entry.
	FromPeer
)

// Options are the dependencies and settings of a Reflector.
type Options struct {
	Store storer.Store
	// Prefix is the prefix of the keys to copy.
	Prefix string
	// FetchFromPeers fetches the changes above a revision from another entry.
	FetchFromPeers func(ctx context.Context, above storer.Revision) (Batch, error)
	// IsRelay reports whether this entry watches the store on behalf of others.
	IsRelay func() bool
	// HasRelay reports whether a relay has recently sent a heartbeat to this entry.
	HasRelay func() bool
	// AwaitsRelay reports whether this entry does not watch the store though it has no relay,
	// since others find out first whether the store answers. It may be nil.
	AwaitsRelay func() bool
	// WasRegistered reports whether the list of the store shows a registration of this entry,
	// so that it shows those of the others too. It may be nil if that is not known.
	WasRegistered func() bool
	// MayBecomeRelay reports whether this entry would be among the first to watch the
	// store on behalf of others.
	MayBecomeRelay func() bool
	// HoldTime returns the time for which the removal of a key is held back after an
	// outage of the store, or any change of it after the store was restored from a
	// copy. The key may have been lost in the outage, and its writer may not have
	// reached the store again yet.
	HoldTime func(key string, restored bool) time.Duration
	// CanWait reports whether the changes of a key need not be known at once. The next watch
	// begins later after a batch that has no others. It may be nil.
	CanWait func(key string) bool
	// OnChange is called after changes have arrived from the store itself.
	OnChange func()
	// OnReady is called once, when the copy is complete for the first time, with the
	// reflector's lock held. It may be nil.
	OnReady func(Source)
	// Sink receives every change of the copy.
	Sink Sink
	Log  hclog.Logger
}

// Reflector keeps the copy. It is safe for concurrent use.
type Reflector struct {
	o Options

	mu       sync.Mutex
	keys     map[string]*keyState
	revision storer.Revision
	// compacted is the revision up to which tombstones may be missing.
	compacted storer.Revision
	storeLost bool
	ready     bool
	// unconfirmedSince is when this entry started from another one's copy or a stale list,
	// or zero once it has been confirmed.
	unconfirmedSince time.Time
	// cancelWatch cancels the watch under way. It is nil if there is none.
	cancelWatch context.CancelFunc
	// behindSince is when another entry first reported a newer revision than this
	// one's, or zero. It is reset when this entry advances and when a watch starts or
	// ends.
	behindSince time.Time
	// receivingSince is when the response of the watch began to arrive, or zero.
	receivingSince time.Time
	// gap is what another entry knows and this one does not.
	gap  gap
	held map[string]heldChange
	// cancelFetch cancels the fetch of a stalled watch. It is nil if there is none.
	cancelFetch context.CancelFunc
	// omitted holds the keys to read from the store. When all are read, the copy is
	// complete up to omittedUpTo.
	omitted     map[string]omission
	omittedUpTo storer.Revision
	// wakeReads starts the reads of omitted values.
	wakeReads chan struct{}
	// batches holds results of ChangesSince until the copy changes.
	batches map[bounds]Batch
	// start is the state of the start.
	start start
}

// keyState is the newest known state of a key. A deleted one is a tombstone.
type keyState struct {
	value     []byte
	revision  storer.Revision
	deleted   bool
	appliedAt time.Time
}

// New returns a reflector with an empty copy. Run and RunPeerSync fill it.
func New(o Options) *Reflector {
	return &Reflector{
		o: o, keys: map[string]*keyState{}, held: map[string]heldChange{},
		omitted: map[string]omission{}, wakeReads: make(chan struct{}, 1), batches: map[bounds]Batch{}, start: newStart(),
	}
}

// Ready reports whether the copy has been complete once, from the store or from
// another entry.
func (r *Reflector) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

// StoreReachable reports whether the store answers this entry.
func (r *Reflector) StoreReachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready && !r.storeLost
}

// Revision returns the store revision up to which the copy is complete. Held changes
// keep it back.
func (r *Reflector) Revision() storer.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sharedRevision()
}

// sharedRevision returns the revision to report to other entries. It stays below held
// changes, since those have not been applied yet. The caller holds the lock.
func (r *Reflector) sharedRevision() storer.Revision {
	revision := r.revision
	for _, h := range r.held {
		revision = min(revision, h.change.Revision-1)
	}
	return revision
}

// watchRevision returns the revision from which a watch misses no change.
func (r *Reflector) watchRevision() storer.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Get returns the newest known value of a key and its revision. For a removed or
// unknown key the revision is zero, which is what the guard of a transaction expects
// for a key that does not exist.
func (r *Reflector) Get(key string) (value []byte, revision storer.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.keys[key]
	if !ok || e.deleted {
		return nil, 0
	}
	return e.value, e.revision
}

// ApplyBatch applies a batch from another entry. Until the copy is ready, only a full
// batch is applied.
func (r *Reflector) ApplyBatch(now time.Time, b Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.Revision == 0 || (!r.ready && !b.Full) {
		return
	}
	changes := make([]Change, 0, len(b.Changes))
	for _, c := range b.Changes {
		changes = append(changes, Change{
			Key: c.GetKey(), Value: c.GetValue(), Deleted: c.GetDeleted(),
			Revision: linker.DecodeRevision(c.GetRevision(), c.GetEra(), b.Revision.Era()),
		})
	}
	if b.Full {
		r.applyAll(now, changes, b.Revision, false)
	} else {
		for _, c := range changes {
			r.apply(now, c)
		}
	}
	if !r.ready {
		clear(r.batches)
		r.setReady(FromPeer)
		r.unconfirmedSince = now
		r.compacted = b.Revision
		r.o.Log.Info("State taken from another entry.", "revision", b.Revision.Number())
	}
	if !b.Full && b.Above > r.revision {
		// The changes between the two revisions are missing.
		b.Revision = r.revision
	}
	r.recordOmitted(now, b)
	r.advance(min(b.Revision, r.beforeOmitted()))
}

// applyList applies a list of all keys as of a revision, which may be a past one if the list
// is stale.
func (r *Reflector) applyList(now time.Time, pairs []storer.KeyValue, at storer.Revision, stale bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	afterOutage := r.storeLost
	r.start.answered = true
	r.storeLost = false
	switch {
	case !stale:
		r.unconfirmedSince = time.Time{}
	case !r.ready:
		r.unconfirmedSince = now
	}
	changes := make([]Change, 0, len(pairs))
	for _, p := range pairs {
		changes = append(changes, Change{Key: p.Key, Value: p.Value, Revision: p.ModRevision})
	}
	r.applyAll(now, changes, at, afterOutage)
	r.advance(at)
	if !r.ready {
		r.compacted = at
		clear(r.batches)
		r.setReady(FromStore)
	}
	if afterOutage {
		r.o.Log.Info("Store answers again.", "revision", at.Number(), "era", at.Era())
	}
}

// setReady records that the copy is complete for the first time. The caller holds the lock.
func (r *Reflector) setReady(s Source) {
	r.ready = true
	if r.o.OnReady != nil {
		r.o.OnReady(s)
	}
}

// applyEvents applies a batch of changes from a watch.
func (r *Reflector) applyEvents(now time.Time, events []storer.Event, upTo storer.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range events {
		r.apply(now, Change{Key: e.Pair.Key, Value: e.Pair.Value, Revision: e.Pair.ModRevision, Deleted: e.Deleted})
	}
	r.advance(upTo)
}

// advance records that the copy is complete up to a revision. The caller holds the
// lock.
func (r *Reflector) advance(revision storer.Revision) {
	if revision > r.revision {
		clear(r.batches)
		if r.ready && revision.Era() > r.revision.Era() {
			r.o.Log.Warn("Store was restored from a copy.", "era", revision.Era(), "revision", revision.Number(), "known", r.revision.Number())
		}
		r.revision = revision
		r.behindSince = time.Time{}
		r.gap.close(revision)
	}
}

// dropTombstones drops tombstones older than tombstoneTTL.
func (r *Reflector) dropTombstones(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, e := range r.keys {
		if e.deleted && now.Sub(e.appliedAt) > tombstoneTTL {
			delete(r.keys, key)
			clear(r.batches)
			r.compacted = max(r.compacted, e.revision)
		}
	}
}

// apply applies a change and passes it to the sink, unless the change is not newer
// than the known state of its key or than a held change. A newer change of a key ends
// a held one. The caller holds the lock.
func (r *Reflector) apply(now time.Time, c Change) {
	known, ok := r.keys[c.Key]
	if ok && c.Revision <= known.revision {
		return
	}
	clear(r.batches)
	if h, held := r.held[c.Key]; held {
		if c.Revision <= h.change.Revision {
			return
		}
		delete(r.held, c.Key)
	}
	if !ok && c.Deleted {
		return
	}
	r.keys[c.Key] = &keyState{value: c.Value, revision: c.Revision, deleted: c.Deleted, appliedAt: now}
	r.o.Sink(now, c)
	if o, ok := r.omitted[c.Key]; ok && c.Revision >= o.revision {
		r.endOmission(c.Key)
	}
}
