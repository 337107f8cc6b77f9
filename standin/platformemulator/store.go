// Package platformemulator stands in for the platform: its key-value store, which
// package storeadapter serves in the platform's format, and its lagging list of VMs. It makes faults on
// demand.
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

const maxEvents = 4096

// errDown says that the store does not answer.
var errDown = errors.New("store is down")

// Store keeps keys in memory. It implements storer.Store.
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
	broken    chan struct{} // closed to break watches
	calls     map[string]int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
}

// Faults are the store's faults in force.
type Faults struct {
	// Down makes every call wait for its context.
	Down bool
	// Slow delays every answer by SlowBy.
	SlowBy time.Duration
	// LoseAnswers drops the answers of this many writes after their effect.
	LoseAnswers int
	// DelayWrites makes this many writes take effect DelayBy later, without an
	// answer, also when their caller has given up.
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

// SetFaults replaces the faults in force. Down breaks all watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Down {
		s.breakWatches()
	}
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// BreakWatches ends all watches.
func (s *Store) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakWatches()
}

func (s *Store) breakWatches() {
	close(s.broken)
	s.broken = make(chan struct{})
}

// Compact forgets the events kept for watches.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
	s.compacted = s.revision
}

// Calls returns the calls made so far, by kind.
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
	s.wake()
}

// enter counts a call and waits out its faults.
func (s *Store) enter(ctx context.Context, kind string) error {
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

// leave waits for the context if the answer of a write is to be lost.
func (s *Store) leave(ctx context.Context) error {
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

// delay reports whether a write takes effect later.
func (s *Store) delay(t storer.Transaction) bool {
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
	if err := s.enter(ctx, "range"); err != nil {
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
	if err := s.enter(ctx, "range"); err != nil {
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
	if err := s.enter(ctx, "txn"); err != nil {
		return storer.Unknown{Cause: err}
	}
	if s.delay(t) {
		<-ctx.Done()
		return storer.Unknown{Cause: ctx.Err()}
	}
	outcome := s.commit(t)
	if err := s.leave(ctx); err != nil {
		return storer.Unknown{Cause: err}
	}
	return outcome
}

func (s *Store) commit(t storer.Transaction) storer.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range t.Guards {
		if s.data[g.Key].ModRevision != g.ModRevision {
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
		s.remove(key)
	}
	s.wake()
	return storer.Committed{Revision: s.revision}
}

func (s *Store) write(p storer.Put) {
	pair := storer.KeyValue{Key: p.Key, Value: p.Value, ModRevision: s.revision}
	s.data[p.Key] = pair
	s.leaseOf[p.Key] = p.Lease
	s.record(storer.Event{Pair: pair})
}

func (s *Store) remove(key string) {
	if _, ok := s.data[key]; !ok {
		return
	}
	delete(s.data, key)
	delete(s.leaseOf, key)
	s.record(storer.Event{Pair: storer.KeyValue{Key: key, ModRevision: s.revision}, Deleted: true})
}

func (s *Store) record(e storer.Event) {
	s.events = append(s.events, e)
	if len(s.events) > maxEvents {
		s.compacted = s.events[0].Pair.ModRevision
		s.events = s.events[1:]
	}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Grant implements storer.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (storer.LeaseID, error) {
	if err := s.enter(ctx, "lease"); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	id := s.nextLease
	l := &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	l.timer = time.AfterFunc(ttl, func() { s.lapse(id) })
	s.leases[id] = l
	return id, nil
}

// lapse ends a lease at its time. A lease does not lapse while the store is
// down, but as soon as it is back.
func (s *Store) lapse(id storer.LeaseID) {
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
	s.end(id)
}

func (s *Store) end(id storer.LeaseID) {
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	s.revision++
	for key, owner := range s.leaseOf {
		if owner == id {
			s.remove(key)
		}
	}
	s.wake()
}

// ExpireLeases ends every lease now, as after a pause of all holders.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.end(id)
	}
}

// Renew implements storer.Store.
func (s *Store) Renew(ctx context.Context, id storer.LeaseID) error {
	if err := s.enter(ctx, "lease"); err != nil {
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
	if err := s.enter(ctx, "lease"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; ok {
		s.end(id)
	}
	return nil
}

// Watch implements storer.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after storer.Revision, f func([]storer.Event, storer.Revision)) error {
	if err := s.enter(ctx, "watch"); err != nil {
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
	if after < s.compacted {
		return nil, 0, nil, storer.ErrCompacted
	}
	for _, e := range s.events {
		if e.Pair.ModRevision > after && strings.HasPrefix(e.Pair.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed, nil
}
