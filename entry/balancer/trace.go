package balancer

import (
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
)

// Decision names a decision on a request. It is the value of "event" in a log
// line.
type Decision string

// Decisions on a request, in the order in which they can occur.
const (
	// Received means that the request was accepted and its route, service and
	// version are known.
	Received Decision = "received"
	// LeftOut means that servers got no attempt, since they are leaving or asked for a
	// pause.
	LeftOut Decision = "left-out"
	// Waiting means that the request waits, since no server that was probed has room for
	// it or is fast enough. It carries the number of requests before it.
	Waiting Decision = "waiting"
	// Chosen means that a server was picked for an attempt. It carries the
	// state that the server reported.
	Chosen Decision = "chosen"
	// Hedged means that a second server was picked to hedge the first.
	Hedged Decision = "hedged"
	// HedgeDue means that the server of an attempt was found slow or gone, so that a hedge is
	// due at once. It carries the evidence.
	HedgeDue Decision = "hedge-due"
	// HedgeSkipped means that a hedge was due and was not sent. It carries the reason.
	HedgeSkipped Decision = "hedge-skipped"
	// Delegated means that the request was passed on to another entry. It carries what
	// became of it there.
	Delegated Decision = "delegated"
	// Ended means that an attempt ended. It carries the outcome.
	Ended Decision = "ended"
	// Answered means that a server's response goes to the caller.
	Answered Decision = "answered"
	// Refused means that this entry refused the request.
	Refused Decision = "refused"
)

// Decisions returns every decision.
func Decisions() []Decision {
	return []Decision{Received, LeftOut, Waiting, Chosen, Hedged, HedgeDue, HedgeSkipped, Delegated, Ended, Answered, Refused}
}

const (
	// sampleEvery is the sampling interval: one in so many good requests is
	// logged. Sampling is by request id, so that every entry samples the same
	// requests.
	sampleEvery = 64
	// maxTraceSteps bounds the decisions that are kept for one request.
	maxTraceSteps = 24
)

// step is one decision with its inputs, as log keys and values.
type step struct {
	at       time.Time
	decision Decision
	inputs   []any
}

// trace holds the decisions on one request until it ends.
type trace struct {
	steps []step
	// metCold is set once a cold server was picked.
	metCold bool
}

func (t *trace) add(d Decision, inputs ...any) {
	if len(t.steps) < maxTraceSteps {
		t.steps = append(t.steps, step{time.Now(), d, inputs})
	}
}

// sampled reports whether a good request with the id is logged.
func sampled(id string) bool { return xxhash.Sum64String(id)%sampleEvery == 0 }

// Rate limits of log lines. Bad requests have their own, larger one, so that
// good requests cannot displace them.
const (
	// badLinesPerSecond and goodLinesPerSecond are the rates, and bursts, of
	// lines about bad and about good requests.
	badLinesPerSecond  = 200.0
	goodLinesPerSecond = 20.0
)

// lineBucket is a token bucket of log lines. It is not safe for concurrent use.
type lineBucket struct {
	perSecond float64
	tokens    float64
	refilled  time.Time
	dropped   int
}

// take takes a token for each line. Without enough tokens it takes none, counts
// the lines as dropped and returns false.
func (l *lineBucket) take(now time.Time, lines int) bool {
	l.tokens = min(l.perSecond, l.tokens+l.perSecond*now.Sub(l.refilled).Seconds())
	l.refilled = now
	if l.tokens < float64(lines) {
		l.dropped += lines
		return false
	}
	l.tokens -= float64(lines)
	return true
}

