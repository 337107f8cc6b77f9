package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"samphiremux/pkg/failurefilter"
	"samphiremux/platform/storeadapter"
	"samphiremux/platform/translator"
	"samphiremux/standin/platformemulator"
)

// lineCounter counts the lines that are written to it.
type lineCounter struct{ lines atomic.Int64 }

func (c *lineCounter) Write(line []byte) (int, error) {
	c.lines.Add(1)
	return len(line), nil
}

// dayFleet is a fleet that plays a day.
type dayFleet struct {
	*fleet
	day     day
	servers []*dayServer
	rand    *rand.Rand
	// burst is the factor of the rate of calls, in percent.
	burst atomic.Int64
	// refused holds whether the store turns an entry away.
	refused  []atomic.Bool
	answered [2]atomic.Int64
	// errors counts what the HTTP servers of the backend servers say.
	errors lineCounter
	began  time.Time
	client *http.Client
}

func newDayFleet(t *testing.T, d day, seed uint64) *dayFleet {
	t.Helper()
	f := &dayFleet{
		fleet: &fleet{
			script: script{entries: d.entries, grace: 4 * time.Second}, program: program, store: platformemulator.NewStore(), backends: map[string]*backend{},
			checks: &checks{runs: &runLog{runs: map[string][]*run{}}, lags: &lagMeter{}}, zones: dayZones,
		},
		day: d, rand: rand.New(rand.NewPCG(seed, 1)), refused: make([]atomic.Bool, d.entries+1),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: dayDeadline},
	}
	f.burst.Store(100)
	f.serveStore(t)
	f.serveStores(t)
	var routes, services []map[string]any
	for _, s := range dayServices {
		routes = append(routes, map[string]any{
			"name": s.name, "host": "soak.example", "prefix": "/" + s.name + "/", "service": s.name, "kind": s.kind, "timeout-ms": dayDeadline.Milliseconds(),
			"target-latency-ms": 500, "max-attempts": 3,
		})
		services = append(services, map[string]any{"name": s.name, "health-path": "/health", "max-conns": 980, "cold-per-s": coldRate})
	}
	value, _ := json.Marshal(map[string]any{
		"version": 1, "routes": routes, "services": services,
		"limits": map[string]int{"header-bytes": 16 << 10, "body-bytes": 1 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 60_000},
	})
	f.store.PutUnguarded(translator.ConfigurationKey, value)
	for i, s := range dayServices {
		for n := range d.servers[i] {
			server := &dayServer{
				name: fmt.Sprintf("%s-%d", s.name, n), service: s.name, zone: dayZones[n%len(dayZones)], work: s.work, lag: d.lag, store: f.store, errors: log.New(&f.errors, "", 0),
				address: fmt.Sprintf("%s.2:%d", f.subnet, serverPort+len(f.servers)),
			}
			if err := server.start(false, false); err != nil {
				t.Fatal(err)
			}
			f.servers = append(f.servers, server)
		}
	}
	t.Cleanup(func() {
		for _, s := range f.servers {
			s.mu.Lock()
			_ = s.server.Close()
			s.mu.Unlock()
		}
	})
	f.addEntries(t)
	return f
}

// serveStores serves the store to each entry at an address of its own.
func (f *dayFleet) serveStores(t *testing.T) {
	t.Helper()
	address := func(entry int) string { return fmt.Sprintf("%s.3:%d", f.subnet, storePort+entry) }
	next := storeadapter.Handler(f.store)
	for n := 1; n <= f.day.entries; n++ {
		l, err := net.Listen("tcp", address(n))
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if f.refused[n].Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			next.ServeHTTP(w, r)
		})}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Close() })
	}
	f.storeOf = address
}

// someEntries returns a share of the entries.
func (f *dayFleet) someEntries(share string) (some []*entryProcess) {
	s, _ := strconv.ParseFloat(share, 64)
	some = slices.Clone(f.entries)
	f.rand.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	return some[:int(s*float64(len(some)))]
}

