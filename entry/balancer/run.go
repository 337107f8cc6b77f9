package balancer

import (
	"context"
	"time"

	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
	"samphiremux/entry/roundtripper"
)

// run sends the request to backend servers until it is answered or refused.
func (s *Balancer) run(ctx context.Context, c *call) (*roundtripper.Response, *refuser.Refusal) {
	var state attempts
	s.earn(c.service)
	for {
		if s.quarantined(c) {
			return nil, state.refusal(refuser.Suspect)
		}
		p, reason := s.pick(ctx, c)
		if p == nil {
			return nil, state.refusal(reason)
		}
		c.noteChosen(Chosen, p)
		c.toStable()
		end := s.attempt(ctx, c, p, &state)
		switch {
		case end.passes(c.route.Idempotent):
			return end.answer, nil
		case ctx.Err() != nil || !time.Now().Before(c.deadline):
			return s.last(end, &state, refuser.DeadlinePassed)
		case state.mayHaveRun && !c.route.Idempotent:
			return s.last(end, &state, "")
		case state.sent >= c.route.MaxAttempts:
			return s.last(end, &state, refuser.BackendShedding)
		case reached(end.outcome) && !s.spend(c.service):
			return s.last(end, &state, refuser.RetryBudgetSpent)
		}
		s.counts.retries.With(causeOf(end)).Inc()
	}
}

// last ends a request that is not tried again: with the server's own failure if
// it gave one, or else with a refusal.
func (s *Balancer) last(end ending, state *attempts, reason refuser.Reason) (*roundtripper.Response, *refuser.Refusal) {
	if _, ok := end.outcome.(retrier.Answered); ok {
		return end.answer, nil
	}
	return nil, state.refusal(reason)
}

// reached tells whether an attempt arrived at a server, so that its repetition
// counts against the budget.
func reached(o retrier.Outcome) bool {
	_, ok := o.(retrier.NotSent)
	return !ok
}

// attempts is what was tried of one request.
type attempts struct {
	sent       int
	mayHaveRun bool
	last       retrier.Outcome
}

func (a *attempts) add(o retrier.Outcome) {
	if reached(o) {
		a.sent++
	}
	a.mayHaveRun = a.mayHaveRun || retrier.MayHaveRun(o)
	a.last = o
}

// refusal says not-run only if no attempt may have run.
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
