package roller

import (
	"fmt"
	"time"
)

// ExposureLimit bounds the requests that a faulty target version may receive during a
// move: Share is a fraction of all requests of the service between the order and the
// end of the move, and Slack is a number of requests in addition.
type ExposureLimit struct{ Share, Slack float64 }

// step is one stage of a move. Its share of the requests follows from the part of the
// planned exposure that it may use and from the request rate. The planned exposure is
// the fraction exposureMargin of the exposure limit.
type step struct {
	// end is the fraction of the move's duration at which the step ends.
	end float64
	// exposurePart is the fraction of the planned exposure that the step uses.
	exposurePart float64
}

// steps use up to 0.85 of the planned exposure. The rest is reserved for requests that
// are sent after the last step until a regression is detected. The first step is long,
// since some versions fail only after a while.
var steps = []step{{end: 0.40, exposurePart: 0.40}, {end: 0.52, exposurePart: 0.20}, {end: 0.62, exposurePart: 0.25}}

const (
	// exposureMargin is the fraction of the exposure limit that the plan may use.
	exposureMargin = 0.9
	// maxStepShare is the largest share of the target before it receives all requests.
	maxStepShare = 0.7
	// maxGrowthFactor bounds the growth of the share in one update.
	maxGrowthFactor = 2.5
	// minAnswers is the number of answers of the target below which its share stays at
	// that of the first step.
	minAnswers = 12
	// waiveAnswersFrom is the fraction of the duration from which a lack of answers no
	// longer holds back a move without a detected regression.
	waiveAnswersFrom = 0.7
	// settleTime is the time for which the target receives all requests before the
	// move is recorded as done, so that every entry has stopped using the old version.
	settleTime = 1500 * time.Millisecond
)

// progress is the state of a running move.
type progress struct {
	elapsed  time.Duration
	duration time.Duration
	total    evidence
}

const (
	// maxOldBadRate is the rate of failed or slow answers of the old version above
	// which the target cannot be compared with it.
	maxOldBadRate = 0.25
	// minServerRatio is the ratio of the target's servers to those of the old version
	// below which the target cannot carry the service.
	minServerRatio = 0.6
)

// checkHold reports whether the move must stay at its current share, and why.
func (p progress) checkHold(oldServers, newServers int) (reason string, held bool) {
	old := p.total.old
	switch {
	case float64(newServers) < minServerRatio*float64(oldServers):
		return "the target has too few servers", true
	case old.answers > 0 && float64(old.failures+old.slow) > maxOldBadRate*float64(old.answers):
		return "the old version has too many failed or slow answers to compare with", true
	}
	return "", false
}

// share returns the target's share of the requests at this point of the plan. The
// first step is extended until the target has sent minAnswers answers or
// waiveAnswersFrom is reached.
func (p progress) share(limit ExposureLimit) float64 {
	fraction := float64(p.elapsed) / float64(p.duration)
	enoughAnswers := p.total.new.answers >= minAnswers || fraction >= waiveAnswersFrom
	start := 0.0
	for i, s := range steps {
		if fraction < s.end || (i == 0 && !enoughAnswers) {
			return p.stepShare(limit, s.exposurePart, s.end-start)
		}
		start = s.end
	}
	return 1
}

// nextShare returns the share that follows the current one. Before the target receives
// all requests, its share grows by at most maxGrowthFactor at a time, since a new
// leader may not have received the reports of all entries yet and may take the service
// for one with little traffic.
func (p progress) nextShare(limit ExposureLimit, current float64) float64 {
	share := p.share(limit)
	if share == 1 {
		return 1
	}
	return min(share, max(current, p.firstShare(limit))*maxGrowthFactor)
}

// firstShare returns the smallest share of the plan, which assumes a service with many
// requests.
func (p progress) firstShare(l ExposureLimit) float64 { return progress{duration: p.duration}.share(l) }

// stepShare returns the share that spends a fraction (part) of the planned exposure
// evenly over a fraction (width) of the duration.
func (p progress) stepShare(limit ExposureLimit, part, width float64) float64 {
	requests := p.expectedRequests()
	allowed := exposureMargin * (limit.Share*requests + limit.Slack)
	return min(maxStepShare, part*allowed/(width*requests))
}

// expectedRequests returns the number of requests during the whole move, extrapolated
// from the rate so far.
func (p progress) expectedRequests() float64 {
	seen := float64(p.total.old.answers + p.total.new.answers)
	if p.elapsed < time.Second || seen < 1 {
		// Too few requests have been seen to know the rate.
		return assumedRate * p.duration.Seconds()
	}
	return seen * float64(p.duration) / float64(p.elapsed)
}

// assumedRate is the rate, in requests per second, that is assumed at the start of a
// move. A high rate gives a small first share, which keeps even a service of ten
// requests per second within the exposure limit.
const assumedRate = 500

const (
	// minBadAnswers is the number of bad answers of the target below which no
	// regression is reported.
	minBadAnswers = 4
	// minBadRate is the rate of bad answers of the target below which no regression is
	// reported.
	minBadRate = 0.15
	// minBadRatio is the ratio of the target's rate of bad answers to that of the old
	// version from which a regression is reported.
	minBadRatio = 3.0
	// priorBad and priorAnswers are added to the counts of the old version, so that
	// its rate is defined without answers and not underestimated with few (Laplace's
	// rule of succession).
	priorBad     = 1.0
	priorAnswers = 2.0
)

// findRegression reports whether the target is worse than the old version on any route
// or on all routes together, and returns the reason.
func findRegression(routes map[string]evidence) (reason string, found bool) {
	var total evidence
	for _, e := range routes {
		total = total.add(e)
	}
	for route, e := range routes {
		if reason, found = e.regression(); found {
			return fmt.Sprintf("%s on route %s", reason, route), true
		}
	}
	return total.regression()
}

// regression compares the failed answers of both versions, and then the failed and
// slow answers together.
func (e evidence) regression() (reason string, found bool) {
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

// worse reports whether the target's rate of bad answers is a regression.
func worse(bad, answers, badBefore, answersBefore uint64) bool {
	if bad < minBadAnswers {
		return false
	}
	rate := float64(bad) / float64(answers)
	before := (float64(badBefore) + priorBad) / (float64(answersBefore) + priorAnswers)
	return rate >= minBadRate && rate >= minBadRatio*before
}
