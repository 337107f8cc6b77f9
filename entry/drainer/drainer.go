// Package drainer decides which requests a stopping process still passes on to backend
// servers, and ends those that are left shortly before the process exits.
package drainer

import (
	"context"
	"sync"
	"time"
)

const (
	// longIntake bounds the time for which requests are taken whose deadline lies beyond
	// the exit.
	longIntake = 2500 * time.Millisecond
	// answerMargin is the time for writing a response: from the latest deadline of a late
	// request to the end of requests, and from that to the exit.
	answerMargin = 100 * time.Millisecond
)

// Drainer is the state of the stop. It is safe for concurrent use.
type Drainer struct {
	requests context.Context
	cancel   context.CancelFunc

	mu sync.Mutex
	// intakeEnd is when requests are no longer taken regardless of their deadlines. It is
	// zero before Begin.
	intakeEnd time.Time
	// lastDeadline is the latest deadline of a request that is taken after intakeEnd.
	lastDeadline time.Time
	// stopping is set once callers are told to close their connections.
	stopping bool
}

// New returns the drainer of a process that does not stop yet.
func New() *Drainer {
	d := &Drainer{}
	d.requests, d.cancel = context.WithCancel(context.Background())
	return d
}

// Announce begins to tell callers to close their connections.
func (d *Drainer) Announce() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
}

func (d *Drainer) isStopping() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopping
}

// Begin begins the stop. Until intakeEnd, but for at most longIntake, every request is
// taken.
func (d *Drainer) Begin(intakeEnd, exit time.Time) {
	now := time.Now()
	requestsEnd := exit.Add(-answerMargin)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
	d.intakeEnd, d.lastDeadline = intakeEnd, requestsEnd.Add(-answerMargin)
	if limit := now.Add(longIntake); limit.Before(intakeEnd) {
		d.intakeEnd = limit
	}
	time.AfterFunc(requestsEnd.Sub(now), d.cancel)
}

// Requests returns the context of all requests. It ends shortly before the exit, so that
// requests in flight can still be answered.
func (d *Drainer) Requests() context.Context { return d.requests }

// MayTake reports whether a request with this deadline may be passed on now.
func (d *Drainer) MayTake(deadline time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.intakeEnd.IsZero() || time.Now().Before(d.intakeEnd) || !deadline.After(d.lastDeadline)
}
