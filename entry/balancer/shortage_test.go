package balancer_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"samphiremux/entry/chooser"
	"samphiremux/pkg/describer"
)

// newShortFixture returns a fixture of servers that each run or hold a number of requests. The
// route "look" ranks below "book" by a number.
func newShortFixture(t *testing.T, busy, ranksBelow int) *fixture {
	return newLoggingShortFixture(t, hclog.NewNullLogger(), busy, ranksBelow)
}

// newLoggingShortFixture returns a fixture as newShortFixture does, with a log.
func newLoggingShortFixture(t *testing.T, log hclog.Logger, busy, ranksBelow int) *fixture {
	all := servers(3, respondOK)
	for _, b := range all {
		b.running = busy
	}
	// With the draws of this entry, the first request is not promoted by its guaranteed share.
	f := newFixtureOf(t, 1, log, chooser.ExpectedCompletion{}, all...)
	route := func(name string, importance int) describer.Route {
		return describer.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Importance: importance, TimeLimit: 500 * time.Millisecond,
			TargetLatency: 400 * time.Millisecond, MaxAttempts: 2, Services: []describer.WeightedService{{Service: "stock", Share: 1}},
		}
	}
	if err := f.snapshotter.SetTable(describer.NewRouteTable(2, []describer.Route{route("book", 0), route("look", ranksBelow)},
		[]describer.Service{{Name: "stock", HealthPath: "/health"}}, describer.Limits{})); err != nil {
		t.Fatal(err)
	}
	f.balancer.EnableQueueing()
	if ranksBelow > 0 {
		for range 4 {
			f.balancer.ObserveRanks("stock", 2)
		}
	}
	return f
}

// setBusy changes the number of requests that the servers report.
func (f *fixture) setBusy(busy int) {
	for _, b := range f.backends {
		b.mu.Lock()
		b.running = busy
		b.mu.Unlock()
	}
}

// lackUrgently makes a request of the highest rank find full servers until it is refused.
func (f *fixture) lackUrgently(busy int) {
	f.setBusy(9)
	f.send(http.MethodPost, "/book/1", "lacking")
	f.setBusy(busy)
}

// waiting returns the number of waiting requests by the metrics.
func (f *fixture) waiting() string {
	w := httptest.NewRecorder()
	f.metrics.ServeHTTP(w, nil)
	_, rest, _ := strings.Cut(w.Body.String(), "\nsamphire_waiting_requests ")
	n, _, _ := strings.Cut(rest, "\n")
	return n
}

// TestUrgentRequestsUseFullServers guards against requests of a lower rank that queue at full
// servers as urgent ones do, and against a change for services whose requests have one rank.
func TestUrgentRequestsUseFullServers(t *testing.T) {
	for _, c := range []struct {
		name, path       string
		busy, ranksBelow int
		lacked           bool
		status           int
		waits            bool
	}{
		{"an urgent request queues at a full server", "/book/1", 4, 1, true, 200, false},
		{"another one does not", "/look/1", 4, 1, true, 503, true},
		{"another one does while urgent ones find room", "/look/1", 4, 1, false, 200, false},
		{"with one rank it does", "/look/1", 4, 0, true, 200, false},
		{"an urgent request waits for fuller servers", "/book/1", 5, 1, false, 503, true},
		{"with one rank it is refused at once", "/book/1", 5, 0, false, 503, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newShortFixture(t, c.busy, c.ranksBelow)
				defer f.close()
				if c.lacked {
					f.lackUrgently(c.busy)
				}
				begun := time.Now()
				w := f.send(http.MethodPost, c.path, "r1")
				is.Equal(w.Code, c.status)
				is.Equal(c.waits, c.status != 200 && time.Since(begun) > 100*time.Millisecond)
				is.True(time.Since(begun) < 400*time.Millisecond)
				if c.status == http.StatusOK {
					return
				}
				after, err := time.ParseDuration(w.Header().Get("Retry-After"))
				is.NoErr(err)
				is.True(after >= 30*time.Millisecond && after <= 2*time.Second)
				is.Equal(arrivals(f.backends), 0)
			})
		})
	}
}

