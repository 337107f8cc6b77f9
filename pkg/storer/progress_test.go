package storer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/pkg/storer"
)

// TestLongResponseCutShort guards against a call that ends while its response arrives, and
// against one that never ends.
func TestLongResponseCutShort(t *testing.T) {
	for _, c := range []struct {
		name  string
		parts []time.Duration
		ends  time.Duration
	}{
		{"no response", nil, 2 * time.Second},
		{"it begins early", []time.Duration{100 * time.Millisecond}, 2 * time.Second},
		{"it begins late", []time.Duration{1900 * time.Millisecond}, 2900 * time.Millisecond},
		{"it goes on for too long", []time.Duration{1900 * time.Millisecond, 2800 * time.Millisecond}, 2900 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				start := time.Now()
				seen := 0
				outer := storer.WithProgress(t.Context(), func() { seen++ })
				ctx, cancel := storer.WithTransferTimeout(outer, start.Add(2*time.Second), time.Second)
				defer cancel()
				for _, at := range c.parts {
					time.Sleep(time.Until(start.Add(at)))
					storer.ReportProgress(ctx)
				}
				<-ctx.Done()
				is.Equal(time.Since(start), c.ends)
				is.Equal(context.Cause(ctx), context.DeadlineExceeded)
				is.Equal(seen, len(c.parts))
			})
		})
	}
}
