package monitor_test

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"samphiremux/entry/monitor"
)

// TestDeadServersTakenForIsolation guards against an entry that passes its requests on
// since many servers are down, although others respond.
func TestDeadServersTakenForIsolation(t *testing.T) {
	is := is.New(t)
	var m monitor.Monitor
	for i := range 100 {
		is.True(!m.ObserveFailure(strconv.Itoa(i), 100))
		if i%4 == 3 {
			is.True(!m.ObserveResponse())
		}
	}
	for range 100 {
		is.True(!m.ObserveFailure("one", 100)) // a single server says nothing of the others
	}
	is.True(!m.Isolated())
}

func TestIsolation(t *testing.T) {
	for _, c := range []struct{ known, failures int }{{100, 5}, {5, 5}, {2, 2}, {1, 1}} {
		is := is.New(t)
		var m monitor.Monitor
		for i := range c.failures {
			is.Equal(m.ObserveFailure(strconv.Itoa(i), c.known), i == c.failures-1)
		}
		is.True(m.Isolated())
		is.True(!m.ObserveFailure("late", c.known)) // reported once
		is.True(m.ObserveResponse())
		is.True(!m.Isolated())
		is.True(!m.ObserveResponse())
	}
}
