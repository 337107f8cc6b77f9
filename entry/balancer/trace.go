package balancer

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
)

// Decision names what was decided on a request. It is the "event" of a log line.
type Decision string

// Decisions on a request, in the order in which they can come.
const (
	// Received says that the request was admitted, with its route and service.
	Received Decision = "received"
	// Chosen says which server an attempt goes to, and what it said of itself.
	Chosen Decision = "chosen"
	// Hedged says that a second server was chosen beside the first.
	Hedged Decision = "hedged"
	// Ended says how an attempt ended.
	Ended Decision = "ended"
	// Answered says that a server's answer was passed on.
	Answered Decision = "answered"
	// Refused says that the request got an answer of this entry's own.
	Refused Decision = "refused"
)

// Decisions lists every decision.
func Decisions() []Decision {
	return []Decision{Received, Chosen, Hedged, Ended, Answered, Refused}
}

const (
	// sampleEvery is the part of good requests whose decisions are logged, by
	// their ids: the same ids on every entry.
	sampleEvery = 64
	// maxTrail bounds the decisions that are kept of one request.
	maxTrail = 24
)

// step is one decision with the inputs that decided it.
type step struct {
	at       time.Time
	decision Decision
	inputs   []any
}

// trail holds the decisions on one request until it ends.
type trail struct{ steps []step }

func (t *trail) add(d Decision, inputs ...any) {
	if len(t.steps) < maxTrail {
		t.steps = append(t.steps, step{time.Now(), d, inputs})
	}
}

// sampled tells whether a good request is logged.
func sampled(id string) bool { return xxhash.Sum64String(id)%sampleEvery == 0 }

// Line budgets: what went wrong is kept before what went well.
const (
	// badLines and goodLines are the lines a second of bad and of good requests.
	badLines  = 200.0
	goodLines = 20.0
)

// allowance is a token bucket of log lines. It is not safe for concurrent use.
type allowance struct {
	perSecond float64
	tokens    float64
	at        time.Time
	dropped   int
}

// take takes lines, or counts them as dropped.
func (a *allowance) take(now time.Time, lines int) bool {
	a.tokens = min(a.perSecond, a.tokens+a.perSecond*now.Sub(a.at).Seconds())
	a.at = now
	if a.tokens < float64(lines) {
		a.dropped += lines
		return false
	}
	a.tokens -= float64(lines)
	return true
}

// flush logs the decisions on a request that has ended, if it went wrong or is
// sampled, and if there is room.
func (s *Balancer) flush(id string, t *trail, good bool) {
	if s.o.Log.GetLevel() > hclog.Info || (good && !sampled(id)) {
		return
	}
	s.mu.Lock()
	a := &s.badLines
	if good {
		a = &s.goodLines
	}
	dropped := 0
	ok := a.take(time.Now(), len(t.steps))
	if ok {
		dropped, a.dropped = a.dropped, 0
	}
	s.mu.Unlock()
	if !ok {
		return
	}
	if dropped > 0 {
		s.counts.dropped.With(of(good)).Add(dropped)
		s.o.Log.Warn("Log lines dropped.", "event", "dropped", "lines", dropped, "good", good)
	}
	for _, st := range t.steps {
		s.o.Log.Info("Request.", append([]any{
			"id", id, "event", string(st.decision), "at", st.at.Format(time.RFC3339Nano),
		}, st.inputs...)...)
	}
}

// of names the requests that lines tell of, as the counter has it.
func of(good bool) string {
	if good {
		return "good"
	}
	return "bad"
}

// outcomeName names how an attempt ended: "answered", or the cause that the retry
// counter has.
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

// noteReceived notes the request and its route.
func (c *call) noteReceived() {
	c.trail.add(Received, "route", c.route.Name, "service", c.service, "version", c.version,
		"configuration", c.view.Table.Version, "deadline-ms", c.deadline.Sub(c.arrived).Milliseconds())
}

// noteChosen notes a choice with what the server said of itself just before.
func (c *call) noteChosen(d Decision, p *picked) {
	c.trail.add(d, "server", p.ID, "version", p.Version, "domain", p.Domain, "slowness", p.slowness,
		"busy", p.busy, "slots", p.Slots, "expected-ms", p.expected.Milliseconds(), "asked", p.asked)
}

// noteEnded notes the end of an attempt.
func (c *call) noteEnded(server string, end ending) {
	status := 0
	if end.answer != nil {
		status = end.answer.Status
	}
	c.trail.add(Ended, "server", server, "outcome", outcomeName(end.outcome), "status", status)
}

// good tells whether a request went well: a success within its objective.
func (c *call) good(status int) bool {
	return status < http.StatusBadRequest && (c.route.TargetLatency == 0 || time.Since(c.arrived) <= c.route.TargetLatency)
}
