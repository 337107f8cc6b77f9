package balancer

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/chooser"
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
			b := New(Options{Policy: chooser.ExpectedCompletion{}, OnRun: func(workspace string, _ time.Time) { counted += workspace }}, rand.New(rand.NewPCG(1, 2)))
			for _, o := range c.outcomes {
				b.countRun(c.call, time.Now(), o)
			}
			is.Equal(counted, c.want)
		})
	}
}
