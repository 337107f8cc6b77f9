package soaker

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"samphiremux/pkg/failurefilter"
	"samphiremux/platform/translator"
	"samphiremux/standin/platformemulator"
)

var coldEntries = flag.Int("cold-entries", 40, "number of processes in the fleet that meets cold servers")

const (
	// coldRate is the rate that a cold server accepts, for coldTime after its start. The
	// users allow coldBound in a second.
	coldRate    = 5.2
	coldTime    = 3 * time.Second
	coldBound   = coldRate*1.5 + 8
	coldServers = 12
	coldSlots   = 4
	coldWork    = 50 * time.Millisecond
	// callsPerSecond is the rate of calls to each entry.
	callsPerSecond = 6
	// awayTime is the time from the crash of a server to its return.
	awayTime = 2 * time.Second
)

// coldServer is a backend server that is cold after its start and counts its requests.
type coldServer struct {
	name, zone, address string
	store               *platformemulator.Store

	mu        sync.Mutex
	starts    int
	id        string
	coldUntil time.Time
	running   int
	server    *http.Server
	// arrivals holds the times of the requests that came while the server was cold.
	arrivals []time.Time
}

// start starts the server, cold unless it is the first start, and registers it.
func (s *coldServer) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.starts++
	s.id = fmt.Sprintf("%s-%d", s.name, s.starts)
	left := time.Duration(0)
	if s.starts > 1 {
		left = coldTime
	}
	s.coldUntil = time.Now().Add(left)
	s.server = &http.Server{Handler: s}
	server, id := s.server, s.id
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	value, _ := json.Marshal(map[string]any{
		"address": s.address, "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": "stock", "version": "v1", "zone": s.zone, "slots": coldSlots},
		"status": map[string]any{"state": "ready", "sequence": 1, "cold-left-ms": left.Milliseconds()},
	})
	s.store.PutUnguarded("servers/"+id, value)
	return nil
}

// crash ends the server and its registration.
func (s *coldServer) crash(ctx context.Context) {
	s.mu.Lock()
	id, server := s.id, s.server
	s.mu.Unlock()
	_ = server.Close()
	s.store.Commit(ctx, deleteOf("servers/"+id))
}

// mostArrivals returns the largest number of requests in a second in which the server was
// cold.
func (s *coldServer) mostArrivals() (most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := 0
	for last, at := range s.arrivals {
		for at.Sub(s.arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// ServeHTTP implements http.Handler.
func (s *coldServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	s.mu.Lock()
	id, coldLeft := s.id, max(0, s.coldUntil.Sub(now))
	h := w.Header()
	h.Set(translator.HeaderLoad, fmt.Sprintf("%d,%d,%d,100", min(s.running, coldSlots), max(0, s.running-coldSlots), coldSlots))
	if r.URL.Path == "/health" {
		s.mu.Unlock()
		h.Set(translator.HeaderInstance, id)
		h.Set("X-Cold-Ms", strconv.FormatInt(coldLeft.Milliseconds(), 10))
		return
	}
	if want := r.Header.Get(translator.HeaderExpectInstance); want != id {
		s.mu.Unlock()
		h.Set(translator.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if coldLeft > 0 {
		s.arrivals = append(s.arrivals, now)
	}
	s.running++
	work := coldWork * time.Duration(1+s.running/coldSlots)
	s.mu.Unlock()
	select {
	case <-time.After(work):
	case <-r.Context().Done():
	}
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	h.Set(translator.HeaderRequestID, r.Header.Get(translator.HeaderRequestID))
	h.Set(translator.HeaderSignature, id)
}

// newColdFleet starts the store, the servers and the entries of a fleet.
func newColdFleet(t *testing.T, n int) (f *fleet, servers []*coldServer) {
	t.Helper()
	f = &fleet{
		script: script{entries: n, grace: 2 * time.Second}, program: program, store: platformemulator.NewStore(), backends: map[string]*backend{},
		checks: &checks{runs: &runLog{runs: map[string][]*run{}}, lags: &lagMeter{}},
	}
	f.serveStore(t)
	value, _ := json.Marshal(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "stock", "host": "soak.example", "prefix": "/stock/", "service": "stock", "kind": "safe", "timeout-ms": 3000, "target-latency-ms": 500,
			"max-attempts": 3,
		}},
		"services": []map[string]any{{"name": "stock", "health-path": "/health", "max-conns": 980, "cold-per-s": coldRate}},
		"limits":   map[string]int{"header-bytes": 16 << 10, "body-bytes": 1 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 60_000},
	})
	f.store.PutUnguarded(translator.ConfigurationKey, value)
	for i := range coldServers {
		s := &coldServer{
			name: fmt.Sprintf("stock-%d", i), zone: zones[i%len(zones)], store: f.store, address: fmt.Sprintf("%s.%d:%d", f.subnet, 10+i, serverPort),
		}
		if err := s.start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { s.crash(context.Background()) })
		servers = append(servers, s)
	}
	f.addEntries(t)
	return f, servers
}

// callSteadily sends requests to an entry until ctx ends, at random moments.
func (e *entryProcess) callSteadily(ctx context.Context, perSecond float64) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; ; n++ {
		select {
		case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
		case <-ctx.Done():
			return
		}
		calls.Go(func() {
			id := fmt.Sprintf("%d-%d-%d", e.number, n, rand.Uint32())
			req, _ := http.NewRequest(http.MethodGet, "http://"+e.callerAddress()+"/stock/"+id, nil)
			req.Host = "soak.example"
			req.Header.Set(translator.HeaderRequestID, id)
			translator.SetDeadline(req.Header, 3*time.Second)
			if resp, err := client.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		})
	}
}

// coldRuns are what happens to a third of the entries while a cold server returns.
var coldRuns = []struct {
	name    string
	disturb func(t *testing.T, e *entryProcess)
}{
	{"calm", func(*testing.T, *entryProcess) {}},
	{"restarted", func(t *testing.T, e *entryProcess) {
		e.kill(e.current())
		if p, _ := e.start(); p == nil {
			t.Error("an entry does not start")
		}
	}},
	{"stopped and continued", func(_ *testing.T, e *entryProcess) {
		p := e.current()
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Second)
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	}},
}

// TestColdServerOfLargeFleet guards against entries that flood a cold server, the first that
// returns after all servers of a service have crashed, since each of them sends it a request
// in the same second.
func TestColdServerOfLargeFleet(t *testing.T) {
	f, servers := newColdFleet(t, *coldEntries)
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	defer work.Wait()
	defer cancel()
	for _, e := range f.entries {
		if p, _ := e.start(); p == nil {
			t.Fatal("an entry does not start")
		}
		defer func() { e.kill(e.current()) }()
	}
	time.Sleep(8 * time.Second)
	for _, e := range f.entries {
		work.Go(func() { e.callSteadily(ctx, callsPerSecond) })
	}
	time.Sleep(2 * time.Second)
	for _, s := range servers {
		s.crash(ctx)
	}
	for i, run := range coldRuns {
		time.Sleep(awayTime)
		s := servers[i]
		for _, e := range f.entries[:len(f.entries)/3] {
			work.Go(func() { run.disturb(t, e) })
		}
		if err := s.start(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(coldTime)
		most := s.mostArrivals()
		t.Logf("%s: cold server %s got %d requests in a second, %.1f allowed, from %d entries", run.name, s.id, most, coldBound, len(f.entries))
		if float64(most) > coldBound {
			failurefilter.Errorf(t, "%s: cold server %s got %d requests in a second, %.1f allowed", run.name, s.id, most, coldBound)
		}
		s.crash(ctx)
	}
}
