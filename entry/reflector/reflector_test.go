package reflector_test

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"samphiremux/entry/reflector"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
)

// fakeStore answers List from pairs and Watch from a channel. A nil batch on the
// channel breaks the watch.
type fakeStore struct {
	storer.Store
	mu      *sync.Mutex
	pairs   []storer.KeyValue
	at      storer.Revision
	err     error
	events  chan []storer.Event
	watches int
	lists   int
	gets    int
}

var errStoreDown = errors.New("the store is down")

func (s *fakeStore) List(context.Context, string) ([]storer.KeyValue, storer.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return s.pairs, s.at, s.err
}

func (s *fakeStore) Get(_ context.Context, key string) (storer.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gets++
	for _, p := range s.pairs {
		if p.Key == key && s.err == nil {
			return p, nil
		}
	}
	return storer.KeyValue{}, cmp.Or(s.err, error(storer.ErrNoSuchKey{Key: key}))
}

func (s *fakeStore) Watch(ctx context.Context, _ string, _ storer.Revision, f func([]storer.Event, storer.Revision)) error {
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	for {
		select {
		case events := <-s.events:
			if events == nil {
				return errStoreDown
			}
			f(events, events[len(events)-1].Pair.ModRevision)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// fixture is a reflector with fake dependencies. Its values are those that the sink
// received. The lock guards the fields that tests change.
type fixture struct {
	mu        sync.Mutex
	store     *fakeStore
	reflector *reflector.Reflector
	values    map[string]string
	peerBatch reflector.Batch
	hasRelay  bool
	isRelay   bool
	// passive reports that the entry is not among the first relays.
	passive bool
}

// startTime is the time after its start from which an entry watches the store and considers
// its copy current, unless others report a newer revision.
const startTime = 1800 * time.Millisecond

// newFixture starts a reflector. Unless the store fails with an error, it is watched when
// newFixture returns.
func newFixture(ctx context.Context, err error) *fixture {
	f := &fixture{
		store: &fakeStore{err: err, events: make(chan []storer.Event), at: 10, pairs: []storer.KeyValue{
			{Key: "servers/a", Value: []byte("1"), ModRevision: 5},
		}},
		values: map[string]string{},
	}
	f.store.mu = &f.mu
	f.reflector = reflector.New(reflector.Options{
		Store: f.store, Log: hclog.NewNullLogger(), OnChange: func() {},
		IsRelay: func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.isRelay
		},
		HasRelay: func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.hasRelay
		},
		MayBecomeRelay: func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return !f.passive
		},
		HoldTime: func(string, bool) time.Duration { return 2 * time.Second },
		CanWait:  func(key string) bool { return key == "usage" },
		FetchFromPeers: func(context.Context, storer.Revision) (reflector.Batch, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.peerBatch.Revision == 0 {
				return reflector.Batch{}, errStoreDown
			}
			return f.peerBatch, nil
		},
		Sink: func(_ time.Time, c reflector.Change) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if c.Deleted {
				delete(f.values, c.Key)
				return
			}
			f.values[c.Key] = string(c.Value)
		},
	})
	go f.reflector.Run(ctx)
	go f.reflector.RunPeerSync(ctx)
	if err == nil {
		time.Sleep(startTime)
	}
	return f
}

// update changes the answers of the fakes.
func (f *fixture) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// value returns the value of a key that the sink received last, if it was not removed.
func (f *fixture) value(key string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.values[key]
}

// calls returns the number of lists and watches of the store.
func (f *fixture) calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store.lists + f.store.watches
}

func (f *fixture) watches() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store.watches
}

func (f *fixture) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.values)
}

// runWithFixture runs f in a synctest bubble with a reflector whose store answers.
func runWithFixture(t *testing.T, f func(is *is.I, fx *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		fx := newFixture(ctx, nil)
		synctest.Wait()
		f(is.New(t), fx)
		cancel()
		synctest.Wait()
	})
}

// TestSilentWatch guards against an entry that misses changes because its watch has
// gone silent while the connection stays open (the Association's case scale-2).
// Another entry's newer revision reveals it.
func TestSilentWatch(t *testing.T) {
	runWithFixture(t, func(is *is.I, fx *fixture) {
		fx.update(func() {
			fx.peerBatch = reflector.Batch{Revision: 20, Changes: []*linkpb.Change{{Key: "op", Value: []byte("new"), Revision: 20}}}
		})
		fx.reflector.ObservePeerRevision(time.Now(), 20)
		time.Sleep(time.Second)
		is.Equal(fx.value("op"), "new")
		is.Equal(fx.watches(), 2) // the silent watch was restarted
	})
}

