package balancer_test

import (
	"bufio"
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
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"samphiremux/entry/balancer"
	"samphiremux/entry/chooser"
	"samphiremux/entry/quarantiner"
	"samphiremux/entry/roundtripper"
	"samphiremux/entry/snapshotter"
	"samphiremux/pkg/describer"
)

// backend is a scripted backend server.
type backend struct {
	id       string
	slowness int
	running  int
	cold     time.Duration
	work     time.Duration
	// behave answers a request that arrived. It returns false to break the
	// connection.
	behave func(w io.Writer, id string) bool

	mu      sync.Mutex
	arrived []*http.Request
	dead    bool
}

func (b *backend) isDead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dead
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
		if req.URL.Path == "/health" {
			b.mu.Lock()
			running := b.running
			b.mu.Unlock()
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance: %s\r\nLoad: %d,%d\r\nCold: %d\r\nContent-Length: 0\r\n\r\n",
				b.id, running, b.slowness, b.cold.Milliseconds())
			continue
		}
		b.mu.Lock()
		b.arrived = append(b.arrived, req)
		b.mu.Unlock()
		time.Sleep(b.work)
		if !b.behave(c, req.Header.Get("Id")) {
			return
		}
	}
}

func (b *backend) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.arrived)
}

func good(w io.Writer, id string) bool {
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok", id)
	return err == nil
}

func shed(w io.Writer, _ string) bool {
	_, err := io.WriteString(w, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

func broken(w io.Writer, id string) bool {
	_, err := fmt.Fprintf(w, "HTTP/1.1 500 Internal Server Error\r\nId: %s\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", id)
	return err == nil
}

func reset(io.Writer, string) bool { return false }

// fixture is a balancer in front of scripted servers.
type fixture struct {
	t        *testing.T
	steer    *balancer.Balancer
	survey   *snapshotter.Snapshotter
	backends []*backend

	mu    sync.Mutex
	conns []net.Conn
	told  []told
}

type told struct {
	print  quarantiner.Fingerprint
	deaths int
}

var words = roundtripper.Headers{
	RequestID: "Id", Instance: "Instance", NotExecuted: "Not-Run", Signature: "Signature",
	ReadLoad: func(h http.Header) (describer.Load, bool) {
		running, slowness, ok := strings.Cut(h.Get("Load"), ",")
		n, err := strconv.Atoi(running)
		percent, err2 := strconv.Atoi(slowness)
		return describer.Load{Running: n, Slots: 2, Slowness: float64(percent) / 100}, ok && err == nil && err2 == nil
	},
	ReadColdRemaining: func(h http.Header) time.Duration {
		ms, _ := strconv.Atoi(h.Get("Cold"))
		return time.Duration(ms) * time.Millisecond
	},
}

func withSteerer(t *testing.T, policy chooser.Policy, backends ...*backend) *fixture {
	f := &fixture{t: t, backends: backends}
	byID := map[string]*backend{}
	for _, b := range backends {
		byID[b.id] = b
	}
	f.survey = snapshotter.New(func(s describer.Server) *snapshotter.ServerState {
		return snapshotter.NewServerState(roundtripper.New(s.ID, s.Address.String(), func(context.Context) (net.Conn, error) {
			b, ok := byID[s.ID]
			if !ok || b.isDead() {
				return nil, syscall.ECONNREFUSED
			}
			own, other := net.Pipe()
			f.mu.Lock()
			defer f.mu.Unlock()
			f.conns = append(f.conns, own)
			go b.serve(other)
			return own, nil
		}, words))
	})
	route := func(name string, idempotent bool) describer.Route {
		return describer.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: idempotent, TimeLimit: 500 * time.Millisecond,
			TargetLatency: 200 * time.Millisecond, MaxAttempts: 2, Services: []describer.WeightedService{{Service: "stock", Share: 1}},
		}
	}
	if err := f.survey.SetTable(describer.NewRouteTable(1, []describer.Route{route("look", true), route("book", false)},
		[]describer.Service{{Name: "stock", HealthPath: "/health", ColdRate: 9.3}}, describer.Limits{HeaderBytes: 2 << 10, BodyBytes: 1 << 20})); err != nil {
		t.Fatal(err)
	}
	for i, b := range backends {
		f.survey.PutServer(describer.Server{
			ID: b.id, Service: "stock", Domain: "a", Version: "v1", Slots: 2,
			Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)),
		})
	}
	f.steer = balancer.New(balancer.Options{
		Domain: "a", Policy: policy, View: f.survey.Snapshot, EntryCount: func() int { return 16 }, Log: hclog.NewNullLogger(),
		RetryLimits: func() balancer.Limits { return balancer.Limits{Ratio: 0.2, Slack: 60, Window: 10 * time.Second} },
		NotifySuspect: func(_ string, print quarantiner.Fingerprint, deaths int) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.told = append(f.told, told{print, deaths})
		},
		Headers: balancer.Headers{
			RequestID: "Id", Instance: "Expect",
			ReadDeadline: func(h http.Header) (time.Duration, bool) {
				d, err := time.ParseDuration(h.Get("Left"))
				return d, err == nil
			},
			SetDeadline:   func(h http.Header, d time.Duration) { h.Set("Left", d.String()) },
			SetRetryAfter: func(h http.Header, d time.Duration) { h.Set("Retry-After", d.String()) },
		},
	}, rand.New(rand.NewPCG(1, 1)))
	return f
}

