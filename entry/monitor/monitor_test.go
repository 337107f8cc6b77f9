package monitor_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/monitor"
)

// TestDeadServersTakenForIsolation guards against an entry that passes its requests on
// since many servers are down, although others respond.
func TestDeadServersTakenForIsolation(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var m monitor.Monitor
	for i := range 100 {
		now = now.Add(time.Second)
		is.True(!m.ObserveFailure(now, strconv.Itoa(i), 100))
		if i%4 == 3 {
			is.True(!m.ObserveResponse(now))
		}
	}
	for range 100 {
		now = now.Add(time.Second)
		is.True(!m.ObserveFailure(now, "one", 100)) // a single server says nothing of the others
	}
	is.True(!m.Isolated())
}

// TestRefusedConnectionsTakenForIsolation guards against an entry that passes its requests
// on since new connections are refused, although open ones work.
func TestRefusedConnectionsTakenForIsolation(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var m monitor.Monitor
	for range 20 {
		m.ObserveResponse(now)
		for i := range 10 {
			now = now.Add(10 * time.Millisecond)
			is.True(!m.ObserveFailure(now, strconv.Itoa(i), 100))
		}
	}
}

func TestIsolation(t *testing.T) {
	for _, c := range []struct{ known, failures int }{{100, 5}, {5, 5}, {2, 2}, {1, 1}} {
		is := is.New(t)
		now := time.Unix(1000, 0)
		var m monitor.Monitor
		is.True(!m.ObserveResponse(now))
		now = now.Add(time.Second)
		for i := range c.failures {
			is.Equal(m.ObserveFailure(now, strconv.Itoa(i), c.known), i == c.failures-1)
		}
		is.True(m.Isolated())
		is.True(!m.ObserveFailure(now, "late", c.known)) // reported once
		is.True(m.ObserveResponse(now))
		is.True(!m.Isolated())
		is.True(!m.ObserveResponse(now))
	}
}
