package commander

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"samphiremux/entry/quarantiner"
	"samphiremux/platform/translator"
)

// maxCrashes is the number of backend servers that the users let a request crash before it
// must be stopped.
const maxCrashes = 3

// withFatalRequest runs a test on a fleet with a store, in which a request with /fatal in its
// path crashes each server that runs it. Crashes returns the number of crashes.
func withFatalRequest(t *testing.T, test func(f *fleet, store *memoryStore, crashes func() int)) {
	t.Helper()
	withFleet(t, func(_ *testing.T, f *fleet) {
		var crashes atomic.Int32
		f.respond = func(w http.ResponseWriter, r *http.Request) {
			if strings.Contains(r.URL.Path, "/fatal") {
				crashes.Add(1)
				f.crash(r.Header.Get(translator.HeaderExpectInstance))
				panic(http.ErrAbortHandler)
			}
			time.Sleep(serverWork)
			_, _ = w.Write([]byte("ok"))
		}
		store := f.followStore()
		time.Sleep(settleTime)
		test(f, store, func() int { return int(crashes.Load()) })
	})
}

// followStore lets the entries of a fleet follow a new store.
func (f *fleet) followStore() *memoryStore {
	store := serveStore(f.network)
	f.ends = map[*entry]context.CancelFunc{}
	for _, e := range f.entries {
		ctx, cancel := context.WithCancel(context.Background())
		f.ends[e] = cancel
		e.followStore(ctx)
	}
	return store
}

// followStore lets an entry follow the store until ctx ends.
func (e *entry) followStore(ctx context.Context) {
	go e.reflector.Run(ctx)
	go e.reflector.RunPeerSync(ctx)
	go e.enroller.RunRegistration(ctx)
	go e.persister.Run(ctx)
}

// restart replaces an entry by one that has just started and knows what the store holds.
func (f *fleet) restart(i int) {
	earlier := f.entries[i]
	f.ends[earlier]()
	f.entries[i] = f.newEntry(i)
	for _, servers := range earlier.snapshots.Snapshot().Services {
		for _, b := range servers {
			f.entries[i].snapshots.PutServer(b.Server)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.ends[f.entries[i]] = cancel
	f.start(ctx, f.entries[i])
	f.entries[i].followStore(ctx)
}

// TestQuarantineLostAtRestart guards against entries that start and send on a request that
// crashes servers, which all others have in quarantine.
func TestQuarantineLostAtRestart(t *testing.T) {
	withFatalRequest(t, func(f *fleet, store *memoryStore, crashes func() int) {
		f.call(0, "/look/fatal", "first")
		time.Sleep(settleTime)
		for i := range f.entries {
			f.restart(i)
			time.Sleep(settleTime)
			f.call(i, "/look/fatal", "again")
		}
		if n := crashes(); n > maxCrashes {
			t.Errorf("the request crashed %d servers, %d allowed", n, maxCrashes)
		}
		if keys := store.keys(quarantinePrefix); len(keys) != 1 {
			t.Errorf("the store holds the quarantined requests %q, 1 expected", keys)
		}
	})
}

// TestQuarantineLostWithAllEntries guards against a fleet that forgets a request that crashes
// servers when all entries end at once.
func TestQuarantineLostWithAllEntries(t *testing.T) {
	withFatalRequest(t, func(f *fleet, _ *memoryStore, crashes func() int) {
		f.call(0, "/look/fatal", "first")
		for range 3 {
			time.Sleep(settleTime)
			for i := range f.entries {
				f.restart(i)
			}
			time.Sleep(settleTime)
			for i := range f.entries {
				f.call(i, "/look/fatal", "again")
			}
		}
		if n := crashes(); n > maxCrashes {
			t.Errorf("the request crashed %d servers, %d allowed", n, maxCrashes)
		}
	})
}

// crashTogether crashes the servers that run a request with a path at this moment.
type crashTogether struct {
	f       *fleet
	path    string
	mu      sync.Mutex
	running map[string]int
}

// respond responds after serverWork. It takes note of the servers that run the path.
func (c *crashTogether) respond(w http.ResponseWriter, r *http.Request) {
	server := r.Header.Get(translator.HeaderExpectInstance)
	if r.URL.Path == c.path {
		c.add(server, 1)
		defer c.add(server, -1)
	}
	select {
	case <-time.After(serverWork):
		_, _ = w.Write([]byte("ok"))
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

func (c *crashTogether) add(server string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[server] += n
}

// crash crashes n servers that run the path. It reports false if it runs on fewer.
func (c *crashTogether) crash(n int) bool {
	c.mu.Lock()
	var servers []string
	for server, running := range c.running {
		if running > 0 && len(servers) < n {
			servers = append(servers, server)
		}
	}
	c.mu.Unlock()
	if len(servers) < n {
		return false
	}
	for _, server := range servers {
		c.f.crash(server)
	}
	return true
}

// TestPageRefusedAfterCrashes guards against a request that all entries refuse for ten
// minutes since it was running on servers that crashed together for another reason.
func TestPageRefusedAfterCrashes(t *testing.T) {
	for _, c := range []struct {
		name string
		// popular has the page been served before, and again after the crashes; otherwise
		// it is asked for once at each entry.
		popular bool
		path    string
	}{
		{"popular page", true, "/look/page"},
		{"page asked for the first time", false, "/look/page"},
		{"order sent the first time", false, "/book/page"},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				group := &crashTogether{f: f, path: c.path, running: map[string]int{}}
				f.respond = group.respond
				time.Sleep(settleTime)
				var calls sync.WaitGroup
				ask := func(round int) {
					for i := range f.entries {
						calls.Go(func() { f.call(i, c.path, fmt.Sprintf("r%d-%d", round, i)) })
					}
					time.Sleep(serverWork / 2)
				}
				if c.popular {
					for round := range 20 {
						ask(round)
					}
				}
				ask(100)
				if !group.crash(3) {
					t.Fatal("the page runs on fewer than 3 servers")
				}
				for round := range 10 {
					if c.popular {
						ask(200 + round)
					}
				}
				calls.Wait()
				time.Sleep(settleTime)
				for i := range f.entries {
					// One of the entries may try the page before the others serve it.
					f.call(i, c.path, fmt.Sprintf("trial-%d", i))
				}
				time.Sleep(callInterval)
				for i := range f.entries {
					if !f.call(i, c.path, fmt.Sprintf("after-%d", i)) {
						t.Errorf("entry %d refuses the page", i)
					}
				}
			})
		})
	}
}

