package commander

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/pkg/describer"
	"samphiremux/platform/translator"
)

// quittingServer is the server that leaves, or asks for pauses.
const quittingServer = "i-3"

// countAt makes the servers succeed after serverWork, with another function first at
// quittingServer, and returns the number of requests that reach that one. With work of no time
// the estimate of the latency would be zero, and all servers would cost the same.
func (f *fleet) countAt(respond func(w http.ResponseWriter, n int64)) *atomic.Int64 {
	var n atomic.Int64
	f.respond = func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(translator.HeaderExpectInstance) == quittingServer {
			respond(w, n.Add(1))
		}
		time.Sleep(serverWork)
	}
	return &n
}

// callFor sends idempotent and other requests to one entry for a time.
func (f *fleet) callFor(t *testing.T, entry int, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		n := f.calls.Add(1)
		path := map[bool]string{true: "/look/", false: "/book/"}[n%2 == 0]
		if _, _, err := f.send(t.Context(), entry, fmt.Sprintf("%s%d", path, n), fmt.Sprintf("r%d", n), ""); err != nil {
			t.Error(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// isolateFromAll partitions every entry from the others. The store is away in any case.
func (f *fleet) isolateFromAll() {
	for _, e := range f.entries {
		f.network.partition(e.id)
	}
}

// TestLeavingServerUsedByLoneEntry guards against new work for a server that said in a single
// response that it leaves, by an entry that reaches neither the store nor another entry, and
// after its restart, and against a later incarnation that gets nothing.
func TestLeavingServerUsedByLoneEntry(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.isolateFromAll()
		got := f.countAt(func(w http.ResponseWriter, n int64) {
			if n == 1 {
				w.Header().Set(translator.HeaderLeaving, "1")
			}
		})
		f.callFor(t, 0, 5*time.Second)
		is.Equal(got.Load(), int64(1))

		f.respondProbe = func(w http.ResponseWriter, server string) {
			if server == quittingServer {
				w.Header().Set(translator.HeaderLeaving, "1")
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		restarted := f.newEntry(0)
		for _, srv := range f.entries[0].snapshots.Snapshot().Services["stock"] {
			restarted.snapshots.PutServer(srv.Server)
		}
		f.start(ctx, restarted)
		f.callFor(t, 0, 5*time.Second)
		is.Equal(got.Load(), int64(1))

		f.respondProbe = nil
		for _, srv := range restarted.snapshots.Snapshot().Services["stock"] {
			restarted.snapshots.PutServer(nextIncarnation(srv.Server))
		}
		f.callFor(t, 0, 5*time.Second)
		is.True(got.Load() > 1)
	})
}

// TestLoneEntryIgnoresPause guards against requests and probes at a server in the time for
// which it wants nothing, from an entry that reaches neither the store nor another entry, and
// against a server that gets nothing after it although the others are busy.
func TestLoneEntryIgnoresPause(t *testing.T) {
	const (
		pause  = 2500 * time.Millisecond
		notice = 500 * time.Millisecond
	)
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.isolateFromAll()
		var askedAt atomic.Pointer[time.Time]
		var during atomic.Int64
		count := func() {
			if at := askedAt.Load(); at != nil && time.Since(*at) > notice && time.Since(*at) < pause {
				during.Add(1)
			}
		}
		f.respondProbe = func(_ http.ResponseWriter, server string) {
			if server == quittingServer {
				count()
			}
		}
		got := f.countAt(func(w http.ResponseWriter, n int64) {
			count()
			if n > 1 {
				return
			}
			now := time.Now()
			askedAt.Store(&now)
			w.Header().Set(translator.HeaderNotExecuted, "1")
			translator.SetRetryAfter(w.Header(), pause)
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		// As many callers as the servers of the entry's failure domain have slots, one after
		// the other: to requests of one instant all servers seem to be idle.
		var calls sync.WaitGroup
		for i := range 16 {
			calls.Go(func() {
				time.Sleep(time.Duration(i) * 4 * time.Millisecond)
				f.callFor(t, 0, 5*time.Second)
			})
		}
		calls.Wait()
		is.Equal(during.Load(), int64(0))
		is.True(got.Load() > 1)
	})
}

// TestDelegatedRefusalHidesPause guards against a caller of an isolated entry that waits, or is
// told to come back too early, while all servers pause the entries that its request goes to.
func TestDelegatedRefusalHidesPause(t *testing.T) {
	const pause = 4 * time.Second
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.isolate(0)
		f.respond = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(translator.HeaderNotExecuted, "1")
			translator.SetRetryAfter(w.Header(), pause)
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		began := time.Now()
		var calls sync.WaitGroup
		for i := 1; i < fleetSize; i++ {
			calls.Go(func() { f.callFor(t, i, time.Second) })
		}
		calls.Wait()
		asked := time.Now()
		resp, _, err := f.send(t.Context(), 0, "/look/a", "r1", "")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.True(time.Since(asked) < promptRefusal)
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		back := time.Since(began) + time.Duration(seconds*float64(time.Second))
		is.True(back >= pause && back < pause+2*time.Second)
	})
}

// nextIncarnation returns the registration of a server that has restarted.
func nextIncarnation(s describer.Server) describer.Server {
	s.Incarnation++
	return s
}
