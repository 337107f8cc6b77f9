package linker_test

import (
	"testing"

	"github.com/matryer/is"

	"samphiremux/pkg/linker"
	"samphiremux/pkg/storer"
)

// TestRevisionsOfEarlierVersions guards against entries that take the revisions of entries
// of an earlier version, which send no era, for those of a time before a restore.
func TestRevisionsOfEarlierVersions(t *testing.T) {
	is := is.New(t)
	is.Equal(linker.DecodeRevision(62, 0, 1), storer.NewRevision(1, 62))
	is.Equal(linker.DecodeRevision(62, 2, 1), storer.NewRevision(2, 62))
	is.Equal(linker.DecodeRevision(62, 0, 0), storer.Revision(62))
	is.Equal(linker.DecodeRevision(0, 0, 3), storer.Revision(0)) // an entry that knows nothing gets everything
}
