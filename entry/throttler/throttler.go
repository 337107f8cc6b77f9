// Package throttler enforces the entry's share of limits that hold for all entries
// together: the retry budget of a service, the request rate of a cold server during slow
// start, and the rate limit that a server states. The shares add up to the limit whatever
// the entries know of each other.
package throttler

import (
	"math"
	"time"
)

const (
	// windowBuckets is the number of buckets into which the sliding window is divided.
	windowBuckets = 20
	// reserve is the fraction of a limit that is left unused, since entries that
	// restart do not know what they sent before.
	reserve = 0.25
)

// RetryBudget counts the first attempts and the retries of one service at one entry in a
// sliding window. It is not safe for concurrent use.
type RetryBudget struct {
	bucketWidth time.Duration
	started     time.Time
	current     int64 // number of the current bucket, counted from started
	firsts      [windowBuckets]int
	// retries and wanted hold the retries, and those that were asked for, by class.
	retries [windowBuckets][RetryClasses]int
	wanted  [windowBuckets][RetryClasses]int
}

// RetryClasses is the number of classes of urgency among which a retry budget is divided.
const RetryClasses = 3

// RetryLimit bounds the retries of a service by all entries together, within the window
// of the budget.
type RetryLimit struct {
	// Ratio is the number of retries allowed for each first attempt, and Slack the
	// number allowed in addition.
	Ratio, Slack float64
	// Entries is the number of entries that share the slack.
	Entries int
	// Class is the urgency of the request, from 0, the highest, to RetryClasses - 1. What
	// more urgent classes asked for within the window is left to them.
	Class int
}

// NewRetryBudget returns a budget with an empty window of the given length.
func NewRetryBudget(now time.Time, window time.Duration) *RetryBudget {
	return &RetryBudget{bucketWidth: window / windowBuckets, started: now}
}

// advance moves the window to the given time, clears the buckets that it reuses, and
// returns the index of the current bucket.
func (b *RetryBudget) advance(now time.Time) int {
	current := int64(now.Sub(b.started) / b.bucketWidth)
	for b.current < current {
		b.current++
		b.firsts[b.current%windowBuckets] = 0
		b.retries[b.current%windowBuckets] = [RetryClasses]int{}
		b.wanted[b.current%windowBuckets] = [RetryClasses]int{}
		if current-b.current > windowBuckets {
			b.current = current - windowBuckets
		}
	}
	return int(current % windowBuckets)
}

// Deposit records the first attempt of a request.
func (b *RetryBudget) Deposit(now time.Time) { b.firsts[b.advance(now)]++ }

// TryWithdraw records one retry and reports true, or reports false if the entry's share
// of the budget is used up. When most requests need a retry, as when servers refuse them at
// random, the budget is short for the less urgent first.
func (b *RetryBudget) TryWithdraw(now time.Time, l RetryLimit) bool {
	i := b.advance(now)
	b.wanted[i][l.Class]++
	firsts, retries, claimed := 0, 0, 0
	for j := range b.firsts {
		firsts += b.firsts[j]
		for class := range RetryClasses {
			retries += b.retries[j][class]
			if class < l.Class {
				claimed += b.wanted[j][class]
			} else {
				claimed += b.retries[j][class]
			}
		}
	}
	allowed := (1 - reserve) * (l.Ratio*float64(firsts) + l.Slack/float64(max(1, l.Entries)))
	if float64(max(retries, claimed)+1) > allowed {
		return false
	}
	b.retries[i][l.Class]++
	return true
}

// ColdHolders returns how many of the entries share the rate of a cold server; the others
// send it nothing. It is the smallest number of holders of which each sends one request in a
// second at most, so that a second has no more requests than that, whenever they come. That
// is well below what a server bears, since entries may disagree on who the holders are.
func ColdHolders(perSecond float64, entries int) int {
	return max(1, int(min(float64(entries), perSecond+1)))
}

// RateLimiter enforces a minimum interval between the requests that one entry sends to one
// cold server. The zero value is ready to use. It is not safe for concurrent use.
type RateLimiter struct{ next time.Time }

// Ready reports whether a request may be sent now. In contrast to Allow it reserves
// nothing.
func (r *RateLimiter) Ready(now time.Time) bool { return !now.Before(r.next) }

// Allow reports whether a request may be sent now, and if so reserves the interval up to
// the next one. PerSecond is the rate that the server accepts from all holders together,
// which share it equally; at zero or less nothing is allowed.
func (r *RateLimiter) Allow(now time.Time, perSecond float64, holders int) bool {
	if perSecond <= 0 || now.Before(r.next) {
		return false
	}
	r.next = now.Add(coldInterval(perSecond, max(1, holders)))
	return true
}

// coldInterval returns the time between two requests of one holder. A few holders send a
// whole number of requests in a second each, so that together they send no more than
// perSecond, whenever each of them begins.
func coldInterval(perSecond float64, holders int) time.Duration {
	if each := math.Floor(perSecond / float64(holders)); each >= 1 {
		return time.Duration(math.Ceil(float64(time.Second) / each))
	}
	return interval(perSecond, holders)
}
