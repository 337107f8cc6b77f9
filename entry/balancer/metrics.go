package balancer

import (
	"strconv"
	"time"

	"samphiremux/entry/meter"
	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
)

// metrics holds the metrics of the request path.
type metrics struct {
	requests *meter.CounterVec
	refusals *meter.CounterVec
	retries  *meter.CounterVec
	probes   *meter.CounterVec
	// failedProbes counts the probes of result "error" by how they failed.
	failedProbes *meter.CounterVec
	dropped      *meter.CounterVec
	// coldAttempts counts the attempts at cold servers.
	coldAttempts *meter.CounterVec
	// beyondSubset counts the attempts at servers outside the subset of their service.
	beyondSubset *meter.CounterVec
	latency      *meter.HistogramVec
	// delegated counts requests that were passed on to other entries, and taken those
	// that other entries passed on to this one.
	delegated *meter.CounterVec
	taken     *meter.CounterVec
	hedges    hedgeMetrics
	// refusalsByRank counts the refusals for lack of capacity, and waits holds the time that
	// requests waited for it.
	refusalsByRank *meter.CounterVec
	waits          *meter.HistogramVec
	// workspaces counts callers' requests by workspace.
	workspaces *meter.CounterVec
	// undelivered counts responses that were not delivered to their callers in full.
	undelivered *meter.CounterVec
}

// newMetrics registers the metrics. The counters of each refusal reason and retry
// cause start at zero.
func newMetrics(r *meter.Registry) metrics {
	m := metrics{
		requests:     r.CounterVec("requests_total", "Requests that were answered, by service and status class.", "service", "class"),
		refusals:     r.CounterVec("refusals_total", "Requests that were refused, by kind and reason.", "kind", "reason"),
		retries:      r.CounterVec("retries_total", "Requests sent again, by cause.", "cause"),
		probes:       r.CounterVec("probes_total", "Probes of backend servers, by result.", "result"),
		failedProbes: r.CounterVec("failed_probes_total", "Probes of backend servers that failed, by cause.", "cause"),
		coldAttempts: r.CounterVec("cold_attempts_total", "Attempts at cold servers, by service.", "service"),
		beyondSubset: r.CounterVec("beyond_subset_total", "Attempts at servers outside the subset of their service, by service.", "service"),
		dropped:      r.CounterVec("dropped_lines_total", "Log lines of requests that were dropped by their rate.", "of"),
		latency:      r.HistogramVec("request_seconds", "Time from arrival to answer, by service, route and status class.", "service", "route", "class"),
	}
	m.delegated = r.CounterVec("delegated_total", "Requests that were passed on to other entries, by result.", "result")
	for _, result := range []string{delegatedResponded, delegatedRefused, delegatedLost, delegatedUnreached} {
		m.delegated.With(result)
	}
	m.taken = r.CounterVec("taken_total", "Requests that other entries passed on to this one, by whether it reaches servers.", "reaches")
	m.hedges = newHedgeMetrics(r)
	m.refusalsByRank = r.CounterVec("shortage_refusals_total", "Requests that were refused for lack of capacity, by service, rank (0 is the highest) and reason.", "service", "rank", "reason")
	m.waits = r.HistogramVec("wait_seconds", "Time that requests waited for capacity, by service, rank (0 is the highest) and result.", "service", "rank", "result")
	m.workspaces = r.CounterVec("workspace_requests_total", "Callers' requests with a valid API key, by workspace.", "workspace")
	m.undelivered = r.CounterVec("undelivered_responses_total", "Responses that callers did not read in full, by cause.", "cause")
	for _, cause := range []string{undeliveredStalled, undeliveredMemoryFull} {
		m.undelivered.With(cause)
	}
	for _, reason := range refuser.NotRunReasons() {
		m.refusals.With(string(refuser.NotRun), string(reason))
	}
	for _, reason := range refuser.OutcomeUnknownReasons() {
		m.refusals.With(string(refuser.OutcomeUnknown), string(reason))
	}
	for _, cause := range retrier.Causes() {
		m.retries.With(string(cause))
	}
	for _, cause := range probeFailures() {
		m.failedProbes.With(string(cause))
	}
	return m
}

// countAnswered counts a request that was answered with a server's response.
func (b *Balancer) countAnswered(c *call, status int) {
	class := strconv.Itoa(status/100) + "xx"
	b.metrics.requests.With(c.service, class).Inc()
	b.metrics.latency.With(c.service, c.route.Name, class).Observe(time.Since(c.arrived))
}

// causeOf returns the label value of the retry counter for an attempt that is
// retried.
func causeOf(result attemptResult) string {
	switch result.outcome.(type) {
	case retrier.Answered:
		return string(retrier.CauseServerFailure)
	case retrier.TimedOut:
		return string(retrier.CauseConnectionLost)
	default:
		return outcomeName(result.outcome)
	}
}
