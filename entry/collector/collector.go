// Package collector holds the Prometheus metrics of one entry. Refusals are counted
// by reason and retries by cause; both come from closed lists, so that the number
// of time series is bounded.
package collector

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
)

// Metrics are the metrics of one entry. The labels are listed in the order in
// which WithLabelValues takes them.
type Metrics struct {
	registry *prometheus.Registry

	// Requests counts requests by service and status class.
	Requests *prometheus.CounterVec
	// Refusals counts refused requests by kind and reason.
	Refusals *prometheus.CounterVec
	// Retries counts retries and hedges by cause.
	Retries *prometheus.CounterVec
	// Latency is the time in seconds from a request's arrival to its response, by
	// service. The bounds of its buckets grow by a factor of 1.6, from 1 ms to
	// 7.6 s.
	Latency *prometheus.HistogramVec
	// WaitingRequests is the number of requests that wait for a backend server, by
	// service.
	WaitingRequests *prometheus.GaugeVec
	// ServersUnreachable is 1 while the entry reaches no backend server, by the service that found it out.
	ServersUnreachable *prometheus.GaugeVec
	// Probes counts health probes by result.
	Probes *prometheus.CounterVec
	// Reports counts the reports to the owners of backend servers, by result.
	Reports *prometheus.CounterVec
	// DroppedMessages counts messages dropped by full mailboxes, by actor.
	DroppedMessages *prometheus.CounterVec
	// Members is the number of entries in the member list.
	Members prometheus.Gauge
	// Revision is the revision of the document in force.
	Revision prometheus.Gauge
	// RevertsRefused counts older documents that the store offered and the entry
	// refused.
	RevertsRefused prometheus.Counter
	// StoreCalls counts calls to the platform's store by kind and result.
	StoreCalls *prometheus.CounterVec
	// Suspects is the number of requests suspected of crashing servers, by
	// service.
	Suspects *prometheus.GaugeVec
	// MoveShare is the percentage of requests that a version move sends to the new
	// version, by service and phase.
	MoveShare *prometheus.GaugeVec
	// LinkCalls counts calls to other entries by method and result.
	LinkCalls *prometheus.CounterVec
	// KeysReplayed counts stored responses that were returned for a repeated
	// idempotency key.
	KeysReplayed prometheus.Counter
	// CutStreams counts streamed responses that ended early.
	CutStreams prometheus.Counter
	// BoundedConnections counts connections that were closed at a bound of what peers may
	// hold, by listener and reason.
	BoundedConnections *prometheus.CounterVec
	// EndedConnections counts connections that were closed after a response, by listener and by
	// what ended the wait for their peers to read it.
	EndedConnections *prometheus.CounterVec
	// HeldBytes is the memory of heads and bodies of requests, and of responses that
	// callers read slowly.
	HeldBytes prometheus.Gauge
	// SocketBufferRoom is the number of bytes by which the kernel's buffers of connections may
	// still grow.
	SocketBufferRoom prometheus.Gauge
	// EvictedMessages is the number of heads, bodies and responses that were given up at the
	// bound of memory.
	EvictedMessages prometheus.Gauge
}

// New returns metrics in a registry of their own. The series of every refusal
// reason and retry cause exist from the start, with value zero.
func New() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	m.Requests = m.counterVec("requests_total", "Requests by service and status class.", "service", "class")
	m.Refusals = m.counterVec("refusals_total", "Refused requests by kind and reason.", "kind", "reason")
	m.Retries = m.counterVec("retries_total", "Requests sent again, by cause.", "cause")
	m.Probes = m.counterVec("probes_total", "Probes of backend servers by result.", "result")
	m.Reports = m.counterVec("reports_total", "Reports to owners by result.", "result")
	m.DroppedMessages = m.counterVec("dropped_messages_total", "Messages dropped by full mailboxes, by duty.", "duty")
	m.StoreCalls = m.counterVec("store_calls_total", "Calls of the platform's store by kind and result.", "kind", "result")
	m.LinkCalls = m.counterVec("link_calls_total", "Calls between entries by method and result.", "method", "result")
	m.Latency = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "samphire", Name: "request_seconds", Help: "Time from a request's arrival to its answer.",
		Buckets: prometheus.ExponentialBuckets(0.001, 1.6, 20),
	}, []string{"service"})
	m.ServersUnreachable = m.gaugeVec("servers_unreachable", "1 while no backend server of the service is reached.", "service")
	m.WaitingRequests = m.gaugeVec("waiting_requests", "Requests that wait for a backend server.", "service")
	m.Suspects = m.gaugeVec("suspects", "Requests under suspicion.", "service")
	m.MoveShare = m.gaugeVec("move_share_percent", "Share of the new version of a move.", "service", "phase")
	m.Members = m.gauge("members", "Entries in the member list.")
	m.Revision = m.gauge("document_revision", "Revision of the document in force.")
	m.RevertsRefused = m.counter("document_reverts_refused_total", "Older documents that the store offered and the entry refused.")
	m.KeysReplayed = m.counter("keys_replayed_total", "Answers repeated for resent idempotency keys.")
	m.CutStreams = m.counter("cut_streams_total", "Streamed answers that ended early.")
	m.BoundedConnections = m.counterVec("bounded_connections_total", "Connections closed at a bound of what peers may hold, by listener and reason.", "listener", "reason")
	m.EndedConnections = m.counterVec("ended_connections_total", "Connections that were closed after a response, by listener and by what ended the wait for their peers to read it.", "listener", "end")
	m.HeldBytes = m.gauge("held_bytes", "Bytes of request heads and bodies, and of responses that callers read slowly.")
	m.SocketBufferRoom = m.gauge("socket_buffer_room_bytes", "Bytes by which the kernel's send buffers of connections may still grow.")
	m.EvictedMessages = m.gauge("evicted_messages_total", "Heads, bodies and responses given up at the bound of memory, since their callers made no progress.")
	m.registry.MustRegister(m.Latency)
	m.createSeries()
	return m
}

// createSeries creates the series of every refusal reason and retry cause, since a
// vector exports a series only after its first use.
func (m *Metrics) createSeries() {
	for _, r := range refuser.NotRunReasons() {
		m.Refusals.WithLabelValues(string(refuser.NotRun), string(r))
	}
	for _, r := range refuser.OutcomeUnknownReasons() {
		m.Refusals.WithLabelValues(string(refuser.OutcomeUnknown), string(r))
	}
	for _, cause := range retrier.Causes() {
		m.Retries.WithLabelValues(string(cause))
	}
}

func (m *Metrics) counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "samphire", Name: name, Help: help}, labels)
	m.registry.MustRegister(v)
	return v
}

func (m *Metrics) counter(name, help string) prometheus.Counter {
	v := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "samphire", Name: name, Help: help})
	m.registry.MustRegister(v)
	return v
}

func (m *Metrics) gaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	v := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "samphire", Name: name, Help: help}, labels)
	m.registry.MustRegister(v)
	return v
}

func (m *Metrics) gauge(name, help string) prometheus.Gauge {
	v := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "samphire", Name: name, Help: help})
	m.registry.MustRegister(v)
	return v
}

// Refused counts a refused request.
func (m *Metrics) Refused(r refuser.Refusal) {
	m.Refusals.WithLabelValues(string(r.Kind), string(r.Reason)).Inc()
}

// Retried counts a retry or hedge.
func (m *Metrics) Retried(cause retrier.Cause) { m.Retries.WithLabelValues(string(cause)).Inc() }

// Registry returns the registry that holds the metrics.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Result returns the value of the result label for a call that returned err.
func Result(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}
