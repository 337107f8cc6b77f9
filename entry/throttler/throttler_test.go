package throttler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"samphiremux/entry/throttler"
)

// TestBudgetOverAllEntries guards against a retry storm that comes about when the budgets
// of the entries add up to more than the limit. It draws first attempts and retries at
// several entries: in every window, the retries of all entries together must stay within
// the ratio and the slack, counted against the larger number of first attempts in that
// window and the one before.
func TestBudgetOverAllEntries(t *testing.T) {
	const ratio, slack, window = 0.2, 60.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 18).Draw(t, "entries")
		now := time.Unix(0, 0)
		budgets := make([]*throttler.RetryBudget, entries)
		for i := range budgets {
			budgets[i] = throttler.NewRetryBudget(now, window)
		}
		type event struct {
			at    time.Time
			retry bool
		}
		var seen []event
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 5, 50, 400, 6000}).Draw(t, "wait")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			if rapid.Bool().Draw(t, "first") {
				b.Deposit(now)
				seen = append(seen, event{now, false})
			} else if b.TryWithdraw(now, throttler.RetryLimit{Ratio: ratio, Slack: slack, Entries: entries}) {
				seen = append(seen, event{now, true})
			}
			firsts, retries, before := 0, 0, 0
			for _, e := range seen {
				age := now.Sub(e.at)
				switch {
				case age < window && e.retry:
					retries++
				case age < window:
					firsts++
				case age < 2*window && !e.retry:
					before++
				}
			}
			if allowed := ratio*float64(max(firsts, before)) + slack; float64(retries) > allowed {
				t.Fatalf("%d retries, want at most %v", retries, allowed)
			}
		}
	})
}

// TestColdRateOverAllEntries guards against overload of a cold server, which comes about
// when the rates of the entries add up to more than the server accepts. Every entry sends
// as often as its limiter allows; no second may have more requests than the bound.
func TestColdRateOverAllEntries(t *testing.T) {
	const perSecond, bound = 9.3, 9.3*1.5 + 5
	for _, entries := range []int{1, 2, 16, 18} {
		rates := make([]throttler.RateLimiter, entries)
		var sent []time.Duration
		for at := time.Duration(0); at < 5*time.Second; at += time.Millisecond {
			for i := range rates {
				if rates[i].Allow(time.Unix(0, 0).Add(at), perSecond, entries) {
					sent = append(sent, at)
				}
			}
		}
		for i, from := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at < from+time.Second {
					n++
				}
			}
			if float64(n) > bound {
				t.Fatalf("%d entries: %d requests in the second from %v, want at most %v", entries, n, from, bound)
			}
		}
	}
}

// TestColdRateWithoutRate checks that no request is sent to a server whose rate is zero.
func TestColdRateWithoutRate(t *testing.T) {
	is := is.New(t)
	var r throttler.RateLimiter
	is.True(!r.Allow(time.Unix(1, 0), 0, 1)) // a rate of zero allows no request
}
