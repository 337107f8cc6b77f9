package balancer_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/chooser"
)

// Bounds of what a server gets from one entry during a pause, as the users state them.
const (
	pauseNotice = 500 * time.Millisecond
	pauseSlack  = 2
)

// shedFor returns a response that refuses a request and asks for a pause in seconds.
func shedFor(seconds string) func(io.Writer, string) bool {
	return func(w io.Writer, _ string) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nPause: %s\r\nContent-Length: 0\r\n\r\n", seconds)
		return err == nil
	}
}

// setRespond sets the response to requests that arrive from now on.
func (b *backend) setRespond(respond func(io.Writer, string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.respond = respond
}

// gotBetween returns the number of requests and probes that arrived within a time.
func (b *backend) gotBetween(from, to time.Time) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, at := range append(slices.Clone(b.arrivedAt), b.probedAt...) {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// sendFor sends idempotent and other requests from several callers at once for a time. It
// returns the number of responses by status.
func (f *fixture) sendFor(length time.Duration) (statuses map[int]int) {
	statuses = map[int]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				method, path := http.MethodGet, "/look/1"
				if i%2 == 0 {
					method, path = http.MethodPost, "/book/1"
				}
				code := f.send(method, path, fmt.Sprintf("%d-%d", i, time.Now().UnixNano())).Code
				mu.Lock()
				statuses[code]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return statuses
}

// TestServerUsedDuringItsPause guards against requests, probes, hedges and retries at a
// server that refused one and asked for a pause.
func TestServerUsedDuringItsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(3, respondOK)
		for _, b := range all[1:] {
			b.slowness = 150
		}
		all[0].setRespond(shedFor("3"))
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		began := time.Now()
		is.Equal(f.send(http.MethodGet, "/look/1", "r1").Code, 200)
		is.Equal(all[0].count(), 1)
		all[0].setRespond(respondOK)
		is.Equal(f.sendFor(6 * time.Second)[503], 0)
		if got := all[0].gotBetween(began.Add(pauseNotice), began.Add(3*time.Second)); got > pauseSlack {
			t.Errorf("server got %d requests and probes in its pause, want at most %d", got, pauseSlack)
		}
		is.True(all[0].gotBetween(began.Add(3*time.Second), began.Add(6*time.Second)) > 0) // it is used again
		f.close()
	})
}

// TestServerRegisteredAgainInItsPause guards against requests and probes at a server whose
// registration ends and comes back within the pause, as after an outage of the store, and
// against a restarted server that is taken for the one that asked for the pause.
func TestServerRegisteredAgainInItsPause(t *testing.T) {
	for _, c := range []struct {
		name     string
		restarts bool
	}{{"the same incarnation", false}, {"a later incarnation", true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				all := servers(2, respondOK)
				all[1].slowness = 150
				all[0].setRespond(shedFor("3"))
				f := newFixture(t, chooser.ExpectedCompletion{}, all...)
				defer f.close()
				server := f.snapshotter.Snapshot().Services["stock"][0].Server
				server.Incarnation = 7
				f.snapshotter.PutServer(server)
				began := time.Now()
				is.Equal(f.send(http.MethodGet, "/look/1", "r1").Code, 200)
				is.Equal(all[0].count(), 1)
				all[0].setRespond(respondOK)
				f.snapshotter.RemoveServer(server.ID)
				f.sendFor(200 * time.Millisecond)
				if c.restarts {
					server.Incarnation = 8
				}
				f.snapshotter.PutServer(server)
				f.sendFor(4 * time.Second)
				got := all[0].gotBetween(began.Add(pauseNotice), began.Add(3*time.Second))
				if got > pauseSlack != c.restarts {
					t.Errorf("server got %d requests and probes in the pause of its earlier registration", got)
				}
				is.True(all[0].gotBetween(began.Add(3*time.Second), began.Add(5*time.Second)) > 0) // it is used again
			})
		})
	}
}

// TestIsolatedEntryProbesPausedServer guards against probes that a server gets in its pause, or
// after it said that it leaves, from an entry that reaches no other server and looks for one.
func TestIsolatedEntryProbesPausedServer(t *testing.T) {
	for _, c := range []struct {
		name    string
		respond func(io.Writer, string) bool
		resumes bool
	}{{"a pause", shedFor("4"), true}, {"a leaving server", shedLeaving, false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				all := servers(8, respondOK)
				all[0].setRespond(c.respond)
				for _, b := range all[1:] {
					b.slowness = 400
				}
				f := newFixture(t, chooser.ExpectedCompletion{}, all...)
				ctx, cancel := context.WithCancel(context.Background())
				defer func() { cancel(); time.Sleep(time.Second); f.close() }()
				go f.balancer.RunReachChecks(ctx)
				began := time.Now()
				f.send(http.MethodGet, "/look/1", "r1")
				is.Equal(all[0].count(), 1)
				all[0].setRespond(respondOK)
				for _, b := range all[1:] {
					b.silent = true
				}
				f.close()
				f.sendFor(6 * time.Second)
				got := all[0].gotBetween(began.Add(pauseNotice), began.Add(4*time.Second))
				if got > 0 {
					t.Errorf("server got %d requests and probes", got)
				}
				is.Equal(all[0].gotBetween(began.Add(4*time.Second), began.Add(6*time.Second)) > 0, c.resumes)
			})
		})
	}
}

