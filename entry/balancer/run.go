package balancer

import (
	"context"
	"time"

	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
	"samphiremux/entry/roundtripper"
)

// run sends the request to backend servers until it is answered or refused.
func (b *Balancer) run(ctx context.Context, c *call) (*roundtripper.Response, *refuser.Refusal) {
	var state attempts
	if c.hop != nil {
		state.sent = c.hop.attempts
	}
	defer b.takeTurn(c)()
	deposited := false
	for {
		if refusal := b.reauthorize(c, &state); refusal != nil {
			return nil, refusal
		}
		switch b.admissionOf(c) {
		case ordinaryRequest:
		case trialRequest:
			here, resp, refusal := b.runTrial(ctx, c, &state)
			if !here {
				return resp, refusal
			}
		default:
			return nil, state.refusal(refuser.Suspect)
		}
		p, reason := b.pickInTurn(ctx, c)
		if p == nil {
			b.observePick(c, reason)
			b.observeShortage(c.service, reason)
			if !b.mayDelegate(c, reason) {
				return nil, state.refusal(reason)
			}
			resp, refusal, retry := b.delegate(ctx, c, &state, reason)
			if !retry {
				return resp, refusal
			}
			continue
		}
		if ctx.Err() != nil {
			p.release()
			return nil, state.refusal(refuser.DeadlinePassed)
		}
		if refusal := b.reauthorize(c, &state); refusal != nil {
			p.release()
			return nil, refusal
		}
		if !deposited {
			// The entry that a request is passed on to counts it there.
			b.deposit(c.service)
			b.observeHedgeable(c.service)
			deposited = true
		}
		b.observeChosen(c, Chosen, p)
		c.useStableVersion()
		c.tellAttempts(state.sent + 1)
		result := b.attempt(ctx, c, p, &state)
		b.capacityFreed(c.service)
		c.backend = result.backend
		switch {
		case result.isFinal(c.route.Idempotent):
			return result.response, nil
		case ctx.Err() != nil || !time.Now().Before(c.deadline):
			return b.finish(result, &state, refuser.DeadlinePassed)
		case state.mayHaveRun && !c.route.Idempotent:
			return b.finish(result, &state, "")
		case c.trial && state.mayHaveRun:
			return b.finish(result, &state, refuser.Suspect)
		case state.sent >= c.route.MaxAttempts:
			return b.finish(result, &state, refuser.BackendShedding)
		case reachedServer(result.outcome) && !b.tryWithdraw(c):
			return b.finish(result, &state, refuser.RetryBudgetSpent)
		}
		if _, shed := result.outcome.(retrier.Shed); shed {
			b.observeShortage(c.service, refuser.BackendShedding)
		}
		b.metrics.retries.With(causeOf(result)).Inc()
		result.discard()
	}
}

// finish ends a request that is not retried: with the server's own error
// response if there is one, or else with a refusal.
func (b *Balancer) finish(result attemptResult, state *attempts, reason refuser.Reason) (*roundtripper.Response, *refuser.Refusal) {
	if _, ok := result.outcome.(retrier.Answered); ok {
		return result.response, nil
	}
	return nil, state.refusal(reason)
}

// reachedServer reports whether an attempt reached a server, so that its retry
// counts against the budget.
func reachedServer(o retrier.Outcome) bool {
	_, ok := o.(retrier.NotSent)
	return !ok
}

// attempts is the record of one request's attempts.
type attempts struct {
	sent       int
	mayHaveRun bool
	last       retrier.Outcome
}

func (a *attempts) add(o retrier.Outcome) {
	if reachedServer(o) {
		a.sent++
	}
	a.mayHaveRun = a.mayHaveRun || retrier.MayHaveRun(o)
	if a.mayHaveRun == retrier.MayHaveRun(o) {
		// An attempt that did not run says nothing about an earlier one.
		a.last = o
	}
}

// refusal returns a refusal for the reason. It is not-run only if no attempt
// may have run, and otherwise outcome-unknown with the reason of the last
// attempt that may have.
func (a *attempts) refusal(reason refuser.Reason) *refuser.Refusal {
	if !a.mayHaveRun {
		if reason == "" {
			reason = refuser.BackendUnreachable
		}
		return notRun(reason)
	}
	unknown := refuser.ConnectionLost
	switch a.last.(type) {
	case retrier.TimedOut:
		unknown = refuser.ResponseTimeout
	case retrier.Truncated:
		unknown = refuser.TruncatedResponse
	case retrier.Mismatched:
		unknown = refuser.MismatchedResponse
	}
	r := refuser.NewOutcomeUnknown(unknown)
	return &r
}
