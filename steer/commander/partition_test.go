package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/chooser"
	"samphiremux/pkg/describer"
	"samphiremux/pkg/failurefilter"
	"samphiremux/platform/translator"
)

const (
	fleetSize     = 6
	fleetServers  = 12
	serverWork    = 60 * time.Millisecond
	callerTimeout = 500 * time.Millisecond
	// callInterval is the time between two calls to one entry.
	callInterval = 40 * time.Millisecond
	// cutBegin and cutEnd bound the partition, from the start of the calls.
	cutBegin = 2 * time.Second
	cutEnd   = 10 * time.Second
	// settleTime is the time from a change of the partition after which calls must be
	// served again.
	settleTime = 3 * time.Second
	callsEnd   = 15 * time.Second
	// promptRefusal is the time within which a call is refused that nobody can serve: an
	// eighth of the latency objective.
	promptRefusal = 25 * time.Millisecond
)

// fleet is a set of whole entries in front of backend servers, without a store.
type fleet struct {
	network *memoryNetwork
	entries []*entry
	servers []servers
	cancel  context.CancelFunc
	// ends holds functions that end the work of entries which follow a store.
	ends map[*entry]context.CancelFunc

	// respond answers requests at the backend servers. Nil means that each takes
	// serverWork and succeeds.
	respond http.HandlerFunc
	// respondProbe adds to the responses to probes of a server. It may be nil.
	respondProbe func(w http.ResponseWriter, server string)
	// hijackProbe responds to a probe in place of the server. It reports false if the server
	// is to respond. It may be nil.
	hijackProbe func(w http.ResponseWriter, r *http.Request, server string) bool
	// samePath makes all calls ask for the same path.
	samePath bool
	// calls is the number of calls by callFor, so that each has an id of its own.
	calls atomic.Int64

	mu sync.Mutex
	// runs counts the runs of each request by its id.
	runs map[string]int
	// backends holds the running backend servers by id.
	backends map[string]*http.Server
}

func fleetSettings(i int) translator.Settings {
	address := func(port int) string { return fmt.Sprintf("10.0.0.%d:%d", i+1, port) }
	s := translator.Settings{
		ID: fmt.Sprintf("e%d", i), Domain: string(rune('a' + i%3)), CallerAddress: address(1), ReadyAddress: address(2),
		LinkAddress: address(3), LocateAddress: address(4), DelegationAddress: address(5), StoreAddress: "10.0.9.9:1",
		MemoryBytes: smallestVM,
	}
	s.Bounds.RetryRatio, s.Bounds.RetrySlack, s.Bounds.RetryWindow = 0.2, 60, 10*time.Second
	return s
}

func newFleet() *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{network: newMemoryNetwork(), runs: map[string]int{}, backends: map[string]*http.Server{}, cancel: cancel}
	for i := range fleetSize {
		f.entries = append(f.entries, f.newEntry(i))
	}
	for _, e := range f.entries {
		f.register(e)
		f.start(ctx, e)
	}
	for i := range fleetServers {
		f.addServer(i)
	}
	return f
}

// register makes the entries of the fleet known to an entry.
func (f *fleet) register(e *entry) {
	for i := range f.entries {
		s := fleetSettings(i)
		value, _ := json.Marshal(registration(s))
		e.enroller.ApplyChange(time.Now(), entryPrefix+s.ID, value, false)
	}
}

func (f *fleet) newEntry(i int) *entry {
	s := fleetSettings(i)
	return newEntry(s, chooser.ExpectedCompletion{}, f.network.dialer(s.ID), hclog.NewNullLogger())
}

// start runs an entry with its configuration until ctx ends.
func (f *fleet) start(ctx context.Context, e *entry) {
	_ = e.snapshots.SetTable(describer.NewRouteTable(1, []describer.Route{fleetRoute("look", true), fleetRoute("book", false)},
		[]describer.Service{{Name: "stock", HealthPath: "/health", ColdRate: 9.3}}, describer.Limits{}))
	f.servers = append(f.servers, e.startServers(ctx, f.listen(*e.settings.Load())))
	go e.enroller.RunHeartbeats(ctx)
	go e.closeUnused(ctx)
	go e.balancer.RunReachChecks(ctx)
}

func fleetRoute(name string, idempotent bool) describer.Route {
	return describer.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: idempotent, TimeLimit: callerTimeout,
		TargetLatency: 200 * time.Millisecond, MaxAttempts: 2, Services: []describer.WeightedService{{Service: "stock", Share: 1}},
	}
}

