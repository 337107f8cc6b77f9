package inspector

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestMetricNamesAreDocumented holds the names against the page of operators, which a test of
// the entry holds against what it serves.
func TestMetricNamesAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	for _, name := range names() {
		is.True(strings.Contains(string(page), "| "+name+" |")) // missing on the page
	}
}
