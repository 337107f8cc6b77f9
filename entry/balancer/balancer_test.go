package balancer_test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"samphiremux/entry/balancer"
	"samphiremux/entry/chooser"
	"samphiremux/entry/delegator"
	"samphiremux/entry/linkcounter"
	"samphiremux/entry/linkgauger"
	"samphiremux/entry/meter"
	"samphiremux/entry/quarantiner"
	"samphiremux/entry/roundtripper"
	"samphiremux/entry/snapshotter"
	"samphiremux/pkg/describer"
	"samphiremux/pkg/placer"
)

// backend is a scripted backend server.
type backend struct {
	id       string
	slowness int
	running  int
	cold     time.Duration
	work     time.Duration
	// rateLimit is the value of the header that states a rate limit. Empty means that
	// there is none.
	rateLimit string
	// respondProbe responds to a probe in place of the usual response. It returns false to break
	// the connection.
	respondProbe func(w io.Writer) bool
	// healthHeader holds further header lines of responses to probes, each with its end.
	healthHeader string
	// probeDelay is the time that the server takes to answer a probe.
	probeDelay time.Duration
	// respond answers a request that has arrived. It returns false to break the
	// connection.
	respond func(w io.Writer, id string) bool

	mu     sync.Mutex
	probed int
	// probedAt holds the arrival times of the probes.
	probedAt []time.Time
	arrived  []*http.Request
	// arrivedAt holds the arrival times of the requests.
	arrivedAt []time.Time
	crashed   bool
	// silent makes new connections hang.
	silent bool
	// dialError is the error of new connections. Nil means that they are opened.
	dialError error
}

func (b *backend) isCrashed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashed
}

func (b *backend) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if req.URL.Path == "/health" && b.respondProbe != nil {
			if !b.respondProbe(c) {
				return
			}
			continue
		}
		if req.URL.Path == "/health" {
			b.mu.Lock()
			running, limit, header := b.running, b.rateLimit, b.healthHeader
			b.probed++
			b.probedAt = append(b.probedAt, time.Now())
			b.mu.Unlock()
			time.Sleep(b.probeDelay)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance: %s\r\nLoad: %d,%d\r\nCold: %d\r\nLimit: %s\r\n%sContent-Length: 0\r\n\r\n",
				b.id, running, b.slowness, b.cold.Milliseconds(), limit, header)
			continue
		}
		b.mu.Lock()
		b.arrived = append(b.arrived, req)
		b.arrivedAt = append(b.arrivedAt, time.Now())
		respond := b.respond
		b.mu.Unlock()
		time.Sleep(b.work)
		if !respond(c, req.Header.Get("Id")) {
			return
		}
	}
}

func (b *backend) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.arrived)
}

func respondOK(w io.Writer, id string) bool {
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok", id)
	return err == nil
}