// flush logs the decisions on a request that has ended, if it went wrong, was sent to a cold
// server or is sampled, and if the rate limit allows.
func (b *Balancer) flush(id string, t *trace, good bool) {
	if b.opts.Log.GetLevel() > hclog.Info || (good && !t.metCold && !sampled(id)) {
		return
	}
	b.mu.Lock()
	bucket := &b.badLines
	if good {
		bucket = &b.goodLines
	}
	dropped := 0
	ok := bucket.take(time.Now(), len(t.steps))
	if ok {
		dropped, bucket.dropped = bucket.dropped, 0
	}
	b.mu.Unlock()
	if !ok {
		return
	}
	if dropped > 0 {
		b.metrics.dropped.With(qualityLabel(good)).Add(dropped)
		b.opts.Log.Warn("Log lines dropped.", "event", "dropped", "lines", dropped, "good", good)
	}
	for _, st := range t.steps {
		b.opts.Log.Info("Request.", append([]any{
			"id", id, "event", string(st.decision), "at", st.at.Format(time.RFC3339Nano),
		}, st.inputs...)...)
	}
}

// qualityLabel returns the label value of the counter of dropped log lines.
func qualityLabel(good bool) string {
	if good {
		return "good"
	}
	return "bad"
}

// outcomeName returns how an attempt ended: "answered", or the name of the
// failure as refusals and the retry counter have it.
func outcomeName(o retrier.Outcome) string {
	switch o.(type) {
	case retrier.Answered:
		return "answered"
	case retrier.TimedOut:
		return string(refuser.ResponseTimeout)
	default:
		return string(retrier.CauseOf(o))
	}
}

// traceReceived records the request and its route.
func (c *call) traceReceived() {
	from := ""
	if c.hop != nil {
		from = c.hop.from
	}
	inputs := []any{
		"from", from, "route", c.route.Name, "service", c.service, "version", c.version,
		"configuration", c.view.Table.Version, "deadline-ms", c.deadline.Sub(c.arrived).Milliseconds(),
	}
	if c.guarded {
		inputs = append(inputs, "workspace", c.workspace.Name)
	}
	c.trace.add(Received, inputs...)
}

// leftOut holds the ids of the servers that an attempt left out, the first maxLeftOut of
// each kind.
type leftOut struct{ leaving, paused []string }

// maxLeftOut bounds the servers that are named in a log line.
const maxLeftOut = 8

func appendName(names []string, name string) []string {
	if len(names) < maxLeftOut {
		names = append(names, name)
	}
	return names
}

// traceLeftOut records the servers that the attempt leaves out, if any.
func (c *call) traceLeftOut() {
	if len(c.leftOut.leaving)+len(c.leftOut.paused) > 0 {
		c.trace.add(LeftOut, "leaving", strings.Join(c.leftOut.leaving, " "), "paused", strings.Join(c.leftOut.paused, " "))
	}
}

// traceChosen records a picked server with the state that it reported just
// before.
func (c *call) traceChosen(d Decision, p *picked) {
	inputs := []any{
		"server", p.ID, "version", p.Version, "domain", p.Domain, "slowness", p.slowness,
		"busy", p.busy, "slots", p.Slots, "expected-ms", p.expected.Milliseconds(), "asked", p.probed, "rate-limit", p.rateLimit.PerSecond,
	}
	if p.beyond {
		inputs = append(inputs, "beyond-subset", true)
	}
	if p.cold != nil {
		c.trace.metCold = true
		inputs = append(inputs, "cold-rank", p.cold.rank, "cold-holders", p.cold.holders, "entries", p.cold.entries)
	}
	c.trace.add(d, inputs...)
}

// traceEnded records the end of an attempt.
func (c *call) traceEnded(server string, result attemptResult) {
	status := 0
	if result.response != nil {
		status = result.response.Status
	}
	c.trace.add(Ended, "server", server, "outcome", outcomeName(result.outcome), "status", status)
}

// metObjective reports whether a request went well: a status below 400 within
// the target latency, if the route has one.
func (c *call) metObjective(status int) bool {
	return status < http.StatusBadRequest && (c.route.TargetLatency == 0 || time.Since(c.arrived) <= c.route.TargetLatency)
}
