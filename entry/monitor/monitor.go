// Package monitor finds whether an entry reaches any backend server, from the results of
// its probes and sends.
package monitor

import "sync"

// maxUnanswered is the number of servers that fail one after the other, with no response
// from any server in between, from which the entry counts as isolated.
const maxUnanswered = 5

// Monitor tells an entry that reaches no backend server from servers that are down. The
// zero value is ready to use. It is safe for concurrent use.
type Monitor struct {
	mu sync.Mutex
	// unanswered is the set of servers that failed since the last response.
	unanswered map[string]struct{}
	isolated   bool
}

// ObserveResponse records a response of any kind from a server. It reports whether the
// entry was isolated until now.
func (m *Monitor) ObserveResponse() (regained bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	regained = m.isolated
	m.isolated = false
	clear(m.unanswered)
	return regained
}

// ObserveFailure records that one of a number of known servers could not be connected to
// or did not answer a probe. It reports whether the entry has become isolated thereby.
func (m *Monitor) ObserveFailure(server string, known int) (lost bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isolated {
		return false
	}
	if m.unanswered == nil {
		m.unanswered = map[string]struct{}{}
	}
	m.unanswered[server] = struct{}{}
	m.isolated = len(m.unanswered) >= min(known, maxUnanswered)
	return m.isolated
}

// Isolated reports whether the entry reaches no backend server.
func (m *Monitor) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isolated
}
