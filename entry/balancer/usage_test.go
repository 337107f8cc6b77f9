package balancer

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/chooser"
	"samphiremux/entry/delegator"
	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
	"samphiremux/pkg/describer"
)

// TestRequestCountedByRuns guards against requests that count though they were only refused
// as not run, and against those that count more than once: a retried or hedged one, or one
// that another entry has counted before it passed it on.
func TestRequestCountedByRuns(t *testing.T) {
	lost := retrier.ConnectionLost{Cause: errors.New("reset")}
	for _, c := range []struct {
		name     string
		call     *call
		outcomes []retrier.Outcome
		want     string
	}{
		{"answered", &call{identity: identity{workspace: describer.Workspace{Name: "w"}}}, []retrier.Outcome{retrier.Answered{}}, "w"},
		{"refused by all servers", &call{identity: identity{workspace: describer.Workspace{Name: "w"}}}, []retrier.Outcome{retrier.Shed{}, retrier.NotSent{}}, ""},
		{"refused, then answered", &call{identity: identity{workspace: describer.Workspace{Name: "w"}}}, []retrier.Outcome{retrier.Shed{}, retrier.Answered{}}, "w"},
		{"may have run, then answered", &call{identity: identity{workspace: describer.Workspace{Name: "w"}}}, []retrier.Outcome{lost, retrier.Answered{}}, "w"},
		{"without a key", &call{}, []retrier.Outcome{retrier.Answered{}}, ""},
		{"counted by another entry", &call{identity: identity{workspace: describer.Workspace{Name: "w"}}, hop: &hop{counted: true}}, []retrier.Outcome{retrier.Answered{}}, ""},
		{"passed on without a run", &call{identity: identity{workspace: describer.Workspace{Name: "w"}}, hop: &hop{}}, []retrier.Outcome{retrier.Answered{}}, "w"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			counted := ""
			b := New(Options{Policy: chooser.ExpectedCompletion{}, OnRun: func(workspace string, _ time.Time) func() bool {
				counted += workspace
				return func() bool { return true }
			}}, rand.New(rand.NewPCG(1, 2)))
			for _, o := range c.outcomes {
				b.countRun(c.call, time.Now(), o)
			}
			is.Equal(counted, c.want)
		})
	}
}

// TestLongRequestCounted guards against requests that run for longer than the report of their
// window waits and are in none, and against those that count though they were refused late, or
// twice since they ran in a later attempt or at another entry.
func TestLongRequestCounted(t *testing.T) {
	refused := refuser.NewNotRun(refuser.BackendShedding)
	type attempt struct {
		lasts   time.Duration
		outcome retrier.Outcome
	}
	for _, c := range []struct {
		name     string
		attempts []attempt
		passed   delegator.Result
		refusal  *refuser.Refusal
		reported bool
		want     []time.Duration
		told     bool
	}{
		{"answered late", []attempt{{4 * time.Second, retrier.Answered{}}}, nil, nil, false, []time.Duration{0}, true},
		{"refused late by all servers", []attempt{{time.Second, retrier.Shed{}}, {time.Second, retrier.Shed{}}}, nil, &refused, false, nil, false},
		{"refused late, then answered", []attempt{{time.Second, retrier.Shed{}}, {4 * time.Second, retrier.Answered{}}}, nil, nil, false, []time.Duration{0}, true},
		{"refused at once, then answered late", []attempt{{100 * time.Millisecond, retrier.Shed{}}, {4 * time.Second, retrier.Answered{}}}, nil, nil, false, []time.Duration{100 * time.Millisecond}, true},
		{"refused after its window was reported", []attempt{{4 * time.Second, retrier.Shed{}}}, nil, &refused, true, []time.Duration{0}, true},
		{"taken by another entry that was lost", []attempt{{100 * time.Millisecond, retrier.Answered{}}}, delegator.Lost{}, nil, false, nil, true},
		{"refused by another entry that counts it", []attempt{{100 * time.Millisecond, retrier.Answered{}}}, delegator.Refused{Refusal: refused, Counted: true}, nil, false, nil, true},
		{"refused by another entry", []attempt{{100 * time.Millisecond, retrier.Answered{}}}, delegator.Refused{Refusal: refused}, nil, false, []time.Duration{0}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var counted []time.Duration
				start := time.Now()
				b := New(Options{Policy: chooser.ExpectedCompletion{}, OnRun: func(_ string, begun time.Time) func() bool {
					counted = append(counted, begun.Sub(start))
					return func() bool {
						if !c.reported {
							counted = counted[:len(counted)-1]
						}
						return !c.reported
					}
				}}, rand.New(rand.NewPCG(1, 2)))
				request := &call{identity: identity{workspace: describer.Workspace{Name: "w"}}}
				if c.passed != nil {
					request.observeCount(c.passed)
				}
				for _, a := range c.attempts {
					begun := time.Now()
					stop := b.countLongRun(request, begun)
					time.Sleep(a.lasts)
					stop()
					synctest.Wait()
					if a.lasts > time.Second {
						is.True(len(counted) > 0) // counted before it ended
					}
					b.countRun(request, begun, a.outcome)
				}
				request.endCount(c.refusal)
				is.True(slices.Equal(counted, c.want))
				is.Equal(request.hasCounted(), c.told)
			})
		})
	}
}
