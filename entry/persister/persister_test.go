package persister_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"samphiremux/entry/persister"
	"samphiremux/entry/quarantiner"
	"samphiremux/pkg/storer"
)

const prefix = "own/quarantines/"

// fakeStore holds the keys of requests, and passes each change on to all persisters.
type fakeStore struct {
	storer.Store
	mu         sync.Mutex
	fails      bool
	keys       map[string][]byte
	leases     []time.Duration
	revoked    int
	commits    int
	persisters []*persister.Persister
}

var errDown = errors.New("the store is down")

func (s *fakeStore) Grant(_ context.Context, ttl time.Duration) (storer.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fails {
		return 0, errDown
	}
	s.leases = append(s.leases, ttl)
	return storer.LeaseID(len(s.leases)), nil
}

func (s *fakeStore) Revoke(context.Context, storer.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked++
	return nil
}

func (s *fakeStore) Commit(_ context.Context, t storer.Transaction) storer.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	put := t.Puts[0]
	if _, exists := s.keys[put.Key]; exists && t.Guards[0].ModRevision == 0 {
		return storer.NotCommitted{Cause: storer.ErrConflict{Key: put.Key}}
	}
	s.keys[put.Key] = put.Value
	for _, p := range s.persisters {
		go p.ApplyChange(put.Key, put.Value, false)
	}
	return storer.Committed{Revision: 1}
}

func (s *fakeStore) setFails(fails bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fails = fails
}

// removeAll removes all keys, as at the end of their leases.
func (s *fakeStore) removeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.keys {
		delete(s.keys, key)
		for _, p := range s.persisters {
			go p.ApplyChange(key, nil, true)
		}
	}
}

// fakeEntry is the quarantine of one entry.
type fakeEntry struct {
	mu       sync.Mutex
	suspects *quarantiner.Suspects
}

var fatal = quarantiner.Quarantine{Service: "stock", Fingerprint: 0xa1b2}

func (e *fakeEntry) recordCrash(from string, crashes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := range crashes {
		e.suspects.RecordPeerCrash(time.Now(), fatal.Fingerprint, from, n+1, quarantiner.AttemptBefore(time.Now(), 0, 0))
	}
}

func (e *fakeEntry) quarantined() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.suspects.Quarantined(time.Now(), fatal.Fingerprint)
}

func (e *fakeEntry) quarantines() (all []quarantiner.Quarantine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range e.suspects.Fingerprints(time.Now()) {
		all = append(all, quarantiner.Quarantine{Service: fatal.Service, Fingerprint: f})
	}
	return all
}

func (e *fakeEntry) setStored(q quarantiner.Quarantine, stored bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.suspects.SetStored(time.Now(), q.Fingerprint, stored)
}

// withEntries runs a test on entries that share a store.
func withEntries(t *testing.T, n int, test func(is *is.I, s *fakeStore, entries []*fakeEntry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := &fakeStore{keys: map[string][]byte{}}
		var entries []*fakeEntry
		for i := range n {
			e := &fakeEntry{suspects: quarantiner.New()}
			p := persister.New(persister.Options{
				Store: s, Prefix: prefix, Quarantines: e.quarantines, SetStored: e.setStored,
				Rank: func(string) (rank, entries int) { return i, n }, ReachesStore: func() bool { return true }, Log: hclog.NewNullLogger(),
			})
			entries, s.persisters = append(entries, e), append(s.persisters, p)
			go p.Run(ctx)
		}
		test(is.New(t), s, entries)
	})
}

// TestOneEntryWrites guards against entries that all write the same request, and against a
// request that stays unwritten when the first of them is gone.
func TestOneEntryWrites(t *testing.T) {
	withEntries(t, 4, func(is *is.I, s *fakeStore, entries []*fakeEntry) {
		for _, e := range entries[1:] {
			e.recordCrash("e9", 2)
		}
		time.Sleep(30 * time.Second)
		is.Equal(s.commits, 1)
		is.Equal(s.leases, []time.Duration{quarantiner.QuarantineTTL})
		is.Equal(s.revoked, 0)
		for _, e := range entries {
			is.True(e.quarantined()) // also in the entry that saw no crash
		}
	})
}

// TestWriteAfterOutage guards against a request that is not written since the store did not
// answer at first.
func TestWriteAfterOutage(t *testing.T) {
	withEntries(t, 2, func(is *is.I, s *fakeStore, entries []*fakeEntry) {
		s.setFails(true)
		entries[0].recordCrash("e9", 2)
		time.Sleep(20 * time.Second)
		is.True(!entries[1].quarantined())
		s.setFails(false)
		time.Sleep(10 * time.Second)
		is.True(entries[1].quarantined())
	})
}

// TestQuarantineNeverEnds guards against a quarantine that is written again when its lease
// ends, while some entries have not yet forgotten the crashes.
func TestQuarantineNeverEnds(t *testing.T) {
	withEntries(t, 3, func(is *is.I, s *fakeStore, entries []*fakeEntry) {
		entries[0].recordCrash("e9", 2)
		time.Sleep(500 * time.Millisecond)
		entries[1].recordCrash("e9", 2)
		time.Sleep(quarantiner.QuarantineTTL - 300*time.Millisecond)
		s.removeAll()
		time.Sleep(10 * time.Second)
		is.Equal(s.commits, 1)
		for _, e := range entries {
			is.True(!e.quarantined())
		}
	})
}

// TestLostRecordWrittenAgain guards against a quarantine that only running entries know after
// the store was restored from a copy.
func TestLostRecordWrittenAgain(t *testing.T) {
	withEntries(t, 3, func(is *is.I, s *fakeStore, entries []*fakeEntry) {
		entries[0].recordCrash("e9", 2)
		time.Sleep(5 * time.Second)
		is.True(entries[2].quarantined())
		s.removeAll()
		time.Sleep(5 * time.Second)
		is.True(entries[2].quarantined())
		is.Equal(s.commits, 2)
	})
}

// TestInvalidRecord guards against values of other writers that end an entry or count as
// quarantined requests.
func TestInvalidRecord(t *testing.T) {
	withEntries(t, 1, func(is *is.I, s *fakeStore, entries []*fakeEntry) {
		p := s.persisters[0]
		for key, value := range map[string]string{
			prefix + "a1b2": "{", prefix + "00a1b2": `{"service":""}`, prefix + "zz": `{"service":"stock"}`,
			prefix + "1000000000000a1b2": `{"service":"stock"}`, prefix: `{"service":"stock"}`,
		} {
			is.True(p.ApplyChange(key, []byte(value), false))
			is.True(p.ApplyChange(key, nil, true))
		}
		is.True(!p.ApplyChange("own/entries/e1", nil, true))
		is.Equal(len(entries[0].quarantines()), 0)
	})
}
