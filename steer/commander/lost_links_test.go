package commander

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

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
