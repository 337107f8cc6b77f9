package balancer

import "time"

// ObserveRanks counts one request of each rank of a service, so that they count as differing.
func (b *Balancer) ObserveRanks(service string, ranks int) {
	b.shortage.mu.Lock()
	defer b.shortage.mu.Unlock()
	for rank := range ranks {
		b.shortage.differ(time.Now(), service, rank, ranks)
	}
}