// TestSilentWatchOfRelay guards against relays that all miss changes (the Association's
// case scale-1): when the store compacts its history, their watches go silent at once,
// and no entry knows a newer revision that would reveal it.
func TestSilentWatchOfRelay(t *testing.T) {
	runWithFixture(t, func(is *is.I, fx *fixture) {
		fx.update(func() { fx.isRelay = true })
		fx.store.events <- []storer.Event{{Pair: storer.KeyValue{Key: "x", Value: []byte("1"), ModRevision: 11}}}
		time.Sleep(time.Second)
		before := fx.watches()
		time.Sleep(3 * time.Second)
		is.True(fx.watches() > before) // restarted within the time allowed for changes while the store is unstable
	})
}

// TestNoWatchWhileRelayAlive guards against the load that watches of all entries would
// put on the store: an entry that receives heartbeats from a relay must not watch it.
func TestNoWatchWhileRelayAlive(t *testing.T) {
	runWithFixture(t, func(is *is.I, fx *fixture) {
		fx.update(func() { fx.hasRelay = true })
		fx.store.events <- []storer.Event{{Pair: storer.KeyValue{Key: "x", Value: []byte("1"), ModRevision: 11}}}
		time.Sleep(time.Minute)
		is.Equal(fx.watches(), 1)
		fx.update(func() { fx.hasRelay = false })
		time.Sleep(time.Second)
		is.Equal(fx.watches(), 2) // it watches the store once no relay sends heartbeats
	})
}

// TestNoOlderRevisionApplied guards against a key that reverts to an older revision
// because a peer with an older copy sends it.
func TestNoOlderRevisionApplied(t *testing.T) {
	runWithFixture(t, func(is *is.I, fx *fixture) {
		fx.reflector.ApplyBatch(time.Now(), reflector.Batch{Revision: 12, Changes: []*linkpb.Change{{Key: "servers/a", Value: []byte("0"), Revision: 4}}})
		is.Equal(fx.value("servers/a"), "1") // an older revision is ignored
		fx.reflector.ApplyBatch(time.Now(), reflector.Batch{Revision: 13, Changes: []*linkpb.Change{{Key: "servers/a", Deleted: true, Revision: 13}}})
		fx.reflector.ApplyBatch(time.Now(), reflector.Batch{Revision: 13, Changes: []*linkpb.Change{{Key: "servers/a", Value: []byte("1"), Revision: 5}}})
		is.Equal(fx.value("servers/a"), "") // a removed key does not come back
	})
}

// TestRemovalsBeforeFirstList guards against removed keys that live on at a peer: an
// entry that started after a removal has no tombstone of it, so that it must answer
// with a full batch rather than the changes that it knows.
func TestRemovalsBeforeFirstList(t *testing.T) {
	runWithFixture(t, func(is *is.I, fx *fixture) {
		is.True(fx.reflector.ChangesSince(3, 0).Full)
		is.True(!fx.reflector.ChangesSince(10, 0).Full)
		fx.reflector.ApplyBatch(time.Now(), reflector.Batch{Revision: 30, Full: true})
		is.Equal(fx.count(), 0) // a key that a full batch lacks is removed
	})
}

// TestServersComeBackAfterOutage guards against the loss of all servers after an
// outage of the store in which their leases expired. Their registrations stay in use
// for the time that the writers have to register again.
func TestServersComeBackAfterOutage(t *testing.T) {
	runWithFixture(t, func(is *is.I, fx *fixture) {
		fx.update(func() { fx.store.err = errStoreDown })
		fx.store.events <- nil
		time.Sleep(5 * time.Second)
		is.True(!fx.reflector.StoreReachable())
		fx.update(func() { fx.store.err, fx.store.pairs, fx.store.at = nil, nil, 40 })
		time.Sleep(time.Second)
		is.True(fx.reflector.StoreReachable())
		is.Equal(fx.value("servers/a"), "1")                   // still in use
		is.True(fx.reflector.Revision() < 40)                  // peers must not take the removal as known
		time.Sleep(2500 * time.Millisecond)                    // the time to register again ends
		is.Equal(fx.value("servers/a"), "")                    // now removed
		is.Equal(fx.reflector.Revision(), storer.Revision(40)) // and reported to peers
	})
}

// TestPeerSyncWhileStoreDown guards against an entry that cannot start while the store
// is down, and against one that counts as ready with changes alone, without the keys
// that had not changed.
func TestPeerSyncWhileStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		fx := newFixture(ctx, errStoreDown)
		time.Sleep(time.Second)
		synctest.Wait()
		is.True(!fx.reflector.Ready())
		fx.update(func() {
			fx.peerBatch = reflector.Batch{Revision: 8, Changes: []*linkpb.Change{{Key: "op", Value: []byte("v"), Revision: 8}}}
		})
		time.Sleep(time.Second)
		is.True(!fx.reflector.Ready()) // changes without a full batch are not enough
		fx.update(func() { fx.peerBatch.Full = true })
		time.Sleep(time.Second)
		is.True(fx.reflector.Ready())
		is.Equal(fx.value("op"), "v")
		cancel()
		synctest.Wait()
	})
}
