package platformemulator

import (
	"maps"
	"time"

	"samphiremux/pkg/storer"
)

// Copy is the content of a Store at one moment.
type Copy struct {
	revision storer.Revision
	data     map[string]storer.KeyValue
	leaseOf  map[string]storer.LeaseID
	// ttls holds the leases.
	ttls map[storer.LeaseID]time.Duration
}

// Value returns the value of a key in the copy, or nil if it has none.
func (c Copy) Value(key string) []byte { return c.data[key].Value }

// Copy returns a copy of the keys, the leases and the revision.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	ttls := map[storer.LeaseID]time.Duration{}
	for id, l := range s.leases {
		ttls[id] = l.ttl
	}
	return Copy{revision: s.revision, data: maps.Clone(s.data), leaseOf: maps.Clone(s.leaseOf), ttls: ttls}
}

// Restore replaces the content by a copy and begins a new era: what was written since the
// copy is lost, its revisions are given out again, watches end, and no history is left.
// Leases that were granted since the copy end together with their keys; the others, also
// those that have ended since, run for their whole time again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.revision.Era() + 1
	s.revision = storer.NewRevision(era, c.revision.Number())
	s.data, s.leaseOf = map[string]storer.KeyValue{}, maps.Clone(c.leaseOf)
	for key, pair := range c.data {
		pair.ModRevision = storer.NewRevision(era, pair.ModRevision.Number())
		s.data[key] = pair
	}
	s.events = nil
	s.compacted = s.revision
	for id, l := range s.leases {
		l.timer.Stop()
		delete(s.leases, id)
	}
	for id, ttl := range c.ttls {
		s.startLease(id, ttl)
	}
	s.breakWatches()
	s.notifyWatches()
}

// Era returns the number of restores so far.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision.Era()
}

// inEra returns a revision of the present era as it is, and one without an era, as the
// platform's format has it, with the present era. Of another era it reports false. The
// caller holds the lock.
func (s *Store) inEra(r storer.Revision) (_ storer.Revision, ok bool) {
	if r.Era() == 0 {
		return storer.NewRevision(s.revision.Era(), r.Number()), true
	}
	return r, r.Era() == s.revision.Era()
}