func respondShed(w io.Writer, id string) bool {
	_, err := fmt.Fprintf(w, "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
	return err == nil
}

// respondRefusalOfAnother answers a request with an earlier refusal once more, and breaks
// the connection.
func respondRefusalOfAnother(w io.Writer, _ string) bool {
	_, _ = io.WriteString(w, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	return false
}

func respondError(w io.Writer, id string) bool {
	_, err := fmt.Fprintf(w, "HTTP/1.1 500 Internal Server Error\r\nId: %s\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", id)
	return err == nil
}

func breakConn(io.Writer, string) bool { return false }

// fixture is a balancer in front of scripted backend servers.
type fixture struct {
	// outdated reports that a newer configuration may exist.
	outdated bool
	// alone reports that the entry knows no others, since it is not registered yet.
	alone bool
	// entries are the other entries that use the servers. Without them there are no subsets.
	entries []placer.Member
	// stopping reports that the entry stops.
	stopping atomic.Bool
	// idle is the idle timeout of callers' connections. Zero means a long one.
	idle time.Duration
	// link is the link of the entry. Nil means that all bytes arrive at once. Gauger gauges it.
	link   *slowLinks
	gauger *linkgauger.Gauger
	// peers are the other entries, and dialPeer connects to one.
	peers    []delegator.Peer
	dialPeer func(ctx context.Context, address string) (net.Conn, error)

	t           *testing.T
	balancer    *balancer.Balancer
	snapshotter *snapshotter.Snapshotter
	backends    []*backend
	metrics     *meter.Registry

	mu      sync.Mutex
	conns   []net.Conn
	notices []suspectNotice
}

type suspectNotice struct {
	fingerprint quarantiner.Fingerprint
	crashes     int
}

var headers = roundtripper.Headers{
	RequestID: "Id", Instance: "Instance", NotExecuted: "Not-Run", Signature: "Signature",
	ReadLoad: func(h http.Header) (describer.Load, bool) {
		running, slowness, ok := strings.Cut(h.Get("Load"), ",")
		n, err := strconv.Atoi(running)
		percent, err2 := strconv.Atoi(slowness)
		return describer.Load{Running: n, Slots: 2, Slowness: float64(percent) / 100}, ok && err == nil && err2 == nil
	},
	ReadRateLimit: func(h http.Header) describer.RateLimit { return describer.ParseRateLimit(h.Get("Limit")) },
	ReadLeaving:   func(h http.Header) bool { return h.Get("Leaving") == "1" },
	ReadPause:     func(now time.Time, h http.Header) describer.Pause { return describer.ParsePause(now, h.Get("Pause")) },
	ReadColdRemaining: func(h http.Header) time.Duration {
		ms, _ := strconv.Atoi(h.Get("Cold"))
		return time.Duration(ms) * time.Millisecond
	},
}

// routeOf returns a route to the service of the fixture.
func routeOf(name string, idempotent bool) describer.Route {
	return describer.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: idempotent, TimeLimit: 500 * time.Millisecond,
		TargetLatency: 200 * time.Millisecond, MaxAttempts: 2, Services: []describer.WeightedService{{Service: "stock", Share: 1}},
	}
}

// tableOf returns a table of routes to the service of the fixture.
func tableOf(version int64, limits describer.Limits, routes ...describer.Route) *describer.RouteTable {
	return describer.NewRouteTable(version, routes, []describer.Service{{Name: "stock", HealthPath: "/health", ColdRate: 9.3}}, limits)
}

// callerHeaders are the headers of requests that callers send and servers get.
var callerHeaders = balancer.Headers{
	RequestID: "Id", Instance: "Expect",
	ReadDeadline: func(h http.Header) (time.Duration, bool) {
		d, err := time.ParseDuration(h.Get("Left"))
		return d, err == nil
	},
	SetDeadline:   func(h http.Header, d time.Duration) { h.Set("Left", d.String()) },
	SetRetryAfter: func(h http.Header, d time.Duration) { h.Set("Retry-After", d.String()) },
	Key:           "Key", Workspace: "Workspace",
	ReadKey:      func(h http.Header) (string, bool) { return h.Get("Key"), len(h.Values("Key")) == 1 },
	SetChallenge: func(h http.Header) { h.Set("Challenge", "key") },
}

func (f *fixture) setTable(table *describer.RouteTable) {
	f.t.Helper()
	if err := f.snapshotter.SetTable(table); err != nil {
		f.t.Error(err)
	}
}

// serverOf returns the server with an id as the fixture registers it. The number is its port.
func serverOf(id string, number int) describer.Server {
	return describer.Server{
		ID: id, Service: "stock", Domain: "a", Version: "v1", Slots: 2,
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(number)),
	}
}

// withFixture runs a test with a fixture of servers, in virtual time.
func withFixture(t *testing.T, all []*backend, test func(*is.I, *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		defer f.close()
		test(is.New(t), f)
	})
}

func newFixture(t *testing.T, policy chooser.Policy, backends ...*backend) *fixture {
	return newEntryFixture(t, 0, policy, backends...)
}

// fixtureEntries is the number of entries that each balancer takes into account.
const fixtureEntries = 16

// rankOf returns an order of the entries that differs from server to server.
func rankOf(entry uint64, server string) int {
	return int((entry + xxhash.Sum64String(server)) % fixtureEntries)
}

// newEntryFixture returns the fixture of one of several entries that share the backends.
func newEntryFixture(t *testing.T, entry uint64, policy chooser.Policy, backends ...*backend) *fixture {
	return newFixtureOf(t, entry, hclog.NewNullLogger(), policy, backends...)
}

// newLoggingFixture returns a fixture with a log.
func newLoggingFixture(t *testing.T, log hclog.Logger, policy chooser.Policy, backends ...*backend) *fixture {
	return newFixtureOf(t, 0, log, policy, backends...)
}

