package throttler

import (
	"sync"
	"time"
)

// ByteBudget bounds the bytes of transfers over time. The zero value allows a transfer. It
// is safe for concurrent use.
type ByteBudget struct {
	mu sync.Mutex
	// free is when the transfers so far are over at the rate that is allowed.
	free time.Time
}

// Take starts a transfer of n bytes. It reports false if earlier transfers would not be
// over yet at a rate in bytes per second. Without a rate there is no bound.
func (b *ByteBudget) Take(now time.Time, n int, perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.free) {
		return false
	}
	b.free = now.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))
	return true
}
