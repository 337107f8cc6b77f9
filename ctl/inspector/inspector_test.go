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

// withEntry serves metrics and returns their address.
func withEntry(t *testing.T, status int, text string) string {
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

func TestInspect(t *testing.T) {
	is := is.New(t)
	all := inspector.Inspect(context.Background(), http.DefaultClient, []string{
		withEntry(t, 200, fmt.Sprintf(metrics, 7)), withEntry(t, 200, fmt.Sprintf(metrics, 8)),
		withEntry(t, 500, ""), withEntry(t, 200, "no metrics {"), "127.0.0.1:1",
	})
	is.Equal(len(all), 5)
	is.Equal(all[0].ConfigurationVersion, int64(7))
	is.Equal(all[0].Answers, int64(42)) // summed over labels
	is.True(all[0].StoreReached)
	for _, e := range all[2:] {
		is.True(e.Problem != "")
	}
	is.Equal(inspector.Differences(all), []string{"configuration differs: 7 to 8"})
	is.True(strings.HasPrefix(all[0].Line(), all[0].Address+": configuration 7, store reached"))
}