func newFixtureOf(t *testing.T, entry uint64, log hclog.Logger, policy chooser.Policy, backends ...*backend) *fixture {
	f := &fixture{t: t, backends: backends, metrics: meter.New(), gauger: linkgauger.New(0)}
	byID := map[string]*backend{}
	for _, b := range backends {
		byID[b.id] = b
	}
	f.snapshotter = snapshotter.New(func(s describer.Server) *snapshotter.ServerState {
		return snapshotter.NewServerState(roundtripper.New(s.ID, s.Address.String(), func(ctx context.Context) (net.Conn, error) {
			b, ok := byID[s.ID]
			if !ok || b.isCrashed() {
				return nil, syscall.ECONNREFUSED
			}
			if b.dialError != nil {
				return nil, b.dialError
			}
			if b.silent {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			clientConn, serverConn := net.Pipe()
			if f.link != nil {
				var err error
				if clientConn, serverConn, err = f.link.connect(ctx, clientConn, serverConn); err != nil {
					return nil, err
				}
				clientConn = linkcounter.Wrap(clientConn, f.gauger)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			f.conns = append(f.conns, clientConn)
			go b.serve(serverConn)
			return clientConn, nil
		}, headers))
	})
	download := routeOf("download", true)
	download.TimeLimit, download.TargetLatency = 5*time.Second, 2*time.Second
	f.setTable(tableOf(1, describer.Limits{HeaderBytes: 2 << 10, BodyBytes: 1 << 20}, routeOf("look", true), routeOf("book", false), download))
	for i, b := range backends {
		f.snapshotter.PutServer(serverOf(b.id, i+1))
	}
	f.balancer = balancer.New(balancer.Options{
		Link: f.gauger,
		Delegator: delegator.New(delegator.Options{
			Self: "e0", Domain: "a", RequestID: "Id", Peers: func() []delegator.Peer { return f.peers },
			Dial: func(ctx context.Context, address string) (net.Conn, error) { return f.dialPeer(ctx, address) },
		}),
		Domain: "a", Policy: policy, Snapshot: f.snapshotter.Snapshot, Outdated: func() bool { return f.outdated }, Log: log,
		EntryCount: func() int {
			if f.alone {
				return 1
			}
			return fixtureEntries
		},
		Rank: func(server string) (int, int) {
			if f.alone {
				return 0, 1
			}
			return rankOf(entry, server), fixtureEntries
		},
		Entries: func() []placer.Member { return f.entries },
		Settled: func() bool { return !f.alone }, Metrics: f.metrics,
		MayTake:     func(time.Time) bool { return !f.stopping.Load() },
		IdleTimeout: func() time.Duration { return cmp.Or(f.idle, time.Minute) },
		RetryLimits: func() balancer.Limits { return balancer.Limits{Ratio: 0.2, Slack: 60, Window: 10 * time.Second} },
		NotifySuspect: func(_ string, fingerprint quarantiner.Fingerprint, crashes int, _ quarantiner.Attempt) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.notices = append(f.notices, suspectNotice{fingerprint, crashes})
		},
		Headers: callerHeaders,
	}, rand.New(rand.NewPCG(1, 1+entry)))
	return f
}

// metric returns the value of a metric with its labels, or nothing if there is none.
func (f *fixture) metric(name string) string { return metricOf(f.metrics, name) }

func metricOf(r *meter.Registry, name string) string {
	w := httptest.NewRecorder()
	r.ServeHTTP(w, nil)
	_, rest, _ := strings.Cut(w.Body.String(), "\nsamphire_"+name+" ")
	value, _, _ := strings.Cut(rest, "\n")
	return value
}

// close closes the connections, so that the goroutines of the servers end.
func (f *fixture) close() {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		_ = c.Close()
	}
}

func (f *fixture) send(method, path, id string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://h"+path, strings.NewReader(""))
	r.RequestURI = path
	r.Header.Set("Id", id)
	r.Header.Set("Left", "400ms")
	w := httptest.NewRecorder()
	f.balancer.ServeHTTP(w, r)
	return w
}

func servers(n int, respond func(io.Writer, string) bool) (all []*backend) {
	for i := range n {
		all = append(all, &backend{id: fmt.Sprintf("i-%d", i), slowness: 100, work: 20 * time.Millisecond, respond: respond})
	}
	return all
}

func arrivals(all []*backend) (n int) {
	for _, b := range all {
		n += b.count()
	}
	return n
}

