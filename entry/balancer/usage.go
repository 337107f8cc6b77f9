package balancer

import (
	"sync"
	"time"

	"samphiremux/entry/delegator"
	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
)

// longRunTime is the time after which an attempt that still runs counts as one that may have
// run. A report of usage is sent 2 s after its window has ended, and counts take up to 1.3 s
// to reach the entry that sends it.
const longRunTime = 700 * time.Millisecond

// runCount is the count of a request in the usage of its workspace.
type runCount struct {
	mu sync.Mutex
	// counted reports that the request is counted, here or by another entry.
	counted bool
	// reverse takes the count of this entry back and reports whether the request is
	// certainly not counted then. It is nil if this entry has not counted it.
	reverse func() (certain bool)
	// ended reports that the request has ended and is not counted any more.
	ended bool
}

// countRun counts a request of a workspace after an attempt that began at a time, unless it
// certainly did not run or the request has been counted. An entry that passes a request on
// states whether it has counted it.
func (b *Balancer) countRun(c *call, begun time.Time, o retrier.Outcome) {
	if retrier.MayHaveRun(o) {
		b.count(c, begun)
	}
}

// countLongRun counts a request of a workspace once an attempt that began at a time has run for
// longRunTime, unless stop is called before.
func (b *Balancer) countLongRun(c *call, begun time.Time) (stop func() bool) {
	if !c.isCountable() {
		return func() bool { return true }
	}
	return time.AfterFunc(longRunTime, func() { b.count(c, begun) }).Stop
}

// isCountable reports whether this entry counts the request if it runs.
func (c *call) isCountable() bool { return c.workspace.Name != "" && (c.hop == nil || !c.hop.counted) }

// count counts a request of a workspace by an attempt that began at a time.
func (b *Balancer) count(c *call, begun time.Time) {
	if !c.isCountable() {
		return
	}
	c.count.mu.Lock()
	defer c.count.mu.Unlock()
	if c.count.counted || c.count.ended {
		return
	}
	c.count.counted, c.count.reverse = true, b.opts.OnRun(c.workspace.Name, begun)
}

// endCount takes back the count of a request that has ended, if it was refused as not run.
// Until then the count stands after an attempt that the server refused, so that a request that
// runs in a later attempt is not counted twice.
func (c *call) endCount(refusal *refuser.Refusal) {
	c.count.mu.Lock()
	defer c.count.mu.Unlock()
	c.count.ended = true
	if refusal != nil && refusal.Kind == refuser.NotRun && c.count.reverse != nil && c.count.reverse() {
		c.count.counted = false
	}
}

// observeCount records what passing the request on shows about its count. An entry that took
// it and gave no complete response may have counted it, so this one does not.
func (c *call) observeCount(result delegator.Result) {
	switch result := result.(type) {
	case delegator.Lost:
	case delegator.Refused:
		if !result.Counted {
			return
		}
	default:
		return
	}
	c.count.mu.Lock()
	defer c.count.mu.Unlock()
	c.count.counted = true
}

// hasCounted reports whether the request has been counted, here or by another entry.
func (c *call) hasCounted() bool {
	c.count.mu.Lock()
	defer c.count.mu.Unlock()
	return c.count.counted || (c.hop != nil && c.hop.counted)
}