// inZone returns the servers of a zone.
func (f *dayFleet) inZone(zone string) (servers []*dayServer) {
	return slices.DeleteFunc(slices.Clone(f.servers), func(s *dayServer) bool { return s.zone != zone })
}

// wait waits for a time, and reports false if ctx ends first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// awayFor crashes servers, which return cold after a time, one after the other.
func (f *dayFleet) awayFor(ctx context.Context, servers []*dayServer, away, within time.Duration, keepID bool) {
	for _, s := range servers {
		s.crash(ctx)
	}
	if !wait(ctx, away) {
		return
	}
	for _, s := range servers {
		if err := s.start(true, keepID); err != nil {
			f.checks.report("HARNESS", "%v", err)
		}
		if !wait(ctx, within/time.Duration(len(servers))) {
			return
		}
	}
}

// play carries out an event.
func (f *dayFleet) play(ctx context.Context, e event) {
	duration := func(i int) time.Duration {
		d, _ := time.ParseDuration(e.args[i])
		return d
	}
	switch e.verb {
	case "evacuate":
		key := "op/evacuate/" + e.args[0]
		f.store.PutUnguarded(key, []byte("{}"))
		if !wait(ctx, duration(1)) {
			return
		}
		for _, s := range f.inZone(e.args[0]) {
			s.turnCold()
		}
		f.store.Commit(ctx, deleteOf(key))
	case "return", "return-same":
		f.awayFor(ctx, f.inZone(e.args[0]), duration(1), duration(2), e.verb == "return-same")
	case "crash":
		share, _ := strconv.ParseFloat(e.args[1], 64)
		some := slices.DeleteFunc(slices.Clone(f.servers), func(s *dayServer) bool { return s.service != e.args[0] })
		f.awayFor(ctx, some[:int(share*float64(len(some)))], duration(2), duration(3), false)
	case "turn-cold":
		for _, s := range f.inZone(e.args[0]) {
			s.turnCold()
		}
	case "refuse-store":
		some := f.someEntries(e.args[0])
		for _, p := range some {
			f.refused[p.number].Store(true)
			f.store.Commit(ctx, deleteOf(fmt.Sprintf("%sentries/edge-%d", translator.ProjectKeyPrefix, p.number)))
		}
		wait(ctx, duration(1))
		for _, p := range some {
			f.refused[p.number].Store(false)
		}
	case "store-away":
		f.leaveStore(duration(0))
	case "store-lapse":
		f.store.SetFaults(platformemulator.Faults{Down: true})
		wait(ctx, duration(0))
		f.store.ExpireLeases()
		f.store.SetFaults(platformemulator.Faults{})
	case "roll":
		some := f.someEntries(e.args[0])
		atOnce, _ := strconv.Atoi(e.args[1])
		for group := range slices.Chunk(some, atOnce) {
			for _, p := range group {
				if running := p.current(); running != nil {
					p.stop(running)
				}
			}
			if !wait(ctx, duration(2)) {
				return
			}
		}
	case "kill":
		for _, p := range f.someEntries(e.args[0]) {
			if running := p.current(); running != nil {
				select {
				case p.restart <- duration(1):
				default:
				}
				p.kill(running)
			}
		}
	case "freeze":
		var frozen []*process
		for _, p := range f.someEntries(e.args[0]) {
			if running := p.current(); running != nil {
				_ = running.cmd.Process.Signal(syscall.SIGSTOP)
				frozen = append(frozen, running)
			}
		}
		wait(ctx, duration(1))
		for _, p := range frozen {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
		}
	case "add":
		var running sync.WaitGroup
		for _, p := range f.entries[len(f.entries)-f.day.spare:] {
			running.Go(func() { p.keepRunning(ctx) })
		}
		running.Wait()
	case "burst":
		x, _ := strconv.ParseFloat(e.args[0], 64)
		f.burst.Store(int64(100 * x))
		wait(ctx, duration(1))
		f.burst.Store(100)
	}
}

// isCallable reports whether callers may use the entry.
func (e *entryProcess) isCallable() bool {
	p := e.current()
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.ready.IsZero() && p.termed.IsZero()
}

