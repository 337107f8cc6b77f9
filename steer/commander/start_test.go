package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"samphiremux/entry/startrecorder"
	"samphiremux/pkg/storer"
	"samphiremux/platform/storeadapter"
	"samphiremux/platform/translator"
)

// startStore serves a store after a round trip each, and counts the calls. While it is down it
// refuses them, or does not answer if it is silent.
type startStore struct {
	*memoryStore
	http.Handler
	roundTrip time.Duration

	mu        sync.Mutex
	silent    bool
	downUntil time.Time
	calls     map[string]int
}

// ServeHTTP implements http.Handler.
func (s *startStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, silent := time.Now().Before(s.downUntil), s.silent
	if !down {
		s.calls[strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/kv-"), "/")[0]]++
	}
	s.mu.Unlock()
	time.Sleep(s.roundTrip)
	switch {
	case down && silent:
		time.Sleep(time.Minute)
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		s.Handler.ServeHTTP(w, r)
	}
}

// answered returns the calls that the store has answered, by kind.
func (s *startStore) answered() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

func (s *startStore) put(key string, value any) {
	data, _ := json.Marshal(value)
	s.Commit(context.Background(), storer.Transaction{Puts: []storer.Put{{Key: key, Value: data}}})
}

func (s *startStore) putServer(i int, state string) {
	type m = map[string]any
	s.put(fmt.Sprintf("servers/i-%d", i), m{
		"address": fmt.Sprintf("10.0.1.%d:80", i+1), "born": 1, "info": m{"service": "stock", "version": "v1", "zone": string(rune('a' + i%3)), "slots": 64},
		"status": m{"state": state, "sequence": 1, "cold-left-ms": 0},
	})
}

// startAll starts entries whose earlier processes have registered all of them, and as many
// servers.
func startAll(ctx context.Context, f *fleet, entries int, store *startStore) {
	type m = map[string]any
	store.put(translator.ConfigurationKey, m{
		"version": 1, "services": []m{{"name": "stock", "health-path": "/health", "cold-per-s": 9.3}},
		"routes": []m{{"name": "look", "host": "h", "prefix": "/look/", "service": "stock", "kind": "safe", "timeout-ms": 2000, "target-latency-ms": 200, "max-attempts": 2}},
	})
	for i := range entries {
		f.addServer(i)
		store.putServer(i, "ready")
		data, _ := json.Marshal(registration(fleetSettings(i)))
		var r m
		_ = json.Unmarshal(data, &r)
		r["lease"] = i + 1
		store.put(entryPrefix+fleetSettings(i).ID, r)
	}
	l := f.network.listen(fleetSettings(0).StoreAddress)
	go func() { _ = (&http.Server{Handler: store}).Serve(l) }()
	for i := range entries {
		f.entries = append(f.entries, f.newEntry(i))
	}
	for i := range entries {
		f.startProcess(ctx, i)
	}
}

// startProcess runs an entry, which knows nothing but its settings.
func (f *fleet) startProcess(ctx context.Context, i int) {
	e := f.entries[i]
	s := *e.settings.Load()
	for j := range 3 {
		s.Peers = append(s.Peers, fleetSettings(j).LinkAddress)
	}
	e.settings.Store(&s)
	e.followStore(ctx)
	f.servers = append(f.servers, e.startServers(ctx, f.listen(s)))
	go e.enroller.RunHeartbeats(ctx)
	go e.closeUnused(ctx)
	go e.balancer.RunReachChecks(ctx)
}

// TestStartOfAll guards against phases of a start that wait for others or for timers without a
// reason, after all processes of a fleet have ended at the same moment: entries that know no
// changes for 1 s, that list the store twice, that try late to reach a store which is back, that
// register anew, or that send nothing to cold servers for 3 s.
func TestStartOfAll(t *testing.T) {
	const entries, roundTrip, changeAt, coldRate = 100, 4 * time.Millisecond, 50 * time.Millisecond, 9.3
	for _, c := range []struct {
		name         string
		down         time.Duration
		silent, cold bool
		// ready bounds the time until an entry is ready from when the store answers.
		ready time.Duration
	}{
		{"store answers", 0, false, false, roundTrip + time.Millisecond},
		{"store refuses", 2 * time.Second, false, false, 150 * time.Millisecond},
		// A list without a response is given up after 1.2 s at the earliest, since the store may be slow.
		{"store is silent", 2 * time.Second, true, false, 1200 * time.Millisecond},
		{"servers are cold", 0, false, true, roundTrip + time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				f := &fleet{network: newMemoryNetwork(), runs: map[string]int{}, backends: map[string]*http.Server{}, cancel: cancel}
				defer f.stop()
				start := time.Now()
				memory := &memoryStore{latest: map[string]storer.KeyValue{}, revision: 1, changed: make(chan struct{}), lease: entries}
				store := &startStore{
					memoryStore: memory, Handler: storeadapter.Handler(memory), roundTrip: roundTrip, silent: c.silent,
					downUntil: start.Add(c.down), calls: map[string]int{},
				}
				began := f.recordRuns(c.cold)
				startAll(ctx, f, entries, store)
				if c.down > 0 {
					time.Sleep(c.down / 2)
					if resp, _, err := f.send(t.Context(), 0, "/look/a", "early", ""); err != nil || resp.StatusCode != http.StatusServiceUnavailable || f.entries[0].canServe() {
						t.Errorf("without a configuration: %v, %v", resp, err)
					}
				}
				time.Sleep(time.Until(start.Add(c.down + c.ready)))
				for _, e := range f.entries {
					if !e.canServe() {
						t.Errorf("%s is not ready: %v", e.id, e.start.Elapsed())
					}
				}
				served := f.callAll(c.cold)
				if c.cold {
					f.checkCold(t, began(), served, coldRate)
					return
				}
				if served != entries {
					t.Errorf("%d of %d first requests were served", served, entries)
				}
				for _, e := range f.entries {
					if at := e.start.Elapsed(); c.down == 0 && at[startrecorder.Registration] > 2*roundTrip {
						t.Errorf("%s has started in %v", e.id, at)
					}
				}
				store.putServer(0, "draining")
				changed := time.Now()
				known := 400 * time.Millisecond
				if c.silent {
					known = 1500 * time.Millisecond
				}
				time.Sleep(known)
				for _, e := range f.entries {
					if !e.snapshots.Snapshot().Services["stock"][0].Draining {
						t.Errorf("%s does not know a change after %v", e.id, time.Since(changed))
					}
				}
				time.Sleep(2 * time.Second)
				for _, phase := range startrecorder.Phases() {
					last := time.Duration(0)
					for _, e := range f.entries {
						last = max(last, e.start.Elapsed()[phase])
					}
					t.Logf("%s: the last entry after %v", phase, last)
				}
				calls := store.answered()
				if calls["lease"] > 0 || calls["range"] > entries*21/20 || (c.down == 0 && calls["range"] != entries) {
					t.Errorf("calls of the store: %v", calls)
				}
				f.restartWithoutStore(ctx, t, store)
			})
		})
	}
}

