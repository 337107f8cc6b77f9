package forwarder

import (
	"context"
	"net/netip"
	"time"

	"samphiremux/entry/dispatcher"
	"samphiremux/entry/quarantiner"
	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
	"samphiremux/entry/sender"
)

const (
	// hedgeRetry is the time after which a hedge that found no free server or
	// no budget is tried again.
	hedgeRetry = 4 * time.Millisecond
	// deathCheck bounds the check whether a server that lost a request is down.
	deathCheck = 100 * time.Millisecond
	// silenceRatio is the age of an unanswered attempt, in mean latencies, from
	// which its connection and those beside it are closed when it is cancelled.
	silenceRatio = 8
)

// run sends the request to backend servers until it is answered or refused.
func (f *Forwarder) run(ctx context.Context, c *call) (answer *sender.Response, refusal *refuser.Refusal) {
	d := c.service.Dispatcher
	if !f.admitted(c) {
		return nil, notRun(refuser.Suspect)
	}
	defer func() { f.clear(c, answer != nil && answer.Status < 500) }()
	d.RecordFirstAttempt()
	state := retrier.Request{Idempotent: c.route.Idempotent, Deadline: c.deadline, OuterAttempt: c.outer}
	want := dispatcher.Request{Route: c.route.Name, Caller: c.caller, Importance: c.route.Importance, Deadline: c.deadline}
	for attempt := c.outer; ; attempt++ {
		ticket, none := d.Acquire(ctx, want)
		if none != nil {
			r := state.Refusal(none.Reason)
			return nil, &r
		}
		if reason, ok := f.mayBegin(c); !ok {
			ticket.Abandon()
			r := state.Refusal(reason)
			return nil, &r
		}
		end := f.attempt(ctx, c, ticket, attempt)
		for range end.hedges {
			state = state.WithHedge()
		}
		state = state.WithAttempt(end.outcome)
		switch dec := d.Decide(state, end.outcome).(type) {
		case retrier.Respond:
			return end.answer, nil
		case retrier.Refuse:
			return nil, &dec.Refusal
		case retrier.Retry:
			f.node.Metrics().Retried(dec.Cause)
			want.AvoidServer = end.server
		}
	}
}

// ending is how an attempt with its hedges ended.
type ending struct {
	answer  *sender.Response
	outcome retrier.Outcome
	server  string
	hedges  int
}

// attempt sends the request to one server, and to a second one if the first is
// slow and the route allows it.
func (f *Forwarder) attempt(ctx context.Context, c *call, t *dispatcher.Permit, number int) ending {
	if !c.route.Idempotent || c.outer > 1 {
		return f.send(ctx, c, t, number)
	}
	ends := make(chan ending, 2)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { ends <- f.send(ctx, c, t, number) }()
	timer := time.NewTimer(c.service.Dispatcher.HedgeDelay())
	defer timer.Stop()
	running, hedges := 1, 0
	for {
		select {
		case <-timer.C:
			if second, ok := f.hedge(c, t); ok {
				f.node.Metrics().Retried(retrier.CauseHedge)
				running, hedges = running+1, hedges+1
				go func() { ends <- f.send(ctx, c, second, number+1) }()
				continue
			}
			timer.Reset(hedgeRetry)
		case end := <-ends:
			running--
			if isAnswered(end.outcome) || running == 0 {
				end.hedges = hedges
				return end
			}
		}
	}
}

// hedge returns a permit for a second server, if the request is no suspect.
func (f *Forwarder) hedge(c *call, t *dispatcher.Permit) (second *dispatcher.Permit, ok bool) {
	second, ok = c.service.Dispatcher.AcquireHedge(t)
	if ok && !f.begin(c) {
		second.Abandon()
		return nil, false
	}
	return second, ok
}

