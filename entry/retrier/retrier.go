// Package retrier decides what follows an attempt: pass its answer on, send the
// request again, or refuse it. A request is sent again only if it certainly did
// not run or its route is idempotent.
package retrier

import (
	"time"

	"samphiremux/entry/refuser"
)

const (
	// maxAttempts bounds the attempts of one request at one entry.
	maxAttempts = 4
	// startTokens lets a quiet service retry at all.
	startTokens = 10
	// maxTokens bounds the burst of retries after a quiet time.
	maxTokens = 50
)

// Outcome is how an attempt ended. The outcomes are Answered, Shed, NotSent,
// Unconfirmed, ConnectionLost, TimedOut, Truncated, Mismatched and Oversized.
type Outcome interface{ outcome() }

// Answered is a whole answer to the request.
type Answered struct{}

// Shed is an answer by which the server refused the request without running it.
type Shed struct{}

// NotSent is an attempt that never reached the server whole.
type NotSent struct{ Cause error }

// Unconfirmed is an attempt whose server never sent 100 Continue, so that the
// body was not sent.
type Unconfirmed struct{}

// ConnectionLost is an attempt whose connection broke before an answer.
type ConnectionLost struct{ Cause error }

// TimedOut is an attempt without an answer at its deadline.
type TimedOut struct{}

// Truncated is an answer that ended early.
type Truncated struct{ Cause error }

// Mismatched is an answer to another request.
type Mismatched struct{ Got string }

// Oversized is an answer that cannot be held and must not be streamed.
type Oversized struct{}

func (Answered) outcome()       {}
func (Shed) outcome()           {}
func (NotSent) outcome()        {}
func (Unconfirmed) outcome()    {}
func (ConnectionLost) outcome() {}
func (TimedOut) outcome()       {}
func (Truncated) outcome()      {}
func (Mismatched) outcome()     {}
func (Oversized) outcome()      {}

// MayHaveRun tells whether the request may have run in an attempt.
func MayHaveRun(o Outcome) bool {
	switch o.(type) {
	case Shed, NotSent, Unconfirmed:
		return false
	default:
		return true
	}
}

// Cause names why a request is sent again. It labels the retry counter.
type Cause string

// Causes of retries and hedges.
const (
	CauseShed           Cause = "shed"
	CauseNotSent        Cause = "not-sent"
	CauseUnconfirmed    Cause = "unconfirmed"
	CauseConnectionLost Cause = "connection-lost"
	CauseTruncated      Cause = "cut-answer"
	CauseMismatched     Cause = "crossed-answer"
	CauseHedge          Cause = "hedge"
	CauseForward        Cause = "forward"
	// CauseServerFailure is a failure that the server answered.
	CauseServerFailure Cause = "server-failure"
)

// Causes lists every cause in alphabetical order.
func Causes() []Cause {
	return []Cause{
		CauseConnectionLost, CauseMismatched, CauseTruncated, CauseForward, CauseHedge, CauseNotSent, CauseServerFailure, CauseShed,
		CauseUnconfirmed,
	}
}

func causeOf(o Outcome) (c Cause, unknown, notRun refuser.Reason) {
	switch o.(type) {
	case Shed:
		return CauseShed, "", refuser.BackendShedding
	case NotSent:
		return CauseNotSent, "", refuser.BackendUnreachable
	case Unconfirmed:
		return CauseUnconfirmed, "", refuser.BackendUnreachable
	case ConnectionLost:
		return CauseConnectionLost, refuser.ConnectionLost, ""
	case Truncated:
		return CauseTruncated, refuser.TruncatedResponse, ""
	case Mismatched:
		return CauseMismatched, refuser.MismatchedResponse, ""
	case Oversized:
		return "", refuser.ResponseTooLarge, ""
	default:
		return "", refuser.ResponseTimeout, ""
	}
}

// CauseOf names why an attempt that ended in o is followed by another. It is empty
// for an outcome that is not.
func CauseOf(o Outcome) Cause {
	cause, _, _ := causeOf(o)
	return cause
}

// Decision is what follows an attempt: Respond, Retry or Refuse.
type Decision interface{ decision() }

// Respond hands the answer to the caller.
type Respond struct{}

// Retry sends the request again to another server.
type Retry struct{ Cause Cause }

// Refuse ends the request without an answer.
type Refuse struct{ Refusal refuser.Refusal }

func (Respond) decision() {}
func (Retry) decision()   {}
func (Refuse) decision()  {}

// Request is what the decision depends on. It is immutable.
type Request struct {
	Idempotent bool
	Deadline   time.Time
	// OuterAttempt is the attempt number that an outer layer gave, from 1. Only
	// first attempts are repeated by inner layers, so that layers do not
	// multiply.
	OuterAttempt int
	attempts     int
	mayHaveRun   bool
}

// WithAttempt returns a copy after an attempt that ended in o.
func (r Request) WithAttempt(o Outcome) Request {
	r.attempts++
	r.mayHaveRun = r.mayHaveRun || MayHaveRun(o)
	return r
}

// WithHedge returns a copy after a second attempt was sent beside the first.
func (r Request) WithHedge() Request {
	r.attempts++
	r.mayHaveRun = true
	return r
}

// MayHaveRun tells whether any attempt so far may have run.
func (r Request) MayHaveRun() bool { return r.mayHaveRun }

// Refusal returns a refusal of the request for a reason that holds before an
// attempt. It says not-run only if no earlier attempt may have run.
func (r Request) Refusal(reason refuser.Reason) refuser.Refusal {
	if r.mayHaveRun {
		return refuser.NewOutcomeUnknown(refuser.ConnectionLost).WithDetail("then %s", reason)
	}
	return refuser.NewNotRun(reason)
}

// Decide returns what follows an attempt of r that ended in o. The request must
// already include the attempt.
func Decide(now time.Time, r Request, o Outcome, b *Budget) Decision {
	if _, ok := o.(Answered); ok {
		return Respond{}
	}
	cause, unknown, notRun := causeOf(o)
	ran := MayHaveRun(o)
	refuse := Refuse{Refusal: r.Refusal(notRun)}
	if ran {
		refuse = Refuse{Refusal: refuser.NewOutcomeUnknown(unknown)}
	}
	switch {
	case cause == "" || r.attempts >= maxAttempts || !now.Before(r.Deadline):
		return refuse
	case ran && (!r.Idempotent || r.OuterAttempt > 1):
		return refuse
	case reachedServer(o) && r.OuterAttempt > 1:
		return refuse
	case reachedServer(o) && !b.TryWithdraw():
		if !ran {
			refuse.Refusal = r.Refusal(refuser.RetryBudgetSpent)
		}
		return refuse
	}
	return Retry{Cause: cause}
}

// reachedServer tells whether the attempt cost the server work, so that its
// repetition counts against the budget.
func reachedServer(o Outcome) bool {
	switch o.(type) {
	case NotSent, Unconfirmed:
		return false
	default:
		return true
	}
}

// Budget bounds the retries and hedges of one service to a share of its first
// attempts. It is not safe for concurrent use.
type Budget struct {
	share  float64
	tokens float64
}

// NewBudget returns a budget of a share of first attempts.
func NewBudget(share float64) *Budget {
	b := &Budget{share: share}
	if share > 0 {
		b.tokens = startTokens
	}
	return b
}

// WithShare returns the budget with another share and the same tokens.
func (b *Budget) WithShare(share float64) *Budget {
	return &Budget{share: share, tokens: min(b.tokens, maxTokens)}
}

// Deposit notes a first attempt.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+b.share, maxTokens) }

// TryWithdraw takes one retry from the budget, or reports that it is spent.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
