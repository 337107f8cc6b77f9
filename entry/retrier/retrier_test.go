package retrier_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
)

// TestDecide holds every outcome against the rule that only requests that did
// not run or are idempotent are sent again, and that not-run is true.
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
						t.Errorf("%T of a request that must not run twice is sent again", o)
					}
				case retrier.Refuse:
					if d.Refusal.Kind == refuser.NotRun && retrier.MayHaveRun(o) {
						t.Errorf("%T is refused as not run", o)
					}
				default:
					t.Errorf("%T leads to %T", o, d)
				}
			}
		}
	}
}

// TestNotRunAfterEarlierAttempt checks that a refusal is not called not-run if an
// earlier attempt may have run.
func TestNotRunAfterEarlierAttempt(t *testing.T) {
	is := is.New(t)
	r := retrier.Request{Idempotent: true}.WithAttempt(retrier.ConnectionLost{})
	is.Equal(r.Refusal(refuser.QueueFull).Kind, refuser.OutcomeUnknown)
	is.Equal(retrier.Request{}.WithAttempt(retrier.Shed{}).Refusal(refuser.QueueFull).Kind, refuser.NotRun)
}