func (f *fleet) listen(s translator.Settings) listeners {
	return listeners{
		callers: f.network.listen(s.CallerAddress), ready: f.network.listen(s.ReadyAddress),
		locate: f.network.listen(s.LocateAddress), link: f.network.listen(s.LinkAddress),
		delegated: f.network.listen(s.DelegationAddress),
	}
}

// addServer starts a backend server that every entry knows.
func (f *fleet) addServer(i int) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i + 1)}), 80)
	id := fmt.Sprintf("i-%d", i)
	l := f.network.listenServer(address.String())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			if f.hijackProbe != nil && f.hijackProbe(w, r, id) {
				return
			}
			w.Header().Set(translator.HeaderInstance, id)
			if f.respondProbe != nil {
				f.respondProbe(w, id)
			}
			return
		}
		f.countRun(r.Header.Get(translator.HeaderRequestID))
		w.Header().Set(translator.HeaderRequestID, r.Header.Get(translator.HeaderRequestID))
		w.Header().Set(translator.HeaderSignature, "s")
		if f.respond != nil {
			f.respond(w, r)
			return
		}
		time.Sleep(serverWork)
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = server.Serve(l) }()
	f.mu.Lock()
	f.backends[id] = server
	f.mu.Unlock()
	for _, e := range f.entries {
		e.snapshots.PutServer(describer.Server{
			ID: id, Service: "stock", Domain: string(rune('a' + i%3)), Version: "v1", Slots: 4, Address: address,
		})
	}
}

// crash ends the process of a backend server: its connections are reset, and new ones are
// refused.
func (f *fleet) crash(id string) {
	f.mu.Lock()
	server := f.backends[id]
	f.mu.Unlock()
	_ = server.Close()
}

func (f *fleet) countRun(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[id]++
}

// runsOf returns the number of runs of a request.
func (f *fleet) runsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// callResult is the result of a call to one entry.
type callResult struct {
	entry  int
	id     string
	sent   time.Duration
	took   time.Duration
	served bool
	unsafe bool
}

// call sends one request to an entry on a new connection. It reports whether it was served.
func (f *fleet) call(i int, path, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	resp, body, err := f.send(ctx, i, path, id, "")
	return err == nil && resp.StatusCode == http.StatusOK && body == "ok"
}

// send sends one request to an entry on a new connection, and returns its response. The
// method is POST if there is a body to send.
func (f *fleet) send(ctx context.Context, i int, path, id, text string) (resp *http.Response, body string, err error) {
	if text == "" {
		return f.sendBody(ctx, i, path, id, http.NoBody)
	}
	return f.sendBody(ctx, i, path, id, strings.NewReader(text))
}

// sendBody is send with any body. The method is GET for http.NoBody.
func (f *fleet) sendBody(ctx context.Context, i int, path, id string, from io.Reader) (resp *http.Response, body string, err error) {
	address := f.entries[i].settings.Load().CallerAddress
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return f.network.dialer("caller")(ctx, network, address)
	}}
	method := http.MethodPost
	if from == http.NoBody {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://h"+path, from)
	if err != nil {
		return nil, "", err
	}
	req.Header.Set(translator.HeaderRequestID, id)
	translator.SetDeadline(req.Header, callerTimeout)
	resp, err = transport.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// runCalls calls every entry again and again while some are cut off.
func (f *fleet) runCalls(cut []int, kind cutKind) (results []callResult) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	start := time.Now()
	for n := 0; time.Since(start) < callsEnd; n++ {
		at := time.Since(start)
		if at >= cutBegin && at < cutBegin+callInterval {
			f.setCuts(cut, kind)
		}
		if at >= cutEnd && at < cutEnd+callInterval {
			f.setCuts(cut, notCut)
		}
		for i := range f.entries {
			calls.Go(func() {
				r := callResult{entry: i, id: fmt.Sprintf("r%d-%d", n, i), sent: time.Since(start), unsafe: n%2 == 1}
				path := map[bool]string{false: "/look/", true: "/book/"}[r.unsafe]
				if !f.samePath {
					path += r.id
				}
				r.served = f.call(i, path, r.id)
				r.took = time.Since(start) - r.sent
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
			})
		}
		time.Sleep(callInterval)
	}
	calls.Wait()
	return results
}

func (f *fleet) setCuts(entries []int, kind cutKind) {
	for _, i := range entries {
		f.network.setCut(f.entries[i].id, kind)
	}
}

