package balancer

import (
	"strconv"
	"time"

	"samphiremux/entry/meter"
	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
)

// counts are the metrics of the request path.
type counts struct {
	requests *meter.CounterVec
	refusals *meter.CounterVec
	retries  *meter.CounterVec
	probes   *meter.CounterVec
	dropped  *meter.CounterVec
	latency  *meter.HistogramVec
}

// newCounts adds the metrics to a registry, each refusal and retry reason at zero.
func newCounts(r *meter.Registry) counts {
	c := counts{
		requests: r.CounterVec("requests_total", "Requests that were answered, by service and status class.", "service", "class"),
		refusals: r.CounterVec("refusals_total", "Requests that were refused, by kind and reason.", "kind", "reason"),
		retries:  r.CounterVec("retries_total", "Requests sent again, by cause.", "cause"),
		probes:   r.CounterVec("probes_total", "Probes of backend servers, by result.", "result"),
		dropped:  r.CounterVec("dropped_lines_total", "Log lines of requests that were dropped by their rate.", "of"),
		latency:  r.HistogramVec("request_seconds", "Time from arrival to answer, by service, route and status class.", "service", "route", "class"),
	}
	for _, reason := range refuser.NotRunReasons() {
		c.refusals.With(string(refuser.NotRun), string(reason))
	}
	for _, reason := range refuser.OutcomeUnknownReasons() {
		c.refusals.With(string(refuser.OutcomeUnknown), string(reason))
	}
	for _, cause := range retrier.Causes() {
		c.retries.With(string(cause))
	}
	return c
}

// answered counts a request that got a server's answer.
func (s *Balancer) answered(c *call, status int) {
	class := strconv.Itoa(status/100) + "xx"
	s.counts.requests.With(c.service, class).Inc()
	s.counts.latency.With(c.service, c.route.Name, class).Observe(time.Since(c.arrived))
}

// causeOf names why an attempt is followed by another, as the counter has it.
func causeOf(end ending) string {
	switch end.outcome.(type) {
	case retrier.Answered:
		return string(retrier.CauseServerFailure)
	case retrier.TimedOut:
		return string(retrier.CauseConnectionLost)
	default:
		return outcomeName(end.outcome)
	}
}