func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name     string
		method   string
		path     string
		respond  func(io.Writer, string) bool
		status   int
		arrivals int
	}{
		{"a request is served", http.MethodGet, "/look/1", respondOK, 200, 1},
		{"a server error to an idempotent request is retried", http.MethodGet, "/look/1", respondError, 500, 2},
		{"a server error to another request is passed on", http.MethodPost, "/book/1", respondError, 500, 1},
		{"a request that the server shed is retried", http.MethodPost, "/book/1", respondShed, 503, 2},
		{"an idempotent request whose connection broke is retried", http.MethodGet, "/look/1", breakConn, 502, 2},
		{"another request whose connection broke is not retried", http.MethodPost, "/book/1", breakConn, 502, 1},
		{"another request that the server answers with an earlier refusal is not retried", http.MethodPost, "/book/1", respondRefusalOfAnother, 502, 1},
		{"no such route", http.MethodGet, "/else/1", respondOK, 404, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				all := servers(3, c.respond)
				f := newFixture(t, chooser.ExpectedCompletion{}, all...)
				w := f.send(c.method, c.path, "r1")
				is.Equal(w.Code, c.status)
				is.Equal(arrivals(all), c.arrivals)
				is.Equal(w.Code == 503, w.Header().Get("Retry-After") != "") // a 503, and nothing else, carries Retry-After
				f.close()
			})
		})
	}
}

// TestLimits sends requests just within and just beyond the size limits of the
// configuration. A request that is too large must be refused before it reaches
// a server.
func TestLimits(t *testing.T) {
	for _, c := range []struct {
		name   string
		header int
		body   int
		status int
	}{
		{"within the limits", 1900, 1 << 20, 200},
		{"headers too large", 2100, 0, 431},
		{"body too large", 0, 1<<20 + 1, 413},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				all := servers(1, respondOK)
				f := newFixture(t, chooser.ExpectedCompletion{}, all...)
				r := httptest.NewRequest(http.MethodPost, "http://h/book/1", strings.NewReader(strings.Repeat("b", c.body)))
				r.RequestURI = "/book/1"
				r.Header.Set("Id", "r1")
				r.Header.Set("X", strings.Repeat("h", c.header))
				w := httptest.NewRecorder()
				f.balancer.ServeHTTP(w, r)
				is.Equal(w.Code, c.status)
				is.Equal(arrivals(all) == 1, c.status == 200) // a refused request did not reach the server
				f.close()
			})
		})
	}
}

// TestRouteOfNewerConfiguration guards against 404 for a route of a configuration that
// this entry has not read yet.
func TestRouteOfNewerConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, chooser.ExpectedCompletion{}, servers(1, respondOK)...)
		f.outdated = true
		w := f.send(http.MethodGet, "/else/1", "r1")
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.True(w.Header().Get("Retry-After") != "")
		is.Equal(f.send(http.MethodGet, "/look/1", "r2").Code, http.StatusOK)
		f.outdated = false
		is.Equal(f.send(http.MethodGet, "/else/1", "r3").Code, http.StatusNotFound)
		f.close()
	})
}

// TestLimitsOfNewerConfiguration guards against 413 and 431 for requests that a configuration
// may allow that this entry has not read yet.
func TestLimitsOfNewerConfiguration(t *testing.T) {
	for _, c := range []struct {
		name             string
		header, body     int
		chunked          bool
		status, outdated int
	}{
		{"headers", 2100, 0, false, http.StatusRequestHeaderFieldsTooLarge, http.StatusServiceUnavailable},
		{"body", 0, 1<<20 + 1, false, http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable},
		{"body in chunks", 0, 1<<20 + 1, true, http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable},
		{"within the limits", 100, 100, false, http.StatusOK, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, chooser.ExpectedCompletion{}, servers(1, respondOK)...)
				for _, outdated := range []bool{false, true} {
					f.outdated = outdated
					r := httptest.NewRequest(http.MethodPost, "http://h/look/1", strings.NewReader(strings.Repeat("b", c.body)))
					r.RequestURI = "/look/1"
					if c.chunked {
						r.ContentLength = -1
					}
					r.Header.Set("Id", "r1")
					r.Header.Set("Filler", strings.Repeat("f", c.header))
					w := httptest.NewRecorder()
					f.balancer.ServeHTTP(w, r)
					is.Equal(w.Code, map[bool]int{false: c.status, true: c.outdated}[outdated])
					is.Equal(w.Header().Get("Retry-After") != "", w.Code == http.StatusServiceUnavailable)
				}
				f.close()
			})
		})
	}
}

