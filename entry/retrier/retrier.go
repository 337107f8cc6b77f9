// Package retrier decides what follows an attempt: respond to the caller, retry
// the request, or refuse it. A request is retried only if it certainly did not
// run or its route is idempotent.
package retrier

import (
	"time"

	"samphiremux/entry/refuser"
)

const (
	// maxAttempts is the maximum number of attempts of one request at one
	// entry.
	maxAttempts = 4
	// initialTokens allows retries for a service with too little traffic to
	// earn tokens.
	initialTokens = 10
	// maxTokens is the capacity of the budget. It bounds the burst of retries
	// after a period without retries.
	maxTokens = 50
)

// Outcome is the result of an attempt: Answered, Shed, NotSent, Unconfirmed,
// ConnectionLost, TimedOut, Truncated, Mismatched or Oversized.
type Outcome interface{ outcome() }

// Answered is a complete response to the request.
type Answered struct{}

// Shed is a response by which the server refused the request without running
// it.
type Shed struct{}

// NotSent is an attempt whose request did not reach the server completely.
type NotSent struct{ Cause error }

// Unconfirmed is an attempt whose server did not send 100 Continue, so that the
// body was not sent.
type Unconfirmed struct{}

// ConnectionLost is an attempt whose connection broke before a response.
type ConnectionLost struct{ Cause error }

// TimedOut is an attempt without a response at its deadline.
type TimedOut struct{}

// Truncated is a response that ended before it was complete.
type Truncated struct{ Cause error }

// Mismatched is a response to another request.
type Mismatched struct{ Got string }

// Oversized is a response that is too large to buffer and must not be streamed.
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

// MayHaveRun reports whether the request may have run in an attempt with this
// outcome.
func MayHaveRun(o Outcome) bool {
	switch o.(type) {
	case Shed, NotSent, Unconfirmed:
		return false
	default:
		return true
	}
}

// Cause is the reason for a retry or a hedge. It labels the retry counter.
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
	// CauseServerFailure is an error that the server returned.
	CauseServerFailure Cause = "server-failure"
)

// Causes returns all causes, in alphabetical order of their values.
func Causes() []Cause {
	return []Cause{
		CauseConnectionLost, CauseMismatched, CauseTruncated, CauseForward, CauseHedge, CauseNotSent, CauseServerFailure, CauseShed,
		CauseUnconfirmed,
	}
}

// classify returns the cause of a retry after an attempt that ended in o, and
// the reasons for a refusal: unknown if the request may have run, notRun if it
// did not. The cause is empty if such an attempt is never retried.
func classify(o Outcome) (c Cause, unknown, notRun refuser.Reason) {
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

// CauseOf returns the cause of a retry after an attempt that ended in o. It is
// empty if such an attempt is never retried.
func CauseOf(o Outcome) Cause {
	cause, _, _ := classify(o)
	return cause
}

// Decision is what follows an attempt: Respond, Retry or Refuse.
type Decision interface{ decision() }

// Respond returns the response to the caller.
type Respond struct{}

// Retry sends the request again to another server.
type Retry struct{ Cause Cause }

// Refuse ends the request with a refusal.
type Refuse struct{ Refusal refuser.Refusal }

func (Respond) decision() {}
func (Retry) decision()   {}
func (Refuse) decision()  {}

// Request is the state of a request that a decision depends on. It is
// immutable.
type Request struct {
	Idempotent bool
	Deadline   time.Time
	// OuterAttempt is the attempt number that an outer layer gave, starting at
	// 1. Inner layers retry later attempts only if they did not reach a server,
	// so that the retries of several layers do not multiply.
	OuterAttempt int
	attempts     int
	mayHaveRun   bool
}

// WithAttempt returns a copy that includes an attempt that ended in o.
func (r Request) WithAttempt(o Outcome) Request {
	r.attempts++
	r.mayHaveRun = r.mayHaveRun || MayHaveRun(o)
	return r
}

// WithHedge returns a copy that includes a hedge, which counts as an attempt
// that may have run.
func (r Request) WithHedge() Request {
	r.attempts++
	r.mayHaveRun = true
	return r
}

// MayHaveRun reports whether any attempt so far may have run.
func (r Request) MayHaveRun() bool { return r.mayHaveRun }

// Refusal returns a refusal for a reason that arose before a further attempt
// was sent. It is not-run only if no earlier attempt may have run.
func (r Request) Refusal(reason refuser.Reason) refuser.Refusal {
	if r.mayHaveRun {
		return refuser.NewOutcomeUnknown(refuser.ConnectionLost).WithDetail("then %s", reason)
	}
	return refuser.NewNotRun(reason)
}

// Decide returns what follows an attempt of r that ended in o. r must already
// include the attempt. A retry of an attempt that reached a server is charged
// to b.
func Decide(now time.Time, r Request, o Outcome, b *Budget) Decision {
	if _, ok := o.(Answered); ok {
		return Respond{}
	}
	cause, unknown, notRun := classify(o)
	mayHaveRun := MayHaveRun(o)
	refuse := Refuse{Refusal: r.Refusal(notRun)}
	if mayHaveRun {
		refuse = Refuse{Refusal: refuser.NewOutcomeUnknown(unknown)}
	}
	switch {
	case cause == "" || r.attempts >= maxAttempts || !now.Before(r.Deadline):
		return refuse
	case mayHaveRun && (!r.Idempotent || r.OuterAttempt > 1):
		return refuse
	case reachedServer(o) && r.OuterAttempt > 1:
		return refuse
	case reachedServer(o) && !b.TryWithdraw():
		if !mayHaveRun {
			refuse.Refusal = r.Refusal(refuser.RetryBudgetSpent)
		}
		return refuse
	}
	return Retry{Cause: cause}
}

// reachedServer reports whether the attempt cost the server work, so that its
// retry is charged to the budget.
func reachedServer(o Outcome) bool {
	switch o.(type) {
	case NotSent, Unconfirmed:
		return false
	default:
		return true
	}
}

// Budget is a token bucket that limits the retries and hedges of one service to
// a share of its first attempts. It is not safe for concurrent use.
type Budget struct {
	share  float64
	tokens float64
}

// NewBudget returns a budget that earns share tokens per first attempt. A
// budget with a share of zero allows no retries.
func NewBudget(share float64) *Budget {
	b := &Budget{share: share}
	if share > 0 {
		b.tokens = initialTokens
	}
	return b
}

// WithShare returns a budget with another share and the same tokens.
func (b *Budget) WithShare(share float64) *Budget {
	return &Budget{share: share, tokens: min(b.tokens, maxTokens)}
}

// Deposit adds the share of one first attempt.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+b.share, maxTokens) }

// TryWithdraw takes one token for a retry or a hedge. It reports false if the
// budget is spent.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
