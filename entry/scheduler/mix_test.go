package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/scheduler"
)

// TestMix guards against requests that leave capacity to a rank of which there are almost no
// requests, and against a mix that is found too late when the traffic changes.
func TestMix(t *testing.T) {
	for _, c := range []struct {
		name string
		// every is the number of requests of rank 1 for each one of rank 0.
		every int
		want  bool
	}{
		{"a third of higher rank", 2, true},
		{"one in six of higher rank", 5, true},
		{"one in eight of higher rank", 7, false},
		{"one in 50 of higher rank", 49, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var m scheduler.Mix
			is.True(!m.Differs()) // nothing is known yet
			now := time.Now()
			for i := range 400 {
				now = now.Add(150 * time.Millisecond)
				m.Observe(now, min(1, i%(c.every+1)), 2)
			}
			is.Equal(m.Differs(), c.want)
			for i := range 100 {
				now = now.Add(150 * time.Millisecond)
				m.Observe(now, i%2, 2)
			}
			is.True(m.Differs())
		})
	}
}
