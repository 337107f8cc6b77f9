package balancer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"samphiremux/entry/chooser"
	"samphiremux/entry/refuser"
	"samphiremux/entry/roundtripper"
	"samphiremux/entry/snapshotter"
)

const (
	// firstAsked is the number of servers that are asked first, and moreAsked
	// that of each further round while none of them is good.
	firstAsked = 3
	moreAsked  = 4
	// maxAsked bounds the servers that are asked for one send.
	maxAsked = 15
	// maxConsidered bounds the servers that are weighed for one send. It is four
	// times those that are asked, and weighing them all takes longer than the
	// probes where a service has hundreds.
	maxConsidered = 64
	// nearConsidered is the part of them that are of the own failure domain, if it
	// has so many.
	nearConsidered = 48
	// askLimit bounds the wait for an answer to a probe. Servers of the same
	// region answer within 3 ms.
	askLimit = 60 * time.Millisecond
	// roundLimit is the wait for the first answer of a round before more servers
	// are asked. Servers that are down answer nothing.
	roundLimit = 10 * time.Millisecond
	// askGrace is the wait for further answers once one has come.
	askGrace = 6 * time.Millisecond
	// goodSlowness is the slowness up to which no better server is looked for.
	goodSlowness = 1.6
	// unknownSlowness is the expected slowness of a server that told nothing: a
	// quarter to a third of all servers have a busy neighbour that slows them
	// about seven times.
	unknownSlowness = 2.5
	// loadPart is how much a server with all slots in use but one is slower than
	// an idle one.
	loadPart = 0.4
	// queuePart is the weight of one request ahead in the server's queue.
	queuePart = 1.2
	// otherDomain is the time that the way to another failure domain adds, both
	// ways and for the probe.
	otherDomain = 3 * time.Millisecond
	// bytesForObjective is the traffic to another failure domain that is worth
	// as much as missing the objective.
	bytesForObjective = 150_000
	// askAway is the part of the objective by which servers of other failure
	// domains are asked later: probes there cost traffic too.
	askAway = 0.3
	// coldSlowness is how much slower a cold server is taken for.
	coldSlowness = 2.5
	// lateObjective is the latency in objectives that a full server's queue may
	// cost. Beyond it a queue makes everyone behind late. It is below 1 since other
	// entries choose the same server before its queue shows.
	lateObjective = 0.75
	// faultWeight is the slowness that one recent fault adds.
	faultWeight = 1.0
)

// picked is the server for an attempt.
type picked struct {
	snapshotter.Backend
	// conn has just answered a probe. It may be nil.
	conn *roundtripper.Conn
	// slowness is what the server told.
	slowness float64
	expected time.Duration
	busy     int
	// asked is the number of servers that were asked.
	asked int
}

// factor is how much longer the server takes than an idle one without neighbours.
func (p *picked) factor() float64 { return p.slowness * load(p.busy, p.Slots) }

// eligible lists the servers that may run the request. Of many it draws some.
func (s *Balancer) eligible(now time.Time, c *call, view *snapshotter.Snapshot) (all []candidate) {
	servers := view.Services[c.service]
	if len(servers) <= maxConsidered {
		return c.collect(nil, now, view, servers, maxConsidered, func(snapshotter.Backend) bool { return true })
	}
	s.mu.Lock()
	from := s.rng.IntN(len(servers))
	s.mu.Unlock()
	turned := [][]snapshotter.Backend{servers[from:], servers[:from]}
	for _, part := range turned {
		all = c.collect(all, now, view, part, nearConsidered, func(b snapshotter.Backend) bool { return b.Domain == s.o.Domain })
	}
	for _, part := range turned {
		all = c.collect(all, now, view, part, maxConsidered, func(b snapshotter.Backend) bool { return b.Domain != s.o.Domain })
	}
	return all
}

// collect adds servers that may run the request and match, up to a number.
func (c *call) collect(all []candidate, now time.Time, view *snapshotter.Snapshot, servers []snapshotter.Backend, most int, match func(snapshotter.Backend) bool) []candidate {
	for _, b := range servers {
		if len(all) >= most {
			break
		}
		if !match(b) || !view.Eligible(b) || (c.version != "" && b.Version != c.version) || c.tried[b.ID] {
			continue
		}
		if state := b.State.Snapshot(now); !state.Leaving {
			all = append(all, candidate{Backend: b, state: state})
		}
	}
	return all
}

// candidate is a server that may run the request, with what is known of it.
type candidate struct {
	snapshotter.Backend
	state snapshotter.StateSnapshot
	cost  float64
}

// pick finds the server for the next attempt. A nil server comes with a reason.
func (s *Balancer) pick(ctx context.Context, c *call) (*picked, refuser.Reason) {
	p, reason := s.pickOf(ctx, c)
	if p == nil && c.version != c.view.Splits[c.service].Stable {
		// The new version has no server for it yet.
		c.toStable()
		return s.pickOf(ctx, c)
	}
	return p, reason
}

// pickOf finds a server of the request's version.
func (s *Balancer) pickOf(ctx context.Context, c *call) (*picked, refuser.Reason) {
	view := s.o.View()
	now := time.Now()
	all := s.eligible(now, c, view)
	if len(all) == 0 {
		return nil, refuser.NoBackendServer
	}
	if !chooser.Coordinated(s.o.Policy) {
		return s.baseline(all), ""
	}
	u := s.usual(c.route.Name)
	for i := range all {
		all[i].cost = s.prior(c, u, all[i])
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return s.ask(ctx, c, view, u, all)
}

// baseline picks by a policy that asks nobody.
func (s *Balancer) baseline(all []candidate) *picked {
	choices := make([]chooser.Candidate, len(all))
	for i, a := range all {
		choices[i] = chooser.Candidate{Index: i, InFlight: a.state.InFlight}
	}
	s.mu.Lock()
	i, _ := s.chooser.Choose(choices)
	s.mu.Unlock()
	return &picked{Backend: all[i].Backend, slowness: 1}
}
