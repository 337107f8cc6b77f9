// Package platformemulator emulates the platform: its key-value store, which
// package storeadapter serves in the platform's format, and its list of VMs, which
// lags behind the real VMs. It injects faults on demand.
package platformemulator

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"samphiremux/pkg/storer"
)

// maxEvents is the number of events retained for watches. Older ones are compacted.
const maxEvents = 4096

// errDown is the cause of calls and watches that fail while the store is down.
var errDown = errors.New("store is down")

// Store is an in-memory key-value store with revisions, leases and watches. It
// implements storer.Store.
type Store struct {
	mu        sync.Mutex
	revision  storer.Revision
	data      map[string]storer.KeyValue
	leaseOf   map[string]storer.LeaseID
	leases    map[storer.LeaseID]*lease
	nextLease storer.LeaseID
	events    []storer.Event
	compacted storer.Revision
	changed   chan struct{}
	faults    Faults
	broken    chan struct{} // closed and replaced to end all watches
	calls     map[string]int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
}

// Faults are the faults that a Store injects.
type Faults struct {
	// Down makes every call block until its context ends. Leases do not expire
	// during that time.
	Down bool
	// SlowBy delays every call.
	SlowBy time.Duration
	// LoseAnswers is the number of coming writes that take effect but are not
	// answered.
	LoseAnswers int
	// DelayWrites is the number of coming writes that are not answered and take
	// effect only after DelayBy, even if their caller has given up by then.
	DelayWrites int
	DelayBy     time.Duration
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		data:    map[string]storer.KeyValue{},
		leaseOf: map[string]storer.LeaseID{},
		leases:  map[storer.LeaseID]*lease{},
		changed: make(chan struct{}),
		broken:  make(chan struct{}),
		calls:   map[string]int64{},
	}
}

// SetFaults replaces the injected faults. Down ends all watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Down {
		s.breakWatches()
	}
}

// Faults returns the injected faults. LoseAnswers and DelayWrites count only the writes
// that are still to be affected.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// BreakWatches ends all watches with an error.
func (s *Store) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakWatches()
}

func (s *Store) breakWatches() {
	close(s.broken)
	s.broken = make(chan struct{})
}

// Compact drops the events retained for watches. A watch from an earlier revision
// fails with storer.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
	s.compacted = s.revision
}

// Calls returns the number of calls so far by kind: range, txn, lease and watch.
func (s *Store) Calls() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := map[string]int64{}
	for k, v := range s.calls {
		calls[k] = v
	}
	return calls
}

// PutUnguarded writes a key without a guard, as a store restored from a backup would.
func (s *Store) PutUnguarded(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(storer.Put{Key: key, Value: value})
	s.notifyWatches()
}

