package balancer

import "time"

// routeEstimate is a copy of a route's running means.
type routeEstimate struct {
	latency       time.Duration
	responseBytes float64
}

func (b *Balancer) estimate(route string) routeEstimate {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats, ok := b.routes[route]
	if !ok {
		return routeEstimate{latency: initialLatency}
	}
	return routeEstimate{latency: stats.latency.Value(), responseBytes: stats.responseBytes}
}

// initialLatency is the expected latency of a route before its first response.
const initialLatency = 80 * time.Millisecond

// priorCost returns the cost of a server before it is probed. Random jitter of
// 20 percent either way spreads the requests over equal servers. An ejected server
// costs an hour more, so that it is probed last.
func (b *Balancer) priorCost(c *call, est routeEstimate, cand candidate) float64 {
	slowness := unknownSlowness
	busy := cand.state.InFlight
	if cand.state.LoadFresh {
		slowness = cand.state.Load.Slowness
		busy = max(busy, cand.state.Load.Running+cand.state.Load.Waiting)
	}
	cost := b.cost(c, est, cand, slowness, busy)
	b.mu.Lock()
	cost *= 0.8 + 0.4*b.rng.Float64()
	b.mu.Unlock()
	if cand.Domain != b.opts.Domain {
		cost += probePenalty * float64(c.route.TargetLatency)
	}
	if cand.state.Ejected {
		cost += float64(time.Hour)
	}
	if cand.state.Cold {
		cost = coldSlowness*cost + probePenalty*float64(c.route.TargetLatency)
	}
	return cost
}

// cost returns the expected latency on a server in nanoseconds, raised by its
// recent failures. For a server of another failure domain it adds the extra round
// trips, and the cross-domain traffic converted to latency.
func (b *Balancer) cost(c *call, est routeEstimate, cand candidate, slowness float64, busy int) float64 {
	cost := float64(est.latency) * (slowness + failureWeight*cand.state.RecentFailures) * loadFactor(busy, cand.Slots)
	if cand.Domain != b.opts.Domain {
		traffic := float64(len(c.body)) + est.responseBytes
		cost += float64(crossDomainLatency) + float64(c.route.TargetLatency)*traffic/bytesPerObjective
	}
	return cost
}

// loadFactor returns how many times longer a request takes on a server with busy
// requests, running or queued, than on an idle one.
func loadFactor(busy, slots int) float64 {
	utilization := float64(busy) / float64(max(1, slots))
	if busy < slots {
		return 1 + loadWeight*utilization
	}
	return 1 + loadWeight + queueWeight*float64(busy-slots+1)/float64(max(1, slots))
}
