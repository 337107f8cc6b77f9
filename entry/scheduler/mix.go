package scheduler

import (
	"math"
	"time"
)

const (
	// mixDecay is the time constant with which the ranks of requests are forgotten.
	mixDecay = 30 * time.Second
	// minMixShare is the share of requests of other ranks than the most frequent one from
	// which the ranks of a service differ. Operators and monitors send a few requests on
	// routes of any rank, up to about one in eight.
	minMixShare = 0.15
	// minMixRequests is the number of requests of other ranks than the most frequent one from
	// which their share is known. One may be a probe of an operator.
	minMixRequests = 1.5
)

// Mix is the mix of ranks among the requests of one service at one entry. If almost all have
// the same rank, there are no requests for which they should leave capacity, whatever ranks the
// configuration allows. The zero value is ready to use.
type Mix struct {
	// byRank holds the number of requests of each rank, decayed with their age.
	byRank []float64
	at     time.Time
}

// Observe adds a request of a rank, of a number of ranks.
func (m *Mix) Observe(now time.Time, rank, ranks int) {
	if len(m.byRank) != ranks {
		m.byRank = make([]float64, ranks)
	}
	decay := math.Exp(-float64(now.Sub(m.at)) / float64(mixDecay))
	for i := range m.byRank {
		m.byRank[i] *= decay
	}
	m.byRank[rank]++
	m.at = now
}

// Differs reports whether the requests differ in rank. Until that is known they do not: an
// entry that starts in a shortage would leave capacity that is not used.
func (m *Mix) Differs() bool {
	sum, most := 0.0, 0.0
	for _, n := range m.byRank {
		sum += n
		most = max(most, n)
	}
	return sum-most >= max(minMixRequests, minMixShare*sum)
}
