package enroller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"samphiremux/entry/enroller"
	"samphiremux/entry/reflector"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/linker"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
)

// fakeStoreCache is an entry's copy of the store, reduced to a revision.
type fakeStoreCache struct {
	mu       sync.Mutex
	revision storer.Revision
	reached  bool
	batches  int
}

func (f *fakeStoreCache) Revision() storer.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

func (f *fakeStoreCache) StoreReachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reached
}

func (f *fakeStoreCache) ObservePeerRevision(time.Time, storer.Revision) {}

func (f *fakeStoreCache) ChangesSince(storer.Revision, int) reflector.Batch {
	return reflector.Batch{Revision: f.Revision(), Changes: []*linkpb.Change{{Key: "k", Revision: uint64(f.Revision())}}}
}

func (f *fakeStoreCache) ApplyBatch(_ time.Time, b reflector.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.batches++
	f.revision = max(f.revision, b.Revision)
}

func (f *fakeStoreCache) set(revision storer.Revision, reached bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision, f.reached = revision, reached
}

// fakeStore accepts registrations and counts them. While refusing is set, it refuses
// to grant and renew leases, and while silent is set, it answers no calls.
type fakeStore struct {
	storer.Store
	mu       sync.Mutex
	refusing bool
	silent   bool
	// silentCalls is the number of coming renewals that are not answered.
	silentCalls int
	// delay is the time that a renewal takes.
	delay    time.Duration
	commits  int
	renewals int
}

func (s *fakeStore) Grant(context.Context, time.Duration) (storer.LeaseID, error) {
	return 1, s.err()
}

func (s *fakeStore) Renew(ctx context.Context, _ storer.LeaseID) error {
	s.mu.Lock()
	s.renewals++
	silent, delay := s.silent || s.silentCalls > 0, s.delay
	s.silentCalls = max(0, s.silentCalls-1)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-time.After(delay):
		return s.err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// callTimeout bounds a call of the store.
const callTimeout = 3 * time.Second

func (s *fakeStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// silenceNext leaves the next renewal without an answer.
func (s *fakeStore) silenceNext() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentCalls = 1
}

func (s *fakeStore) setDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

func (s *fakeStore) Revoke(context.Context, storer.LeaseID) error { return nil }

func (s *fakeStore) Commit(context.Context, storer.Transaction) storer.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	return storer.Committed{Revision: 1}
}

func (s *fakeStore) registrations() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

func (s *fakeStore) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing {
		return storer.ErrUnavailable{}
	}
	return nil
}

func (s *fakeStore) setRefusing(refusing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = refusing
}

// fleet is a set of entries that are connected in memory.
type fleet struct {
	entries []*enroller.Enroller
	caches  []*fakeStoreCache
	stores  []*fakeStore
	cancels []context.CancelFunc
	// lossesHang makes connections to a lost entry hang. They are refused otherwise.
	lossesHang atomic.Bool
}

type listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

type linkServer struct {
	linkpb.DRPCLinkUnimplementedServer
	e *enroller.Enroller
}

func (l *linkServer) Beat(_ context.Context, r *linkpb.BeatRequest) (*linkpb.BeatResponse, error) {
	return l.e.HandleHeartbeat(r), nil
}

func newFleet(domains ...string) *fleet {
	return newFleetWith(func(_ int, m tracker.Member) tracker.Member { return m }, domains...)
}

// memberID returns the id of an entry of a fleet.
func memberID(i int) string { return fmt.Sprintf("e%02d", i) }

