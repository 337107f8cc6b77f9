// Package meter counts, and serves what it counted in the Prometheus text format.
// It holds what the lean entry needs of a metrics library: client_golang adds 3.2
// MB to the peak memory of a process, which the users price.
package meter

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Counter only grows.
type Counter struct{ n atomic.Int64 }

// Inc adds one.
func (c *Counter) Inc() { c.n.Add(1) }

// Add adds n.
func (c *Counter) Add(n int) { c.n.Add(int64(n)) }

// Value returns the count.
func (c *Counter) Value() int64 { return c.n.Load() }

// buckets are the upper bounds of a histogram: from 1 ms on, each 1.6 times the
// one before.
var buckets = func() (all []time.Duration) {
	for b := time.Millisecond; b < 8*time.Second; b = b * 8 / 5 {
		all = append(all, b)
	}
	return all
}()

// Histogram counts durations by size.
type Histogram struct {
	counts []atomic.Int64
	sum    atomic.Int64
}

// Observe counts one duration.
func (h *Histogram) Observe(d time.Duration) {
	i, _ := slices.BinarySearch(buckets, d)
	h.counts[i].Add(1)
	h.sum.Add(int64(d))
}

// family is a metric with its labelled values.
type family struct {
	name, help, kind string
	labels           []string
	mu               sync.Mutex
	values           map[string]any
	read             func() float64
}

// Registry holds metrics.
type Registry struct{ families []*family }

// New returns an empty registry.
func New() *Registry { return &Registry{} }

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

// With returns the counter for label values, in the order of the labels.
func (c *CounterVec) With(values ...string) *Counter {
	return c.f.with(values, func() any { return &Counter{} }).(*Counter)
}

// HistogramVec is a histogram for each set of label values.
type HistogramVec struct{ f *family }

// HistogramVec adds a histogram with labels. Its values are in seconds.
func (r *Registry) HistogramVec(name, help string, labels ...string) *HistogramVec {
	return &HistogramVec{r.add("histogram", name, help, labels)}
}

// With returns the histogram for label values, in the order of the labels.
func (h *HistogramVec) With(values ...string) *Histogram {
	return h.f.with(values, func() any { return &Histogram{counts: make([]atomic.Int64, len(buckets)+1)} }).(*Histogram)
}

// Gauge adds a value that is read when it is asked for.
func (r *Registry) Gauge(name, help string, read func() float64) {
	r.add("gauge", name, help, nil).read = read
}

func (f *family) with(values []string, make func() any) any {
	key := f.key(values)
	f.mu.Lock()
	defer f.mu.Unlock()
	v, ok := f.values[key]
	if !ok {
		v = make()
		f.values[key] = v
	}
	return v
}

// key writes label values as they stand in the text format.
func (f *family) key(values []string) string {
	pairs := make([]string, len(f.labels))
	for i, l := range f.labels {
		pairs[i] = l + "=" + strconv.Quote(values[i])
	}
	return strings.Join(pairs, ",")
}

// ServeHTTP answers with all metrics.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	for _, f := range r.families {
		f.write(w)
	}
}

func (f *family) write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s %s\n", f.name, f.help, f.name, f.kind)
	if f.read != nil {
		_, _ = fmt.Fprintf(w, "%s %g\n", f.name, f.read())
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

func (h *Histogram) write(w io.Writer, name, labels string) {
	sum := int64(0)
	for i := range h.counts {
		sum += h.counts[i].Load()
		bound := "+Inf"
		if i < len(buckets) {
			bound = strconv.FormatFloat(buckets[i].Seconds(), 'g', 6, 64)
		}
		_, _ = fmt.Fprintf(w, "%s_bucket{%s,le=\"%s\"} %d\n", name, labels, bound, sum)
	}
	_, _ = fmt.Fprintf(w, "%s_sum{%s} %g\n", name, labels, time.Duration(h.sum.Load()).Seconds())
	_, _ = fmt.Fprintf(w, "%s_count{%s} %d\n", name, labels, sum)
}