// close ends the connections, so that the servers' goroutines end.
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
	f.steer.ServeHTTP(w, r)
	return w
}

func servers(n int, behave func(io.Writer, string) bool) (all []*backend) {
	for i := range n {
		all = append(all, &backend{id: fmt.Sprintf("i-%d", i), slowness: 100, work: 20 * time.Millisecond, behave: behave})
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
		behave   func(io.Writer, string) bool
		status   int
		arrivals int
	}{
		{"served", http.MethodGet, "/look/1", good, 200, 1},
		{"a failure of the server is tried again where that is safe", http.MethodGet, "/look/1", broken, 500, 2},
		{"and passed on where it is not", http.MethodPost, "/book/1", broken, 500, 1},
		{"a refusal of the server is tried again", http.MethodPost, "/book/1", shed, 503, 2},
		{"a lost request is tried again where that is safe", http.MethodGet, "/look/1", reset, 502, 2},
		{"and never where it is not", http.MethodPost, "/book/1", reset, 502, 1},
		{"no such route", http.MethodGet, "/else/1", good, 404, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				all := servers(3, c.behave)
				f := withSteerer(t, chooser.ExpectedCompletion{}, all...)
				w := f.send(c.method, c.path, "r1")
				is.Equal(w.Code, c.status)
				is.Equal(arrivals(all), c.arrivals)
				is.Equal(w.Code == 503, w.Header().Get("Retry-After") != "") // refusals tell when to come back
				f.close()
			})
		})
	}
}

// TestLimits sends a little less and a little more than the configuration allows.
func TestLimits(t *testing.T) {
	for _, c := range []struct {
		name   string
		header int
		body   int
		status int
	}{
		{"within", 1900, 1 << 20, 200},
		{"headers too large", 2100, 0, 431},
		{"body too large", 0, 1<<20 + 1, 413},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				all := servers(1, good)
				f := withSteerer(t, chooser.ExpectedCompletion{}, all...)
				r := httptest.NewRequest(http.MethodPost, "http://h/book/1", strings.NewReader(strings.Repeat("b", c.body)))
				r.RequestURI = "/book/1"
				r.Header.Set("Id", "r1")
				r.Header.Set("X", strings.Repeat("h", c.header))
				w := httptest.NewRecorder()
				f.steer.ServeHTTP(w, r)
				is.Equal(w.Code, c.status)
				is.Equal(arrivals(all) == 1, c.status == 200) // what is refused has not run
				f.close()
			})
		})
	}
}

func TestNoConfiguration(t *testing.T) {
	is := is.New(t)
	s := balancer.New(balancer.Options{
		View: func() *snapshotter.Snapshot { return &snapshotter.Snapshot{} }, Log: hclog.NewNullLogger(),
		Headers: balancer.Headers{RequestID: "Id", SetRetryAfter: func(h http.Header, _ time.Duration) { h.Set("Retry-After", "1") }},
	}, rand.New(rand.NewPCG(1, 1)))
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/any", nil))
	is.Equal(w.Code, 503) // an entry that knows nothing must not say that a route is not there
}

// TestDeadlineAndInstanceHeaders checks the deadline and the instance that a server is told.
func TestDeadlineAndInstanceHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(1, good)
		f := withSteerer(t, chooser.ExpectedCompletion{}, all...)
		is.Equal(f.send(http.MethodGet, "/look/1?x=%20", "r1").Code, 200)
		r := all[0].arrived[0]
		left, err := time.ParseDuration(r.Header.Get("Left"))
		is.NoErr(err)
		is.True(left <= 400*time.Millisecond) // the caller waits no longer
		is.Equal(r.Header.Get("Expect"), "i-0")
		is.Equal(r.Header.Get("Id"), "r1")
		is.Equal(r.RequestURI, "/look/1?x=%20")
		f.close()
	})
}

// TestFastServerIsFound puts one fast server among slow ones.
func TestFastServerIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(8, good)
		for _, b := range all[1:] {
			b.slowness = 700
		}
		f := withSteerer(t, chooser.ExpectedCompletion{}, all...)
		for i := range 20 {
			is.Equal(f.send(http.MethodGet, "/look/1", strconv.Itoa(i)).Code, 200)
		}
		is.Equal(all[0].count(), 20)
		f.close()
	})
}

// TestColdServer is asked for more than it bears. What is over is refused, as not
// run.
func TestColdServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(1, good)
		all[0].cold = 3 * time.Second
		f := withSteerer(t, chooser.ExpectedCompletion{}, all...)
		served := 0
		for i := range 40 {
			if f.send(http.MethodGet, "/look/1", strconv.Itoa(i)).Code == 200 {
				served++
			}
			time.Sleep(5 * time.Millisecond)
		}
		is.Equal(served, 1) // one of sixteen entries gets a sixteenth of 9.3 a second
		is.Equal(all[0].count(), 1)
		f.close()
	})
}

