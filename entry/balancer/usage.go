package balancer

import (
	"time"

	"samphiremux/entry/retrier"
)

// countRun counts a request of a workspace after an attempt that began at a time, unless it
// certainly did not run or the request has been counted. An entry that passes a request on
// tells the other one whether it has counted it.
func (b *Balancer) countRun(c *call, begun time.Time, o retrier.Outcome) {
	if c.workspace.Name == "" || !retrier.MayHaveRun(o) || (c.hop != nil && c.hop.counted) || c.counted.Swap(true) {
		return
	}
	b.opts.OnRun(c.workspace.Name, begun)
}

// hasCounted reports whether the request has been counted, here or by the entry that passed
// it on.
func (c *call) hasCounted() bool { return c.counted.Load() || (c.hop != nil && c.hop.counted) }