// newFleetWith returns a fleet whose entries register with what change returns.
func newFleetWith(change func(int, tracker.Member) tracker.Member, domains ...string) *fleet {
	f := &fleet{}
	listeners := map[string]*listener{}
	var members []tracker.Member
	for i, domain := range domains {
		m := tracker.Member{ID: memberID(i), Domain: domain, LinkAddress: fmt.Sprintf("link%d", i)}
		m = change(i, m)
		members = append(members, m)
		listeners[m.LinkAddress] = &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
	}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		own, other := net.Pipe()
		select {
		case listeners[address].conns <- other:
			return own, nil
		case <-listeners[address].closed:
			if f.lossesHang.Load() {
				<-ctx.Done()
			}
			return nil, net.ErrClosed
		}
	}
	for _, m := range members {
		cache, store := &fakeStoreCache{revision: 5, reached: true}, &fakeStore{}
		e := enroller.New(time.Now(), enroller.Options{
			Self: m, Store: store, Prefix: "entries/", Pool: linker.NewPool(dial), StoreCache: cache,
			Seeds: func() []string { return nil }, Log: hclog.NewNullLogger(),
		})
		for _, other := range members {
			value, _ := json.Marshal(other)
			e.ApplyChange(time.Now(), "entries/"+other.ID, value, false)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = linker.Serve(ctx, listeners[m.LinkAddress], &linkServer{e: e}) }()
		go e.RunHeartbeats(ctx)
		go e.RunRegistration(ctx)
		f.entries, f.caches, f.stores = append(f.entries, e), append(f.caches, cache), append(f.stores, store)
		f.cancels = append(f.cancels, func() {
			cancel()
			_ = listeners[m.LinkAddress].Close()
		})
	}
	return f
}

func (f *fleet) close() {
	for _, cancel := range f.cancels {
		cancel()
	}
	time.Sleep(5 * time.Second)
	synctest.Wait()
}

func (f *fleet) relayCount() (n int) {
	for _, e := range f.entries {
		if e.IsRelay() {
			n++
		}
	}
	return n
}

// TestOneRelayPerDomain guards against every entry acting as a relay. That happened
// when the heartbeats of relays were cancelled as soon as they were sent.
func TestOneRelayPerDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("a", "a", "a", "b", "b")
		time.Sleep(3 * time.Second)
		is.Equal(f.relayCount(), 2)
		for _, e := range f.entries {
			is.True(e.IsRelay() || e.HasRelay()) // the others receive heartbeats from their relay
		}
		f.close()
	})
}

// TestRelayRefusedByStore guards against a relay that keeps its role although the store
// refuses its calls. Another entry must take over; until then the others watch the
// store themselves.
func TestRelayRefusedByStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("a", "a", "a")
		time.Sleep(3 * time.Second)
		for i, e := range f.entries {
			if e.IsRelay() {
				f.stores[i].setRefusing(true)
				time.Sleep(6 * time.Second) // until the next renewal fails
				is.True(!e.IsRelay())
				is.True(!e.ReachesStore())
				is.Equal(len(f.entries[(i+1)%3].MembersReachingStore(time.Now())), 2) // nor may it lead a move
				break
			}
		}
		is.Equal(f.relayCount(), 1)
		f.close()
	})
}

// TestRelaySendsChanges guards against changes that stay at the relay: when its copy is
// newer, HeartbeatNow must bring every other copy to the same revision at once, and soon if
// half of the others are lost, with secondary relays among them.
func TestRelaySendsChanges(t *testing.T) {
	for _, c := range []struct {
		entries int
		lost    bool
		within  time.Duration
	}{{3, false, 50 * time.Millisecond}, {40, false, 50 * time.Millisecond}, {40, true, time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(domains("a", c.entries)...)
			time.Sleep(4 * time.Second)
			relays := f.relays()
			is.Equal(len(relays), 1)
			for i := 0; c.lost && i < c.entries; i += 2 {
				if i != relays[0] {
					f.cancels[i]()
				}
			}
			f.caches[relays[0]].set(9, true)
			f.entries[relays[0]].HeartbeatNow()
			time.Sleep(c.within)
			for i, cache := range f.caches {
				is.True((c.lost && i%2 == 0) || cache.Revision() == storer.Revision(9))
			}
			f.close()
		})
	}
}

// TestRelayCrashDetected guards against entries that rely on a crashed relay for longer
// than a change may take to reach them.
func TestRelayCrashDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("a", "a", "a")
		time.Sleep(3 * time.Second)
		for i, e := range f.entries {
			if e.IsRelay() {
				f.cancels[i]()
				time.Sleep(time.Second)
				next, last := f.entries[(i+1)%3], f.entries[(i+2)%3]
				taken := next.IsRelay() || last.IsRelay() // the crashed one may have been passed over by now
				is.True(taken || !next.HasRelay())
				is.True(taken || !last.HasRelay())
				time.Sleep(time.Second)
				is.True(next.IsRelay() != last.IsRelay())
				is.True(next.HasRelay() != last.HasRelay()) // only the one that is no relay has another one
				break
			}
		}
		f.close()
	})
}

