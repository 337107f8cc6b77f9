package quarantiner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/quarantiner"
)

const request = quarantiner.Fingerprint(7)

// attempt returns an attempt that began and ended at times in milliseconds after start.
func attempt(start time.Time, begun, ended int) quarantiner.Attempt {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	return quarantiner.Attempt{Begun: at(begun), Ended: at(ended)}
}

// TestCrashesThatCount guards against requests that are quarantined since servers on which
// they ran crashed together, and against fatal requests that are not.
func TestCrashesThatCount(t *testing.T) {
	type crash struct {
		entry        string // empty for this entry
		begun, ended int
	}
	for name, c := range map[string]struct {
		crashes     []crash
		quarantined bool
	}{
		"one after the other":                {[]crash{{"", 0, 1}, {"", 1, 2}}, true},
		"one after the other, other entries": {[]crash{{"e2", 0, 1}, {"e3", 5, 9}}, true},
		"without a duration":                 {[]crash{{"", 3, 3}, {"", 3, 3}}, true},
		"together":                           {[]crash{{"", 0, 60}, {"", 20, 60}, {"", 59, 60}}, false},
		"together, seen by several entries":  {[]crash{{"", 0, 60}, {"e2", 20, 61}, {"e3", 59, 62}}, false},
		"inside of a longer attempt":         {[]crash{{"", 0, 60}, {"", 5, 6}, {"", 10, 11}}, true},
		"twice together":                     {[]crash{{"", 0, 60}, {"e2", 10, 60}, {"", 70, 100}, {"e3", 80, 100}}, true},
		"the same notice twice":              {[]crash{{"e2", 0, 1}}, false},
		"notified in the opposite order":     {[]crash{{"e2", 5, 6}, {"e2", 0, 1}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			s := quarantiner.New()
			totals := map[string]int{}
			for _, crash := range c.crashes {
				a := attempt(start, crash.begun, crash.ended)
				if crash.entry == "" {
					s.RecordCrash(a.Ended, request, a)
					continue
				}
				totals[crash.entry]++
				for range 2 {
					s.RecordPeerCrash(a.Ended, request, crash.entry, totals[crash.entry], a)
				}
			}
			is.Equal(s.Quarantined(start.Add(time.Second), request), c.quarantined)
		})
	}
}

// TestSuccessClears guards against requests that stay under suspicion although servers have
// run them, here or at another entry, and against a quarantine in the store that ends so.
func TestSuccessClears(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	crash := func(s *quarantiner.Suspects) {
		s.RecordPeerCrash(start, request, "e2", 1, attempt(start, 0, 1))
		s.RecordPeerCrash(start, request, "e2", 2, attempt(start, 2, 3))
	}
	own, notified, stored := quarantiner.New(), quarantiner.New(), quarantiner.New()
	crash(own)
	is.True(own.Quarantined(start, request))
	is.True(own.RecordSuccess(start, request))
	is.True(!own.Quarantined(start, request))
	is.Equal(own.RecordCrash(start, request, attempt(start, 4, 5)), 0) // it has succeeded lately
	crash(notified)
	notified.RecordPeerCrash(start, request, "e3", 0, quarantiner.Attempt{})
	is.True(!notified.Quarantined(start, request))
	stored.SetStored(start, request, true)
	is.True(!stored.RecordSuccess(start, request))
	stored.RecordPeerCrash(start, request, "e3", 0, quarantiner.Attempt{})
	is.True(stored.Quarantined(start, request))
}

// TestAttemptOfOtherEntry guards against ages of other entries that overflow.
func TestAttemptOfOtherEntry(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	begun, ended := attempt(now, -60, -10).Ages(now)
	is.Equal(quarantiner.AttemptBefore(now, begun, ended), attempt(now, -60, -10))
	is.Equal(quarantiner.AttemptBefore(now, 0, 0), quarantiner.Attempt{Begun: now, Ended: now}) // of an earlier version
	odd := quarantiner.AttemptBefore(now, 1<<63, 1<<64-1)
	is.True(!odd.Begun.After(odd.Ended) && odd.Begun.Before(now))
	odd = quarantiner.AttemptBefore(now, 5, 1<<64-1)
	is.True(!odd.Begun.After(odd.Ended))
}
