package roller

import (
	"fmt"
	"time"
)

// ExposureLimit bounds the requests that a bad version may get: a share of all
// requests of the service from the order to its end, and a number beyond.
type ExposureLimit struct{ Share, Slack float64 }

// step is a part of a move's time with one share of the target.
type step struct {
	// until is the part of the time at which the step ends.
	until float64
	// part is the part of the allowed exposure that the step uses.
	part float64
}

// steps use up to 0.85 of the allowed exposure. The rest is for requests that are
// sent until harm is found after the last step. The first is long, since some
// versions fail only after a while.
var steps = []step{{until: 0.40, part: 0.40}, {until: 0.52, part: 0.20}, {until: 0.62, part: 0.25}}

const (
	// exposureMargin is the part of the allowed exposure that is planned with.
	exposureMargin = 0.9
	// maxStepShare is the largest share before the last step.
	maxStepShare = 0.7
	// maxGrowth bounds the growth of a share at a time.
	maxGrowth = 2.5
	// wantedAnswers is the number of answers of the target without which its
	// share does not grow.
	wantedAnswers = 12
	// rushUntil is the part of the time from which few answers no longer hold a
	// move on which no harm was seen.
	rushUntil = 0.7
	// settleTime is the time for which the target carries everything before the
	// move is called done, so that every entry has stopped using the old version.
	settleTime = 1500 * time.Millisecond
)

// progress is where a move stands.
type progress struct {
	elapsed time.Duration
	span    time.Duration
	total   evidence
}

const (
	// judgeable is the rate of bad answers of the old version above which the
	// target cannot be compared with it.
	judgeable = 0.25
	// enoughServers is the number of servers of the target, relative to those of
	// the old version, without which it cannot carry the service.
	enoughServers = 0.6
)

// holds tells why a move must not go on now.
func (p progress) holds(oldServers, newServers int) (reason string, held bool) {
	old := p.total.old
	switch {
	case float64(newServers) < enoughServers*float64(oldServers):
		return "the target has too few servers", true
	case old.answers > 0 && float64(old.failures+old.slow) > judgeable*float64(old.answers):
		return "the old version answers too badly to compare", true
	}
	return "", false
}

// share returns the part of the requests that the target should get now.
func (p progress) share(x ExposureLimit) float64 {
	at := float64(p.elapsed) / float64(p.span)
	shown := p.total.new.answers >= wantedAnswers || at >= rushUntil
	from := 0.0
	for i, s := range steps {
		if at < s.until || (i == 0 && !shown) {
			return p.stepShare(x, s.part, s.until-from)
		}
		from = s.until
	}
	return 1
}

// next returns the share that follows a share. Before the last step it grows by
// steps, since a leader may not have heard of all requests yet.
func (p progress) next(x ExposureLimit, current float64) float64 {
	share := p.share(x)
	if share == 1 {
		return 1
	}
	return min(share, max(current, p.first(x))*maxGrowth)
}

// first is the smallest share of the plan: that of a service of many requests.
func (p progress) first(x ExposureLimit) float64 { return progress{span: p.span}.share(x) }

// stepShare spreads a part of the allowed exposure over a part of the time.
func (p progress) stepShare(x ExposureLimit, part, width float64) float64 {
	requests := p.expected()
	allowed := exposureMargin * (x.Share*requests + x.Slack)
	return min(maxStepShare, part*allowed/(width*requests))
}

// expected returns the requests of the whole span at the rate seen so far.
func (p progress) expected() float64 {
	seen := float64(p.total.old.answers + p.total.new.answers)
	if p.elapsed < time.Second || seen < 1 {
		// Too little is known: a service of ten requests a second is assumed not
		// to be exceeded by the first share.
		return firstRate * p.span.Seconds()
	}
	return seen * float64(p.span) / float64(p.elapsed)
}

// firstRate is the requests a second that are assumed at the start of a move. A
// high figure gives a small first share.
const firstRate = 500

const (
	// fewBad is the number of bad answers from which harm may be found.
	fewBad = 4
	// badRate is the rate of bad answers of the target that is taken as harm.
	badRate = 0.15
	// badRatio is how many times as often as the old version it has to be bad.
	badRatio = 3.0
	// priorBad and priorAnswers stand for what was not seen of the old version yet
	// (Laplace's rule of succession).
	priorBad     = 1.0
	priorAnswers = 2.0
)

// harm tells whether the target is worse than the old version, and how.
func harm(routes map[string]evidence) (reason string, found bool) {
	var total evidence
	for _, e := range routes {
		total = total.plus(e)
	}
	for route, e := range routes {
		if reason, found = e.harm(); found {
			return fmt.Sprintf("%s on route %s", reason, route), true
		}
	}
	return total.harm()
}

func (e evidence) harm() (reason string, found bool) {
	if worse(e.new.failures, e.new.answers, e.old.failures, e.old.answers) {
		return fmt.Sprintf("%d of %d answers failed, %d of %d before", e.new.failures, e.new.answers, e.old.failures, e.old.answers), true
	}
	bad := e.new.failures + e.new.slow
	before := e.old.failures + e.old.slow
	if worse(bad, e.new.answers, before, e.old.answers) {
		return fmt.Sprintf("%d of %d answers failed or were slow, %d of %d before", bad, e.new.answers, before, e.old.answers), true
	}
	return "", false
}

func worse(bad, answers, badBefore, answersBefore uint64) bool {
	if bad < fewBad {
		return false
	}
	rate := float64(bad) / float64(answers)
	before := (float64(badBefore) + priorBad) / (float64(answersBefore) + priorAnswers)
	return rate >= badRate && rate >= badRatio*before
}
