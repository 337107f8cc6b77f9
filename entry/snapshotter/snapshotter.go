// Package snapshotter holds what one entry knows of the configuration, the backend
// servers, the failure domains and the version moves. Requests read one immutable
// Snapshot; changes publish a new one.
package snapshotter

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"samphiremux/pkg/describer"
)

// Snapshot is what a request sees. It is immutable, but for the live state that its
// backend servers point to.
type Snapshot struct {
	// Table is nil until the first configuration is known.
	Table *describer.RouteTable
	// Services lists the backend servers by service, in the order of their ids.
	Services map[string][]Backend
	// ExcludedDomains names the failure domains that get no work.
	ExcludedDomains map[string]bool
	// Splits holds the version moves by service.
	Splits map[string]TrafficSplit
}

// Eligible tells whether a server of the snapshot may get work.
func (v *Snapshot) Eligible(b Backend) bool { return !b.Draining && !v.ExcludedDomains[b.Domain] }

// Snapshotter publishes snapshots.
type Snapshotter struct {
	current atomic.Pointer[Snapshot]
	// stale tells that the snapshot lacks a change.
	stale atomic.Bool

	mu       sync.Mutex
	connect  Connect
	table    *describer.RouteTable
	backends map[string]Backend
	out      map[string]bool
	orders   map[string]describer.MoveOrder
	records  map[string]MoveRecord
}

// New returns a snapshotter that knows nothing. Connect opens the live state of a
// server that appears.
func New(connect Connect) *Snapshotter {
	s := &Snapshotter{
		connect: connect, backends: map[string]Backend{}, out: map[string]bool{},
		orders: map[string]describer.MoveOrder{}, records: map[string]MoveRecord{},
	}
	s.current.Store(&Snapshot{})
	return s
}

// Snapshot returns what is known now. It is built anew when it is asked for after a
// change, since thousands of changes come at once when an entry starts.
func (s *Snapshotter) Snapshot() *Snapshot {
	if s.stale.Load() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.publish()
	}
	return s.current.Load()
}

// ErrOlderTable says that a configuration is not newer than the one in force.
type ErrOlderTable struct{ Offered, InForce int64 }

func (e ErrOlderTable) Error() string {
	return fmt.Sprintf("configuration %d is not newer than %d", e.Offered, e.InForce)
}

// SetTable brings a newer configuration into force.
func (s *Snapshotter) SetTable(t *describer.RouteTable) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != nil && t.Version <= s.table.Version {
		return ErrOlderTable{Offered: t.Version, InForce: s.table.Version}
	}
	s.table = t
	s.stale.Store(true)
	return nil
}

// PutServer notes a backend server or what has changed of it. A new incarnation
// or address starts with a live state that knows nothing.
func (s *Snapshotter) PutServer(f describer.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.backends[f.ID]
	if ok && f.Incarnation < known.Incarnation {
		return
	}
	b := Backend{Server: f, State: known.State}
	if !ok || known.Incarnation != f.Incarnation || known.Address != f.Address {
		if ok {
			known.State.Close()
		}
		b.State = s.connect(f)
	}
	b.State.SetCold(f.ColdUntil)
	s.backends[f.ID] = b
	s.stale.Store(true)
}

// RemoveServer forgets a backend server. No new work goes there.
func (s *Snapshotter) RemoveServer(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.backends[id]
	if !ok {
		return
	}
	delete(s.backends, id)
	b.State.Close()
	s.stale.Store(true)
}

// SetDomainExcluded takes a failure domain out, or back.
func (s *Snapshotter) SetDomainExcluded(domain string, out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if out {
		s.out[domain] = true
	} else {
		delete(s.out, domain)
	}
	s.stale.Store(true)
}

// SetOrder notes the operators' order to move a service to another version.
func (s *Snapshotter) SetOrder(o describer.MoveOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders[o.Service] = o
	s.stale.Store(true)
}

// RemoveOrder forgets an order that the operators took back. The service keeps the
// version that its record ends with.
func (s *Snapshotter) RemoveOrder(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.orders, service)
	s.stale.Store(true)
}

// SetMoveRecord notes the state of a version move. An older record is ignored.
func (s *Snapshotter) SetMoveRecord(service string, r MoveRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.records[service]; ok && !known.Precedes(r) {
		return
	}
	s.records[service] = r
	s.stale.Store(true)
}

// CloseIdle closes connections that were unused for too long.
func (s *Snapshotter) CloseIdle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		b.State.CloseExpired(now)
	}
}

// publish builds the snapshot anew. The lock is held.
func (s *Snapshotter) publish() {
	if !s.stale.Swap(false) {
		return // another caller has built it meanwhile
	}
	v := &Snapshot{Table: s.table, Services: map[string][]Backend{}, ExcludedDomains: map[string]bool{}, Splits: map[string]TrafficSplit{}}
	for _, b := range s.backends {
		v.Services[b.Service] = append(v.Services[b.Service], b)
	}
	for name, all := range v.Services {
		slices.SortFunc(all, func(a, b Backend) int { return cmp.Compare(a.ID, b.ID) })
		v.Splits[name] = s.move(name, all)
	}
	for name := range s.out {
		v.ExcludedDomains[name] = true
	}
	s.current.Store(v)
}