// send sends one attempt and tells the dispatcher how it ended. The attempt must
// have begun.
func (f *Forwarder) send(ctx context.Context, c *call, t *dispatcher.Permit, number int) (end ending) {
	defer c.suspects(func(now time.Time, s *quarantiner.Suspects) { s.End(now, c.print) })
	declared := c.service.Declared
	srv := t.Server.Server
	msg := f.message(c, number)
	msg.Address = srv.Address
	msg.EchoRequired = declared.EchoesRequestID
	msg.SheddingStatuses = declared.SheddingStatuses
	msg.MaxConnections = max(1, srv.ConnectionLimit/max(1, t.Server.Holders))
	start := f.node.Now()
	end.server = srv.Name
	end.answer, end.outcome = f.servers.Send(ctx, msg)
	if end.answer != nil && end.answer.Draining {
		t.MarkDraining()
	}
	if ctx.Err() == context.Canceled && !isAnswered(end.outcome) {
		if f.node.Now().Sub(start) > silenceRatio*c.service.Dispatcher.MeanLatency() {
			f.servers.CloseIdle(srv.Address)
		}
		t.Abandon()
		return end
	}
	if _, late := end.outcome.(retrier.TimedOut); late {
		f.servers.CloseIdle(srv.Address)
	}
	if _, unconfirmed := end.outcome.(retrier.Unconfirmed); unconfirmed {
		f.servers.CloseIdle(srv.Address)
	}
	t.Done(end.outcome, isFailure(end.answer))
	f.checkDeath(c, srv.Address, end.outcome)
	return end
}

// isFailure tells whether an answer is an error of the server itself, and not a
// refusal that it passed on.
func isFailure(a *sender.Response) bool {
	return a != nil && a.Status >= 500 && a.Header.Get(refuser.RefusalHeader) == ""
}

func (c *call) suspects(f func(now time.Time, s *quarantiner.Suspects)) {
	c.service.Dispatcher.WithSuspects(f)
}

// admitted tells whether the request is no suspect, or may be tried as one.
func (f *Forwarder) admitted(c *call) (ok bool) {
	c.suspects(func(now time.Time, s *quarantiner.Suspects) { ok = s.Admit(now, c.print) })
	return ok
}

// mayBegin checks what may have changed while the request waited for a server.
func (f *Forwarder) mayBegin(c *call) (reason refuser.Reason, ok bool) {
	switch {
	case f.node.Isolated():
		return refuser.Isolated, false
	case !f.begin(c):
		return refuser.Suspect, false
	default:
		return "", true
	}
}

// begin tells whether the request may be sent to a server now.
func (f *Forwarder) begin(c *call) (ok bool) {
	c.suspects(func(now time.Time, s *quarantiner.Suspects) { ok = s.Begin(now, c.print) })
	return ok
}

// clear notes the end of a request, and clears a suspicion that its answer
// disproves.
func (f *Forwarder) clear(c *call, succeeded bool) {
	if !succeeded {
		return
	}
	cleared := false
	c.suspects(func(now time.Time, s *quarantiner.Suspects) { cleared = s.RecordSuccess(now, c.print) })
	if cleared {
		f.teller.NotifySuspect(c.service.Declared.Name, c.print, 0)
	}
}

// checkDeath finds whether the server died while it ran the request.
func (f *Forwarder) checkDeath(c *call, address netip.AddrPort, o retrier.Outcome) {
	switch o.(type) {
	case retrier.ConnectionLost, retrier.Truncated:
	default:
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), deathCheck)
	defer cancel()
	if f.servers.Reachable(ctx, address) {
		return
	}
	deaths := 0
	c.suspects(func(now time.Time, s *quarantiner.Suspects) { deaths = s.RecordCrash(now, c.print) })
	if deaths == 0 {
		return
	}
	f.log.Warn("Backend server died under a request.", "service", c.service.Declared.Name, "server", address, "deaths", deaths)
	f.teller.NotifySuspect(c.service.Declared.Name, c.print, deaths)
}
