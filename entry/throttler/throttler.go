// Package throttler keeps what one entry adds within its part of a limit that holds
// over all entries together: retries of a service, and work of a cold server.
// The parts add up to the limit whatever the entries know of each other.
package throttler

import "time"

const (
	// windowBuckets is the number of buckets that a window is counted in.
	windowBuckets = 20
	// reserve is the part of a limit that is left unused, since entries that
	// start anew do not know what they sent before.
	reserve = 0.25
)

// RetryBudget is a sliding window over the first sends and the repetitions of one
// service at one entry. It is not safe for concurrent use.
type RetryBudget struct {
	width   time.Duration
	started time.Time
	at      int64
	firsts  [windowBuckets]int
	repeats [windowBuckets]int
}

// RetryLimit bounds the repetitions of a service over all entries together.
type RetryLimit struct {
	// Ratio is the repetitions for each first send, and Slack those beyond.
	Ratio, Slack float64
	// Entries is the number of entries that share the slack.
	Entries int
}

// NewRetryBudget returns a budget without sends.
func NewRetryBudget(now time.Time, window time.Duration) *RetryBudget {
	return &RetryBudget{width: window / windowBuckets, started: now}
}

// advance clears the buckets that have left the window.
func (b *RetryBudget) advance(now time.Time) int {
	at := int64(now.Sub(b.started) / b.width)
	for b.at < at {
		b.at++
		b.firsts[b.at%windowBuckets] = 0
		b.repeats[b.at%windowBuckets] = 0
		if at-b.at > windowBuckets {
			b.at = at - windowBuckets
		}
	}
	return int(at % windowBuckets)
}

// Deposit notes the first send of a request.
func (b *RetryBudget) Deposit(now time.Time) { b.firsts[b.advance(now)]++ }

// TryWithdraw takes one repetition, or reports that the entry's part is used up.
func (b *RetryBudget) TryWithdraw(now time.Time, l RetryLimit) bool {
	i := b.advance(now)
	firsts, repeats := 0, 0
	for j := range b.firsts {
		firsts += b.firsts[j]
		repeats += b.repeats[j]
	}
	allowed := (1 - reserve) * (l.Ratio*float64(firsts) + l.Slack/float64(max(1, l.Entries)))
	if float64(repeats+1) > allowed {
		return false
	}
	b.repeats[i]++
	return true
}

// RateLimiter spaces the requests that one entry sends to one cold server. It is not
// safe for concurrent use.
type RateLimiter struct{ next time.Time }

// Ready tells whether a request may be sent now.
func (r *RateLimiter) Ready(now time.Time) bool { return !now.Before(r.next) }

// Allow takes the right to send one request now. PerSecond is the rate that the
// server bears from all entries together.
func (r *RateLimiter) Allow(now time.Time, perSecond float64, entries int) bool {
	if perSecond <= 0 || now.Before(r.next) {
		return false
	}
	gap := float64(max(1, entries)) / perSecond
	r.next = now.Add(time.Duration(gap * float64(time.Second)))
	return true
}
