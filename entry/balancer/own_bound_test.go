package balancer_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/capper"
)

// TestOwnBoundOfConnections guards against servers that are ejected, and an entry that counts
// as cut off from them, since the entry has opened as many connections as it may.
func TestOwnBoundOfConnections(t *testing.T) {
	all := servers(3, respondOK)
	withFixture(t, all, func(is *is.I, f *fixture) {
		for _, b := range all {
			b.dialError = fmt.Errorf("dial: %w", capper.ErrTooManyConnections)
		}
		for range 3 {
			is.Equal(f.send(http.MethodPost, "/book/1", "1").Code, http.StatusServiceUnavailable)
			time.Sleep(time.Second)
		}
		is.True(f.balancer.ReachesServers())
		for _, b := range f.snapshotter.Snapshot().Services["stock"] {
			is.True(!b.State.Snapshot(time.Now()).Ejected)
		}
		for _, b := range all {
			b.dialError = nil
		}
		is.Equal(f.send(http.MethodPost, "/book/1", "2").Code, http.StatusOK)
	})
}
