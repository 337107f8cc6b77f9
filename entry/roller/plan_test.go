package roller

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var exposure = ExposureLimit{Share: 0.1, Slack: 50}

// TestExposureBeforeTheLastStep checks, for any request rate and duration, that the
// target stays below the exposure limit until it receives all requests, with room for
// those that are sent until a regression is detected, and that the last step comes in
// time.
func TestExposureBeforeTheLastStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(5, 400).Draw(t, "rate")
		span := time.Duration(rapid.Float64Range(10, 60).Draw(t, "span") * float64(time.Second))
		allowed := exposure.Share*rate*span.Seconds() + exposure.Slack
		p := progress{duration: span}
		sent, received := 0.0, 0.0
		for p.elapsed = 0; p.elapsed < span; p.elapsed += reconcileInterval {
			share := p.share(exposure)
			if share == 1 {
				break
			}
			requests := rate * reconcileInterval.Seconds()
			sent += requests
			received += share * requests
			p.total.old.answers = uint64(sent - received)
			p.total.new.answers = uint64(received)
		}
		if received > 0.85*allowed {
			t.Fatalf("target received %.0f requests before the last step, limit %.0f", received, allowed)
		}
		if float64(p.elapsed) > 0.75*float64(span) {
			t.Fatalf("last step began after %v of %v, want at most 0.75", p.elapsed, span)
		}
	})
}

func TestRegression(t *testing.T) {
	for _, c := range []struct {
		name     string
		old, new counts
		want     bool
	}{
		{"too few answers to judge", counts{answers: 100}, counts{answers: 3, failures: 3}, false},
		{"fails half of its requests", counts{answers: 100, failures: 1}, counts{answers: 10, failures: 5}, true},
		{"fails as rarely as before", counts{answers: 1000, failures: 40}, counts{answers: 100, failures: 5}, false},
		{"is slow", counts{answers: 200, slow: 10}, counts{answers: 20, slow: 8}, true},
		{"is slow as often as before", counts{answers: 200, slow: 30}, counts{answers: 40, slow: 6}, false},
		{"a route fails on both versions, such as one with a short time limit", counts{answers: 9, failures: 9}, counts{answers: 4, failures: 4}, false},
		{"no answers of the old version", counts{}, counts{answers: 4, failures: 4}, false},
		{"few of many fail", counts{answers: 1000}, counts{answers: 100, failures: 5}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, found := findRegression(map[string]evidence{"r": {old: c.old, new: c.new}})
			is.Equal(found, c.want)
		})
	}
}

// TestRegressionOnOneRoute guards against a faulty route that is hidden by a busy
// healthy one.
func TestRegressionOnOneRoute(t *testing.T) {
	is := is.New(t)
	_, found := findRegression(map[string]evidence{
		"busy":  {old: counts{answers: 1000}, new: counts{answers: 100}},
		"quiet": {old: counts{answers: 50}, new: counts{answers: 8, failures: 4}},
	})
	is.True(found)
}

// TestNewLeader guards against an entry that has just become the leader and has
// received few reports: it took the service for one with little traffic and raised the
// share from 0.1 to 0.7 (the Association's case trouble-2).
func TestNewLeader(t *testing.T) {
	is := is.New(t)
	p := progress{elapsed: 6 * time.Second, duration: 14 * time.Second}
	p.total = evidence{old: counts{answers: 10}, new: counts{answers: 15}}
	is.True(p.nextShare(exposure, 0.0964) <= 0.25)
	p.elapsed = 13 * time.Second
	is.Equal(p.nextShare(exposure, 0.6), 1.0) // the growth limit does not apply to the last step
}

// TestHoldConditions guards against a move that goes on after half of the target's
// servers have left, when the remaining ones have no spare capacity. A fault search of
// the Association found it.
func TestHoldConditions(t *testing.T) {
	is := is.New(t)
	p := progress{}
	p.total.old = counts{answers: 100}
	_, held := p.checkHold(24, 12)
	is.True(held)
	_, held = p.checkHold(24, 24)
	is.True(!held)
	p.total.old = counts{answers: 100, failures: 40}
	_, held = p.checkHold(24, 24)
	is.True(held) // the old version fails too often to compare with
}