// TestServerThatPausesOverAndOver guards against a pause that is ignored because another
// one preceded it, and against a service that stays unused.
func TestServerThatPausesOverAndOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(2, respondOK)
		all[1].slowness = 150
		var mu sync.Mutex
		var pauses []time.Time
		all[0].respond = func(w io.Writer, id string) bool {
			mu.Lock()
			pauses = append(pauses, time.Now())
			mu.Unlock()
			return shedFor("1.2")(w, id)
		}
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		f.sendFor(10 * time.Second)
		is.True(len(pauses) >= 6)
		for _, at := range pauses {
			if got := all[0].gotBetween(at.Add(pauseNotice), at.Add(1200*time.Millisecond)); got > pauseSlack {
				t.Errorf("server got %d requests and probes in a pause, want at most %d", got, pauseSlack)
				break
			}
		}
		f.close()
	})
}

// TestRefusalWhileAllServersPause guards against callers that wait, or are told to come
// back too early or long after, when every server has asked for a pause.
func TestRefusalWhileAllServersPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(3, nil)
		for i, b := range all {
			b.respond = shedFor(fmt.Sprint(2 + 2*i))
		}
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		began := time.Now()
		f.sendFor(time.Second)
		for _, b := range all {
			b.setRespond(respondOK)
		}
		var returns []time.Duration
		for i := range 8 {
			now := time.Now()
			w := f.send(http.MethodGet, "/look/1", fmt.Sprintf("r%d", i))
			is.Equal(w.Code, 503)
			is.Equal(time.Since(now), time.Duration(0))
			wait, err := time.ParseDuration(w.Header().Get("Retry-After"))
			is.NoErr(err)
			returns = append(returns, time.Since(began)+wait)
		}
		slices.Sort(returns)
		is.True(returns[0] >= 2*time.Second)
		is.True(returns[len(returns)-1] < 4*time.Second)
		is.True(returns[len(returns)-1]-returns[0] > 20*time.Millisecond) // not all in the same instant
		time.Sleep(returns[0] - time.Since(began))
		is.Equal(f.send(http.MethodGet, "/look/1", "back").Code, 200)
		f.close()
	})
}

// TestUploadReadWhileAllServersPause guards against a caller that sends a large body for a
// request that is certain to be refused.
func TestUploadReadWhileAllServersPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(2, shedFor("4"))
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		defer f.close()
		f.sendFor(time.Second)
		body, upload := io.Pipe()
		defer upload.Close()
		time.AfterFunc(300*time.Millisecond, func() { _, _ = io.WriteString(upload, "the body") })
		r := httptest.NewRequest(http.MethodPost, "http://h/book/1", body)
		r.RequestURI, r.ContentLength = "/book/1", int64(len("the body"))
		r.Header.Set("Id", "r1")
		began := time.Now()
		w := httptest.NewRecorder()
		f.balancer.ServeHTTP(w, r)
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(time.Since(began), time.Duration(0))
		wait, err := time.ParseDuration(w.Header().Get("Retry-After"))
		is.NoErr(err)
		is.True(wait > 2*time.Second)
	})
}

// TestPauseShortenedByLaterResponse guards against a pause that ends with a response that
// was sent before it, or with a shorter one.
func TestPauseShortenedByLaterResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(1, nil)
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		for i, respond := range []func(io.Writer, string) bool{shedFor("3"), shedFor("0.1"), respondOK} {
			delay := time.Duration(i) * 20 * time.Millisecond
			all[0].setRespond(func(w io.Writer, id string) bool {
				time.Sleep(delay)
				return respond(w, id)
			})
			go f.send(http.MethodPost, "/book/1", fmt.Sprint(i))
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Second)
		is.Equal(all[0].count(), 3)
		is.Equal(f.send(http.MethodPost, "/book/1", "r4").Code, 503)
		is.Equal(all[0].count(), 3)
		f.close()
	})
}

// TestProbeInHandWhenPauseBegins guards against a request on a connection whose probe was
// answered just before another response asked for a pause.
func TestProbeInHandWhenPauseBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(2, shedFor("3"))
		f := newFixture(t, chooser.ExpectedCompletion{}, all[:1]...)
		go f.send(http.MethodPost, "/book/1", "r1") // answered after 20 ms
		time.Sleep(17 * time.Millisecond)
		all[0].setRespond(respondOK)
		all[0].probeDelay = 5 * time.Millisecond
		// The probe arrives before the pause and is answered after it.
		is.Equal(f.send(http.MethodPost, "/book/1", "r2").Code, 503)
		is.Equal(all[0].count(), 1)
		f.close()
	})
}

// TestEntriesReturnTogether guards against all entries that return to a server in the
// instant in which its pause ends.
func TestEntriesReturnTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(1, shedFor("2"))
		var entries []*fixture
		for i := range fixtureEntries {
			f := newEntryFixture(t, uint64(i), chooser.ExpectedCompletion{}, all...)
			entries = append(entries, f)
			go f.send(http.MethodPost, "/book/1", fmt.Sprint(i))
		}
		time.Sleep(time.Second)
		began := time.Now()
		all[0].setRespond(respondOK)
		sendFromAll(entries, time.Millisecond, 1800*time.Millisecond)
		first := map[string]time.Time{}
		for i, r := range all[0].arrived {
			entry, _, _ := strings.Cut(r.Header.Get("Id"), "-")
			if at := all[0].arrivedAt[i]; first[entry].IsZero() && at.After(began) {
				first[entry] = at
			}
		}
		is.Equal(len(first), len(entries))
		times := slices.SortedFunc(maps.Values(first), time.Time.Compare)
		is.True(times[len(times)-1].Sub(times[0]) > 150*time.Millisecond)
		for _, f := range entries {
			f.close()
		}
	})
}