// call sends requests of a zone until ctx ends.
func (f *dayFleet) call(ctx context.Context, zone string, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; ; n++ {
		perSecond := f.day.rate / float64(len(dayZones)) * float64(f.burst.Load()) / 100
		if !wait(ctx, time.Duration(r.ExpFloat64()/perSecond*float64(time.Second))) {
			return
		}
		draw, service := r.Float64(), 0
		for service < len(dayServices)-1 && draw >= dayServices[service].share {
			draw -= dayServices[service].share
			service++
		}
		first := r.IntN(len(f.entries))
		calls.Go(func() {
			for _, e := range append(f.entries[first:len(f.entries):len(f.entries)], f.entries[:first]...) {
				if e.zone() == zone && e.isCallable() {
					f.callOnce(e, dayServices[service].name, fmt.Sprintf("%d-%s-%d", e.number, zone, n))
					return
				}
			}
		})
	}
}

// callOnce sends one request to an entry.
func (f *dayFleet) callOnce(e *entryProcess, service, id string) {
	req, _ := http.NewRequest(http.MethodGet, "http://"+e.callerAddress()+"/"+service+"/"+id, nil)
	req.Host = "soak.example"
	req.Header.Set(translator.HeaderRequestID, id)
	translator.SetDeadline(req.Header, dayDeadline)
	resp, err := f.client.Do(req)
	if err != nil {
		f.answered[1].Add(1)
		return
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		f.answered[0].Add(1)
	} else {
		f.answered[1].Add(1)
	}
}

// run plays the day.
func (f *dayFleet) run(t *testing.T, seed uint64) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	defer f.end(&work)
	defer cancel()
	for _, e := range f.entries[:len(f.entries)-f.day.spare] {
		work.Go(func() { e.keepRunning(ctx) })
	}
	time.Sleep(startTime)
	f.began = time.Now()
	for i, zone := range dayZones {
		work.Go(func() { f.call(ctx, zone, seed+uint64(i)) })
	}
	work.Go(func() { f.heartbeat(ctx) })
	for _, e := range f.day.events {
		time.Sleep(time.Until(f.began.Add(e.at)))
		work.Go(func() { f.play(ctx, e) })
	}
	time.Sleep(time.Until(f.began.Add(f.day.length)))
}

// end kills the entries until all work has ended, since one may be about to start.
func (f *dayFleet) end(work *sync.WaitGroup) {
	ended := make(chan struct{})
	go func() {
		work.Wait()
		close(ended)
	}()
	for {
		for _, e := range f.entries {
			if p := e.current(); p != nil {
				e.kill(p)
			}
		}
		select {
		case <-ended:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// heartbeat lets each running server that is cold write its registration again.
func (f *dayFleet) heartbeat(ctx context.Context) {
	for wait(ctx, 1500*time.Millisecond) {
		for _, s := range f.servers {
			s.mu.Lock()
			cold := time.Now().Before(s.coldUntil)
			s.mu.Unlock()
			if cold {
				s.register()
			}
		}
	}
}

// report fails the test for each cold server that got too many requests in a second. It
// returns the number of servers that got requests while they were cold.
func (f *dayFleet) report(t *testing.T) (cold int) {
	t.Helper()
	most, requests := flood{}, 0
	for _, s := range f.servers {
		w := s.worst()
		requests += s.requests
		if len(s.arrivals) > 0 {
			cold++
		}
		if w.requests > most.requests {
			most = w
		}
		if float64(w.requests) > coldBound {
			failurefilter.Errorf(t, "%s: cold server %s in %s got %d requests in the second from %v, %.1f allowed, by entry: %v",
				f.day.name, s.id, s.zone, w.requests, w.from.Sub(f.began).Round(time.Millisecond), coldBound, w.byEntry)
		}
	}
	t.Logf("%s: %d calls served, %d not; %d requests at servers, %d servers got some while cold, %d at most in a second, %.1f allowed; %d errors of HTTP servers",
		f.day.name, f.answered[0].Load(), f.answered[1].Load(), requests, cold, most.requests, coldBound, f.errors.lines.Load())
	return cold
}
