package drainer

import (
	"context"
	"time"
)

// connectionInterval is the time between two looks for open connections.
const connectionInterval = 20 * time.Millisecond

// AwaitClosed closes idle connections until none is open, or ctx ends. It calls closeIdle
// before each look at open.
func AwaitClosed(ctx context.Context, closeIdle func(), open func() int) {
	t := time.NewTicker(connectionInterval)
	defer t.Stop()
	for closeIdle(); open() > 0; closeIdle() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
