package collector_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"samphiremux/entry/collector"
	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
)

// TestOperatorsPage guards against an operators' page that lags behind the code:
// it must contain the name of every refusal reason, retry cause and metric.
func TestOperatorsPage(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../docs/operators.md")
	is.NoErr(err)
	page := string(data)
	for _, r := range append(refuser.NotRunReasons(), refuser.OutcomeUnknownReasons()...) {
		if !strings.Contains(page, string(r)) {
			t.Errorf("refusal reason %q is missing from docs/operators.md", r)
		}
	}
	for _, c := range retrier.Causes() {
		if !strings.Contains(page, string(c)) {
			t.Errorf("retry cause %q is missing from docs/operators.md", c)
		}
	}
	families, err := collector.New().Registry().Gather()
	is.NoErr(err)
	for _, f := range families {
		if !strings.Contains(page, f.GetName()) {
			t.Errorf("metric %q is missing from docs/operators.md", f.GetName())
		}
	}
}
