package meter_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"samphiremux/entry/meter"
)

// TestGaugeVec guards against values that are not read at each scrape, and against series of
// labels that no longer exist.
func TestGaugeVec(t *testing.T) {
	is := is.New(t)
	r := meter.New()
	values := map[string]float64{"b": 10, "a": 8}
	r.GaugeVec("subset_servers", "Servers.", "service", func() map[string]float64 { return values })
	scrape := func() string {
		w := httptest.NewRecorder()
		r.ServeHTTP(w, nil)
		return w.Body.String()
	}
	is.True(strings.HasSuffix(scrape(), "samphire_subset_servers{service=\"a\"} 8\nsamphire_subset_servers{service=\"b\"} 10\n"))
	delete(values, "a")
	is.True(!strings.Contains(scrape(), `"a"`))
}
