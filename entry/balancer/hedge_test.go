package balancer_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/hedger"
	"samphiremux/entry/roundtripper"
	"samphiremux/entry/snapshotter"
	"samphiremux/pkg/describer"
)

// TestHedgesWithinLimit guards against hedges beyond the operators' limit, of requests that
// may run once only, at servers that are cold or state a rate limit, and under a shortage.
// One of two servers runs requests and its responses are lost.
func TestHedgesWithinLimit(t *testing.T) {
	for _, c := range []struct {
		name, path string
		method     string
		limit      float64
		change     func(second *backend)
		hedges     bool
	}{
		{"lost responses are hedged", "/look/1", http.MethodGet, 1, func(*backend) {}, true},
		{"limit of zero", "/look/1", http.MethodGet, 0, func(*backend) {}, false},
		{"may run once", "/book/1", http.MethodPost, 1, func(*backend) {}, false},
		{"second server is cold", "/look/1", http.MethodGet, 1, func(b *backend) { b.cold = time.Minute }, false},
		{"second server states a limit", "/look/1", http.MethodGet, 1, func(b *backend) { b.rateLimit = "100" }, false},
		{"second server is full", "/look/1", http.MethodGet, 1, func(b *backend) { b.running = 2 }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			all := servers(2, respondOK)
			all[0].work = time.Hour
			all[1].slowness = 120 // the first one is chosen
			c.change(all[1])
			withFixture(t, all, func(is *is.I, f *fixture) {
				f.balancer.UseHedger(hedger.New(c.limit))
				served := 0
				const requests = 6
				for i := range requests {
					if f.send(c.method, c.path, strconv.Itoa(i)).Code == http.StatusOK {
						served++
					}
					time.Sleep(5 * time.Second)
				}
				is.Equal(served == requests, c.hedges)
				is.Equal(arrivals(all) > requests, c.hedges)
				f.close()
				time.Sleep(2 * time.Hour)
			})
		})
	}
}

// TestNoHedgeUnderShortage guards against hedges while requests are refused since every
// server is full.
func TestNoHedgeUnderShortage(t *testing.T) {
	all := servers(2, respondOK)
	all[0].running, all[1].running = 40, 40
	withFixture(t, all, func(is *is.I, f *fixture) {
		h := hedger.New(1)
		f.balancer.UseHedger(h)
		is.Equal(f.send(http.MethodGet, "/look/1", "1").Code, http.StatusServiceUnavailable)
		is.Equal(h.Admit(time.Now(), "stock"), hedger.Verdict(hedger.Skip{Reason: hedger.Shortage}))
	})
}

// TestHedgeByEvidence guards against hedges that wait for the usual latency, here 100 ms,
// although the server of the attempt is known to be slow or gone, against such hedges without
// a limit, and against those for what the response to the attempt itself states.
func TestHedgeByEvidence(t *testing.T) {
	type state = snapshotter.ServerState
	slow := roundtripper.Health{HasLoad: true, Load: describer.Load{Slots: 2, Slowness: 7}}
	eject := func(_ *fixture, s *state) { s.Eject(time.Now()) }
	for _, c := range []struct {
		name, method, path string
		limit              float64
		show               func(f *fixture, s *state)
		hedged             int
	}{
		{"slow by a probe", http.MethodGet, "/look/1", 1, func(_ *fixture, s *state) { s.ObserveProbe(time.Now(), time.Now(), slow) }, 1},
		{"slow by a response", http.MethodGet, "/look/1", 1, func(_ *fixture, s *state) { s.ObserveLoad(time.Now(), slow.Load) }, 1},
		{"ejected", http.MethodGet, "/look/1", 1, eject, 1},
		{"removed", http.MethodGet, "/look/1", 1, func(f *fixture, _ *state) { f.snapshotter.RemoveServer("i-0") }, 1},
		{"leaves and ends its requests", http.MethodGet, "/look/1", 1, func(_ *fixture, s *state) { s.SetLeaving() }, 0},
		{"connections closed", http.MethodGet, "/look/1", 1, func(f *fixture, _ *state) { f.snapshotter.CloseAllIdle() }, 0},
		{"limit of zero", http.MethodGet, "/look/1", 0, eject, 0},
		{"no limit", http.MethodGet, "/look/1", -1, eject, 0},
		{"may run once", http.MethodPost, "/book/1", 1, eject, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			all := servers(2, func(w io.Writer, id string) bool {
				_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nLoad: 1,700\r\nContent-Length: 2\r\n\r\nok", id)
				return err == nil
			})
			all[0].work, all[1].work = 100*time.Millisecond, 100*time.Millisecond
			all[1].slowness = 120 // the first one is chosen
			withFixture(t, all, func(is *is.I, f *fixture) {
				if c.limit >= 0 {
					f.balancer.UseHedger(hedger.New(c.limit))
				}
				for i := range 100 {
					f.send(c.method, c.path, strconv.Itoa(i))
				}
				is.Equal(f.metric(`hedge_evidence_total{evidence="slowed"}`), "0")
				before := arrivals(all)
				all[0].work = 350 * time.Millisecond
				go f.send(c.method, c.path, "last")
				time.Sleep(40 * time.Millisecond)
				c.show(f, f.snapshotter.Snapshot().Services["stock"][0].State)
				time.Sleep(20 * time.Millisecond)
				is.Equal(arrivals(all), before+1+c.hedged)
				time.Sleep(time.Second)
			})
		})
	}
}

// TestHedgeNotSentAtDeadline guards against the status 502 for a request whose server has not
// responded in time, since its hedge found no server before the deadline.
func TestHedgeNotSentAtDeadline(t *testing.T) {
	all := servers(3, respondOK)
	all[1].probeDelay, all[2].probeDelay = time.Second, time.Second
	withFixture(t, all, func(is *is.I, f *fixture) {
		defer time.Sleep(2 * time.Second)                  // until the servers are idle
		is.Equal(f.sendPaced(20, 100*time.Millisecond), 0) // until the usual latency is known
		all[0].work = time.Second
		before := arrivals(all)
		w := f.sendWith(http.MethodGet, "/look/1", "r1", http.Header{"Left": {"110ms"}}) // hedged after 100 ms
		is.Equal(w.Code, http.StatusGatewayTimeout)
		is.Equal(arrivals(all), before+1)
	})
}