// restartWithoutStore checks that an entry which restarts takes the state from others as soon as
// the store has refused a list.
func (f *fleet) restartWithoutStore(ctx context.Context, t *testing.T, store *startStore) {
	t.Helper()
	store.mu.Lock()
	store.silent, store.downUntil = false, time.Now().Add(time.Minute)
	store.mu.Unlock()
	f.entries[9] = f.newEntry(9)
	f.startProcess(ctx, 9)
	time.Sleep(2 * store.roundTrip)
	if !f.entries[9].canServe() {
		t.Errorf("an entry that restarts has taken no state from others")
	}
}

// recordRuns records when the servers begin to run requests, by server, if they are cold.
func (f *fleet) recordRuns(cold bool) (began func() map[string][]time.Time) {
	all := map[string][]time.Time{}
	if cold {
		f.respondProbe = func(w http.ResponseWriter, _ string) { w.Header().Set("X-Cold-Ms", "9000") }
		f.respond = func(w http.ResponseWriter, r *http.Request) {
			f.mu.Lock()
			id := r.Header.Get(translator.HeaderExpectInstance)
			all[id] = append(all[id], time.Now())
			f.mu.Unlock()
			time.Sleep(serverWork)
			_, _ = w.Write([]byte("ok"))
		}
	}
	return func() map[string][]time.Time { return all }
}

// callAll sends one request to each entry, or twenty in 4 s if the servers are cold, and returns
// how many of those in the first 2 s were served.
func (f *fleet) callAll(cold bool) (served int) {
	count := 1
	if cold {
		count = 20
	}
	var calls sync.WaitGroup
	for n := range count {
		for i := range f.entries {
			calls.Go(func() {
				if f.call(i, "/look/a", fmt.Sprintf("r%d-%d", i, n)) && n < 10 {
					f.mu.Lock()
					defer f.mu.Unlock()
					served++
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
	}
	calls.Wait()
	return served
}

// checkCold checks that cold servers get requests from the start, and no more in any second than
// they bear.
func (f *fleet) checkCold(t *testing.T, began map[string][]time.Time, served int, coldRate float64) {
	t.Helper()
	most := 0
	for _, times := range began {
		slices.SortFunc(times, time.Time.Compare)
		for i := range times {
			end, _ := slices.BinarySearchFunc(times, times[i].Add(time.Second), time.Time.Compare)
			most = max(most, end-i)
		}
	}
	t.Logf("%d of %d requests served in the first 2 s, at most %d in a second at a server", served, 10*len(f.entries), most)
	if served < 4*len(f.entries) || float64(most) > 1.5*coldRate+2 {
		t.Errorf("%d requests served in the first 2 s, and %d in a second at a server", served, most)
	}
}
