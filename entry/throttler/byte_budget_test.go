package throttler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/throttler"
)

// TestTransfersOverlap guards against transfers that share a link until each times out.
func TestTransfersOverlap(t *testing.T) {
	is := is.New(t)
	var b throttler.ByteBudget
	now := time.Unix(1000, 0)
	is.True(b.Take(now, 500, 1000))
	is.True(!b.Take(now.Add(499*time.Millisecond), 1, 1000))
	is.True(b.Take(now.Add(500*time.Millisecond), 1, 1000))
	is.True(b.Take(now, 1<<30, 0)) // without a rate there is no bound
}
