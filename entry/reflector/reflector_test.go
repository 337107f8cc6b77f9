package reflector_test

import (
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

// fakeStore answers lists from pairs, and watches from a channel.
type fakeStore struct {
	storer.Store
	mu      *sync.Mutex
	pairs   []storer.KeyValue
	at      storer.Revision
	err     error
	events  chan []storer.Event
	watches int
	lists   int
}

var errOut = errors.New("the store is out")

func (s *fakeStore) List(context.Context, string) ([]storer.KeyValue, storer.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return s.pairs, s.at, s.err
}

func (s *fakeStore) Watch(ctx context.Context, _ string, _ storer.Revision, f func([]storer.Event, storer.Revision)) error {
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	for {
		select {
		case events := <-s.events:
			if events == nil {
				return errOut
			}
			f(events, events[len(events)-1].Pair.ModRevision)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// fixture is a reflector with what it passed on. Its lock guards what tests change.
type fixture struct {
	mu       sync.Mutex
	store    *fakeStore
	feed     *reflector.Reflector
	known    map[string]string
	peer     reflector.Batch
	relieved bool
	scout    bool
}

func withFeeder(ctx context.Context, err error) *fixture {
	f := &fixture{
		store: &fakeStore{err: err, events: make(chan []storer.Event), at: 10, pairs: []storer.KeyValue{
			{Key: "servers/a", Value: []byte("1"), ModRevision: 5},
		}},
		known: map[string]string{},
	}
	f.store.mu = &f.mu
	f.feed = reflector.New(reflector.Options{
		Store: f.store, Log: hclog.NewNullLogger(), OnChange: func() {},
		IsRelay: func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.scout
		},
		HasRelay: func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.relieved
		},
		RemovalDelay: func(string) time.Duration { return 2 * time.Second },
		FetchFromPeers: func(context.Context, storer.Revision) (reflector.Batch, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.peer.Revision == 0 {
				return reflector.Batch{}, errOut
			}
			return f.peer, nil
		},
		Sink: func(_ time.Time, c reflector.Change) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if c.Deleted {
				delete(f.known, c.Key)
				return
			}
			f.known[c.Key] = string(c.Value)
		},
	})
	go f.feed.Run(ctx)
	go f.feed.RunPeerSync(ctx)
	return f
}

// set changes what the fakes answer.
func (f *fixture) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// value returns what was passed on of a key.
func (f *fixture) value(key string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known[key]
}

func (f *fixture) watches() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store.watches
}

func (f *fixture) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.known)
}

func in(t *testing.T, f func(is *is.I, fx *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		fx := withFeeder(ctx, nil)
		synctest.Wait()
		f(is.New(t), fx)
		cancel()
		synctest.Wait()
	})
}

// TestSilentWatch is the case of the Association's scale-2: a watch goes silent
// while its connection stays open. Another entry's revision shows it.
func TestSilentWatch(t *testing.T) {
	in(t, func(is *is.I, fx *fixture) {
		fx.set(func() {
			fx.peer = reflector.Batch{Revision: 20, Changes: []*linkpb.Change{{Key: "op", Value: []byte("new"), Revision: 20}}}
		})
		fx.feed.ObservePeerRevision(time.Now(), 20)
		time.Sleep(time.Second)
		is.Equal(fx.value("op"), "new")
		is.Equal(fx.watches(), 2) // the silent watch was given up
	})
}

// TestSilentWatchOfRelay is the case of scale-1: while the store drops its history
// the watches of all scouts go silent at once, so that no entry knows more.
func TestSilentWatchOfRelay(t *testing.T) {
	in(t, func(is *is.I, fx *fixture) {
		fx.set(func() { fx.scout = true })
		fx.store.events <- []storer.Event{{Pair: storer.KeyValue{Key: "x", Value: []byte("1"), ModRevision: 11}}}
		time.Sleep(time.Second)
		before := fx.watches()
		time.Sleep(3 * time.Second)
		is.True(fx.watches() > before) // within the time that changes may take while the store is unstable
	})
}

func TestNoWatchWhileRelayAlive(t *testing.T) {
	in(t, func(is *is.I, fx *fixture) {
		fx.set(func() { fx.relieved = true })
		fx.store.events <- []storer.Event{{Pair: storer.KeyValue{Key: "x", Value: []byte("1"), ModRevision: 11}}}
		time.Sleep(time.Minute)
		is.Equal(fx.watches(), 1)
		fx.set(func() { fx.relieved = false })
		time.Sleep(time.Second)
		is.Equal(fx.watches(), 2) // it watches itself once no scout is heard
	})
}

func TestNoOlderRevisionApplied(t *testing.T) {
	in(t, func(is *is.I, fx *fixture) {
		fx.feed.ApplyBatch(time.Now(), reflector.Batch{Revision: 12, Changes: []*linkpb.Change{{Key: "servers/a", Value: []byte("0"), Revision: 4}}})
		is.Equal(fx.value("servers/a"), "1") // an older state is ignored
		fx.feed.ApplyBatch(time.Now(), reflector.Batch{Revision: 13, Changes: []*linkpb.Change{{Key: "servers/a", Deleted: true, Revision: 13}}})
		fx.feed.ApplyBatch(time.Now(), reflector.Batch{Revision: 13, Changes: []*linkpb.Change{{Key: "servers/a", Value: []byte("1"), Revision: 5}}})
		is.Equal(fx.value("servers/a"), "") // and a removed key does not come back
	})
}

// TestRemovalsBeforeFirstList asks an entry that started after a removal. It
// must not answer with the changes it knows only.
func TestRemovalsBeforeFirstList(t *testing.T) {
	in(t, func(is *is.I, fx *fixture) {
		is.True(fx.feed.ChangesSince(3).Full)
		is.True(!fx.feed.ChangesSince(10).Full)
		fx.feed.ApplyBatch(time.Now(), reflector.Batch{Revision: 30, Full: true})
		is.Equal(fx.count(), 0) // a key that all others lack is gone
	})
}

// TestServersComeBackAfterOutage lets registrations lapse while the store is out.
// They are used for the time in which their writers may come back.
func TestServersComeBackAfterOutage(t *testing.T) {
	in(t, func(is *is.I, fx *fixture) {
		fx.set(func() { fx.store.err = errOut })
		fx.store.events <- nil
		time.Sleep(5 * time.Second)
		is.True(!fx.feed.StoreReachable())
		fx.set(func() { fx.store.err, fx.store.pairs, fx.store.at = nil, nil, 40 })
		time.Sleep(time.Second)
		is.True(fx.feed.StoreReachable())
		is.Equal(fx.value("servers/a"), "1")              // still used
		is.True(fx.feed.Revision() < 40)                  // others must not take the removal as known
		time.Sleep(2500 * time.Millisecond)               // the time to come back is over
		is.Equal(fx.value("servers/a"), "")               // now gone
		is.Equal(fx.feed.Revision(), storer.Revision(40)) // and passed on
	})
}

func TestPeerSyncWhileStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		fx := withFeeder(ctx, errOut)
		time.Sleep(time.Second)
		synctest.Wait()
		is.True(!fx.feed.Ready())
		fx.set(func() {
			fx.peer = reflector.Batch{Revision: 8, Changes: []*linkpb.Change{{Key: "op", Value: []byte("v"), Revision: 8}}}
		})
		time.Sleep(time.Second)
		is.True(!fx.feed.Ready()) // changes alone are not the whole
		fx.set(func() { fx.peer.Full = true })
		time.Sleep(time.Second)
		is.True(fx.feed.Ready())
		is.Equal(fx.value("op"), "v")
		cancel()
		synctest.Wait()
	})
}
