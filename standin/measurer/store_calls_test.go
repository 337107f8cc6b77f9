package measurer_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"samphiremux/pkg/failurefilter"
)

// callCounter counts the calls of the store at their price: a renewal, and a read that may be
// stale, cost a tenth, unless they are refused.
type callCounter struct {
	http.Handler
	// refusing makes the store refuse all calls.
	refusing atomic.Bool

	mu     sync.Mutex
	calls  map[string]int
	priced float64
}

// ServeHTTP implements http.Handler.
func (c *callCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.count(r)
	s := &statusWriter{w, http.StatusOK}
	if c.refusing.Load() {
		s.WriteHeader(http.StatusServiceUnavailable)
	} else {
		c.Handler.ServeHTTP(s, r)
	}
	if s.status != http.StatusOK {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.calls["refused"]++
		c.priced += 1 - price(r)
	}
}

// statusWriter records the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (s *statusWriter) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

// kindOf returns the kind of a call.
func kindOf(r *http.Request) string {
	return strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/kv-"), "/")[0]
}

// price returns the price of a call that is not refused.
func price(r *http.Request) float64 {
	if kindOf(r) == "keep" || r.URL.Query().Get("is-stale") == "1" {
		return 0.1
	}
	return 1
}

func (c *callCounter) count(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind := kindOf(r)
	if price(r) < 1 {
		kind += " at a tenth"
	}
	c.calls[kind]++
	c.priced += price(r)
}

// playStoreCalls starts six failure domains, whose entries have slow links but for three in
// each, and returns what the calls of the store cost until shortly after servers have
// registered and the configuration has changed twice.
func playStoreCalls(t *testing.T, perDomain int) (priced float64) {
	const domains, servers = 6, 1081
	synctest.Test(t, func(t *testing.T) {
		f := newCopyFleet(t)
		defer f.close()
		counter := &callCounter{Handler: f.server.Handler, calls: map[string]int{}}
		f.server.Handler = counter
		start := time.Now()
		for i := range domains {
			f.startDomain(t, i, copyDomain{perDomain - 3, 2 * slowLink})
			for j := range 3 {
				f.start(t, &copyEntry{
					host: netip.AddrFrom4([4]byte{10, 0, byte(i), byte(100 + j)}), domain: string(rune('a' + i)), bandwidth: 20 * slowLink,
				})
			}
		}
		value := bytes.Repeat([]byte("s"), 300)
		for i := range servers {
			time.Sleep(3 * time.Second / servers)
			f.store.PutUnguarded(fmt.Sprintf("servers/i-%04d", i), value)
		}
		for i := range 2 {
			time.Sleep(time.Until(start.Add(time.Duration(10+5*i) * time.Second)))
			f.store.PutUnguarded("op/config", bytes.Repeat([]byte{byte('a' + i)}, 3000))
		}
		f.expectKnown(t, "op/config", bytes.Repeat([]byte("b"), 3000), time.Now().Add(configurationDeadline))
		time.Sleep(5 * time.Second)
		counter.mu.Lock()
		defer counter.mu.Unlock()
		t.Logf("calls of %d entries, priced %.0f: %v", len(f.entries), counter.priced, counter.calls)
		priced = counter.priced
	})
	return priced
}

// TestStoreCallsByEntries guards against calls of the store that grow with the number of
// entries. On a day with few changes those of 471 entries are to cost 600 at most.
func TestStoreCallsByEntries(t *testing.T) {
	const few, many, maxSlope = 12, 36, 600.0 / 471
	slope := (playStoreCalls(t, many) - playStoreCalls(t, few)) / (6 * (many - few))
	t.Logf("%.2f calls for each further entry", slope)
	if slope > maxSlope {
		failurefilter.Errorf(t, "each further entry costs %.2f calls of the store, more than %.2f", slope, maxSlope)
	}
}
