package commander

import (
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"samphiremux/entry/balancer"
)

// TestOperationsPage guards against metrics and log events that are missing from the
// operations page. Reasons and causes are checked against the older page.
func TestOperationsPage(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	page := string(data)
	e, _ := newTestEntry(t)
	w := httptest.NewRecorder()
	e.metrics.ServeHTTP(w, nil)
	for _, line := range strings.Split(w.Body.String(), "\n") {
		words := strings.Fields(line)
		if len(words) > 2 && words[1] == "TYPE" && !strings.Contains(page, words[2]) {
			t.Errorf("metric %q is missing from the operations page", words[2])
		}
	}
	for _, d := range balancer.Decisions() {
		if !strings.Contains(page, string(d)) {
			t.Errorf("event %q is missing from the operations page", d)
		}
	}
}
