package balancer_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/chooser"
)

// Bounds of a server's rate limit over all entries, as the users state them.
const (
	rateLimitWindow = 4 * time.Second
	rateLimitFactor = 1.5
	rateLimitSlack  = 5.0
)

// setRateLimit sets the rate limit that the server states. Empty means none.
func (b *backend) setRateLimit(limit string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rateLimit = limit
}

// mostArrivals returns the largest number of requests that arrived within a window of
// the given length.
func (b *backend) mostArrivals(window time.Duration) (most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := 0
	for last, at := range b.arrivedAt {
		for at.Sub(b.arrivedAt[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// sendFromAll sends requests through all entries for a time and returns the number of
// each status.
func sendFromAll(entries []*fixture, interval, length time.Duration) (statuses map[int]int) {
	statuses = map[int]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, f := range entries {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * interval / time.Duration(len(entries)))
			for n := range int(length / interval) {
				status := f.send(http.MethodGet, "/look/1", fmt.Sprintf("%d-%d-%d", i, n, time.Now().UnixNano())).Code
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				time.Sleep(interval)
			}
		})
	}
	wg.Wait()
	return statuses
}

// TestServerGetsMoreThanItsRateLimit guards against entries that each keep a rate limit
// but together exceed it.
func TestServerGetsMoreThanItsRateLimit(t *testing.T) {
	for _, limit := range []float64{0, 0.4, 1.4, 3.2, 12} {
		for _, limited := range []int{4, 6} {
			t.Run(fmt.Sprintf("%v a second at %d of 6 servers", limit, limited), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					all := servers(6, respondOK)
					for _, b := range all[:limited] {
						b.setRateLimit(strconv.FormatFloat(limit, 'f', -1, 64))
					}
					var entries []*fixture
					for i := range fixtureEntries {
						entries = append(entries, newEntryFixture(t, uint64(i), chooser.ExpectedCompletion{}, all...))
					}
					sendFromAll(entries, 100*time.Millisecond, 20*time.Second)
					allowed := rateLimitFactor*limit*rateLimitWindow.Seconds() + rateLimitSlack
					for _, b := range all[:limited] {
						if got := b.mostArrivals(rateLimitWindow); float64(got) > allowed {
							t.Errorf("server %s got %d requests in %v, want at most %v", b.id, got, rateLimitWindow, allowed)
						}
					}
					for _, f := range entries {
						f.close()
					}
				})
			})
		}
	}
}

// TestRateLimitMissingFromOneResponse guards against a burst at a server that states its
// rate limit in responses to probes but not in all others, such as its failures.
func TestRateLimitMissingFromOneResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(1, respondError)
		all[0].setRateLimit("2")
		var entries []*fixture
		for i := range fixtureEntries {
			entries = append(entries, newEntryFixture(t, uint64(i), chooser.ExpectedCompletion{}, all...))
		}
		sendFromAll(entries, 50*time.Millisecond, 10*time.Second)
		is.True(all[0].count() > 0)
		is.True(float64(all[0].mostArrivals(rateLimitWindow)) <= rateLimitFactor*2*rateLimitWindow.Seconds()+rateLimitSlack)
		for _, f := range entries {
			f.close()
		}
	})
}

// TestServerUnusedAfterItsRateLimit guards against a server that gets no requests after it
// has ceased to state a rate limit, since no entry asks it again.
func TestServerUnusedAfterItsRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(2, respondOK)
		all[0].setRateLimit("0")
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		entries := []*fixture{f}
		sendFromAll(entries, 20*time.Millisecond, 5*time.Second)
		is.Equal(all[0].count(), 0)
		all[0].setRateLimit("")
		sendFromAll(entries, 20*time.Millisecond, 3*time.Second)
		is.True(all[0].count() > 0)
		f.close()
	})
}

// TestRefusalWithinRateLimits guards against requests that are held, or refused as if no
// server were left, when the rate limits of all servers are used up.
func TestRefusalWithinRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(1, respondOK)
		all[0].setRateLimit("0")
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		f.send(http.MethodPost, "/book/1", "r1")
		began := time.Now()
		w := f.send(http.MethodPost, "/book/1", "r2")
		is.Equal(w.Code, 503)
		is.True(w.Header().Get("Retry-After") != "")
		is.Equal(time.Since(began), time.Duration(0)) // at once, without another probe
		is.Equal(all[0].count(), 0)
		f.close()
	})
}