// TestWaitingEnds guards against a waiting request that is not sent once there is capacity, and
// against one that is sent or held after its caller has disconnected or lost its key, or while the
// entry stops.
func TestWaitingEnds(t *testing.T) {
	for _, c := range []struct {
		name     string
		then     func(f *fixture, cancel func())
		status   int
		arrivals int
	}{
		{"capacity becomes free", func(f *fixture, _ func()) { f.setBusy(0) }, 200, 1},
		{"the caller disconnects", func(_ *fixture, cancel func()) { cancel() }, 503, 0},
		{"the caller's key is revoked", func(f *fixture, _ func()) {
			f.setTable(describer.NewRouteTable(3, nil, []describer.Service{{Name: "stock"}}, describer.Limits{}).WithWorkspaces(nil))
		}, 401, 0},
		{"the entry stops", func(f *fixture, _ func()) { f.stopping.Store(true) }, 503, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newShortFixture(t, 4, 1)
				defer f.close()
				f.lackUrgently(4)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				time.AfterFunc(60*time.Millisecond, func() {
					is.Equal(f.waiting(), "1")
					c.then(f, cancel)
				})
				r := httptest.NewRequest(http.MethodPost, "http://h/look/1", nil).WithContext(ctx)
				r.RequestURI = "/look/1"
				r.Header.Set("Id", "r1")
				w := httptest.NewRecorder()
				begun := time.Now()
				f.balancer.ServeHTTP(w, r)
				is.True(time.Since(begun) < 160*time.Millisecond)
				is.Equal(w.Code, c.status)
				is.Equal(arrivals(f.backends), c.arrivals)
				is.Equal(f.waiting(), "0")
			})
		})
	}
}

// TestShortenedTimeLimit guards against requests that count as late retries after operators have
// shortened the time limit of their route.
func TestShortenedTimeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newShortFixture(t, 0, 1)
		defer f.close()
		table := func(version int64, limit time.Duration) *describer.RouteTable {
			route := describer.Route{
				Name: "book", Host: "h", Prefix: "/book/", TimeLimit: limit, TargetLatency: 400 * time.Millisecond,
				MaxAttempts: 2, Services: []describer.WeightedService{{Service: "stock", Share: 1}},
			}
			other := route
			other.Name, other.Prefix, other.Importance = "look", "/look/", 1
			return describer.NewRouteTable(version, []describer.Route{route, other}, []describer.Service{{Name: "stock", HealthPath: "/health"}}, describer.Limits{})
		}
		f.setTable(table(3, 5*time.Second))
		is.Equal(f.sendWith(http.MethodPost, "/book/1", "r1", http.Header{"Left": nil}).Code, http.StatusOK)
		f.setTable(table(4, 500*time.Millisecond))
		f.setBusy(4)
		is.Equal(f.sendWith(http.MethodPost, "/book/1", "r2", http.Header{"Left": nil}).Code, http.StatusOK) // queues at a full server
	})
}

// TestWaitsForFasterServers guards against a request that waits for a faster server until the
// slow ones cannot respond before its deadline.
func TestWaitsForFasterServers(t *testing.T) {
	for _, ranksBelow := range []int{0, 1} {
		t.Run(fmt.Sprint(ranksBelow), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newShortFixture(t, 0, ranksBelow)
				defer f.close()
				setWork := func(work time.Duration, slowness int) {
					time.Sleep(time.Second) // until the servers are idle
					for _, b := range f.backends {
						b.work, b.slowness = work, slowness
					}
				}
				setWork(60*time.Millisecond, 100)
				for n := range 5 {
					is.Equal(f.send(http.MethodPost, "/look/1", fmt.Sprint("r", n)).Code, http.StatusOK)
				}
				setWork(420*time.Millisecond, 700)
				w := f.sendWith(http.MethodPost, "/look/1", "slow", http.Header{"Left": nil})
				setWork(0, 100)
				is.Equal(w.Code, http.StatusOK)
			})
		})
	}
}

// TestWaitingReason guards against log lines that name full servers for a request that waits
// because servers are slow.
func TestWaitingReason(t *testing.T) {
	for _, c := range []struct {
		reason         string
		busy, slowness int
	}{{"servers-full", 4, 100}, {"servers-slow", 0, 900}} {
		t.Run(c.reason, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var log bytes.Buffer
				f := newLoggingShortFixture(t, hclog.New(&hclog.LoggerOptions{Output: &log}), c.busy, 1)
				defer f.close()
				f.lackUrgently(c.busy)
				log.Reset()
				for _, b := range f.backends {
					b.slowness = c.slowness
					b.respond = respondShed
				}
				is.Equal(f.send(http.MethodPost, "/look/1", "r1").Code, http.StatusServiceUnavailable)
				is.Equal(strings.Count(log.String(), "event=waiting "), 1)
				is.True(strings.Contains(log.String(), "reason="+c.reason))
			})
		})
	}
}
