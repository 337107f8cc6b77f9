package commander

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
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
