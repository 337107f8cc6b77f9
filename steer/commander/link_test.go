package commander

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/reflector"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
)

// TestLargeBatchesShareLink guards against large batches for many entries at once, none of
// which is received in time.
func TestLargeBatchesShareLink(t *testing.T) {
	is := is.New(t)
	e, _ := newTestEntry(t)
	s := *e.settings.Load()
	s.LinkRate = 1.25e6
	e.settings.Store(&s)
	now := time.Now()
	e.reflector.ApplyBatch(now, reflector.Batch{Full: true, Revision: 9})
	e.reflector.ApplyBatch(now, reflector.Batch{Revision: 11, Changes: []*linkpb.Change{
		{Key: "other/large", Value: []byte(strings.Repeat("v", 245_000)), Revision: 10}, {Key: "other/small", Value: []byte("v"), Revision: 11},
	}})
	is.Equal(e.changesFor(now, 9).CompleteRevision(), storer.Revision(11))
	limited := e.changesFor(now.Add(100*time.Millisecond), 9)
	is.Equal(len(limited.Changes), 1)                             // the small one is not held back
	is.Equal(limited.CompleteRevision(), storer.Revision(9))      // so that the large one is asked for again
	is.True(e.changesFor(now.Add(time.Second), 9).Omitted == nil) // the first transfer is over
}
