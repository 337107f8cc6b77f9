package balancer

import (
	"context"
	"time"

	"samphiremux/entry/refuser"
	"samphiremux/entry/roundtripper"
	"samphiremux/entry/snapshotter"
)

// reply is how a server answered a probe.
type reply struct {
	candidate
	health roundtripper.Health
	conn   *roundtripper.Conn
	err    error
}

// ask probes the candidates in rounds, the most promising first, until one is
// good. It sends to the best of those that answered.
func (s *Balancer) ask(ctx context.Context, c *call, view *snapshotter.Snapshot, u figures, all []candidate) (*picked, refuser.Reason) {
	var best *picked
	bestCost := 0.0
	none := refuser.BackendUnreachable
	round := firstAsked
	asked := 0
	for asked < min(len(all), maxAsked) && ctx.Err() == nil {
		next := all[asked:min(len(all), asked+round)]
		asked += len(next)
		round = moreAsked
		for _, r := range s.probe(ctx, view, c.service, next) {
			p, cost, ok := s.judge(c, u, r)
			if !ok && r.err == nil {
				none = refuser.ColdServers
			}
			if !ok || (best != nil && cost >= bestCost) {
				r.release()
				continue
			}
			if best != nil {
				best.State.Release(best.conn)
			}
			best, bestCost = p, cost
		}
		if best != nil && best.slowness <= goodSlowness && best.busy < best.Slots {
			break
		}
	}
	if best == nil {
		return nil, none
	}
	best.asked = asked
	if best.busy >= best.Slots && best.expected > s.tooLate(c) {
		// Every server is full, and the best would not answer in time.
		best.State.Release(best.conn)
		return nil, refuser.DeadlineTooNear
	}
	if !s.mayUse(view, best) {
		// Another request of this entry was faster.
		best.State.Release(best.conn)
		return nil, refuser.ColdServers
	}
	return best, ""
}

// tooLate returns the expected latency from which a request is not put behind
// others in a full server's queue.
func (s *Balancer) tooLate(c *call) time.Duration {
	left := time.Until(c.deadline)
	if c.route.TargetLatency == 0 {
		return left
	}
	return min(left, time.Duration(lateObjective*float64(c.route.TargetLatency)))
}

func (r reply) release() {
	if r.err == nil && r.conn != nil {
		r.State.Release(r.conn)
	}
}

// judge decides whether a server that answered may run the request, and at what
// cost.
func (s *Balancer) judge(c *call, u figures, r reply) (p *picked, cost float64, ok bool) {
	if r.err != nil {
		return nil, 0, false
	}
	h := r.health
	slowness, busy := 1.0, r.state.InFlight
	if h.HasLoad {
		slowness, busy = h.Load.Slowness, h.Load.Running+h.Load.Waiting
	}
	cost = s.cost(c, u, r.candidate, slowness, busy)
	if h.ColdRemaining > 0 {
		if !r.state.ColdReady {
			return nil, 0, false
		}
		cost *= coldSlowness
	}
	p = &picked{Backend: r.Backend, conn: r.conn, slowness: slowness, busy: busy}
	p.expected = time.Duration(float64(u.latency) * p.factor())
	return p, cost, true
}

// mayUse takes the right to use a server that is cold.
func (s *Balancer) mayUse(view *snapshotter.Snapshot, p *picked) bool {
	now := time.Now()
	if !p.State.Snapshot(now).Cold {
		return true
	}
	return p.State.TakeColdToken(now, view.Table.Services[p.Service].ColdRate, s.o.EntryCount())
}

// probe asks servers at the same time. It returns when all have answered, a short
// time after the first answer, or when the round is over.
func (s *Balancer) probe(ctx context.Context, view *snapshotter.Snapshot, service string, next []candidate) (replies []reply) {
	path := view.Table.Services[service].HealthPath
	askCtx, cancel := context.WithTimeout(ctx, askLimit)
	results := make(chan reply, len(next))
	for _, a := range next {
		go func() {
			h, conn, err := a.State.Probe(askCtx, path)
			s.learn(askCtx, a, h, err)
			results <- reply{candidate: a, health: h, conn: conn, err: err}
		}()
	}
	limit := time.NewTimer(roundLimit)
	defer limit.Stop()
	answered := false
	for len(replies) < len(next) {
		select {
		case r := <-results:
			replies = append(replies, r)
			if r.err == nil && !answered {
				answered = true
				limit.Reset(askGrace)
			}
			continue
		case <-limit.C:
		}
		break
	}
	go drain(results, len(next)-len(replies), cancel)
	return replies
}

// drain keeps the connections of answers that come late.
func drain(results <-chan reply, n int, cancel context.CancelFunc) {
	defer cancel()
	for range n {
		r := <-results
		r.release()
	}
}

// learn takes in what a probe showed.
func (s *Balancer) learn(ctx context.Context, a candidate, h roundtripper.Health, err error) {
	now := time.Now()
	result := "ok"
	if err != nil {
		result = "error"
	}
	s.counts.probes.With(result).Inc()
	switch {
	case err == nil:
		a.State.ObserveProbe(now, h)
	case isWrongInstance(err):
		a.State.SetLeaving()
	case ctx.Err() == context.Canceled:
		// The request ended first, which says nothing of the server.
	default:
		a.State.Eject(now)
	}
}
