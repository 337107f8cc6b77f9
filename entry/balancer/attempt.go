package balancer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"samphiremux/entry/chooser"
	"samphiremux/entry/retrier"
	"samphiremux/entry/roundtripper"
)

const (
	// hedgeRatio is the age, in expected latencies, from which an idempotent
	// request is sent to a second server.
	hedgeRatio = 2.0
	// hedgeObjective is the part of the objective that must have passed too.
	hedgeObjective = 0.5
	// bytesLife is the number of answers that the usual size covers.
	bytesLife = 50
)

func isWrongInstance(err error) bool {
	var wrong roundtripper.ErrWrongInstance
	return errors.As(err, &wrong)
}

// ending is how an attempt ended.
type ending struct {
	server  string
	answer  *roundtripper.Response
	outcome retrier.Outcome
}

// passes tells whether the answer goes to the caller. A failure of the server is
// tried again where that is safe.
func (e ending) passes(idempotent bool) bool {
	if _, ok := e.outcome.(retrier.Answered); !ok {
		return false
	}
	return !idempotent || e.answer.Status < http.StatusInternalServerError
}

// attempt sends the request to one server, and to a second one if the first is
// late and the route allows it.
func (s *Balancer) attempt(ctx context.Context, c *call, p *picked, state *attempts) ending {
	c.tried[p.ID] = true
	if !c.route.Idempotent || !chooser.Coordinated(s.o.Policy) {
		end := s.send(ctx, c, p)
		c.noteEnded(p.ID, end)
		state.add(end.outcome)
		return end
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan ending, 2)
	go func() { ends <- s.send(ctx, c, p) }()
	timer := time.NewTimer(hedgeDelay(c, p))
	defer timer.Stop()
	running := 1
	var last ending
	for {
		select {
		case <-timer.C:
			if second := s.hedge(ctx, c, state); second != nil {
				c.noteChosen(Hedged, second)
				s.counts.retries.With(string(retrier.CauseHedge)).Inc()
				running++
				go func() { ends <- s.send(ctx, c, second) }()
			}
		case last = <-ends:
			running--
			c.noteEnded(last.server, last)
			state.add(last.outcome)
			if running == 0 || last.passes(true) {
				return last
			}
		}
	}
}

func hedgeDelay(c *call, p *picked) time.Duration {
	byObjective := time.Duration(hedgeObjective * float64(c.route.TargetLatency))
	return max(byObjective, time.Duration(hedgeRatio*float64(p.expected)))
}

// hedge returns a second server if the budget and the route allow one.
func (s *Balancer) hedge(ctx context.Context, c *call, state *attempts) *picked {
	if state.sent+2 > c.route.MaxAttempts {
		return nil
	}
	p, _ := s.pick(ctx, c)
	if p == nil {
		return nil
	}
	if p.slowness > goodSlowness || p.busy >= p.Slots || !s.spend(c.service) {
		if p.conn != nil {
			p.State.Release(p.conn)
		}
		return nil
	}
	c.tried[p.ID] = true
	return p
}

// send sends one attempt and takes in what it shows of the server.
func (s *Balancer) send(ctx context.Context, c *call, p *picked) ending {
	now := time.Now()
	header := c.header.Clone()
	s.o.Headers.SetDeadline(header, c.deadline.Sub(now))
	header.Set(s.o.Headers.Instance, p.ID)
	p.State.Begin()
	defer p.State.End()
	answer, outcome := p.State.Send(ctx, p.conn, roundtripper.Request{
		Method: c.method, Host: c.host, Target: c.target, Header: header, Body: c.body, ID: c.id,
	})
	s.observe(ctx, c, p, now, answer, outcome)
	if ctx.Err() == nil {
		go s.checkDeath(c, p, outcome)
	}
	return ending{server: p.ID, answer: answer, outcome: outcome}
}

// observe takes in what an attempt shows of the server and the route.
func (s *Balancer) observe(ctx context.Context, c *call, p *picked, sent time.Time, a *roundtripper.Response, o retrier.Outcome) {
	now := time.Now()
	if a != nil && a.HasLoad {
		p.State.ObserveLoad(now, a.Load)
	}
	failed := false
	switch o.(type) {
	case retrier.Answered:
		failed = a.Status >= http.StatusInternalServerError
	case retrier.TimedOut:
		// A caller that left says nothing of the server.
		failed = ctx.Err() == context.DeadlineExceeded
		if ctx.Err() == context.Canceled {
			s.abandoned(c, p, now.Sub(sent))
			return
		}
	case retrier.Shed:
		if a.Status == http.StatusMisdirectedRequest {
			p.State.SetLeaving()
		}
		failed = true
	case retrier.NotSent:
		p.State.Eject(now)
		return
	default:
		failed = true
	}
	if failed {
		p.State.ObserveFailure(now)
	}
	ratio := s.update(c, p, now.Sub(sent), a, failed)
	s.o.OnAttempt(Attempt{
		Service: c.service, Version: p.Version, Route: c.route.Name, Server: p.ID, LatencyRatio: ratio, Failed: failed,
	})
}

// abandoned notes an attempt whose answer was no longer awaited. It took at least
// as long as it was awaited. A server that answers probes and hangs requests is
// known by nothing else.
func (s *Balancer) abandoned(c *call, p *picked, latency time.Duration) {
	ratio := float64(latency) / (float64(s.usual(c.route.Name).latency) * p.factor())
	if ratio >= hedgeRatio {
		p.State.ObserveFailure(time.Now())
	}
	s.o.OnAttempt(Attempt{Service: c.service, Version: p.Version, Route: c.route.Name, Server: p.ID, LatencyRatio: ratio})
}

// update learns what the route usually takes, and returns how this attempt
// compares with it.
func (s *Balancer) update(c *call, p *picked, latency time.Duration, a *roundtripper.Response, failed bool) (ratio float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.routes[c.route.Name]
	if !ok {
		u = &usual{}
		s.routes[c.route.Name] = u
	}
	ratio = float64(latency) / (float64(u.latency.Value()) * p.factor())
	if failed || a == nil {
		return ratio
	}
	u.latency.Add(time.Duration(float64(latency) / p.factor()))
	u.bytes += (float64(len(a.Body)) - u.bytes) / bytesLife
	return ratio
}
