package commander

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/delegator"
	"samphiremux/pkg/describer"
	"samphiremux/platform/translator"
)

// TestClosedConnectionsTakenForCrashes guards against requests that are refused everywhere
// since servers closed connections of an entry whose new connections are refused.
func TestClosedConnectionsTakenForCrashes(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.samePath = true
		var requests atomic.Int64
		var sound atomic.Bool
		f.respond = func(w http.ResponseWriter, _ *http.Request) {
			if requests.Add(1)%8 == 0 && !sound.Load() {
				panic(http.ErrAbortHandler)
			}
			time.Sleep(serverWork)
			_, _ = io.WriteString(w, "ok")
		}
		f.runCalls([]int{0, 1, 2}, refusing)
		sound.Store(true)
		for i := range f.entries {
			for _, path := range []string{"/look/", "/book/"} {
				if !f.call(i, path, "after") {
					t.Errorf("entry %d refuses %s after the partition", i, path)
				}
			}
		}
	})
}

// TestDelegatedHedgeTakenForNotSent guards against a refusal as not run of a request whose
// hedge another entry may have run.
func TestDelegatedHedgeTakenForNotSent(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		var arrivals atomic.Int64
		f.respond = func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(translator.HeaderRequestID) != "r1" {
				return
			}
			switch arrivals.Add(1) {
			case 1:
				for _, srv := range f.entries[0].snapshots.Snapshot().Services["stock"] {
					srv.State.Close()
				}
				time.Sleep(300 * time.Millisecond)
			case 2:
				panic(http.ErrAbortHandler)
			}
			w.Header().Set(translator.HeaderNotExecuted, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_ = f.call(0, "/look/a", "first")
		f.setCuts([]int{0}, refusing)
		resp, _, err := f.send(t.Context(), 0, "/look/a", "r1", "")
		is.NoErr(err)
		is.True(arrivals.Load() >= 2)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
	})
}

// TestStoppingEntryClosesProbedConnection guards against requests that may not be repeated
// and are lost since the entry that has just answered a probe for them begins to stop.
func TestStoppingEntryClosesProbedConnection(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		setGracePeriod(f.entries[1], 6*time.Second)
		c, err := f.network.dialer("e0")(t.Context(), "tcp", f.entries[1].settings.Load().DelegationAddress)
		is.NoErr(err)
		responses := bufio.NewReader(c)
		exchange := func(text string) int {
			_, _ = io.WriteString(c, text)
			resp, err := http.ReadResponse(responses, nil)
			if err != nil {
				return 0
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			return resp.StatusCode
		}
		is.Equal(exchange("GET "+delegator.HealthPath+" HTTP/1.1\r\nHost: e1\r\n\r\n"), http.StatusOK)
		go func() { _ = f.entries[1].stop(f.servers[1]) }()
		time.Sleep(5 * time.Millisecond)
		is.Equal(exchange("POST /book/a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"+
			translator.HeaderRequestID+": r1\r\n"+delegator.HopHeader+": e0\r\n\r\nbody"), http.StatusOK)
		is.Equal(f.runsOf("r1"), 1)
		time.Sleep(6 * time.Second)
	})
}

// TestDeadServersTakenForLostLinks guards against entries that pass no requests of a
// partitioned entry on to the rest of a service, since many of its servers are down.
func TestDeadServersTakenForLostLinks(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.respondProbe = func(w http.ResponseWriter, _ string) {
			busy := 0
			if rand.Float64() < 0.85 {
				busy = 12
			}
			w.Header().Set(translator.HeaderLoad, fmt.Sprintf("%d,0,4", busy))
		}
		for _, srv := range f.entries[0].snapshots.Snapshot().Services["stock"][:fleetServers/2] {
			_ = f.network.listeners[srv.Address.String()].Close()
		}
		results := f.runCalls([]int{0, 3}, hanging)
		inCut := func(r callResult) bool { return r.sent >= cutBegin+settleTime && r.sent < cutEnd }
		sent, served := count(results, func(r callResult) bool { return r.entry%3 == 0 && inCut(r) })
		others, othersServed := count(results, func(r callResult) bool { return r.entry%3 != 0 && inCut(r) })
		t.Logf("%d of %d served at the entries that are cut off, %d of %d at the others", served, sent, othersServed, others)
		if failed := sent - served; 3*served*others < 2*sent*othersServed && failed > 10+sent/50 {
			t.Errorf("%d of %d calls to entries that are cut off were served, %d of %d at the others", served, sent, othersServed, others)
		}
		f.checkRuns(t, results)
	})
}

