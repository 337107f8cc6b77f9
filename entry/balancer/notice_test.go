package balancer_test

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/chooser"
)

// TestEntriesLearnByThemselves guards against more requests and probes than one or two from
// each entry before all of them know that a server leaves or is full, as they send each other
// no notices.
func TestEntriesLearnByThemselves(t *testing.T) {
	for _, c := range []struct {
		name    string
		respond func(io.Writer, string) bool
		health  string
		// requests and probes bound what the server gets from each entry.
		requests, probes int
	}{
		{"a server that leaves", respondLeaving, "Leaving: 1\r\n", 0, 2},
		{"a full server", shedFor("3"), "", 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				all := servers(8, respondOK)
				var entries []*fixture
				for i := range fixtureEntries {
					entries = append(entries, newEntryFixture(t, uint64(i), chooser.ExpectedCompletion{}, all...))
				}
				defer func() {
					for _, f := range entries {
						f.close()
					}
				}()
				sendFromAll(entries, 20*time.Millisecond, time.Second)
				all[0].setRespond(c.respond)
				all[0].mu.Lock()
				all[0].healthHeader = c.health
				requests, probes := len(all[0].arrivedAt), all[0].probed
				all[0].mu.Unlock()
				began := time.Now()
				statuses := sendFromAll(entries, 20*time.Millisecond, 2*time.Second)
				all[0].mu.Lock()
				defer all[0].mu.Unlock()
				requests, probes = len(all[0].arrivedAt)-requests, all[0].probed-probes
				last := began
				for _, at := range append(all[0].arrivedAt, all[0].probedAt...) {
					if at.After(last) {
						last = at
					}
				}
				t.Logf("%d requests and %d probes from %d entries until %v; responses %v", requests, probes, len(entries), last.Sub(began), statuses)
				is.True(requests <= c.requests*len(entries))
				is.True(probes <= c.probes*len(entries))
				is.Equal(fmt.Sprint(statuses), fmt.Sprint(map[int]int{200: 100 * len(entries)}))
			})
		})
	}
}