// crashedPage is a page of a route whose requests run once at most.
const crashedPage = "/book/page"

// pageAfterCrashes runs a test on a fleet after a page was running on servers that crashed
// together.
func pageAfterCrashes(t *testing.T, test func(t *testing.T, f *fleet)) {
	t.Helper()
	withFleet(t, func(t *testing.T, f *fleet) {
		group := &crashTogether{f: f, path: crashedPage, running: map[string]int{}}
		f.respond = group.respond
		time.Sleep(settleTime)
		var calls sync.WaitGroup
		for n := range 2 {
			calls.Go(func() { f.call(n, crashedPage, fmt.Sprintf("r%d", n)) })
		}
		time.Sleep(serverWork / 2)
		if !group.crash(2) {
			t.Fatal("the page runs on fewer than 2 servers")
		}
		calls.Wait()
		time.Sleep(settleTime)
		test(t, f)
	})
}

// TestPageRefusedWhereItsCallersAre guards against a page that was running on servers which
// crashed together, and that the entries of its callers refuse while another one, which they
// do not use, may try it.
func TestPageRefusedWhereItsCallersAre(t *testing.T) {
	for i := range fleetSize {
		t.Run(fmt.Sprintf("callers of entry %d", i), func(t *testing.T) {
			pageAfterCrashes(t, func(t *testing.T, f *fleet) {
				for n := range 5 {
					if !f.call(i, crashedPage, fmt.Sprintf("after-%d", n)) {
						t.Errorf("call %d for the page was refused", n)
					}
					time.Sleep(callInterval)
				}
			})
		})
	}
}

// TestTrialAtEntryThatDoesNotRespond guards against a page that is refused since the entries
// that may try it reach no server.
func TestTrialAtEntryThatDoesNotRespond(t *testing.T) {
	pageAfterCrashes(t, func(t *testing.T, f *fleet) {
		fingerprint := quarantiner.FingerprintOf("stock", http.MethodGet, crashedPage, nil)
		unreaching := f.entries[0].enroller.FirstMembers(fingerprint.String(), 2)
		for _, id := range unreaching {
			f.network.setCut(id, hanging)
		}
		time.Sleep(settleTime)
		for i, e := range f.entries {
			if !slices.Contains(unreaching, e.id) && !f.call(i, crashedPage, fmt.Sprintf("after-%d", i)) {
				t.Errorf("entry %d refuses the page", i)
			}
		}
	})
}

// TestFatalRequestAtAllEntries guards against a request that crashes servers again and again
// since it arrives at several entries at the same moment.
func TestFatalRequestAtAllEntries(t *testing.T) {
	// maxLateTries is the number of tries that the users let reach servers from settleTime
	// after the third crash on.
	const maxLateTries = 3
	withFatalRequest(t, func(f *fleet, _ *memoryStore, crashes func() int) {
		late := 0
		for wave := range 6 {
			counts := crashes() >= maxCrashes
			var calls sync.WaitGroup
			for i := range f.entries {
				calls.Go(func() { f.call(i, "/look/fatal", fmt.Sprintf("r%d-%d", wave, i)) })
			}
			calls.Wait()
			for i := range f.entries {
				if counts && f.runsOf(fmt.Sprintf("r%d-%d", wave, i)) > 0 {
					late++
				}
			}
			time.Sleep(settleTime)
		}
		if late > maxLateTries {
			t.Errorf("%d tries reached servers after the third crash, %d allowed; %d servers crashed", late, maxLateTries, crashes())
		}
	})
}