func TestNoConfiguration(t *testing.T) {
	is := is.New(t)
	s := balancer.New(balancer.Options{
		Snapshot: func() *snapshotter.Snapshot { return &snapshotter.Snapshot{} }, Log: hclog.NewNullLogger(),
		Headers: balancer.Headers{RequestID: "Id", SetRetryAfter: func(h http.Header, _ time.Duration) { h.Set("Retry-After", "1") }},
	}, rand.New(rand.NewPCG(1, 1)))
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/any", nil))
	is.Equal(w.Code, 503) // an entry without a configuration must not answer 404
}

// TestDeadlineAndInstanceHeaders checks the headers that a server gets: a
// deadline no longer than the caller's, its own instance id, and the request id
// and URI unchanged.
func TestDeadlineAndInstanceHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(1, respondOK)
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		is.Equal(f.send(http.MethodGet, "/look/1?x=%20", "r1").Code, 200)
		r := all[0].arrived[0]
		remaining, err := time.ParseDuration(r.Header.Get("Left"))
		is.NoErr(err)
		is.True(remaining <= 400*time.Millisecond) // no longer than the caller waits
		is.Equal(r.Header.Get("Expect"), "i-0")
		is.Equal(r.Header.Get("Id"), "r1")
		is.Equal(r.RequestURI, "/look/1?x=%20")
		f.close()
	})
}

// TestFastServerIsFound has one fast server among slow ones. Every request must
// go to the fast one.
func TestFastServerIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(8, respondOK)
		for _, b := range all[1:] {
			b.slowness = 700
		}
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		for i := range 20 {
			is.Equal(f.send(http.MethodGet, "/look/1", strconv.Itoa(i)).Code, 200)
		}
		is.Equal(all[0].count(), 20)
		f.close()
	})
}

// TestColdServer sends more requests to a cold server than its cold rate allows.
// Those beyond this entry's share of the rate must be refused without reaching
// the server.
func TestColdServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(1, respondOK)
		all[0].cold = 3 * time.Second
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		served := 0
		for i := range 40 {
			if f.send(http.MethodGet, "/look/1", strconv.Itoa(i)).Code == 200 {
				served++
			}
			time.Sleep(5 * time.Millisecond)
		}
		is.Equal(served, 1) // one of sixteen entries gets a sixteenth of 9.3 requests a second
		is.Equal(all[0].count(), 1)
		f.close()
	})
}

// TestFullServers has every server report that it is full. A request must be
// refused as not-run if its expected latency in the shortest queue comes too close
// to the target latency; otherwise it waits in the queue.
func TestFullServers(t *testing.T) {
	for _, c := range []struct {
		name    string
		running int
		status  int
	}{
		{"short queue", 2, 200},
		{"in time only if no other entry queues there", 13, 503}, // expected 172 ms of a 200 ms target
		{"long queue", 30, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				all := servers(4, respondOK)
				f := newFixture(t, chooser.ExpectedCompletion{}, all...)
				for i := range 20 {
					f.send(http.MethodPost, "/book/1", strconv.Itoa(i)) // trains the latency estimate of the route
				}
				before := arrivals(all)
				for _, b := range all {
					b.mu.Lock()
					b.running = c.running
					b.mu.Unlock()
				}
				time.Sleep(time.Second)
				is.Equal(f.send(http.MethodPost, "/book/1", "r1").Code, c.status)
				is.Equal(arrivals(all)-before, map[int]int{200: 1, 503: 0}[c.status])
				f.close()
			})
		})
	}
}

// TestRetryBudget has every server break the connection of each request. The
// retries must stay within the retry budget, so that a failing service gets no
// retry storm.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(4, breakConn)
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		const requests = 200
		for i := range requests {
			f.send(http.MethodGet, "/look/1", strconv.Itoa(i))
		}
		retries := arrivals(all) - requests
		is.True(retries > 0)
		is.True(retries <= requests/5+60/16)
		f.close()
	})
}

