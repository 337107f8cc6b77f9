package forwarder

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"samphiremux/entry/capper"
	"samphiremux/entry/dispatcher"
	"samphiremux/entry/quarantiner"
	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
	"samphiremux/entry/sender"
)

const (
	// hedgeRetryInterval is the wait before a hedge is attempted again after no
	// server was free or the retry budget was spent.
	hedgeRetryInterval = 4 * time.Millisecond
	// crashCheckTimeout bounds the check whether a server that lost a request
	// has crashed.
	crashCheckTimeout = 100 * time.Millisecond
	// unresponsiveRatio is the age of an unanswered attempt, in multiples of
	// the mean latency of the service, above which its cancellation also closes
	// the idle connections to the server.
	unresponsiveRatio = 8
)

// run sends the request to backend servers, with retries and hedges, until one
// answers or the request is refused.
func (f *Forwarder) run(ctx context.Context, c *call) (response *sender.Response, refusal *refuser.Refusal) {
	d := c.service.Dispatcher
	if !f.admitted(c) {
		return nil, notRun(refuser.Suspect)
	}
	defer func() { f.recordSuccess(c, response != nil && response.Status < 500) }()
	d.RecordFirstAttempt()
	state := retrier.Request{Idempotent: c.route.Idempotent, Deadline: c.deadline, OuterAttempt: c.outerAttempt}
	acquire := dispatcher.Request{Route: c.route.Name, Caller: c.caller, Importance: c.route.Importance, Deadline: c.deadline}
	passed := false
	for attempt := c.outerAttempt; ; attempt++ {
		if d.ContactLost() && !passed {
			response, refusal = f.passOn(ctx, c, state, attempt)
			if refusal == nil || refusal.Reason != refuser.UnreachableServers || !d.Answering() {
				return response, refusal
			}
			// Nobody else takes it, but open connections may still work.
			passed, acquire.NoWait = true, true
		}
		permit, rejection := d.Acquire(ctx, acquire)
		if rejection != nil && rejection.Reason == refuser.UnreachableServers && !passed {
			return f.passOn(ctx, c, state, attempt)
		}
		if rejection != nil {
			r := state.Refusal(rejection.Reason).WithRetryAt(rejection.RetryAt)
			return nil, &r
		}
		if reason, ok := f.mayBegin(c); !ok {
			permit.Abandon()
			r := state.Refusal(reason)
			return nil, &r
		}
		result := f.attempt(ctx, c, permit, attempt)
		for range result.hedges {
			state = state.WithHedge()
		}
		state = state.WithAttempt(result.outcome)
		switch dec := d.Decide(state, result.outcome).(type) {
		case retrier.Respond:
			return result.response, nil
		case retrier.Refuse:
			if dec.Refusal.Reason == refuser.BackendUnreachable && !passed {
				response, refusal = f.passOn(ctx, c, state, attempt+1)
				if refusal == nil || refusal.Reason != refuser.UnreachableServers {
					return response, refusal
				}
			}
			return nil, &dec.Refusal
		case retrier.Retry:
			f.node.Metrics().Retried(dec.Cause)
			acquire.AvoidServer = result.server
		}
	}
}

// attemptResult is the result of an attempt together with its hedges.
type attemptResult struct {
	response *sender.Response
	outcome  retrier.Outcome
	server   string
	hedges   int
	// index is the position among the attempt and its hedges.
	index int
}

// attempt sends the request to one server, and hedges it at a second server if
// the first is slow. Only first attempts on idempotent routes are hedged. It
// returns the first response, or the last failure if there is none.
func (f *Forwarder) attempt(ctx context.Context, c *call, permit *dispatcher.Permit, number int) attemptResult {
	if !c.route.Idempotent || c.outerAttempt > 1 {
		return f.send(ctx, c, permit, number)
	}
	results := make(chan attemptResult, 2)
	var cancels []context.CancelFunc
	start := func(permit *dispatcher.Permit, number int) {
		index := len(cancels)
		ctx, cancel := context.WithCancel(ctx)
		cancels = append(cancels, cancel)
		go func() {
			result := f.send(ctx, c, permit, number)
			result.index = index
			results <- result
		}()
	}
	start(permit, number)
	timer := time.NewTimer(c.service.Dispatcher.HedgeDelay())
	defer timer.Stop()
	running, hedges := 1, 0
	for {
		select {
		case <-timer.C:
			if second, ok := f.hedge(c, permit); ok {
				f.node.Metrics().Retried(retrier.CauseHedge)
				running, hedges = running+1, hedges+1
				start(second, number+1)
				continue
			}
			timer.Reset(hedgeRetryInterval)
		case result := <-results:
			running--
			if isAnswered(result.outcome) || running == 0 {
				result.hedges = hedges
				for i, cancel := range cancels {
					if i == result.index {
						cancelAfter(result.response, cancel)
						continue
					}
					cancel()
				}
				return result
			}
		}
	}
}

// hedge acquires a permit for a second server. It reports false if no
// permit is available, or if the request has become a suspect that must not run
// now.
func (f *Forwarder) hedge(c *call, permit *dispatcher.Permit) (second *dispatcher.Permit, ok bool) {
	second, ok = c.service.Dispatcher.AcquireHedge(permit)
	if ok && !f.beginAttempt(c) {
		second.Abandon()
		return nil, false
	}
	return second, ok
}

