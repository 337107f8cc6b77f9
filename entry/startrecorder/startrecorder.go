// Package startrecorder records when a process that starts reaches each phase of its start,
// until it has answered its first request. It decides nothing.
package startrecorder

import (
	"sync/atomic"
	"time"
)

// Phase is a phase of the start. It is a label value of a metric.
type Phase string

const (
	// Settings means that the settings are read and checked.
	Settings Phase = "settings"
	// Listening means that the entry accepts connections.
	Listening Phase = "listening"
	// Peers means that another entry has sent or answered a heartbeat, or has sent its state.
	Peers Phase = "peers"
	// Snapshot means that the copy of the store is complete, from the store or from
	// another entry.
	Snapshot Phase = "snapshot"
	// Registration means that the store has confirmed the registration of the entry.
	Registration Phase = "registration"
	// Ready means that the entry has a configuration and backend servers.
	Ready Phase = "ready"
	// Probe means that a backend server has answered a probe.
	Probe Phase = "probe"
	// Response means that a caller has got a response of a backend server.
	Response Phase = "response"
)

// Phases returns all phases in the order in which a usual start reaches them.
func Phases() []Phase {
	return []Phase{Settings, Listening, Snapshot, Ready, Peers, Registration, Probe, Response}
}

// Recorder holds the time from the start of the process to each phase. A nil Recorder records
// nothing. It is safe for concurrent use.
type Recorder struct {
	began time.Time
	// reached holds nanoseconds, or zero for a phase that is not reached yet.
	reached map[Phase]*atomic.Int64
}

// SetBegan sets the time at which the process began, if that is earlier than the recorder was
// made. It must be called before the first phase is reached.
func (r *Recorder) SetBegan(at time.Time) { r.began = at }

// New returns the recorder of a process that begins at a time.
func New(began time.Time) *Recorder {
	r := &Recorder{began: began, reached: map[Phase]*atomic.Int64{}}
	for _, p := range Phases() {
		r.reached[p] = &atomic.Int64{}
	}
	return r
}

// Reach records that the process has reached a phase. It reports whether that is new.
func (r *Recorder) Reach(p Phase) (first bool) {
	if r == nil || r.reached[p].Load() != 0 {
		return false
	}
	return r.reached[p].CompareAndSwap(0, max(1, int64(time.Since(r.began))))
}

// Elapsed returns the time from the start of the process to each phase that it has reached.
func (r *Recorder) Elapsed() map[Phase]time.Duration {
	elapsed := map[Phase]time.Duration{}
	for p, d := range r.reached {
		if d := time.Duration(d.Load()); d != 0 {
			elapsed[p] = d
		}
	}
	return elapsed
}
