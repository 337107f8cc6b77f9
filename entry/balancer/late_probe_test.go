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

// TestLateAnswersToProbesTakenForNone guards against requests that are refused since all
// servers answer a probe later than its round.
func TestLateAnswersToProbesTakenForNone(t *testing.T) {
	for _, n := range []int{1, 3, 8, 20} {
		for _, delay := range []time.Duration{5 * time.Millisecond, 15 * time.Millisecond, 35 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d/%v", n, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					all := servers(n, respondOK)
					for _, b := range all {
						b.probeDelay = delay
					}
					f := newFixture(t, chooser.ExpectedCompletion{}, all...)
					defer func() { time.Sleep(time.Second); f.close() }()
					start := time.Now()
					is.Equal(f.send(http.MethodPost, "/book/1", "r1").Code, http.StatusOK)
					is.True(time.Since(start) <= 70*time.Millisecond) // 40 ms of probes, the grace of a round, 20 ms of work
				})
			})
		}
	}
}

// TestSilentServersHoldRequest guards against requests that wait for long for answers to
// probes that do not come.
func TestSilentServersHoldRequest(t *testing.T) {
	for _, n := range []int{1, 8, 20} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				all := servers(n, respondOK)
				for _, b := range all {
					b.probeDelay = time.Second
				}
				f := newFixture(t, chooser.ExpectedCompletion{}, all...)
				defer func() { time.Sleep(2 * time.Second); f.close() }()
				start := time.Now()
				is.Equal(f.send(http.MethodPost, "/book/1", "r1").Code, http.StatusServiceUnavailable)
				is.True(time.Since(start) <= 40*time.Millisecond)
			})
		})
	}
}
