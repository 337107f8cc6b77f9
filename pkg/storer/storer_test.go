package storer_test

import (
	"testing"

	"github.com/matryer/is"

	"samphiremux/pkg/storer"
)

// TestRevisionsOfEras checks that revisions are ordered by era, then by number, and that
// both can be read back.
func TestRevisionsOfEras(t *testing.T) {
	is := is.New(t)
	const maxEra, maxNumber = 1<<23 - 1, 1<<40 - 1
	previous := storer.Revision(-1)
	for _, era := range []int64{0, 1, 2, maxEra} {
		for _, number := range []int64{0, 1, 62, maxNumber} {
			r := storer.NewRevision(era, number)
			is.Equal(r.Era(), era)
			is.Equal(r.Number(), number)
			is.True(r > previous)
			previous = r
		}
	}
}