// count returns the number of calls that match, and how many of them were served.
func count(results []callResult, match func(callResult) bool) (sent, served int) {
	for _, r := range results {
		if !match(r) {
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	return sent, served
}

// TestCallersOfPartitionedEntryFail guards against entries that reach no backend server
// and fail their callers although other entries reach the servers.
func TestCallersOfPartitionedEntryFail(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  []int
		kind cutKind
	}{
		{"one hanging", []int{0}, hanging},
		{"one resetting", []int{0}, resetting},
		{"one refusing", []int{0}, refusing},
		{"domain resetting", []int{1, 4}, resetting},
		{"most hanging", []int{0, 1, 2, 3, 5}, hanging},
		{"most resetting", []int{0, 1, 2, 3, 5}, resetting},
		{"most refusing", []int{0, 1, 2, 3, 5}, refusing},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				results := f.runCalls(c.cut, c.kind)
				isCut := map[int]bool{}
				for _, i := range c.cut {
					isCut[i] = true
				}
				inCut := func(r callResult) bool { return r.sent >= cutBegin+settleTime && r.sent < cutEnd }
				sent, served := count(results, func(r callResult) bool { return isCut[r.entry] && inCut(r) })
				others, othersServed := count(results, func(r callResult) bool { return !isCut[r.entry] && inCut(r) })
				if failed := sent - served; 3*served*others < 2*sent*othersServed && failed > 10+sent/50 {
					failurefilter.Errorf(t, "%d of %d calls to entries that are cut off were served, %d of %d at the others", served, sent, othersServed, others)
				}
				after, afterServed := count(results, func(r callResult) bool { return isCut[r.entry] && r.sent >= cutEnd+settleTime })
				if afterServed < after {
					failurefilter.Errorf(t, "%d of %d calls were served after the partition", afterServed, after)
				}
				f.checkRuns(t, results)
				f.stop()
			})
		})
	}
}

// TestPartitionedFleetHoldsCalls guards against calls that wait although no entry reaches
// a backend server, and against entries that stay unavailable after the partition.
func TestPartitionedFleetHoldsCalls(t *testing.T) {
	for _, kind := range []cutKind{hanging, resetting} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				results := f.runCalls([]int{0, 1, 2, 3, 4, 5}, kind)
				held := time.Duration(0)
				for _, r := range results {
					if r.sent >= cutBegin+settleTime && r.sent < cutEnd-callerTimeout {
						held = max(held, r.took)
					}
				}
				if held > promptRefusal {
					failurefilter.Errorf(t, "a call was held for %v, bound %v", held, promptRefusal)
				}
				after, afterServed := count(results, func(r callResult) bool { return r.sent >= cutEnd+settleTime })
				if afterServed < after {
					failurefilter.Errorf(t, "%d of %d calls were served after the partition", afterServed, after)
				}
				f.checkRuns(t, results)
				f.stop()
			})
		})
	}
}

// TestPartitionTakenForCrashes guards against requests that are refused everywhere since an
// entry took the reset of its connections for crashes of the servers.
func TestPartitionTakenForCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.samePath = true
		results := f.runCalls([]int{0, 1, 2, 3, 5}, resetting)
		sent, served := count(results, func(r callResult) bool { return r.sent >= cutBegin+settleTime })
		if served < sent {
			t.Errorf("%d of %d calls were served from %v after the partition began", served, sent, settleTime)
		}
		f.stop()
	})
}

// checkRuns fails the test if a request that must run once at most ran again.
func (f *fleet) checkRuns(t *testing.T, results []callResult) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range results {
		if r.unsafe && f.runs[r.id] > 1 {
			t.Errorf("request %s ran %d times", r.id, f.runs[r.id])
		}
	}
}

// stop ends the entries' work and closes all connections.
func (f *fleet) stop() {
	f.cancel()
	for _, end := range f.ends {
		end()
	}
	f.network.close()
	time.Sleep(2 * idleTimeout)
}

// TestResetBetweenProbeAndRequest guards against requests that are refused as possibly run,
// or use up their attempts, since connections are reset after the probe and before the
// request is written.
func TestResetBetweenProbeAndRequest(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.hijackProbe = func(w http.ResponseWriter, _ *http.Request, server string) bool {
			if server == "i-11" {
				return false
			}
			conn, _, _ := http.NewResponseController(w).Hijack()
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", translator.HeaderInstance, server)
			_ = conn.Close()
			return true
		}
		for _, path := range []string{"/look/a", "/book/a"} {
			if id := "r" + path; !f.call(0, path, id) || f.runsOf(id) != 1 {
				t.Errorf("%s was not served, or ran %d times", path, f.runsOf(id))
			}
			time.Sleep(10 * time.Second)
		}
	})
}
