package balancer_test

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/chooser"
)

// TestStatedRateWithoutRegistration guards against entries that start together and each send a
// server the whole rate that it states, since they do not know one another yet.
func TestStatedRateWithoutRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(1, respondOK)
		all[0].setRateLimit("20")
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		defer f.close()
		f.alone = true
		for i := range 40 {
			f.send(http.MethodGet, "/look/1", strconv.Itoa(i))
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(all[0].count(), 0)
	})
}
