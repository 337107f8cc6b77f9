package drainer

import (
	"context"
	"time"
)

// connectionInterval is the time between two looks for open connections.
const connectionInterval = 20 * time.Millisecond

// AwaitClosed waits until no connection is open, or ctx ends.
func AwaitClosed(ctx context.Context, open func() int) {
	t := time.NewTicker(connectionInterval)
	defer t.Stop()
	for open() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