// beginCall counts a call and applies the Down and SlowBy faults to it.
func (s *Store) beginCall(ctx context.Context, kind string) error {
	s.mu.Lock()
	s.calls[kind]++
	f := s.faults
	s.mu.Unlock()
	if f.Down {
		<-ctx.Done()
		return errDown
	}
	if f.SlowBy > 0 {
		select {
		case <-time.After(f.SlowBy):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return ctx.Err()
}

// awaitLostAnswer blocks until ctx ends if the answer of a write is to be lost.
func (s *Store) awaitLostAnswer(ctx context.Context) error {
	s.mu.Lock()
	lost := s.faults.LoseAnswers > 0
	if lost {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	if !lost {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// delayWrite schedules the write for later if the DelayWrites fault applies to it,
// and reports whether it did.
func (s *Store) delayWrite(t storer.Transaction) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DelayWrites <= 0 {
		return false
	}
	s.faults.DelayWrites--
	time.AfterFunc(s.faults.DelayBy, func() { _ = s.commit(t) })
	return true
}

// Get implements storer.Store.
func (s *Store) Get(ctx context.Context, key string) (storer.KeyValue, error) {
	if err := s.beginCall(ctx, "range"); err != nil {
		return storer.KeyValue{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.data[key]
	if !ok {
		return storer.KeyValue{}, storer.ErrNoSuchKey{Key: key}
	}
	return p, nil
}

// List implements storer.Store.
func (s *Store) List(ctx context.Context, prefix string) (pairs []storer.KeyValue, at storer.Revision, err error) {
	if err := s.beginCall(ctx, "range"); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, p := range s.data {
		if strings.HasPrefix(key, prefix) {
			pairs = append(pairs, p)
		}
	}
	slices.SortFunc(pairs, func(a, b storer.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return pairs, s.revision, nil
}

// Commit implements storer.Store.
func (s *Store) Commit(ctx context.Context, t storer.Transaction) storer.Outcome {
	if err := s.beginCall(ctx, "txn"); err != nil {
		return storer.Unknown{Cause: err}
	}
	if s.delayWrite(t) {
		<-ctx.Done()
		return storer.Unknown{Cause: ctx.Err()}
	}
	outcome := s.commit(t)
	if err := s.awaitLostAnswer(ctx); err != nil {
		return storer.Unknown{Cause: err}
	}
	return outcome
}

func (s *Store) commit(t storer.Transaction) storer.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range t.Guards {
		want, ok := s.inEra(g.ModRevision)
		if got := s.data[g.Key].ModRevision; !ok || got.Number() != want.Number() {
			return storer.NotCommitted{Cause: storer.ErrConflict{Key: g.Key}}
		}
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return storer.NotCommitted{Cause: storer.ErrLeaseExpired{ID: p.Lease}}
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.write(p)
	}
	for _, key := range t.Deletes {
		s.deleteKey(key)
	}
	s.notifyWatches()
	return storer.Committed{Revision: s.revision}
}

func (s *Store) write(p storer.Put) {
	pair := storer.KeyValue{Key: p.Key, Value: p.Value, ModRevision: s.revision}
	s.data[p.Key] = pair
	s.leaseOf[p.Key] = p.Lease
	s.appendEvent(storer.Event{Pair: pair})
}

func (s *Store) deleteKey(key string) {
	if _, ok := s.data[key]; !ok {
		return
	}
	delete(s.data, key)
	delete(s.leaseOf, key)
	s.appendEvent(storer.Event{Pair: storer.KeyValue{Key: key, ModRevision: s.revision}, Deleted: true})
}

func (s *Store) appendEvent(e storer.Event) {
	s.events = append(s.events, e)
	if len(s.events) > maxEvents {
		s.compacted = s.events[0].Pair.ModRevision
		s.events = s.events[1:]
	}
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Grant implements storer.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (storer.LeaseID, error) {
	if err := s.beginCall(ctx, "lease"); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.startLease(s.nextLease, ttl)
	return s.nextLease, nil
}

// startLease begins a lease. The caller holds the lock.
func (s *Store) startLease(id storer.LeaseID, ttl time.Duration) {
	l := &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	l.timer = time.AfterFunc(ttl, func() { s.expire(id) })
	s.leases[id] = l
}

// expire ends a lease that has not been renewed within its TTL. While the store is
// down, a due lease is kept and checked again every second.
func (s *Store) expire(id storer.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return
	}
	if wait := time.Until(l.expires); wait > 0 {
		l.timer.Reset(wait)
		return
	}
	if s.faults.Down {
		l.timer.Reset(time.Second)
		return
	}
	s.endLease(id)
}

func (s *Store) endLease(id storer.LeaseID) {
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	s.revision++
	for key, owner := range s.leaseOf {
		if owner == id {
			s.deleteKey(key)
		}
	}
	s.notifyWatches()
}

// ExpireLeases ends every lease now, as if all holders had paused beyond the TTL.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// Renew implements storer.Store.
func (s *Store) Renew(ctx context.Context, id storer.LeaseID) error {
	if err := s.beginCall(ctx, "lease"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return storer.ErrLeaseExpired{ID: id}
	}
	l.expires = time.Now().Add(l.ttl)
	return nil
}

// Revoke implements storer.Store.
func (s *Store) Revoke(ctx context.Context, id storer.LeaseID) error {
	if err := s.beginCall(ctx, "lease"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; ok {
		s.endLease(id)
	}
	return nil
}

// Watch implements storer.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after storer.Revision, f func([]storer.Event, storer.Revision)) error {
	if err := s.beginCall(ctx, "watch"); err != nil {
		return err
	}
	s.mu.Lock()
	broken := s.broken
	s.mu.Unlock()
	for {
		events, next, changed, err := s.eventsAfter(prefix, after)
		if err != nil {
			return err
		}
		if len(events) > 0 {
			f(events, next)
		}
		after = next
		select {
		case <-changed:
		case <-broken:
			return errDown
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Store) eventsAfter(prefix string, after storer.Revision) (events []storer.Event, next storer.Revision, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after, ok := s.inEra(after)
	if !ok || after < s.compacted || after > s.revision {
		return nil, 0, nil, storer.ErrCompacted
	}
	for _, e := range s.events {
		if e.Pair.ModRevision > after && strings.HasPrefix(e.Pair.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed, nil
}
