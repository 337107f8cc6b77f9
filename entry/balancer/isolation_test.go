package balancer_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/chooser"
)

// TestIsolatedEntryHoldsRequests guards against an entry that probes servers again and
// again for requests, although none of them has answered for long.
func TestIsolatedEntryHoldsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(20, respondOK)
		for _, b := range all {
			b.silent = true
		}
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		defer f.close()
		for n := range 20 {
			began := time.Now()
			is.Equal(f.send(http.MethodGet, "/look/a", fmt.Sprintf("r%d", n)).Code, http.StatusServiceUnavailable)
			is.True(n < 2 || time.Since(began) == 0) // refused at once from the third request on
			time.Sleep(50 * time.Millisecond)
		}
	})
}
