package balancer

import "time"

// figures is a copy of what a route usually takes.
type figures struct {
	latency time.Duration
	bytes   float64
}

func (s *Balancer) usual(route string) figures {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.routes[route]
	if !ok {
		return figures{latency: initialLatency}
	}
	return figures{latency: u.latency.Value(), bytes: u.bytes}
}

// initialLatency is assumed of a route before its first answer.
const initialLatency = 80 * time.Millisecond

// prior is the cost of a server before it is asked, with a draw that spreads the
// requests over equal servers.
func (s *Balancer) prior(c *call, u figures, a candidate) float64 {
	slowness := unknownSlowness
	busy := a.state.InFlight
	if a.state.LoadFresh {
		slowness = a.state.Load.Slowness
		busy = max(busy, a.state.Load.Running+a.state.Load.Waiting)
	}
	cost := s.cost(c, u, a, slowness, busy)
	s.mu.Lock()
	cost *= 0.8 + 0.4*s.rng.Float64()
	s.mu.Unlock()
	if a.Domain != s.o.Domain {
		cost += askAway * float64(c.route.TargetLatency)
	}
	if a.state.Ejected {
		cost += float64(time.Hour)
	}
	if a.state.Cold {
		cost = coldSlowness*cost + askAway*float64(c.route.TargetLatency)
	}
	return cost
}

// cost is the expected latency, and what the way to another failure domain is
// worth.
func (s *Balancer) cost(c *call, u figures, a candidate, slowness float64, busy int) float64 {
	cost := float64(u.latency) * (slowness + faultWeight*a.state.RecentFailures) * load(busy, a.Slots)
	if a.Domain != s.o.Domain {
		traffic := float64(len(c.body)) + u.bytes
		cost += float64(otherDomain) + float64(c.route.TargetLatency)*traffic/bytesForObjective
	}
	return cost
}

// load is how much longer work takes at a server with busy requests.
func load(busy, slots int) float64 {
	part := float64(busy) / float64(max(1, slots))
	if busy < slots {
		return 1 + loadPart*part
	}
	return 1 + loadPart + queuePart*float64(busy-slots+1)/float64(max(1, slots))
}
