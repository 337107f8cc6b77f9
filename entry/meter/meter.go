// Package meter is a small metrics library: counters, histograms and gauges with
// labels, served in the Prometheus text format. It has only what the lean entry
// needs. The lean entry does not use client_golang, since that adds 3.2 MB to the
// peak memory of a process, and peak memory is a cost to the users.
package meter

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Counter is a count that only grows. It is safe for concurrent use.
type Counter struct{ n atomic.Int64 }

// Inc adds 1.
func (c *Counter) Inc() { c.n.Add(1) }

// Add adds n, which must not be negative.
func (c *Counter) Add(n int) { c.n.Add(int64(n)) }

// Value returns the current count.
func (c *Counter) Value() int64 { return c.n.Load() }

// buckets holds the upper bounds of the buckets of every histogram: from 1 ms, each
// 1.6 times the one before, up to 7.6 s. Longer durations fall in a last bucket
// without a bound.
var buckets = func() (bounds []time.Duration) {
	for b := time.Millisecond; b < 8*time.Second; b = b * 8 / 5 {
		bounds = append(bounds, b)
	}
	return bounds
}()

// Histogram counts durations by bucket. It is safe for concurrent use.
type Histogram struct {
	// counts holds the count of each bucket, not cumulative. The last one is for
	// durations above all bounds.
	counts []atomic.Int64
	// sum is in nanoseconds.
	sum atomic.Int64
}

// Observe counts one duration. A duration equal to a bound belongs to the bucket
// with that upper bound.
func (h *Histogram) Observe(d time.Duration) {
	i, _ := slices.BinarySearch(buckets, d)
	h.counts[i].Add(1)
	h.sum.Add(int64(d))
}

// family is a metric and its series.
type family struct {
	name, help, kind string
	labels           []string

	// mu guards values.
	mu sync.Mutex
	// values holds a *Counter or *Histogram for each set of label values, by
	// the text of the labels.
	values map[string]any
	// read returns the value of a gauge without labels, and readAll the values of one with
	// a label, by its value. They are nil for other kinds.
	read    func() float64
	readAll func() map[string]float64
}

// Registry is a set of metrics. It serves them as an http.Handler. All metrics
// must be added before it is served.
type Registry struct{ families []*family }

// New returns an empty registry.
func New() *Registry { return &Registry{} }

// add adds a metric. Its name gets the prefix "samphire_".
func (r *Registry) add(kind, name, help string, labels []string) *family {
	f := &family{name: "samphire_" + name, help: help, kind: kind, labels: labels, values: map[string]any{}}
	r.families = append(r.families, f)
	return f
}

// CounterVec is a counter for each set of label values.
type CounterVec struct{ f *family }

// CounterVec adds a counter with labels.
func (r *Registry) CounterVec(name, help string, labels ...string) *CounterVec {
	return &CounterVec{r.add("counter", name, help, labels)}
}

// With returns the counter for the label values, which are in the order of the
// labels.
func (c *CounterVec) With(values ...string) *Counter {
	return c.f.with(values, func() any { return &Counter{} }).(*Counter)
}

// HistogramVec is a histogram for each set of label values.
type HistogramVec struct{ f *family }

// HistogramVec adds a histogram with labels. It is exported in seconds.
func (r *Registry) HistogramVec(name, help string, labels ...string) *HistogramVec {
	return &HistogramVec{r.add("histogram", name, help, labels)}
}

// With returns the histogram for the label values, which are in the order of the
// labels.
func (h *HistogramVec) With(values ...string) *Histogram {
	return h.f.with(values, func() any { return &Histogram{counts: make([]atomic.Int64, len(buckets)+1)} }).(*Histogram)
}

// Gauge adds a gauge without labels. Read is called for its value each time that
// the metrics are served.
func (r *Registry) Gauge(name, help string, read func() float64) {
	r.add("gauge", name, help, nil).read = read
}

// GaugeVec adds a gauge with one label. Read is called for its values, by the value of the
// label, each time that the metrics are served.
func (r *Registry) GaugeVec(name, help, label string, read func() map[string]float64) {
	r.add("gauge", name, help, []string{label}).readAll = read
}

// with returns the series for the label values, and creates it with newSeries if it
// does not exist.
func (f *family) with(values []string, newSeries func() any) any {
	key := f.key(values)
	f.mu.Lock()
	defer f.mu.Unlock()
	v, ok := f.values[key]
	if !ok {
		v = newSeries()
		f.values[key] = v
	}
	return v
}

// key returns the label pairs as the text format has them between the braces.
func (f *family) key(values []string) string {
	pairs := make([]string, len(f.labels))
	for i, l := range f.labels {
		pairs[i] = l + "=" + strconv.Quote(values[i])
	}
	return strings.Join(pairs, ",")
}

// ServeHTTP implements http.Handler. It writes all metrics in the Prometheus text
// format.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	for _, f := range r.families {
		f.write(w)
	}
}

// write writes the metric with its series in the order of their labels.
func (f *family) write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s %s\n", f.name, f.help, f.name, f.kind)
	if f.read != nil {
		_, _ = fmt.Fprintf(w, "%s %g\n", f.name, f.read())
		return
	}
	if f.readAll != nil {
		values := f.readAll()
		for _, v := range slices.Sorted(maps.Keys(values)) {
			_, _ = fmt.Fprintf(w, "%s{%s} %g\n", f.name, f.key([]string{v}), values[v])
		}
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	keys := make([]string, 0, len(f.values))
	for k := range f.values {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		switch v := f.values[k].(type) {
		case *Counter:
			_, _ = fmt.Fprintf(w, "%s{%s} %d\n", f.name, k, v.Value())
		case *Histogram:
			v.write(w, f.name, k)
		}
	}
}

// write writes the cumulative buckets, the sum and the count of one series.
func (h *Histogram) write(w io.Writer, name, labels string) {
	cumulative := int64(0)
	for i := range h.counts {
		cumulative += h.counts[i].Load()
		bound := "+Inf"
		if i < len(buckets) {
			bound = strconv.FormatFloat(buckets[i].Seconds(), 'g', 6, 64)
		}
		_, _ = fmt.Fprintf(w, "%s_bucket{%s,le=\"%s\"} %d\n", name, labels, bound, cumulative)
	}
	_, _ = fmt.Fprintf(w, "%s_sum{%s} %g\n", name, labels, time.Duration(h.sum.Load()).Seconds())
	_, _ = fmt.Fprintf(w, "%s_count{%s} %d\n", name, labels, cumulative)
}