// send sends one attempt and reports its outcome to the dispatcher. The caller
// must have begun the attempt with beginAttempt; send ends it.
func (f *Forwarder) send(ctx context.Context, c *call, permit *dispatcher.Permit, number int) (result attemptResult) {
	defer c.withSuspects(func(now time.Time, s *quarantiner.Suspects) { s.End(now, c.fingerprint) })
	declared := c.service.Spec
	srv := permit.Server.Server
	msg := f.newRequest(c, number)
	msg.Address = srv.Address
	msg.EchoRequired = declared.EchoesRequestID
	msg.SheddingStatuses = declared.SheddingStatuses
	msg.Lost = c.service.Dispatcher.Silent()
	msg.MaxConnections = max(1, srv.ConnectionLimit/max(1, permit.Server.Holders))
	msg.OnHead = func(h sender.Head) { f.logHead(srv.Name, permit.ObserveHead(h)) }
	start := f.node.Now()
	result.server = srv.Name
	result.response, result.outcome = f.servers.Send(ctx, msg)
	ended := f.node.Now()
	if result.response != nil {
		result.response.Header.Set(PassedHeader, "true")
		permit.ObserveRateLimit(result.response.RateLimit)
	}
	if ctx.Err() == context.Canceled && !isAnswered(result.outcome) {
		if f.node.Now().Sub(start) > unresponsiveRatio*c.service.Dispatcher.MeanLatency() {
			f.servers.CloseIdle(srv.Address)
		}
		permit.Abandon()
		return result
	}
	if _, late := result.outcome.(retrier.TimedOut); late {
		f.servers.CloseIdle(srv.Address)
	}
	if _, unconfirmed := result.outcome.(retrier.Unconfirmed); unconfirmed {
		f.servers.CloseIdle(srv.Address)
	}
	if notSent, ok := result.outcome.(retrier.NotSent); ok && errors.Is(notSent.Cause, capper.ErrTooManyConnections) {
		// The bound of this entry says nothing about the server.
		permit.Abandon()
		return result
	}
	permit.Done(result.outcome, isFailure(result.response))
	f.detectCrash(c, srv.Address, quarantiner.Attempt{Begun: start, Ended: ended}, result.outcome)
	return result
}

// logHead logs what a backend server said of itself in a response, if that is news.
func (f *Forwarder) logHead(server string, news sender.Head) {
	if news.Draining {
		f.log.Info("Backend server is leaving by its own response.", "server", server)
	}
	switch {
	case news.Pause.Rejected != "":
		f.log.Warn("Pause of a backend server does not hold as stated.", "server", server, "stated", news.Pause.Rejected, "until", news.Pause.Until)
	case !news.Pause.Until.IsZero():
		f.log.Info("Backend server asks for a pause.", "server", server, "until", news.Pause.Until)
	}
}

// isFailure reports whether a response is an error of the server itself, and
// not a refusal that the server relayed.
func isFailure(a *sender.Response) bool {
	return a != nil && a.Status >= 500 && a.Header.Get(refuser.RefusalHeader) == ""
}

// withSuspects runs f with the suspects of the call's service.
func (c *call) withSuspects(f func(now time.Time, s *quarantiner.Suspects)) {
	c.service.Dispatcher.WithSuspects(f)
}

// admitted reports whether the request is no suspect, or may run as the trial
// of one.
func (f *Forwarder) admitted(c *call) (ok bool) {
	c.withSuspects(func(now time.Time, s *quarantiner.Suspects) { ok = s.Admit(now, c.fingerprint) })
	return ok
}

// mayBegin repeats the checks whose result may have changed while the request
// waited for a permit. If it reports true, the attempt has begun.
func (f *Forwarder) mayBegin(c *call) (reason refuser.Reason, ok bool) {
	switch {
	case f.node.Isolated():
		return refuser.Isolated, false
	case !f.beginAttempt(c):
		return refuser.Suspect, false
	default:
		return "", true
	}
}

// beginAttempt reports whether the request may be sent to a server now. If so,
// the attempt counts as running until send has ended it.
func (f *Forwarder) beginAttempt(c *call) (ok bool) {
	c.withSuspects(func(now time.Time, s *quarantiner.Suspects) { ok = s.Begin(now, c.fingerprint) })
	return ok
}

// recordSuccess records that a request succeeded, and does nothing if it did
// not. If the success clears the request of suspicion, the other entries are
// notified.
func (f *Forwarder) recordSuccess(c *call, succeeded bool) {
	if !succeeded {
		return
	}
	cleared := false
	c.withSuspects(func(now time.Time, s *quarantiner.Suspects) { cleared = s.RecordSuccess(now, c.fingerprint) })
	if cleared {
		f.notifier.NotifySuspect(c.service.Spec.Name, c.fingerprint, 0, quarantiner.Attempt{})
	}
}

// detectCrash checks after a lost connection or a truncated response whether
// the server crashed while it ran the request. If so, the request becomes a
// suspect and the other entries are notified.
func (f *Forwarder) detectCrash(c *call, address netip.AddrPort, attempt quarantiner.Attempt, o retrier.Outcome) {
	switch o.(type) {
	case retrier.ConnectionLost, retrier.Truncated:
	default:
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if f.servers.Reachable(ctx, address) {
		return
	}
	if !f.reaches(context.Background(), c.service, address) {
		return
	}
	deaths := 0
	c.withSuspects(func(now time.Time, s *quarantiner.Suspects) { deaths = s.RecordCrash(now, c.fingerprint, attempt) })
	if deaths == 0 {
		return
	}
	f.log.Warn("Backend server died under a request.", "service", c.service.Spec.Name, "server", address, "deaths", deaths)
	f.notifier.NotifySuspect(c.service.Spec.Name, c.fingerprint, deaths, attempt)
}