// TestHungServer has one server that answers probes but hangs requests.
// Idempotent requests must be hedged to the other server, so that the caller is
// answered.
func TestHungServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(2, respondOK)
		all[0].work = time.Hour
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		served := 0
		for i := range 10 {
			if f.send(http.MethodGet, "/look/1", strconv.Itoa(i)).Code == 200 {
				served++
			}
		}
		is.Equal(served, 10)
		f.close()
		time.Sleep(2 * time.Hour)
	})
}

// TestUnreachableServer has one server that refuses connections. It is
// ejected, and no request may fail because of it.
func TestUnreachableServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(2, respondOK)
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		f.snapshotter.PutServer(describer.Server{
			ID: "i-gone", Service: "stock", Domain: "a", Version: "v1", Slots: 2, Address: netip.MustParseAddrPort("10.0.0.9:1"),
		})
		for i := range 20 {
			is.Equal(f.send(http.MethodPost, "/book/1", strconv.Itoa(i)).Code, 200)
		}
		f.close()
	})
}

// TestDrainingServersGetNoRequests takes servers out by draining, by removal
// and by excluding their failure domain.
func TestDrainingServersGetNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(3, respondOK)
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		draining := f.snapshotter.Snapshot().Services["stock"][0].Server
		draining.Draining = true
		f.snapshotter.PutServer(draining)
		f.snapshotter.RemoveServer("i-1")
		is.Equal(f.send(http.MethodGet, "/look/1", "r1").Code, 200)
		is.Equal(all[2].count(), 1)
		f.snapshotter.SetDomainExcluded("a", true)
		is.Equal(f.send(http.MethodGet, "/look/1", "r2").Code, 503)
		f.snapshotter.SetDomainExcluded("a", false)
		is.Equal(f.send(http.MethodGet, "/look/1", "r3").Code, 200)
		is.Equal(arrivals(all), 2)
		f.close()
	})
}

// TestCrashingRequestQuarantined sends a request that crashes each server that
// runs it. After two crashes it must reach no further server, also if another
// entry saw one of them.
func TestCrashingRequestQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(6, respondOK)
		for _, b := range all {
			b.respond = func(w io.Writer, id string) bool {
				if !strings.HasPrefix(id, "fatal") {
					return respondOK(w, id)
				}
				b.mu.Lock()
				b.crashed = true
				b.mu.Unlock()
				return false
			}
		}
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		is.Equal(f.send(http.MethodPost, "/book/1", "fatal-1").Code, 502)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(len(f.notices), 1)
		is.Equal(f.send(http.MethodPost, "/book/2", "other").Code, 200) // other requests are served
		f.balancer.AddPeerSuspect("stock", f.notices[0].fingerprint, "entry-2", 1, quarantiner.AttemptBefore(time.Now(), 0, 0))
		before := arrivals(all)
		is.Equal(f.send(http.MethodPost, "/book/1", "fatal-2").Code, 503)
		is.Equal(arrivals(all), before)
		f.close()
	})
}

func TestBaselinesDoNotProbe(t *testing.T) {
	for _, p := range chooser.Policies() {
		if chooser.Coordinated(p) {
			continue
		}
		t.Run(p.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				all := servers(4, respondOK)
				f := newFixture(t, p, all...)
				for i := range 40 {
					is.Equal(f.send(http.MethodGet, "/look/1", strconv.Itoa(i)).Code, 200)
				}
				is.Equal(arrivals(all), 40)
				f.close()
			})
		})
	}
}

// TestSplit checks that a draw selects the service by its share, also for a draw
// close to 1.
func TestSplit(t *testing.T) {
	is := is.New(t)
	route := describer.Route{Services: []describer.WeightedService{{Service: "a", Share: 0.9}, {Service: "b", Share: 0.1}}}
	is.Equal(route.PickService(0), "a")
	is.Equal(route.PickService(0.95), "b")
	is.Equal(route.PickService(0.9999999999), "b")
}

// TestManyServers serves from a service with more servers than are scored for
// one attempt. The candidates must rotate over all servers, and requests must
// succeed after most servers were removed.
func TestManyServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(200, respondOK)
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		for i := range 100 {
			is.Equal(f.send(http.MethodGet, "/look/1", strconv.Itoa(i)).Code, 200)
		}
		is.True(arrivals(all[64:]) > 0) // not only the first ones by id
		for _, b := range all[:190] {
			f.snapshotter.RemoveServer(b.id)
		}
		is.Equal(f.send(http.MethodGet, "/look/1", "last").Code, 200)
		f.close()
	})
}
