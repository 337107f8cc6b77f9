package roller

import (
	"strconv"
	"sync"

	"samphiremux/entry/balancer"
	"samphiremux/entry/snapshotter"
	"samphiremux/pkg/linker/linkpb"
)

// slowRatio is the latency, relative to what the route usually takes on a server
// of that slowness, from which an answer counts as slow. A neighbour that comes
// while a request runs lengthens it up to seven times, but hits both versions.
const slowRatio = 2.5

// counts are the answers of one version on one route.
type counts struct{ answers, failures, slow uint64 }

func (c counts) plus(o counts) counts {
	return counts{c.answers + o.answers, c.failures + o.failures, c.slow + o.slow}
}

// evidence is what was seen of both versions on one route.
type evidence struct{ old, new counts }

func (e evidence) plus(o evidence) evidence { return evidence{e.old.plus(o.old), e.new.plus(o.new)} }

// tally counts the answers that one entry saw during a move.
type tally struct {
	order  int64
	routes map[string]evidence
}

// tallies counts answers by service. Its methods may be called concurrently.
type tallies struct {
	mu  sync.Mutex
	all map[string]*tally
}

// observe takes in an attempt of a service that is being moved.
func (t *tallies) observe(a balancer.Attempt, r snapshotter.MoveRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own, ok := t.all[a.Service]
	if !ok || own.order != r.Order {
		own = &tally{order: r.Order, routes: map[string]evidence{}}
		t.all[a.Service] = own
	}
	c := counts{answers: 1}
	switch {
	case a.Failed:
		c.failures = 1
	case a.LatencyRatio >= slowRatio:
		c.slow = 1
	}
	e := own.routes[a.Route]
	if a.Version == r.Target {
		e.new = e.new.plus(c)
	} else {
		e.old = e.old.plus(c)
	}
	own.routes[a.Route] = e
}

// wire returns the counts of one service for another entry.
func (t *tallies) wire(service string, order int64) (out []*linkpb.Tally) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own, ok := t.all[service]
	if !ok || own.order != order {
		return nil
	}
	for route, e := range own.routes {
		out = append(out, &linkpb.Tally{
			Service: service, Move: strconv.FormatInt(order, 10), Route: route,
			OldAnswers: e.old.answers, OldFailures: e.old.failures, OldSlow: e.old.slow,
			NewAnswers: e.new.answers, NewFailures: e.new.failures, NewSlow: e.new.slow,
		})
	}
	return out
}

func fromWire(t *linkpb.Tally) evidence {
	return evidence{
		old: counts{t.GetOldAnswers(), t.GetOldFailures(), t.GetOldSlow()},
		new: counts{t.GetNewAnswers(), t.GetNewFailures(), t.GetNewSlow()},
	}
}
