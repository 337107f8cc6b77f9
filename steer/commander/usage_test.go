package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/usagereporter"
	"samphiremux/pkg/describer"
	"samphiremux/pkg/storer"
	"samphiremux/platform/translator"
)

// cloudAddress is the address of the platform's cloud API in a memory network.
const cloudAddress = "10.0.9.8:1"

// usageReport is a report that the platform has received.
type usageReport struct {
	window int64
	counts map[string]int64
	at     time.Time
}

// serveCloud serves the platform's cloud API and passes the reports on.
func serveCloud(n *memoryNetwork, received func(usageReport)) {
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var body struct {
			Window int64            `json:"window"`
			Counts map[string]int64 `json:"counts"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err == nil {
			received(usageReport{body.Window, body.Counts, time.Now()})
		}
	})}
	l := n.listen(cloudAddress)
	go func() { _ = server.Serve(l) }()
}

// reportUsage enables usage reports at the entries of a fleet that follows a store, and lets
// each count two requests a second for a time.
func (f *fleet) reportUsage(ctx context.Context, d time.Duration) {
	started := time.Now()
	for _, e := range f.entries {
		f.enableUsage(ctx, e, started)
	}
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		for _, e := range f.entries {
			e.usage.Count("stock", time.Now())
		}
	}
}

// enableUsage enables usage reports at an entry, whose uptime begins at a time.
func (f *fleet) enableUsage(ctx context.Context, e *entry, started time.Time) {
	s := *e.settings.Load()
	s.CloudAPI = translator.CloudAPI{Address: cloudAddress, ReportsUsage: true, CallInterval: 200 * time.Millisecond}
	s.Bounds.UsageWindow, s.Bounds.LeaseTime = 5*time.Second, 3*time.Second
	e.settings.Store(&s)
	e.uptime = func() time.Duration { return time.Since(started) }
	ctx, cancel := context.WithCancel(ctx)
	end := f.ends[e]
	f.ends[e] = func() {
		end()
		cancel()
	}
	go e.usage.Run(ctx)
	go e.usage.RunForwarding(ctx)
}

// TestHolderRestarts guards against counts that relays have sent to the previous process of the
// holder, whose registration the next one keeps, and do not send again.
func TestHolderRestarts(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		var mu sync.Mutex
		reports := map[int64]usageReport{}
		serveCloud(f.network, func(r usageReport) {
			mu.Lock()
			defer mu.Unlock()
			reports[r.window] = r
		})
		f.followStore()
		time.Sleep(10 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		started := time.Now()
		f.reportUsage(ctx, 13*time.Second)
		holder := slices.IndexFunc(f.entries, func(e *entry) bool { return e.usage.Stats().Holder })
		counted := int64(26)
		for range 4 {
			for i, e := range f.entries {
				if i != holder {
					e.usage.Count("others", time.Now())
				}
			}
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(1500 * time.Millisecond) // relays have passed these counts on
		f.restart(holder)
		f.enableUsage(ctx, f.entries[holder], started)
		time.Sleep(30 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		stock, others := int64(0), int64(0)
		for _, r := range reports {
			stock, others = stock+r.counts["stock"], others+r.counts["others"]
		}
		if want := int64(len(f.entries)-1) * 4; others != want || stock < int64(len(f.entries)-1)*counted {
			t.Errorf("%d requests of others and %d of all entries reported, %d and %d expected", others, stock, want, int64(len(f.entries))*counted)
		}
	})
}

// TestStoppedEntryNotCounted guards against the counts of an entry that stops and that are
// lost, since it serves on for a while after it has deregistered.
func TestStoppedEntryNotCounted(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		var mu sync.Mutex
		total := int64(0)
		seen := map[int64]bool{}
		serveCloud(f.network, func(r usageReport) {
			mu.Lock()
			defer mu.Unlock()
			if !seen[r.window] {
				total += r.counts["stock"]
			}
			seen[r.window] = true
		})
		store := f.followStore()
		time.Sleep(10 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f.reportUsage(ctx, 10*time.Second)
		stopped := 0
		for i, e := range f.entries {
			if !e.usage.Stats().Holder && !e.enroller.IsRelay() {
				stopped = i
			}
		}
		setGracePeriod(f.entries[stopped], 1500*time.Millisecond)
		go func() {
			_ = f.entries[stopped].stop(f.servers[stopped])
			f.ends[f.entries[stopped]]()
		}()
		time.Sleep(10 * time.Millisecond)
		store.remove(entryPrefix + f.entries[stopped].id) // its lease is revoked
		time.Sleep(500 * time.Millisecond)                // relays know it
		for range 10 {
			f.entries[stopped].usage.Count("stock", time.Now())
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		if want := int64(len(f.entries)*20 + 10); total != want {
			t.Errorf("%d requests reported, %d expected", total, want)
		}
	})
}

// TestKeyToReport guards against requests that are in no report, in the report of another
// workspace or in it twice, and against reported requests that no server has run, on the way
// from a caller's key through the entries to the platform.
func TestKeyToReport(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		var mu sync.Mutex
		reports := map[int64]map[string]int64{}
		serveCloud(f.network, func(r usageReport) {
			mu.Lock()
			defer mu.Unlock()
			reports[r.window] = r.counts
		})
		f.respond = func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(translator.HeaderRequestID)
			if strings.Contains(r.URL.Path, "refused") || (strings.Contains(r.URL.Path, "elsewhere") && f.runsOf(id) == 1) {
				w.Header().Set(translator.HeaderNotExecuted, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			if strings.Contains(r.URL.Path, "lost") && f.runsOf(id) == 1 {
				panic(http.ErrAbortHandler)
			}
		}
		f.followStore()
		time.Sleep(10 * time.Second)
		f.isolate(0) // passes its requests on
		for _, e := range f.entries {
			is.New(t).NoErr(e.snapshots.SetTable(keyedTable(2).WithWorkspaces([]describer.KeyedWorkspace{
				{Workspace: describer.Workspace{Name: "first"}, Keys: []string{"k-1"}},
				{Workspace: describer.Workspace{Name: "second"}, Keys: []string{"k-2"}},
			})))
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f.reportUsage(ctx, 0)
		for n, c := range []struct {
			path, key string
			status    int
			// runs is the number of requests that servers got, the refused ones among them.
			runs int
		}{
			{"/look/1", "k-1", http.StatusOK, 1},
			{"/book/1", "k-2", http.StatusOK, 1},
			{"/look/1", "k-3", http.StatusUnauthorized, 0},
			{"/open/1", "k-1", http.StatusOK, 1},
			{"/open/1", "k-3", http.StatusOK, 1},
			{"/open/1", "", http.StatusOK, 1},
			{"/book/elsewhere", "k-1", http.StatusOK, 2},
			{"/look/elsewhere", "k-2", http.StatusOK, 2},
			{"/look/lost", "k-1", http.StatusOK, 2},
			{"/book/refused", "k-2", http.StatusServiceUnavailable, 2},
		} {
			for i := range f.entries {
				id, lines := fmt.Sprintf("r%d-%d", n, i), []string{"Authorization: Bearer " + c.key}
				if c.key == "" {
					lines = nil
				}
				if status := f.sendLines(t, i, c.path, id, lines); status != c.status || f.runsOf(id) != c.runs {
					t.Errorf("%s with key %q at entry %d: status %d, reached servers %d times", c.path, c.key, i, status, f.runsOf(id))
				}
			}
		}
		time.Sleep(20 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		sum := map[string]int{}
		for _, counts := range reports {
			for workspace, n := range counts {
				sum[workspace] += int(n)
			}
		}
		is.New(t).Equal(sum, map[string]int{"first": 4 * fleetSize, "second": 2 * fleetSize})
	})
}

// TestHolderKilledBeforeReport guards against a window that lacks what the holder itself served,
// since the holder was killed after the end of the window and before its report.
func TestHolderKilledBeforeReport(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		const window = 5 * time.Second
		var mu sync.Mutex
		reports := map[int64]int64{}
		serveCloud(f.network, func(r usageReport) {
			mu.Lock()
			defer mu.Unlock()
			reports[r.window] = r.counts["stock"]
		})
		f.followStore()
		for i := range f.entries {
			f.restart(i) // each can be killed now
		}
		time.Sleep(2 * window)
		time.Sleep(time.Until(time.Now().Truncate(window).Add(window)))
		f.reportUsage(t.Context(), 3*window)
		last := usagereporter.WindowAt(time.Duration(time.Now().UnixNano()), window) - 1
		time.Sleep(1500 * time.Millisecond)
		for _, e := range f.entries {
			if e.usage.Stats().Holder {
				f.ends[e]()
			}
		}
		time.Sleep(4 * window)
		mu.Lock()
		defer mu.Unlock()
		if got, want := reports[last], int64(len(f.entries))*10; got != want {
			t.Errorf("%d requests reported, %d expected", got, want)
		}
	})
}

// remove deletes a key.
func (s *memoryStore) remove(key string) {
	s.Commit(context.Background(), storer.Transaction{Deletes: []string{key}})
}

// storeCalls returns the calls of the store by all entries.
func (f *fleet) storeCalls() (calls float64) {
	for _, e := range f.entries {
		w := httptest.NewRecorder()
		e.metrics.ServeHTTP(w, nil)
		for line := range strings.Lines(w.Body.String()) {
			if value, ok := strings.CutPrefix(line, "samphire_store_calls_total "); ok {
				n, _ := strconv.ParseFloat(strings.TrimSpace(value), 64)
				calls += n
			}
		}
	}
	return calls
}

// TestUsageReported guards against counts that do not reach the holder by heartbeats, relays
// and links, and against reports that are late or cost the store too many calls.
func TestUsageReported(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		var mu sync.Mutex
		reports := map[int64]usageReport{}
		serveCloud(f.network, func(r usageReport) {
			mu.Lock()
			defer mu.Unlock()
			reports[r.window] = r
		})
		store := f.followStore()
		time.Sleep(10 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const duration = time.Minute
		before, start := f.storeCalls(), time.Now()
		time.Sleep(duration)
		idle, start := f.storeCalls()-before, start.Add(duration)
		f.reportUsage(ctx, duration)
		busy := f.storeCalls() - before - idle
		mu.Lock()
		defer mu.Unlock()
		first := usagereporter.WindowAt(time.Duration(start.UnixNano()), 5*time.Second) + 1
		for window := first; window < first+9; window++ {
			r, ok := reports[window]
			end := time.Unix((window+1)*5, 0)
			if !ok || r.counts["stock"] != int64(len(f.entries))*10 || r.at.Sub(end) > 6*time.Second {
				t.Errorf("window %d: received %t with %v, %s after its end", window, ok, r.counts, r.at.Sub(end))
			}
		}
		writes := 0
		for _, e := range store.events {
			if strings.HasPrefix(e.Pair.Key, usageKey) {
				writes++
			}
		}
		t.Logf("%d transactions in %s; calls of the store by all entries: %.0f without usage reports, %.0f with them", writes, duration, idle, busy)
		if perSecond := float64(writes) / duration.Seconds(); perSecond > 0.25 {
			t.Errorf("%.2f transactions a second", perSecond)
		}
		if perSecond := (busy - idle) / duration.Seconds(); perSecond > 0.3 {
			t.Errorf("usage reports cost %.2f calls of the store a second", perSecond)
		}
	})
}