// TestAttemptsOfLostEntryForgotten guards against more attempts of a request than its route
// allows, as the entry breaks off that has made some of them.
func TestAttemptsOfLostEntryForgotten(t *testing.T) {
	for _, kind := range []string{"retry", "hedge"} {
		t.Run(kind, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				is := is.New(t)
				var arrivals atomic.Int64
				f.respond = func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get(translator.HeaderRequestID) != "r1" {
						return
					}
					switch n := arrivals.Add(1); {
					case n == 1 && kind == "retry":
						w.WriteHeader(http.StatusInternalServerError)
					case n <= 2:
						if n == 2 {
							f.breakOffDelegated(4)
							f.breakOffDelegated(5)
						}
						<-r.Context().Done()
					}
				}
				f.isolate(0, 1, 2, 3)
				_, _, err := f.send(t.Context(), 0, "/look/a", "r1", "")
				is.NoErr(err)
				is.Equal(arrivals.Load(), int64(2))
			})
		})
	}
}

// breakOffDelegated closes the connections of the other entries to an entry.
func (f *fleet) breakOffDelegated(i int) {
	e := f.entries[i]
	_ = f.servers[i].delegated.Close()
	l := f.network.listen(e.settings.Load().DelegationAddress)
	go func() { _ = e.server(http.HandlerFunc(e.serveDelegated)).Serve(l) }()
}

// TestStoppingPartitionedEntryCutsRequests guards against requests that are cut or refused
// since the entry that has passed them on stops.
func TestStoppingPartitionedEntryCutsRequests(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		setGracePeriod(f.entries[0], 6*time.Second)
		f.isolate(0)
		f.respond = func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(300 * time.Millisecond)
			_, _ = io.WriteString(w, "ok")
		}
		var calls sync.WaitGroup
		for n := range 70 {
			calls.Go(func() {
				if id := fmt.Sprintf("r%d", n); !f.call(0, "/book/a", id) || f.runsOf(id) != 1 {
					t.Errorf("call %d was not served, %d runs", n, f.runsOf(id))
				}
			})
			if n == 5 {
				go func() { _ = f.entries[0].stop(f.servers[0]) }()
			}
			time.Sleep(callInterval)
		}
		calls.Wait()
		time.Sleep(6 * time.Second)
	})
}

// TestCallersPathTakenForProbe guards against a request that is not served by another entry,
// since its path is that of the probes between entries.
func TestCallersPathTakenForProbe(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.isolate(0)
		table := describer.NewRouteTable(2, []describer.Route{fleetRoute(".samphire", false)},
			[]describer.Service{{Name: "stock", HealthPath: "/health", ColdRate: 9.3}}, describer.Limits{})
		for _, e := range f.entries {
			is.NoErr(e.snapshots.SetTable(table))
		}
		is.True(f.call(0, delegator.HealthPath, "r1"))
		is.Equal(f.runsOf("r1"), 1)
	})
}

// TestBrokenOffDelegatedResponseLooksWhole guards against responses that look whole to the
// caller although the entry that passed them on, or the server, has broken off.
func TestBrokenOffDelegatedResponseLooksWhole(t *testing.T) {
	for _, by := range []string{"entry", "server"} {
		for _, size := range []int{2 << 10, 100 << 10, 1 << 20} {
			for _, length := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d/%v", by, size, length), func(t *testing.T) {
					withFleet(t, func(t *testing.T, f *fleet) { testBrokenOff(t, f, by, size, length) })
				})
			}
		}
	}
}

func testBrokenOff(t *testing.T, f *fleet, by string, size int, length bool) {
	f.isolate(0, 1, 2, 3)
	f.respond = func(w http.ResponseWriter, _ *http.Request) {
		if length {
			w.Header().Set("Content-Length", strconv.Itoa(size))
		}
		_, _ = io.WriteString(w, strings.Repeat("b", size-1))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
		if by == "server" {
			panic(http.ErrAbortHandler)
		}
		f.breakOffDelegated(4)
		f.breakOffDelegated(5)
		time.Sleep(10 * time.Millisecond)
		_, _ = io.WriteString(w, "b")
	}
	resp, body, err := f.send(t.Context(), 0, "/book/a", "r1", "")
	if err == nil && resp.StatusCode < http.StatusInternalServerError {
		t.Errorf("status %d with %d of %d bytes", resp.StatusCode, len(body), size)
	}
	if runs := f.runsOf("r1"); runs != 1 {
		t.Errorf("%d runs", runs)
	}
}
