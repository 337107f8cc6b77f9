package roller

import (
	"strconv"
	"sync"

	"samphiremux/entry/balancer"
	"samphiremux/entry/snapshotter"
	"samphiremux/pkg/linker/linkpb"
)

// slowRatio is the ratio of an answer's latency to the usual latency of the route,
// adjusted for the slowness of the server, from which the answer counts as slow. A
// noisy neighbour that starts during a request can lengthen it up to seven times, but
// affects both versions alike.
const slowRatio = 2.5

// counts holds the number of answers of one version on one route, and how many of them
// failed or were slow.
type counts struct{ answers, failures, slow uint64 }

func (c counts) add(o counts) counts {
	return counts{c.answers + o.answers, c.failures + o.failures, c.slow + o.slow}
}

// evidence compares both versions on one route.
type evidence struct{ old, new counts }

func (e evidence) add(o evidence) evidence { return evidence{e.old.add(o.old), e.new.add(o.new)} }

// tally holds the answers that this entry has seen during one move, by route.
type tally struct {
	order  int64
	routes map[string]evidence
}

// tallies holds the tally of each service. It is safe for concurrent use.
type tallies struct {
	mu        sync.Mutex
	byService map[string]*tally
}

// observe counts an attempt of a service that is being moved. The first attempt of a
// new order discards the counts of the previous order.
func (t *tallies) observe(a balancer.Attempt, r snapshotter.MoveRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cur, ok := t.byService[a.Service]
	if !ok || cur.order != r.Order {
		cur = &tally{order: r.Order, routes: map[string]evidence{}}
		t.byService[a.Service] = cur
	}
	c := counts{answers: 1}
	switch {
	case a.Failed:
		c.failures = 1
	case a.LatencyRatio >= slowRatio:
		c.slow = 1
	}
	e := cur.routes[a.Route]
	if a.Version == r.Target {
		e.new = e.new.add(c)
	} else {
		e.old = e.old.add(c)
	}
	cur.routes[a.Route] = e
}

// toProto returns the counts of a service for the given order, or nil if there are
// none.
func (t *tallies) toProto(service string, order int64) (out []*linkpb.Tally) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cur, ok := t.byService[service]
	if !ok || cur.order != order {
		return nil
	}
	for route, e := range cur.routes {
		out = append(out, &linkpb.Tally{
			Service: service, Move: strconv.FormatInt(order, 10), Route: route,
			OldAnswers: e.old.answers, OldFailures: e.old.failures, OldSlow: e.old.slow,
			NewAnswers: e.new.answers, NewFailures: e.new.failures, NewSlow: e.new.slow,
		})
	}
	return out
}

func evidenceFromProto(t *linkpb.Tally) evidence {
	return evidence{
		old: counts{t.GetOldAnswers(), t.GetOldFailures(), t.GetOldSlow()},
		new: counts{t.GetNewAnswers(), t.GetNewFailures(), t.GetNewSlow()},
	}
}
