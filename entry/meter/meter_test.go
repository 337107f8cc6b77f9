package meter_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"samphiremux/entry/meter"
)

// TestTextFormat guards against output that Prometheus cannot read or counts
// wrongly, such as unescaped label values or wrong buckets. It parses the output
// with the parser of the Prometheus client library.
func TestTextFormat(t *testing.T) {
	is := is.New(t)
	r := meter.New()
	refusals := r.CounterVec("refusals_total", "Refused requests.", "kind", "reason")
	refusals.With("not-run", "queue-full").Inc()
	refusals.With("not-run", "queue-full").Inc()
	refusals.With("not-run", `odd "reason"`).Inc()
	latency := r.HistogramVec("request_seconds", "Latency.", "service")
	latency.With("stock").Observe(80 * time.Millisecond)
	latency.With("stock").Observe(time.Hour)
	r.Gauge("entries", "Entries.", func() float64 { return 16 })

	w := httptest.NewRecorder()
	r.ServeHTTP(w, nil)
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(w.Body)
	is.NoErr(err)
	is.Equal(len(families), 3)
	is.Equal(len(families["samphire_refusals_total"].GetMetric()), 2)
	histogram := families["samphire_request_seconds"].GetMetric()[0].GetHistogram()
	is.Equal(histogram.GetSampleCount(), uint64(2))
	cumulative := uint64(0)
	for _, b := range histogram.GetBucket() {
		if b.GetUpperBound() <= 0.08 {
			cumulative = b.GetCumulativeCount()
		}
	}
	is.Equal(cumulative, uint64(0)) // no bucket up to 80 ms may count the 80 ms observation: the nearest bound below is 68.7 ms
	is.Equal(families["samphire_entries"].GetMetric()[0].GetGauge().GetValue(), 16.0)
}
