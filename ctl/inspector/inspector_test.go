package inspector_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"samphiremux/ctl/inspector"
)

// startEntry serves text as metrics with a status, and returns the address.
func startEntry(t *testing.T, status int, text string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, text)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

const metrics = `# TYPE samphire_configuration_version gauge
samphire_configuration_version %d
# TYPE samphire_store_reached gauge
samphire_store_reached 1
# TYPE samphire_requests_total counter
samphire_requests_total{service="a",class="2xx"} 40
samphire_requests_total{service="b",class="2xx"} 2
`

// TestInspect checks that values are summed over labels, that entries without
// readable metrics are reported with a problem, and that differences count only the
// entries that answered.
func TestInspect(t *testing.T) {
	is := is.New(t)
	inspected := inspector.Inspect(context.Background(), http.DefaultClient, []string{
		startEntry(t, 200, fmt.Sprintf(metrics, 7)), startEntry(t, 200, fmt.Sprintf(metrics, 8)),
		startEntry(t, 500, ""), startEntry(t, 200, "no metrics {"), "127.0.0.1:1",
	})
	is.Equal(len(inspected), 5)
	is.Equal(inspected[0].ConfigurationVersion, int64(7))
	is.Equal(inspected[0].Answers, int64(42)) // summed over labels
	is.True(inspected[0].StoreReached)
	for _, e := range inspected[2:] {
		is.True(e.Problem != "")
	}
	is.Equal(inspector.Differences(inspected), []string{"configuration differs: 7 to 8"})
	is.True(strings.HasPrefix(inspected[0].Line(), inspected[0].Address+": configuration 7, store reached"))
}
