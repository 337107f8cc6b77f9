package netemulator

import (
	"sync"
	"time"
)

// segmentSize is the number of bytes that a connection sends before others of its host
// have their turn.
const segmentSize = 16 << 10

// link is one direction of the connection of a host to the network. All connections of the
// host share its bandwidth.
type link struct {
	bytesPerSecond float64

	mu   sync.Mutex
	free time.Time
}

// reserve returns the time at which the link has carried n bytes more.
func (l *link) reserve(now time.Time, n int) (sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	return l.free
}
