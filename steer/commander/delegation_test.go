package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/roundtripper"
	"samphiremux/pkg/describer"
	"samphiremux/platform/translator"
)

// isolationTime is the time in which an entry that is cut off finds that it is.
const isolationTime = time.Second

// isolate cuts entries off from the servers until they know it.
func (f *fleet) isolate(entries ...int) {
	f.setCuts(entries, resetting)
	for _, i := range entries {
		for n := range 3 {
			_ = f.call(i, "/look/first", fmt.Sprintf("first-%d-%d", i, n))
		}
	}
	time.Sleep(isolationTime)
}

// withFleet runs a test with a fleet in virtual time.
func withFleet(t *testing.T, test func(*testing.T, *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		defer f.stop()
		test(t, f)
	})
}

// TestHopHeadersLeak guards against headers between entries that reach servers or callers,
// or that a caller sends itself.
func TestHopHeadersLeak(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		var mu sync.Mutex
		var leaked []string
		f.respond = func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			for name := range r.Header {
				if strings.HasPrefix(name, "Samphire-") {
					leaked = append(leaked, name)
				}
			}
			// A server that sends a header of the link between entries is no entry.
			w.Header().Set("Samphire-Outcome", "not-run; reason=suspect")
			_, _ = io.WriteString(w, "ok")
		}
		f.isolate(0)
		resp, body, err := f.send(t.Context(), 0, "/look/a", "r1", "")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, "ok")
		is.Equal(resp.Header.Get("Samphire-Outcome"), "")
		is.Equal(resp.Header.Get("Samphire-Entry"), "")
		is.Equal(len(leaked), 0)
	})
}

// TestDelegatedToOlderConfiguration guards against 404 for a route that the entry to which
// a request is passed on does not know yet.
func TestDelegatedToOlderConfiguration(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		newer := describer.NewRouteTable(2, []describer.Route{fleetRoute("look", true), fleetRoute("new", false)},
			[]describer.Service{{Name: "stock", HealthPath: "/health", ColdRate: 9.3}}, describer.Limits{})
		is.NoErr(f.entries[0].snapshots.SetTable(newer))
		is.NoErr(f.entries[4].snapshots.SetTable(newer))
		f.isolate(0)
		served := 0
		for n := range 20 {
			resp, _, err := f.send(t.Context(), 0, "/new/a", fmt.Sprintf("r%d", n), "")
			is.NoErr(err)
			is.True(resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusServiceUnavailable)
			if resp.StatusCode == http.StatusOK {
				served++
			}
		}
		is.True(served >= 18) // the entries behind are avoided once known
	})
}

// TestDelegatedAttemptsAdded guards against more attempts of a request than its route
// allows, as both entries count their own.
func TestDelegatedAttemptsAdded(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.respond = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
		f.isolate(0)
		for n := range 20 {
			id := fmt.Sprintf("r%d", n)
			_, _, _ = f.send(t.Context(), 0, "/look/a", id, "")
			if runs := f.runsOf(id); runs > 2 {
				t.Errorf("request %s ran %d times, bound 2", id, runs)
			}
		}
	})
}

// TestDelegatedBodiesCut guards against bodies that lose bytes between entries.
func TestDelegatedBodiesCut(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.respond = func(w http.ResponseWriter, r *http.Request) {
			// The server discards what of a body is not read before the response begins.
			data, _ := io.ReadAll(r.Body)
			_, _ = w.Write(data)
		}
		f.isolate(0)
		for n, size := range []int{1, 4 << 10, 100 << 10, 300 << 10, 1 << 20} {
			text := strings.Repeat("b", size)
			resp, body, err := f.send(t.Context(), 0, "/book/a", fmt.Sprintf("r%d", n), text)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			if body != text {
				t.Errorf("%d of %d bytes", len(body), size)
			}
		}
	})
}

// TestDelegatedWorkGoesOn guards against servers that go on working for callers who have
// left an entry that passed their requests on.
func TestDelegatedWorkGoesOn(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		ended := make(chan time.Time, 10)
		f.respond = func(_ http.ResponseWriter, r *http.Request) {
			if strings.Contains(r.URL.Path, "left") {
				<-r.Context().Done()
				ended <- time.Now()
			}
		}
		f.isolate(0)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _, err := f.send(ctx, 0, "/book/left", "r1", "")
		is.True(err != nil)
		left := time.Now()
		is.True((<-ended).Sub(left) < 50*time.Millisecond)
	})
}

// TestDelegatedRequestLost guards against a request that runs twice, or is said not to have
// run, as the entry breaks off to which it was passed on.
func TestDelegatedRequestLost(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.respond = func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(serverWork)
			_, _ = io.WriteString(w, "ok")
		}
		f.isolate(0, 1, 2, 3, 4)
		go func() {
			time.Sleep(serverWork / 2)
			_ = f.servers[5].delegated.Close()
		}()
		resp, _, err := f.send(t.Context(), 0, "/book/a", "r1", "")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
		is.Equal(f.runsOf("r1"), 1)
		resp, _, err = f.send(t.Context(), 0, "/book/b", "r2", "")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable) // nobody takes it, at once
		is.Equal(f.runsOf("r2"), 0)
	})
}

