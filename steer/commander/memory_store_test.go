package commander

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"samphiremux/pkg/storer"
	"samphiremux/platform/storeadapter"
)

// memoryStore is a store in memory. Its leases do not expire.
type memoryStore struct {
	mu       sync.Mutex
	events   []storer.Event
	latest   map[string]storer.KeyValue
	revision storer.Revision
	lease    storer.LeaseID
	// changed is closed with the next change.
	changed chan struct{}
}

// serveStore serves a new store to the entries of a network.
func serveStore(n *memoryNetwork) *memoryStore {
	s := &memoryStore{latest: map[string]storer.KeyValue{}, revision: 1, changed: make(chan struct{})}
	server := &http.Server{Handler: storeadapter.Handler(s)}
	l := n.listen(fleetSettings(0).StoreAddress)
	go func() { _ = server.Serve(l) }()
	return s
}

// keys returns the keys with a prefix.
func (s *memoryStore) keys(prefix string) (keys []string) {
	pairs, _, _ := s.List(context.Background(), prefix)
	for _, p := range pairs {
		keys = append(keys, p.Key)
	}
	return keys
}

// Get implements storer.Store.
func (s *memoryStore) Get(_ context.Context, key string) (storer.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.latest[key]; ok {
		return p, nil
	}
	return storer.KeyValue{}, storer.ErrNoSuchKey{Key: key}
}

// List implements storer.Store.
func (s *memoryStore) List(_ context.Context, prefix string) (pairs []storer.KeyValue, at storer.Revision, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, p := range s.latest {
		if strings.HasPrefix(key, prefix) {
			pairs = append(pairs, p)
		}
	}
	return pairs, s.revision, nil
}

// Commit implements storer.Store.
func (s *memoryStore) Commit(_ context.Context, t storer.Transaction) storer.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range t.Guards {
		if s.latest[g.Key].ModRevision != g.ModRevision {
			return storer.NotCommitted{Cause: storer.ErrConflict{Key: g.Key}}
		}
	}
	s.revision++
	for _, p := range t.Puts {
		pair := storer.KeyValue{Key: p.Key, Value: p.Value, ModRevision: s.revision}
		s.latest[p.Key] = pair
		s.events = append(s.events, storer.Event{Pair: pair})
	}
	for _, key := range t.Deletes {
		delete(s.latest, key)
		s.events = append(s.events, storer.Event{Pair: storer.KeyValue{Key: key, ModRevision: s.revision}, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return storer.Committed{Revision: s.revision}
}

// Grant implements storer.Store.
func (s *memoryStore) Grant(context.Context, time.Duration) (storer.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease++
	return s.lease, nil
}

// Renew implements storer.Store.
func (s *memoryStore) Renew(context.Context, storer.LeaseID) error { return nil }

// Revoke implements storer.Store. The keys of the lease stay.
func (s *memoryStore) Revoke(context.Context, storer.LeaseID) error { return nil }

// Watch implements storer.Store.
func (s *memoryStore) Watch(ctx context.Context, prefix string, after storer.Revision, f func([]storer.Event, storer.Revision)) error {
	for ctx.Err() == nil {
		s.mu.Lock()
		var events []storer.Event
		for _, e := range s.events {
			if e.Pair.ModRevision > after && strings.HasPrefix(e.Pair.Key, prefix) {
				events = append(events, e)
			}
		}
		after = s.revision
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			f(events, after)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}
