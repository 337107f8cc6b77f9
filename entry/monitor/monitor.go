// Package monitor finds whether an entry reaches any backend server, from the results of
// its probes and sends.
package monitor

import (
	"sync"
	"time"
)

const (
	// maxUnanswered is the number of servers that fail one after the other, with no
	// response from any server in between, from which the entry counts as isolated.
	maxUnanswered = 5
	// minSilence is the time without a response from any server before that. Open
	// connections may work while new ones are refused.
	minSilence = 150 * time.Millisecond
)

// Monitor tells an entry that reaches no backend server from servers that are down. The
// zero value is ready to use. It is safe for concurrent use.
type Monitor struct {
	mu sync.Mutex
	// unanswered is the set of servers that failed since the last response.
	unanswered   map[string]struct{}
	lastResponse time.Time
	isolated     bool
}

// ObserveResponse records a response of any kind from a server. It reports whether the
// entry was isolated until now.
func (m *Monitor) ObserveResponse(now time.Time) (regained bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	regained = m.isolated
	m.isolated = false
	m.lastResponse = now
	clear(m.unanswered)
	return regained
}

// ObserveFailure records that one of a number of known servers could not be connected to
// or did not answer a probe. It reports whether the entry has become isolated thereby.
func (m *Monitor) ObserveFailure(now time.Time, server string, known int) (lost bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isolated {
		return false
	}
	if m.unanswered == nil {
		m.unanswered = map[string]struct{}{}
	}
	m.unanswered[server] = struct{}{}
	m.isolated = len(m.unanswered) >= min(known, maxUnanswered) && now.Sub(m.lastResponse) >= minSilence
	return m.isolated
}

// Isolated reports whether the entry reaches no backend server.
func (m *Monitor) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isolated
}
