package balancer

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"samphiremux/entry/chooser"
	"samphiremux/entry/refuser"
	"samphiremux/entry/roundtripper"
	"samphiremux/entry/snapshotter"
	"samphiremux/pkg/describer"
)

const (
	// firstRoundProbes is the number of servers that are probed in the first
	// round, and nextRoundProbes the number in each further round while none of
	// them is good enough.
	firstRoundProbes = 3
	nextRoundProbes  = 4
	// maxProbes bounds the servers that are probed for one attempt.
	maxProbes = 15
	// maxCandidates bounds the servers that are scored for one attempt. It is
	// about four times maxProbes. In a service of hundreds of servers, scoring
	// all of them takes longer than the probes.
	maxCandidates = 64
	// maxLocalCandidates is the number of candidates that are taken from the
	// entry's own failure domain, if it has so many.
	maxLocalCandidates = 48
	// maxRounds is the number of rounds of maxProbes servers.
	maxRounds = 1 + (maxProbes-firstRoundProbes)/nextRoundProbes
	// probeTimeout bounds the wait for the response to a probe. Servers of the
	// same region answer within 3 ms.
	probeTimeout = 60 * time.Millisecond
	// probeRoundTimeout is the wait for the first response of a round before
	// the next round starts. Servers that are down do not answer at all.
	probeRoundTimeout = 10 * time.Millisecond
	// maxRoundStep bounds the time until a round that waits for the own link finds that its
	// request has ended.
	maxRoundStep = 20 * time.Millisecond
	// probeGrace is the wait for further responses after the first one of a
	// round.
	probeGrace = 6 * time.Millisecond
	// goodSlowness is the slowness up to which a server is good enough to stop
	// probing.
	goodSlowness = 1.6
	// unknownSlowness is the assumed slowness of a server that has reported no
	// load recently: a quarter to a third of all servers have a noisy neighbour
	// that slows them about seven times.
	unknownSlowness = 2.5
	// loadWeight scales the slowdown by the slots in use. A server with all
	// slots in use but one is slower than an idle one by about this fraction.
	loadWeight = 0.4
	// queueWeight scales the slowdown by the queue of a full server: one request
	// ahead in the queue adds this fraction divided by the number of slots.
	queueWeight = 1.2
	// crossDomainLatency is the extra latency of another failure domain, for
	// the round trips of the probe and of the request.
	crossDomainLatency = 3 * time.Millisecond
	// bytesPerObjective is the cross-domain traffic in bytes that costs as much
	// as one target latency.
	bytesPerObjective = 150_000
	// probePenalty is the fraction of the target latency that is added to the
	// prior cost of servers of other failure domains and of cold servers, so
	// that they are probed later. Probes of other failure domains cost traffic
	// too.
	probePenalty = 0.3
	// coldSlowness is the factor by which a cold server is assumed to be
	// slower.
	coldSlowness = 2.5
	// maxQueueObjective is the expected latency, as a fraction of the target
	// latency, up to which a request may queue at a full server. A longer queue
	// makes every request behind it late. It is below 1 because other entries
	// choose the same server before its queue shows.
	maxQueueObjective = 0.75
	// failureWeight is the slowness that one recent failure adds.
	failureWeight = 1.0
)

// picked is the server that was picked for an attempt.
type picked struct {
	snapshotter.Backend
	// conn is the connection that has just answered a probe. If it is nil, the
	// attempt takes another one.
	conn *roundtripper.Conn
	// slowness is what the server reported in its response to the probe, or 1.
	slowness float64
	// expected is the expected latency of the attempt.
	expected time.Duration
	// busy is the number of requests that run or wait at the server by its report,
	// or without one, the number of this entry's requests in flight there.
	busy int
	// rateLimit is the rate limit that the server stated in its response to the probe.
	rateLimit describer.RateLimit
	// probed is the number of servers that were probed for the attempt.
	probed int
	// cold is this entry's part in the rate of the server, or nil if it is not cold.
	cold *coldPart
	// beyond reports that the server is outside the subset of its service.
	beyond bool
	// ended reports that the attempt at the server has ended, with or without a response.
	ended atomic.Bool
}

// slowdown returns how many times longer the server takes than an idle one
// without noisy neighbours.
func (p *picked) slowdown() float64 { return p.slowness * loadFactor(p.busy, p.Slots) }

// release returns the connection of a server that gets no request.
func (p *picked) release() {
	if p.conn != nil {
		p.State.Release(p.conn)
	}
}

