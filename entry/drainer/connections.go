package drainer

import (
	"context"
	"time"
)

// connectionInterval is the time between two looks for open connections.
const connectionInterval = 20 * time.Millisecond

// AwaitClosed closes idle connections until all have ended, or ctx ends. It calls closeIdle
// before each look at ended.
func AwaitClosed(ctx context.Context, closeIdle func(), ended func() bool) {
	t := time.NewTicker(connectionInterval)
	defer t.Stop()
	for closeIdle(); !ended(); closeIdle() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
