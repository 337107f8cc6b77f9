package soaker

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

// Bounds that the users state.
const (
	// crossSlack is the time after its last byte within which a request that crosses the
	// close of its connection may end without a response.
	crossSlack = 200 * time.Millisecond
	// earlyInStop is the time after SIGTERM until which a request may be sent whose work is
	// broken off at the end of the grace period.
	earlyInStop = 3 * time.Second
	// readySlack is the time from SIGTERM within which a process may still be ready.
	readySlack = time.Second
	// readyTime is the time from its start within which a process is ready.
	readyTime = 15 * time.Second
	// answerSlack is the time after its deadline for which a caller waits for an answer.
	answerSlack = 2 * time.Second
)

// violation is a rule that was broken, and how.
type violation struct{ rule, text string }

func (v violation) String() string { return v.rule + ": " + v.text }

// checks holds what the harness saw.
type checks struct {
	mu      sync.Mutex
	records []record
	// kills holds when processes were killed.
	kills []time.Time
	// suspensions holds when processes were suspended.
	suspensions []outage
	violations  []violation
	runs        *runLog
	lags        *lagMeter
	// keys is nil if the configuration has no workspaces.
	keys *keyring
}

func (c *checks) add(r record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, r)
}

func (c *checks) addKill(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kills = append(c.kills, at)
}

func (c *checks) addSuspension(o outage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspensions = append(c.suspensions, o)
}

func (c *checks) report(rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, violation{rule, fmt.Sprintf(format, args...)})
}

// outcome sums up a run.
type outcome struct {
	requests, served, refused, crossed int
	// failed holds the number of the other requests by status.
	failed     map[int]int
	violations []violation
}

// judge checks all requests. It is called when all of them have ended.
func (c *checks) judge() (o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs.mu.Lock()
	defer c.runs.mu.Unlock()
	o.failed = map[int]int{}
	o.violations = append(append(o.violations, c.violations...), c.runs.faults...)
	sent := map[string]bool{}
	for _, r := range c.records {
		sent[r.id] = true
		o.requests++
		runs := c.runs.runs[r.id]
		switch {
		case r.status == http.StatusOK:
			o.served++
		case isPromise(r.status):
			o.refused++
		case r.status == 0 && len(runs) == 0:
			o.crossed++
		default:
			o.failed[r.status]++
		}
		if rule, text := c.fault(r, runs); rule != "" {
			o.violations = append(o.violations, violation{rule, c.describe(r, runs) + ": " + text})
		}
	}
	for id, runs := range c.runs.runs {
		if !sent[id] {
			o.violations = append(o.violations, violation{"UNASKED", fmt.Sprintf("request %s ran %d times and was not sent", id, len(runs))})
		}
	}
	return o
}

// isPromise reports whether a status promises that the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// fault returns the rule that the treatment of a request broke, or nothing.
func (c *checks) fault(r record, runs []*run) (rule, text string) {
	if rule, text := c.keyFault(r, runs); rule != "" {
		return rule, text
	}
	switch {
	case r.status == http.StatusUnauthorized && c.keys.mayRefuse(r):
		return "", ""
	case r.method == http.MethodPost && len(runs) > 1:
		return "TWICE", "it ran more than once"
	case isPromise(r.status) && r.signature == "" && len(runs) > 0:
		return "REFUSED", "it was refused as not run, but ran"
	case r.status >= 200 && r.status < 300:
		return c.successFault(r, runs)
	case r.status != 0 && r.err != nil:
		return "MIXED", r.err.Error()
	case r.status >= 300 && r.status < 500 && !isPromise(r.status):
		return "DENIED", "it is allowed by all configurations"
	}
	if r.unread && len(runs) > 0 {
		return "UNASKED", "it was sent behind a response that closed the connection, and ran"
	}
	// A request that was sent ahead is read once the previous one is answered.
	if r.process.excuses(r.began, r.ended) || isPromise(r.status) || (r.ahead && len(runs) == 0) {
		return "", ""
	}
	switch {
	case os.IsTimeout(r.err):
		if c.lags.during(r.began, r.ended) < answerSlack/2 {
			return "CONFIG", "it had no answer after its deadline"
		}
	case len(runs) > 0 && r.ended.Before(r.deadline) && !r.process.endsWork(r, runs) && !c.diesWithOther(r, runs) && !c.endsByKey(r):
		return "LOST", "it was passed on and got no answer of the server"
	case len(runs) == 0 && r.status == 0 && !r.sent.IsZero() && !r.wasReset() &&
		r.ended.Sub(r.sent) > crossSlack+c.lags.during(r.sent, r.ended):
		return "LOST", "it was read and got no answer"
	}
	return "", ""
}

