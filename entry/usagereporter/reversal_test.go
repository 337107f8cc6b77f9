package usagereporter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLateCounts guards against requests that are counted 0.7 s after the end of their window
// and miss its report, and against counts that are said to be taken back though the report of
// their window may have them.
func TestLateCounts(t *testing.T) {
	run(t, 3, func(w *fixture) {
		is := is.New(t)
		w.serve(20 * time.Second)
		at := w.start.Add(20 * time.Second) // the end of a window
		begun := at.Add(-10 * time.Millisecond)
		time.Sleep(time.Until(at.Add(690 * time.Millisecond)))
		p := w.nodes[1].process.Load()
		for range 3 {
			p.Count("stock", begun)
		}
		is.True(p.Count("stock", begun)())
		tooLate := p.Count("stock", begun)
		time.Sleep(20 * time.Millisecond)
		is.True(!tooLate())
		time.Sleep(20 * time.Second)
		is.Equal(w.reports()[w.window(15*time.Second)].Counts["stock"], int64(3*10+3))
	})
}
