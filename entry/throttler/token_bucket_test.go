package throttler_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"samphiremux/entry/throttler"
)

// TestRateLimitOverAllHolders guards against holders of a server's rate limit that together
// send more than the server bears: in no 4 s more than 1.5 times the limit and 5 requests.
func TestRateLimitOverAllHolders(t *testing.T) {
	const window = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 100).Draw(t, "entries")
		perSecond := rapid.Float64Range(0, 60).Draw(t, "per second")
		holders := throttler.Holders(perSecond, entries)
		if holders < 1 || holders > entries {
			t.Fatalf("%d holders of %d entries", holders, entries)
		}
		buckets := make([]throttler.TokenBucket, holders)
		now := time.Unix(0, 0)
		var sent []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "bursts") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 50, 400, 900, 3000}).Draw(t, "pause")) * time.Millisecond)
			for i := range buckets {
				for buckets[i].Take(now, perSecond, holders) {
					sent = append(sent, now)
				}
			}
			n := 0
			for _, at := range sent {
				if now.Sub(at) < window {
					n++
				}
			}
			if allowed := 1.5*perSecond*window.Seconds() + 5; float64(n) > allowed {
				t.Fatalf("%d requests in %v at %v a second, want at most %v", n, window, perSecond, allowed)
			}
		}
	})
}

// TestTokensAtExtremeLimits checks limits that are far from what servers usually state.
func TestTokensAtExtremeLimits(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	var none, rare, plenty throttler.TokenBucket
	is.True(!none.Take(now, 0, throttler.Holders(0, 16))) // a limit of zero allows no request
	is.Equal(throttler.Holders(math.SmallestNonzeroFloat64, 16), 1)
	is.True(rare.Take(now, math.SmallestNonzeroFloat64, 1))
	is.Equal(throttler.Holders(math.MaxFloat64, 16), 16)
	for range 1000 {
		is.True(plenty.Take(now, math.MaxFloat64, 16))
	}
}