// eligible returns the servers that may run the request. If there are more than
// maxCandidates, it scans them from a random offset and prefers the entry's own
// failure domain.
func (b *Balancer) eligible(now time.Time, c *call, view *snapshotter.Snapshot) (candidates []candidate) {
	if s := b.subsetOf(now, view, c.service); s != nil {
		return b.eligibleBySubset(now, c, view, s)
	}
	servers := view.Services[c.service]
	if len(servers) <= maxCandidates {
		return c.collect(nil, now, view, servers, maxCandidates, func(snapshotter.Backend) bool { return true })
	}
	b.mu.Lock()
	start := b.rng.IntN(len(servers))
	b.mu.Unlock()
	rotated := [][]snapshotter.Backend{servers[start:], servers[:start]}
	for _, section := range rotated {
		candidates = c.collect(candidates, now, view, section, maxLocalCandidates, func(srv snapshotter.Backend) bool { return srv.Domain == b.opts.Domain })
	}
	for _, section := range rotated {
		candidates = c.collect(candidates, now, view, section, maxCandidates, func(srv snapshotter.Backend) bool { return srv.Domain != b.opts.Domain })
	}
	return candidates
}

// collect appends the matching servers that may run the request until there are
// limit candidates.
func (c *call) collect(candidates []candidate, now time.Time, view *snapshotter.Snapshot, servers []snapshotter.Backend, limit int, match func(snapshotter.Backend) bool) []candidate {
	for _, srv := range servers {
		if len(candidates) >= limit {
			break
		}
		if !match(srv) || !view.Eligible(srv) || (c.version != "" && srv.Version != c.version) || c.tried[srv.ID] {
			continue
		}
		state := srv.State.Snapshot(now)
		switch {
		case state.Leaving:
			c.leftOut.leaving = appendName(c.leftOut.leaving, srv.ID)
			continue
		case state.Paused:
			c.leftOut.paused = appendName(c.leftOut.paused, srv.ID)
			continue
		}
		candidates = append(candidates, candidate{Backend: srv, state: state})
	}
	return candidates
}

// candidate is a server that may run the request, with its known state.
type candidate struct {
	snapshotter.Backend
	state snapshotter.StateSnapshot
	cost  float64
	// subset is the subset of the service, or nil if it has none, and due reports that the
	// server is probed first because it has not responded for long. Connected reports that it
	// is due, or has an idle connection and no recent report of being slow or full.
	subset    *subset
	due       bool
	connected bool
}

// pick picks the server for the next attempt. If there is none, it returns the
// reason for a refusal.
func (b *Balancer) pick(ctx context.Context, c *call) (*picked, refuser.Reason) {
	c.probes, c.unreached = 0, 0
	if b.monitor.Isolated() {
		return nil, refuser.UnreachableServers
	}
	p, reason := b.pickInVersion(ctx, c)
	if p == nil && c.version != c.view.Splits[c.service].Stable {
		// The target version of a move has no usable server yet.
		c.useStableVersion()
		return b.pickInVersion(ctx, c)
	}
	return p, reason
}

// pickInVersion picks a server of the request's version.
func (b *Balancer) pickInVersion(ctx context.Context, c *call) (*picked, refuser.Reason) {
	view := b.opts.Snapshot()
	now := time.Now()
	c.leftOut = leftOut{}
	candidates := b.eligible(now, c, view)
	c.traceLeftOut()
	if len(candidates) == 0 {
		if _, paused := b.resumption(now, c); paused {
			return nil, refuser.PausedServers
		}
		return nil, refuser.NoBackendServer
	}
	if !chooser.Coordinated(b.opts.Policy) {
		return b.pickBaseline(candidates), ""
	}
	candidates = slices.DeleteFunc(candidates, func(cand candidate) bool {
		return cand.state.RateLimitFresh && !b.hasRateToken(now, cand.Backend, cand.state.RateLimit)
	})
	if len(candidates) == 0 {
		return nil, refuser.RateLimitedServers
	}
	candidates = slices.DeleteFunc(candidates, func(cand candidate) bool {
		return cand.state.ColdFresh && !b.hasColdToken(view, cand)
	})
	if len(candidates) == 0 {
		return nil, refuser.ColdServers
	}
	est := b.estimate(c.route.Name)
	if delay := b.opts.Link.Delay(now); delay > 0 && delay > c.deadline.Sub(now)-est.latency {
		// Neither a probe nor the request would leave this entry in time.
		return nil, refuser.OwnLinkSaturated
	}
	for i := range candidates {
		candidates[i].cost = b.priorCost(c, est, candidates[i])
	}
	addTierCosts(now, candidates)
	slices.SortFunc(candidates, func(x, y candidate) int { return cmp.Compare(x.cost, y.cost) })
	return b.probeRounds(ctx, c, view, est, candidates)
}

// pickBaseline picks a server by a baseline policy, which does not probe.
func (b *Balancer) pickBaseline(candidates []candidate) *picked {
	choices := make([]chooser.Candidate, len(candidates))
	for i, cand := range candidates {
		choices[i] = chooser.Candidate{Index: i, InFlight: cand.state.InFlight}
	}
	b.mu.Lock()
	i, _ := b.chooser.Choose(choices)
	b.mu.Unlock()
	return &picked{Backend: candidates[i].Backend, slowness: 1}
}
