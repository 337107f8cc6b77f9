package balancer_test

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/chooser"
	"samphiremux/entry/hedger"
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
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				all := servers(2, respondOK)
				all[0].work = time.Hour
				all[1].slowness = 120 // the first one is chosen
				c.change(all[1])
				f := newFixture(t, chooser.ExpectedCompletion{}, all...)
				f.balancer.UseHedger(hedger.New(c.limit))
				served := 0
				const requests = 6
				for i := range requests {
					if f.send(c.method, c.path, strconv.Itoa(i)).Code == http.StatusOK {
						served++
					}
					time.Sleep(5 * time.Second)
				}
				sent := arrivals(all)
				t.Logf("%d of %d served, %d sent", served, requests, sent)
				if c.hedges {
					is.Equal(served, requests)
				} else {
					is.True(sent <= requests)
				}
				f.close()
				time.Sleep(2 * time.Hour)
			})
		})
	}
}

// TestNoHedgeUnderShortage guards against hedges while requests are refused since every
// server is full.
func TestNoHedgeUnderShortage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(2, respondOK)
		all[0].running, all[1].running = 40, 40
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		h := hedger.New(1)
		f.balancer.UseHedger(h)
		is.Equal(f.send(http.MethodGet, "/look/1", "1").Code, http.StatusServiceUnavailable)
		is.Equal(h.Admit(time.Now(), "stock"), hedger.Verdict(hedger.Skip{Reason: hedger.Shortage}))
		f.close()
	})
}
