package retrier_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
)

// TestDecide guards against retries that run a request twice, and against
// refusals as not-run of a request that may have run. It tries each outcome on
// idempotent and other routes, for first and later attempts of an outer layer.
func TestDecide(t *testing.T) {
	now := time.Unix(100, 0)
	cause := errors.New("broken")
	outcomes := []retrier.Outcome{
		retrier.Shed{},
		retrier.NotSent{Cause: cause},
		retrier.Unconfirmed{},
		retrier.ConnectionLost{Cause: cause},
		retrier.TimedOut{},
		retrier.Truncated{Cause: cause},
		retrier.Mismatched{},
		retrier.Oversized{},
	}
	for _, o := range outcomes {
		for _, idempotent := range []bool{false, true} {
			for _, outer := range []int{1, 2} {
				r := retrier.Request{Idempotent: idempotent, Deadline: now.Add(time.Second), OuterAttempt: outer}.WithAttempt(o)
				switch d := retrier.Decide(now, r, o, retrier.NewBudget(0.1)).(type) {
				case retrier.Retry:
					if retrier.MayHaveRun(o) && !idempotent {
						t.Errorf("%T: retried a request that may have run and is not idempotent", o)
					}
				case retrier.Refuse:
					if d.Refusal.Kind == refuser.NotRun && retrier.MayHaveRun(o) {
						t.Errorf("%T: refused as not-run although the request may have run", o)
					}
				default:
					t.Errorf("%T: unexpected decision %T", o, d)
				}
			}
		}
	}
}

// TestNotRunAfterEarlierAttempt guards against a refusal as not-run after an
// earlier attempt may have run, as when a connection is lost and the retry
// finds the queue full.
func TestNotRunAfterEarlierAttempt(t *testing.T) {
	is := is.New(t)
	r := retrier.Request{Idempotent: true}.WithAttempt(retrier.ConnectionLost{})
	is.Equal(r.Refusal(refuser.QueueFull).Kind, refuser.OutcomeUnknown)
	is.Equal(retrier.Request{}.WithAttempt(retrier.Shed{}).Refusal(refuser.QueueFull).Kind, refuser.NotRun)
}
