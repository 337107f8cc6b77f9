// Package collector holds the metrics of one entry. Each refusal and retry reason
// has its own counter from a closed list.
package collector

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
)

// Metrics are the metrics of one entry.
type Metrics struct {
	registry *prometheus.Registry

	Requests       *prometheus.CounterVec
	Refusals       *prometheus.CounterVec
	Retries        *prometheus.CounterVec
	Latency        *prometheus.HistogramVec
	Waiting        *prometheus.GaugeVec
	Probes         *prometheus.CounterVec
	Reports        *prometheus.CounterVec
	Dropped        *prometheus.CounterVec
	Members        prometheus.Gauge
	Revision       prometheus.Gauge
	RevertsRefused prometheus.Counter
	StoreCalls     *prometheus.CounterVec
	Suspects       *prometheus.GaugeVec
	Moves          *prometheus.GaugeVec
	LinkCalls      *prometheus.CounterVec
	KeysReplayed   prometheus.Counter
	CutStreams     prometheus.Counter
}

// New returns metrics in a registry of their own, with every refusal and retry
// reason at zero.
func New() *Metrics {
	c := &Metrics{registry: prometheus.NewRegistry()}
	c.Requests = c.vec("requests_total", "Requests by service and status class.", "service", "class")
	c.Refusals = c.vec("refusals_total", "Refused requests by kind and reason.", "kind", "reason")
	c.Retries = c.vec("retries_total", "Requests sent again, by cause.", "cause")
	c.Probes = c.vec("probes_total", "Probes of backend servers by result.", "result")
	c.Reports = c.vec("reports_total", "Reports to owners by result.", "result")
	c.Dropped = c.vec("dropped_messages_total", "Messages dropped by full mailboxes, by duty.", "duty")
	c.StoreCalls = c.vec("store_calls_total", "Calls of the platform's store by kind and result.", "kind", "result")
	c.LinkCalls = c.vec("link_calls_total", "Calls between entries by method and result.", "method", "result")
	c.Latency = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "samphire", Name: "request_seconds", Help: "Time from a request's arrival to its answer.",
		Buckets: prometheus.ExponentialBuckets(0.001, 1.6, 20),
	}, []string{"service"})
	c.Waiting = c.gaugeVec("waiting_requests", "Requests that wait for a backend server.", "service")
	c.Suspects = c.gaugeVec("suspects", "Requests under suspicion.", "service")
	c.Moves = c.gaugeVec("move_share_percent", "Share of the new version of a move.", "service", "phase")
	c.Members = c.gauge("members", "Entries in the member list.")
	c.Revision = c.gauge("document_revision", "Revision of the document in force.")
	c.RevertsRefused = c.counter("document_reverts_refused_total", "Older documents that the store offered and the entry refused.")
	c.KeysReplayed = c.counter("keys_replayed_total", "Answers repeated for resent idempotency keys.")
	c.CutStreams = c.counter("cut_streams_total", "Streamed answers that ended early.")
	c.registry.MustRegister(c.Latency)
	c.zero()
	return c
}

func (c *Metrics) zero() {
	for _, r := range refuser.NotRunReasons() {
		c.Refusals.WithLabelValues(string(refuser.NotRun), string(r))
	}
	for _, r := range refuser.OutcomeUnknownReasons() {
		c.Refusals.WithLabelValues(string(refuser.OutcomeUnknown), string(r))
	}
	for _, cause := range retrier.Causes() {
		c.Retries.WithLabelValues(string(cause))
	}
}

func (c *Metrics) vec(name, help string, labels ...string) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "samphire", Name: name, Help: help}, labels)
	c.registry.MustRegister(v)
	return v
}

func (c *Metrics) counter(name, help string) prometheus.Counter {
	v := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "samphire", Name: name, Help: help})
	c.registry.MustRegister(v)
	return v
}

func (c *Metrics) gaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	v := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "samphire", Name: name, Help: help}, labels)
	c.registry.MustRegister(v)
	return v
}

func (c *Metrics) gauge(name, help string) prometheus.Gauge {
	v := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "samphire", Name: name, Help: help})
	c.registry.MustRegister(v)
	return v
}

// Refused counts a refusal.
func (c *Metrics) Refused(r refuser.Refusal) {
	c.Refusals.WithLabelValues(string(r.Kind), string(r.Reason)).Inc()
}

// Retried counts a retry or hedge.
func (c *Metrics) Retried(cause retrier.Cause) { c.Retries.WithLabelValues(string(cause)).Inc() }

// Registry returns the registry that holds the metrics.
func (c *Metrics) Registry() *prometheus.Registry { return c.registry }

// Handler serves the metrics in the Prometheus text format.
func (c *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(c.registry, promhttp.HandlerOpts{})
}

// Result names the result of a call for a label.
func Result(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}
