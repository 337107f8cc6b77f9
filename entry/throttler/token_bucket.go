package throttler

import "time"

const (
	// tokenInterval is the longest time in which a holder of a rate limit gets a new
	// token, unless the whole limit is lower than one token in this time.
	tokenInterval = time.Second
	// bucketSize is the number of tokens that a holder can save.
	bucketSize = 2
)

// Holders returns how many of the entries share the rate limit of a server; the others
// send it nothing. If all entries shared a low limit, each would get a token only once in
// many seconds, but all of them could use one at the same moment. With this number, a
// window of T seconds has at most PerSecond * (T + 2) requests, or PerSecond * T + 2 if
// there is one holder.
func Holders(perSecond float64, entries int) int {
	return max(1, int(min(float64(entries), perSecond*tokenInterval.Seconds())))
}

// TokenBucket holds the tokens of one holder of a server's rate limit. The zero value is a
// full bucket. It is not safe for concurrent use.
type TokenBucket struct {
	// full is when the bucket is full, if no token is taken until then.
	full time.Time
}

// Ready reports whether there is a token. PerSecond is the rate that the server accepts
// from all holders together, which share it equally; at zero or less there is none.
func (b *TokenBucket) Ready(now time.Time, perSecond float64, holders int) bool {
	if perSecond <= 0 {
		return false
	}
	return b.full.Sub(now) <= (bucketSize-1)*interval(perSecond, holders)
}

// Take takes a token. It reports false if there is none.
func (b *TokenBucket) Take(now time.Time, perSecond float64, holders int) bool {
	if !b.Ready(now, perSecond, holders) {
		return false
	}
	if b.full.Before(now) {
		b.full = now
	}
	b.full = b.full.Add(interval(perSecond, holders))
	return true
}

// maxInterval bounds the time between two tokens, so that it can be added to a time.
const maxInterval = time.Hour

// interval returns the time in which a holder gets a new token.
func interval(perSecond float64, holders int) time.Duration {
	seconds := float64(max(1, holders)) / perSecond
	return time.Duration(min(seconds, maxInterval.Seconds()) * float64(time.Second))
}