// successFault returns what is wrong with a success.
func (c *checks) successFault(r record, runs []*run) (rule, text string) {
	if r.err != nil {
		return "MIXED", r.err.Error()
	}
	for _, e := range runs {
		if r.signature == e.signature && r.bodySum == sumOf(bodyOf(r.id, e.server, r.size)) {
			return "", ""
		}
	}
	return "MIXED", fmt.Sprintf("signature %q or the body of %d bytes is of none of its runs", r.signature, r.bodySize)
}

// describe returns a request with its times, for a report.
func (c *checks) describe(r record, runs []*run) string {
	text := fmt.Sprintf("%s %s at %s (kept %v, work %v) began %v", r.method, r.id, r.process.name, r.kept, r.work, r.process.since(r.began))
	if !r.sent.IsZero() {
		text += fmt.Sprintf(", sent %v", r.process.since(r.sent))
	}
	for _, e := range runs {
		text += fmt.Sprintf(", run on %s %v (broken off %v)", e.server, r.process.since(e.began), e.brokenOff)
	}
	return text + fmt.Sprintf(", ended %v with status %d (%v)", r.process.since(r.ended), r.status, r.err)
}

// excuses reports whether the process was killed or suspended while a request was in flight.
func (p *process) excuses(began, ended time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.ContainsFunc(p.suspended, func(o outage) bool { return !ended.Before(o.begin) && !o.end.Add(thawTime).Before(began) }) {
		return true
	}
	// The caller sees the end of its connection only after the kill.
	return !p.killed.IsZero() && !ended.Before(p.killed) && !p.exited.Before(began)
}

// endsWork reports whether a server was at work on an early request in the last sixth of
// the grace period.
func (p *process) endsWork(r record, runs []*run) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := runs[len(runs)-1]
	return !p.termed.IsZero() && r.sent.Sub(p.termed) <= earlyInStop && last.began.Add(r.work).Sub(p.termed) >= p.shortGrace*5/6
}

// diesWithOther reports whether a run was broken off while a process was killed. An entry
// that reaches no server passes requests on to another one, which may be killed.
func (c *checks) diesWithOther(r record, runs []*run) bool {
	last := runs[len(runs)-1]
	return r.status == http.StatusBadGateway && last.brokenOff && slices.ContainsFunc(c.kills, func(at time.Time) bool {
		return at.After(last.began) && at.Before(r.ended)
	})
}

// since describes a time relative to the process's life.
func (p *process) since(at time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.termed.IsZero() {
		return fmt.Sprintf("%+dms of SIGTERM", at.Sub(p.termed).Milliseconds())
	}
	return fmt.Sprintf("%+dms of start", at.Sub(p.started).Milliseconds())
}

// lagMeter measures how late the harness itself runs on a busy machine.
type lagMeter struct {
	mu   sync.Mutex
	lags []lag
}

type lag struct {
	end time.Time
	by  time.Duration
}

const lagInterval = 10 * time.Millisecond

// measure measures until stop is closed.
func (m *lagMeter) measure(stop <-chan struct{}) {
	for last := time.Now(); ; {
		select {
		case <-stop:
			return
		case <-time.After(lagInterval):
		}
		now := time.Now()
		if by := now.Sub(last) - lagInterval; by > lagInterval {
			m.mu.Lock()
			m.lags = append(m.lags, lag{now, by})
			m.mu.Unlock()
		}
		last = now
	}
}

// during returns the sum of lags in a time.
func (m *lagMeter) during(from, to time.Time) (sum time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.lags {
		if l.end.After(from) && l.end.Add(-l.by).Before(to) {
			sum += l.by
		}
	}
	return sum
}
