package forwarder

import (
	"context"
	"net/netip"
	"time"

	"samphiremux/entry/dispatcher"
	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
	"samphiremux/entry/sender"
	"samphiremux/entry/suspector"
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
func (f *Forwarder) run(ctx context.Context, c *call) (answer *sender.Answer, refusal *refuser.Refusal) {
	d := c.service.Dispatcher
	if !f.startSuspect(c) {
		return nil, notRun(refuser.Suspect)
	}
	died := false
	defer func() { f.endSuspect(c, answer != nil && answer.Status < 500, died) }()
	d.Earn()
	state := retrier.Request{Idempotent: c.route.Idempotent, Deadline: c.deadline, OuterAttempt: c.outer}
	want := dispatcher.Request{Route: c.route.Name, Caller: c.caller, Importance: c.route.Importance, Deadline: c.deadline}
	for attempt := c.outer; ; attempt++ {
		ticket, none := d.Acquire(ctx, want)
		if none != nil {
			r := state.Refusal(none.Reason)
			return nil, &r
		}
		end := f.attempt(ctx, c, ticket, attempt)
		for range end.hedges {
			state = state.WithHedge()
		}
		state = state.WithAttempt(end.outcome)
		died = died || end.died
		switch dec := d.Decide(state, end.outcome).(type) {
		case retrier.Pass:
			return end.answer, nil
		case retrier.Refuse:
			return nil, &dec.Refusal
		case retrier.Retry:
			if end.died && !f.retrySuspect(c) {
				r := state.Refusal(refuser.Suspect)
				return nil, &r
			}
			f.node.Counters().Retried(dec.Cause)
			want.Avoid = end.server
		}
	}
}

// ending is how an attempt with its hedges ended.
type ending struct {
	answer  *sender.Answer
	outcome retrier.Outcome
	server  string
	hedges  int
	died    bool
}

// attempt sends the request to one server, and to a second one if the first is
// slow and the route allows it.
func (f *Forwarder) attempt(ctx context.Context, c *call, t *dispatcher.Ticket, number int) ending {
	delay, known := c.service.Dispatcher.HedgeDelay()
	if !c.route.Idempotent || !known || c.outer > 1 {
		return f.send(ctx, c, t, number)
	}
	ends := make(chan ending, 2)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { ends <- f.send(ctx, c, t, number) }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	running, hedges := 1, 0
	var failed ending
	for {
		select {
		case <-timer.C:
			if second, ok := c.service.Dispatcher.Hedge(t); ok {
				f.node.Counters().Retried(retrier.CauseHedge)
				running, hedges = running+1, hedges+1
				go func() { ends <- f.send(ctx, c, second, number+1) }()
				continue
			}
			timer.Reset(hedgeRetry)
		case end := <-ends:
			running--
			end.died = end.died || failed.died
			if isAnswered(end.outcome) || running == 0 {
				end.hedges = hedges
				return end
			}
			failed = end
		}
	}
}

// send sends one attempt and tells the dispatcher how it ended.
func (f *Forwarder) send(ctx context.Context, c *call, t *dispatcher.Ticket, number int) (end ending) {
	declared := c.service.Declared
	srv := t.Server.Server
	msg := f.message(c, number)
	msg.Address = srv.Address
	msg.EchoRequired = declared.EchoesRequestID
	msg.SheddingStatuses = declared.SheddingStatuses
	msg.Connections = max(1, srv.ConnectionLimit/max(1, t.Server.Holders))
	start := f.node.Now()
	end.server = srv.Name
	end.answer, end.outcome = f.servers.Send(ctx, msg)
	if end.answer != nil && end.answer.Draining {
		t.NoteDraining()
	}
	if ctx.Err() == context.Canceled && !isAnswered(end.outcome) {
		if f.node.Now().Sub(start) > silenceRatio*c.service.Dispatcher.Mean() {
			f.servers.CloseIdle(srv.Address)
		}
		t.Abandon()
		return end
	}
	if _, late := end.outcome.(retrier.Late); late {
		f.servers.CloseIdle(srv.Address)
	}
	if _, unconfirmed := end.outcome.(retrier.Unconfirmed); unconfirmed {
		f.servers.CloseIdle(srv.Address)
	}
	t.Done(end.outcome, isFailure(end.answer))
	end.died = f.checkDeath(c, srv.Address, end.outcome)
	return end
}

// isFailure tells whether an answer is an error of the server itself, and not a
// refusal that it passed on.
func isFailure(a *sender.Answer) bool {
	return a != nil && a.Status >= 500 && a.Header.Get(refuser.RefusalHeader) == ""
}

func (f *Forwarder) startSuspect(c *call) (ok bool) {
	c.service.Dispatcher.Suspects(func(now time.Time, s *suspector.Suspects) { ok = s.Start(now, c.print) })
	return ok
}

func (f *Forwarder) retrySuspect(c *call) (ok bool) {
	c.service.Dispatcher.Suspects(func(now time.Time, s *suspector.Suspects) { ok = s.Retry(now, c.print) })
	return ok
}

// endSuspect notes the end of a request, and clears a suspicion that its answer
// disproves.
func (f *Forwarder) endSuspect(c *call, succeeded, died bool) {
	cleared := false
	c.service.Dispatcher.Suspects(func(now time.Time, s *suspector.Suspects) {
		if succeeded {
			cleared = s.Succeeded(now, c.print)
			return
		}
		s.Ended(now, c.print)
	})
	if cleared && (died || succeeded) {
		f.teller.TellSuspect(c.service.Declared.Name, c.print, 0)
	}
}

// checkDeath finds whether the server died while it ran the request.
func (f *Forwarder) checkDeath(c *call, address netip.AddrPort, o retrier.Outcome) (died bool) {
	switch o.(type) {
	case retrier.Lost, retrier.Cut:
	default:
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), deathCheck)
	defer cancel()
	if f.servers.Reachable(ctx, address) {
		return false
	}
	deaths := 0
	c.service.Dispatcher.Suspects(func(now time.Time, s *suspector.Suspects) { deaths = s.Died(now, c.print) })
	if deaths == 0 {
		return false
	}
	f.log.Warn("Backend server died under a request.", "service", c.service.Declared.Name, "server", address, "deaths", deaths)
	f.teller.TellSuspect(c.service.Declared.Name, c.print, deaths)
	return true
}
