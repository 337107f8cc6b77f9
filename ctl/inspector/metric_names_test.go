package inspector

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestMetricNamesAreDocumented checks the metric names against the operations page. A
// test of the entry checks that page against the metrics that it serves, so a metric
// that is renamed on one side only fails here.
func TestMetricNamesAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	for _, name := range metricNames() {
		is.True(strings.Contains(string(page), "| "+name+" |")) // the page lacks the metric
	}
}