// TestFullServers has every server tell that it is full. A request that would miss
// its objective in the shortest queue is refused as not run; another one waits.
func TestFullServers(t *testing.T) {
	for _, c := range []struct {
		name    string
		running int
		status  int
	}{
		{"one request ahead", 2, 200},
		{"just in time, if nobody else came", 13, 503}, // 172 ms of 200
		{"far behind", 30, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				all := servers(4, good)
				f := withSteerer(t, chooser.ExpectedCompletion{}, all...)
				for i := range 20 {
					f.send(http.MethodPost, "/book/1", strconv.Itoa(i)) // the usual latency is learned
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

// TestRetryBudget breaks every server. The repetitions stay within the budget.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(4, reset)
		f := withSteerer(t, chooser.ExpectedCompletion{}, all...)
		const requests = 200
		for i := range requests {
			f.send(http.MethodGet, "/look/1", strconv.Itoa(i))
		}
		repeats := arrivals(all) - requests
		is.True(repeats > 0)
		is.True(repeats <= requests/5+60/16)
		f.close()
	})
}

// TestHungServer hangs where its probes look well. Safe requests are sent to a
// second server, and the caller is answered.
func TestHungServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(2, good)
		all[0].work = time.Hour
		f := withSteerer(t, chooser.ExpectedCompletion{}, all...)
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

// TestUnreachableServer refuses connections. It is left alone, and requests do not
// fail for it.
func TestUnreachableServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(2, good)
		f := withSteerer(t, chooser.ExpectedCompletion{}, all...)
		f.survey.PutServer(describer.Server{
			ID: "i-gone", Service: "stock", Domain: "a", Version: "v1", Slots: 2, Address: netip.MustParseAddrPort("10.0.0.9:1"),
		})
		for i := range 20 {
			is.Equal(f.send(http.MethodPost, "/book/1", strconv.Itoa(i)).Code, 200)
		}
		f.close()
	})
}

// TestDrainingServersGetNoRequests takes servers out in every way that there is.
func TestDrainingServersGetNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(3, good)
		f := withSteerer(t, chooser.ExpectedCompletion{}, all...)
		draining := f.survey.Snapshot().Services["stock"][0].Server
		draining.Draining = true
		f.survey.PutServer(draining)
		f.survey.RemoveServer("i-1")
		is.Equal(f.send(http.MethodGet, "/look/1", "r1").Code, 200)
		is.Equal(all[2].count(), 1)
		f.survey.SetDomainExcluded("a", true)
		is.Equal(f.send(http.MethodGet, "/look/1", "r2").Code, 503)
		f.survey.SetDomainExcluded("a", false)
		is.Equal(f.send(http.MethodGet, "/look/1", "r3").Code, 200)
		is.Equal(arrivals(all), 2)
		f.close()
	})
}

// TestCrashingRequestQuarantined kills each server that runs it. After two deaths no further
// server gets it, also where the other entry saw one of them.
func TestCrashingRequestQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(6, good)
		for _, b := range all {
			b.behave = func(w io.Writer, id string) bool {
				if !strings.HasPrefix(id, "fatal") {
					return good(w, id)
				}
				b.mu.Lock()
				b.dead = true
				b.mu.Unlock()
				return false
			}
		}
		f := withSteerer(t, chooser.ExpectedCompletion{}, all...)
		is.Equal(f.send(http.MethodPost, "/book/1", "fatal-1").Code, 502)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(len(f.told), 1)
		is.Equal(f.send(http.MethodPost, "/book/2", "other").Code, 200) // another request is served
		f.steer.AddPeerSuspect("stock", f.told[0].print, "entry-2", 1)
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
				all := servers(4, good)
				f := withSteerer(t, p, all...)
				for i := range 40 {
					is.Equal(f.send(http.MethodGet, "/look/1", strconv.Itoa(i)).Code, 200)
				}
				is.Equal(arrivals(all), 40)
				f.close()
			})
		})
	}
}

// TestSplit checks that the parts of a route keep their shares over few requests.
func TestSplit(t *testing.T) {
	is := is.New(t)
	route := describer.Route{Services: []describer.WeightedService{{Service: "a", Share: 0.9}, {Service: "b", Share: 0.1}}}
	is.Equal(route.PickService(0), "a")
	is.Equal(route.PickService(0.95), "b")
	is.Equal(route.PickService(0.9999999999), "b")
}

// TestManyServers serves from a service with more servers than are weighed.
func TestManyServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(200, good)
		f := withSteerer(t, chooser.ExpectedCompletion{}, all...)
		for i := range 100 {
			is.Equal(f.send(http.MethodGet, "/look/1", strconv.Itoa(i)).Code, 200)
		}
		is.True(arrivals(all[64:]) > 0) // not only the first by name
		for _, b := range all[:190] {
			f.survey.RemoveServer(b.id)
		}
		is.Equal(f.send(http.MethodGet, "/look/1", "last").Code, 200)
		f.close()
	})
}
