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

// TestOperatorsPage checks that the operators' page lists every reason, cause
// and metric of the code.
func TestOperatorsPage(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../docs/operators.md")
	is.NoErr(err)
	page := string(data)
	for _, r := range append(refuser.NotRunReasons(), refuser.OutcomeUnknownReasons()...) {
		if !strings.Contains(page, string(r)) {
			t.Errorf("reason %q is not on the operators' page", r)
		}
	}
	for _, c := range retrier.Causes() {
		if !strings.Contains(page, string(c)) {
			t.Errorf("cause %q is not on the operators' page", c)
		}
	}
	families, err := collector.New().Registry().Gather()
	is.NoErr(err)
	for _, f := range families {
		if !strings.Contains(page, f.GetName()) {
			t.Errorf("metric %q is not on the operators' page", f.GetName())
		}
	}
}