// TestRegistrationRemoved guards against an entry that stays unregistered until its
// next renewal after the store has lost its lease. It must register at once.
func TestRegistrationRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("a")
		time.Sleep(time.Second)
		is.Equal(f.stores[0].registrations(), 1)
		f.entries[0].ApplyChange(time.Now(), "entries/e00", nil, true)
		time.Sleep(time.Second)
		is.Equal(f.stores[0].registrations(), 2)
		f.close()
	})
}

// TestUnreadableRegistration guards against a malformed registration that changes the
// known entries.
func TestUnreadableRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("a", "a")
		is.True(f.entries[0].ApplyChange(time.Now(), "entries/e09", []byte("{"), false))
		is.Equal(f.entries[0].MemberCount(), 2)
		is.True(!f.entries[0].ApplyChange(time.Now(), "other", nil, false))
		f.close()
	})
}

// TestRelayOfEarlierVersion guards against entries that do without their relay, since it is
// of an earlier version and sends no era with its revisions.
func TestRelayOfEarlierVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("a")
		f.caches[0].set(storer.NewRevision(1, 5), true)
		resp := f.entries[0].HandleHeartbeat(&linkpb.BeatRequest{
			EntryId: "e09", StoreReached: true, Scout: true, DocumentRevision: 7, Changes: []*linkpb.Change{{Key: "k", Revision: 7}},
		})
		is.True(f.entries[0].HasRelay())
		is.Equal(f.caches[0].Revision(), storer.NewRevision(1, 7))
		is.Equal(resp.GetDocumentRevision(), uint64(7)) // without the era, as that entry reads it
		is.Equal(resp.GetEra(), int64(1))
		f.close()
	})
}

// TestRanksOfAllEntries guards against two entries with the same rank, or with ranks that
// change when they lose sight of each other: both would exceed limits that they share.
func TestRanksOfAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("a", "a", "b", "b", "c")
		time.Sleep(3 * time.Second)
		ranks := func(key string) (all []int) {
			for _, e := range f.entries {
				rank, entries := e.Rank(key)
				is.Equal(entries, 5)
				all = append(all, rank)
			}
			return all
		}
		before := ranks("server-1")
		sorted := slices.Clone(before)
		slices.Sort(sorted)
		is.Equal(sorted, []int{0, 1, 2, 3, 4})
		f.cancels[0]()
		f.cancels[3]()
		time.Sleep(20 * time.Second)
		is.Equal(ranks("server-1"), before)
		f.close()
	})
}

// TestRelayToldLateBehindOmittedValue guards against entries that do without their relay
// while it omits a value that they know already.
func TestRelayToldLateBehindOmittedValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("a")
		f.caches[0].set(storer.NewRevision(1, 9), true)
		f.entries[0].HandleHeartbeat(&linkpb.BeatRequest{
			EntryId: "e09", StoreReached: true, Scout: true, DocumentRevision: 6, Era: 1,
			CoveredRevision: uint64(storer.NewRevision(1, 9)), Omitted: []*linkpb.Change{{Key: "k", Revision: 7, Era: 1}},
		})
		is.True(f.entries[0].HasRelay())
		f.close()
	})
}

// TestRelayWithMoreChangesThanFit guards against entries that wait for their relay while its
// heartbeats cannot carry all changes.
func TestRelayWithMoreChangesThanFit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("a")
		beat := func(size int) {
			f.entries[0].HandleHeartbeat(&linkpb.BeatRequest{
				EntryId: "e09", StoreReached: true, Scout: true, DocumentRevision: 9, Era: 1,
				Changes: []*linkpb.Change{{Key: "k", Value: make([]byte, size), Revision: 9, Era: 1}},
			})
		}
		beat(1 << 10)
		is.True(f.entries[0].HasRelay())
		beat(7900)
		is.True(!f.entries[0].HasRelay())
		beat(1 << 10)
		is.True(f.entries[0].HasRelay())
		f.close()
	})
}