// TestStoppingEntryCutsDelegated guards against requests that are cut since the entry to
// which they were passed on stops.
func TestStoppingEntryCutsDelegated(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.isolate(0, 1)
		for _, i := range []int{2, 3, 4} {
			s := *f.entries[i].settings.Load()
			s.Bounds.GracePeriod = 6 * time.Second
			f.entries[i].settings.Store(&s)
		}
		var calls sync.WaitGroup
		for n := range 300 {
			if n == 50 || n == 100 || n == 150 {
				i := n/50 + 1
				go func() { _ = f.entries[i].stop(f.servers[i]) }()
			}
			calls.Go(func() {
				path := []string{"/look/a", "/book/a"}[n%2]
				if !f.call(n/2%2, path, fmt.Sprintf("r%d", n)) {
					t.Errorf("call %d was not served", n)
				}
			})
			time.Sleep(callInterval)
		}
		calls.Wait()
	})
}

// TestRequestInFlightHeldByCut guards against idempotent requests that hang until their
// deadline as the links to the servers are cut while they run.
func TestRequestInFlightHeldByCut(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		var calls sync.WaitGroup
		for n := range 6 {
			calls.Go(func() {
				if !f.call(0, "/look/a", fmt.Sprintf("r%d", n)) {
					t.Errorf("call %d was not served", n)
				}
			})
		}
		time.Sleep(serverWork / 2)
		f.setCuts([]int{0}, hanging)
		calls.Wait()
	})
}

// countLeaving returns the number of servers that are leaving as an entry knows.
func (f *fleet) countLeaving(i int) (n int) {
	for _, srv := range f.entries[i].snapshots.Snapshot().Services["stock"] {
		if srv.State.Leaving() {
			n++
		}
	}
	return n
}

// TestLeavingServerUsedAfterDelegation guards against new work for a server whose response
// another entry has passed on, and in which the server said that it leaves.
func TestLeavingServerUsedAfterDelegation(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		var told atomic.Int64
		for _, srv := range f.entries[0].snapshots.Snapshot().Services["stock"] {
			srv.State.OnChange(func(roundtripper.Notice) { told.Add(1) })
		}
		f.isolate(0)
		f.respond = func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(translator.HeaderLeaving, "1") }
		_, _, err := f.send(t.Context(), 0, "/book/a", "r1", "")
		is.NoErr(err)
		is.Equal(f.countLeaving(0), 1)
		is.Equal(told.Load(), int64(1)) // it is logged
	})
}

// TestLateWordOfEarlierIncarnationDelegated guards against a restarted server that gets
// nothing, since another entry passes a response of its earlier incarnation on.
func TestLateWordOfEarlierIncarnationDelegated(t *testing.T) {
	for _, c := range []struct {
		name        string
		here, there int64
		leaving     int
	}{
		{"the same incarnation", 7, 7, 1},
		{"the server has restarted", 8, 7, 0},
		{"only the other entry knows the later incarnation", 7, 8, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				is := is.New(t)
				f.isolate(0)
				for i, e := range f.entries {
					for _, srv := range e.snapshots.Snapshot().Services["stock"] {
						srv.Incarnation = map[bool]int64{true: c.here, false: c.there}[i == 0]
						e.snapshots.PutServer(srv.Server)
					}
				}
				f.respond = func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(translator.HeaderLeaving, "1") }
				resp, _, err := f.send(t.Context(), 0, "/book/a", "r1", "")
				is.NoErr(err)
				is.Equal(resp.Header.Get(translator.HeaderLeaving), "1")
				is.Equal(f.countLeaving(0), c.leaving)
			})
		})
	}
}

// TestLeavingServerUsedAfterDelegatedHedge guards against new work for a server that said
// that it leaves in the response to a hedge, which another entry has passed on.
func TestLeavingServerUsedAfterDelegatedHedge(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		var first sync.Once
		f.respond = func(w http.ResponseWriter, _ *http.Request) {
			slow := false
			first.Do(func() { slow = true })
			if slow {
				time.Sleep(callerTimeout)
				return
			}
			w.Header().Set(translator.HeaderLeaving, "1")
		}
		time.AfterFunc(serverWork, func() { f.setCuts([]int{0}, hanging) })
		resp, _, err := f.send(t.Context(), 0, "/look/a", "r1", "")
		is.NoErr(err)
		is.Equal(resp.Header.Get(translator.HeaderLeaving), "1")
		is.Equal(f.countLeaving(0), 1)
	})
}

// TestUnreachingEntryEndsRequest guards against a request that is refused since the first
// entry to which it was passed on does not reach the servers either.
func TestUnreachingEntryEndsRequest(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.isolate(0)
		f.setCuts([]int{3}, hanging) // the other one of its failure domain, which does not know yet
		var calls sync.WaitGroup
		for n := range 10 {
			calls.Go(func() {
				if !f.call(0, "/book/a", fmt.Sprintf("r%d", n)) {
					t.Errorf("call %d was not served", n)
				}
			})
		}
		calls.Wait()
	})
}
