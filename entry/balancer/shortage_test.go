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
	"samphiremux/pkg/fixturereader"
)

// shortTable returns a table in which the route "look" ranks below "book" by a number.
func shortTable(version int64, ranksBelow int, limit time.Duration) *describer.RouteTable {
	routes := []describer.Route{routeOf("book", false), routeOf("look", false)}
	for i := range routes {
		routes[i].TimeLimit, routes[i].TargetLatency = limit, 400*time.Millisecond
	}
	routes[1].Importance = ranksBelow
	return tableOf(version, describer.Limits{}, routes...)
}

// newShortFixture returns a fixture of servers that each run or hold a number of requests, with
// the routes of shortTable.
func newShortFixture(t *testing.T, log hclog.Logger, busy, ranksBelow int) *fixture {
	all := servers(3, respondOK)
	for _, b := range all {
		b.running = busy
	}
	// With the draws of this entry, the first request is not promoted by its guaranteed share.
	f := newFixtureOf(t, 1, log, chooser.ExpectedCompletion{}, all...)
	f.setTable(shortTable(2, ranksBelow, 500*time.Millisecond))
	f.balancer.EnableQueueing()
	if ranksBelow > 0 {
		for range 4 {
			f.balancer.ObserveRanks("stock", 2)
		}
	}
	return f
}

// withShortFixture runs a test with the fixture of newShortFixture, in virtual time.
func withShortFixture(t *testing.T, busy, ranksBelow int, test func(*is.I, *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newShortFixture(t, hclog.NewNullLogger(), busy, ranksBelow)
		defer f.close()
		test(is.New(t), f)
	})
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

// TestUrgentRequestsUseFullServers guards against requests of a lower rank that queue at full
// servers as urgent ones do, and against a change for services whose requests have one rank.
func TestUrgentRequestsUseFullServers(t *testing.T) {
	type request struct {
		Name, Path    string
		Busy          int
		RanksBelow    int `yaml:"ranks-below"`
		Lacked, Waits bool
		Status        int
	}
	for _, c := range fixturereader.Read[[]request](t, "_fixtures/full_servers.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			withShortFixture(t, c.Busy, c.RanksBelow, func(is *is.I, f *fixture) {
				if c.Lacked {
					f.lackUrgently(c.Busy)
				}
				begun := time.Now()
				w := f.send(http.MethodPost, c.Path, "r1")
				is.Equal(w.Code, c.Status)
				is.Equal(c.Waits, c.Status != 200 && time.Since(begun) > 100*time.Millisecond)
				is.True(time.Since(begun) < 400*time.Millisecond)
				if c.Status == http.StatusOK {
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
			withShortFixture(t, 4, 1, func(is *is.I, f *fixture) {
				f.lackUrgently(4)
				ctx, cancel := context.WithCancel(f.t.Context())
				defer cancel()
				time.AfterFunc(60*time.Millisecond, func() {
					is.Equal(f.metric("waiting_requests"), "1")
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
				is.Equal(f.metric("waiting_requests"), "0")
			})
		})
	}
}

// TestShortenedTimeLimit guards against requests that count as late retries after operators have
// shortened the time limit of their route.
func TestShortenedTimeLimit(t *testing.T) {
	withShortFixture(t, 0, 1, func(is *is.I, f *fixture) {
		f.setTable(shortTable(3, 1, 5*time.Second))
		is.Equal(f.sendWith(http.MethodPost, "/book/1", "r1", http.Header{"Left": nil}).Code, http.StatusOK)
		f.setTable(shortTable(4, 1, 500*time.Millisecond))
		f.setBusy(30)
		begun := time.Now()
		is.Equal(f.sendWith(http.MethodPost, "/book/1", "r2", http.Header{"Left": nil}).Code, http.StatusServiceUnavailable)
		is.True(time.Since(begun) > 100*time.Millisecond) // it has waited, which a late retry does not
		f.setBusy(4)
		is.Equal(f.sendWith(http.MethodPost, "/book/1", "r3", http.Header{"Left": nil}).Code, http.StatusOK) // queues at a full server
	})
}

// TestWaitsForFasterServers guards against a request that waits for a faster server until the
// slow ones cannot respond before its deadline.
func TestWaitsForFasterServers(t *testing.T) {
	for _, ranksBelow := range []int{0, 1} {
		t.Run(fmt.Sprint(ranksBelow), func(t *testing.T) {
			withShortFixture(t, 0, ranksBelow, func(is *is.I, f *fixture) {
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
				f := newShortFixture(t, hclog.New(&hclog.LoggerOptions{Output: &log}), c.busy, 1)
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
