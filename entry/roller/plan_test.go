package roller

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var exposure = ExposureLimit{Share: 0.1, Slack: 50}

// TestExposureBeforeTheLastStep follows the plan of services of any rate. Before
// the target carries everything it has had less than the allowed requests, with
// room for those that are sent until harm is found.
func TestExposureBeforeTheLastStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(5, 400).Draw(t, "rate")
		span := time.Duration(rapid.Float64Range(10, 60).Draw(t, "span") * float64(time.Second))
		allowed := exposure.Share*rate*span.Seconds() + exposure.Slack
		p := progress{span: span}
		sent, given := 0.0, 0.0
		for p.elapsed = 0; p.elapsed < span; p.elapsed += interval {
			share := p.share(exposure)
			if share == 1 {
				break
			}
			requests := rate * interval.Seconds()
			sent += requests
			given += share * requests
			p.total.old.answers = uint64(sent - given)
			p.total.new.answers = uint64(given)
		}
		if given > 0.85*allowed {
			t.Fatalf("%.0f of %.0f allowed requests were given before the last step", given, allowed)
		}
		if float64(p.elapsed) > 0.75*float64(span) {
			t.Fatalf("the last step came after %v of %v", p.elapsed, span)
		}
	})
}

func TestHarm(t *testing.T) {
	for _, c := range []struct {
		name     string
		old, new counts
		want     bool
	}{
		{"too few to tell", counts{answers: 100}, counts{answers: 3, failures: 3}, false},
		{"fails half of its requests", counts{answers: 100, failures: 1}, counts{answers: 10, failures: 5}, true},
		{"fails now and then, as before", counts{answers: 1000, failures: 40}, counts{answers: 100, failures: 5}, false},
		{"is slow", counts{answers: 200, slow: 10}, counts{answers: 20, slow: 8}, true},
		{"is slow as often as before", counts{answers: 200, slow: 30}, counts{answers: 40, slow: 6}, false},
		{"a route that fails on both versions, as one with a short time limit", counts{answers: 9, failures: 9}, counts{answers: 4, failures: 4}, false},
		{"nothing is known of the old version", counts{}, counts{answers: 4, failures: 4}, false},
		{"few of many fail", counts{answers: 1000}, counts{answers: 100, failures: 5}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, found := harm(map[string]evidence{"r": {old: c.old, new: c.new}})
			is.Equal(found, c.want)
		})
	}
}

// TestHarmOnOneRoute hides a bad route behind a busy good one.
func TestHarmOnOneRoute(t *testing.T) {
	is := is.New(t)
	_, found := harm(map[string]evidence{
		"busy":  {old: counts{answers: 1000}, new: counts{answers: 100}},
		"quiet": {old: counts{answers: 50}, new: counts{answers: 8, failures: 4}},
	})
	is.True(found)
}

// TestNewLeader is the case of the Association's trouble-2: an entry that had just
// become the leader had heard few answers, took the service for a quiet one and
// raised the share from 0.1 to 0.7.
func TestNewLeader(t *testing.T) {
	is := is.New(t)
	p := progress{elapsed: 6 * time.Second, span: 14 * time.Second}
	p.total = evidence{old: counts{answers: 10}, new: counts{answers: 15}}
	is.True(p.next(exposure, 0.0964) <= 0.25)
	p.elapsed = 13 * time.Second
	is.Equal(p.next(exposure, 0.6), 1.0) // the last step is not held back
}

// TestHoldConditions is the case of a hunt of the Association: half of the target's
// servers left in the middle of the move, and the old ones had no room left.
func TestHoldConditions(t *testing.T) {
	is := is.New(t)
	p := progress{}
	p.total.old = counts{answers: 100}
	_, held := p.holds(24, 12)
	is.True(held)
	_, held = p.holds(24, 24)
	is.True(!held)
	p.total.old = counts{answers: 100, failures: 40}
	_, held = p.holds(24, 24)
	is.True(held) // nothing can be compared with a version that fails so often
}
