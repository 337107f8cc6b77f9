package mover

import (
	"fmt"
	"math"
	"time"
)

const (
	// slowAlarm and failureAlarm are the cumulative log likelihood ratios that
	// are taken as harm. A test raises a false alarm within n bad observations
	// with a probability of at most n*exp(-alarm) for each hazard ratio (Page's
	// test; Lorden 1971). A good version sees a tenth of its answers as slow, but
	// hardly any as failed.
	slowAlarm    = 16.0
	failureAlarm = 11.0
	// slowQuantile is the quantile of the old version's latency above which an
	// answer counts as slow.
	slowQuantile = 0.9
	// minExposed is the number of observations from which the new version's part
	// is known well enough.
	minExposed = 40
	// minExposure keeps the test defined while one version has no traffic.
	minExposure = 0.005
	// quantileStep is the least relative step of the learned quantile.
	quantileStep = 0.004
	// exposureLife is the number of observations over which the new version's
	// part of the traffic is measured.
	exposureLife = 400.0
	// failureGap is the time in which only the first failure of a server counts,
	// since a dying server fails many requests at once.
	failureGap = 100 * time.Millisecond
	// evenExposure is the part of the new version from which small hazard ratios
	// are left out: a version that carries most of the load is slower for it.
	evenExposure = 0.4
	// evenRatio is the smallest hazard ratio that is looked for from there.
	evenRatio = 5
	// minOld is the number of observations of the old version on a route that
	// must come before its slow answers are judged.
	minOld = 50
)

// hazardRatios are the harms that the test looks for: how many times as many
// bad answers the new version gives.
var hazardRatios = [...]float64{2, 5, 20, 200}

// Detector compares the answers of two versions at one entry, in the same
// failure domains over the same time. It is not safe for concurrent use.
type Detector struct {
	scopes map[string]*scope
	reason string
}

// scope is one route, or the whole service.
type scope struct {
	threshold quantile
	// judged is the new version's part of the latencies that are compared, and
	// answered its part of all sampled answers.
	judged   exposure
	answered exposure
	olds     int
	// failedUntil is when each server's next failure counts.
	failedUntil map[string]time.Time
	slow        cusum
	failed      cusum
}

// cusum is Page's test for each hazard ratio.
type cusum [len(hazardRatios)]float64

// NewDetector returns a detector without observations.
func NewDetector() *Detector { return &Detector{scopes: map[string]*scope{}} }

// ResetExposure follows a change of the new version's share. Its part of the traffic has
// to be learned again before more is judged.
func (d *Detector) ResetExposure() {
	for _, s := range d.scopes {
		s.judged, s.answered = exposure{}, exposure{}
	}
}

// wholeService is the scope of all routes together.
const wholeService = ""

// Observation is one answer of either version.
type Observation struct {
	Route   string
	Server  string
	IsNew   bool
	Latency time.Duration
	Failed  bool
	// Sampled tells that the request was chosen when it was sent. Latencies of
	// others are not compared: faults of a machine hit answers in clusters, and a
	// choice by when answers come would favour short ones.
	Sampled bool
	// OnlyInFlight tells that the server had no other request of this entry, so that
	// the latency does not show how loaded its version is.
	OnlyInFlight bool
	// Censored tells that the answer was not awaited: it took at least Latency.
	Censored bool
}

// Observe takes in an answer. It returns the reason once harm is found.
func (d *Detector) Observe(now time.Time, o Observation) (reason string, harm bool) {
	if d.reason != "" {
		return d.reason, true
	}
	for _, name := range []string{o.Route, wholeService} {
		s, ok := d.scopes[name]
		if !ok {
			s = &scope{failedUntil: map[string]time.Time{}}
			d.scopes[name] = s
		}
		if fault := s.observe(now, o); fault != "" {
			d.reason = describe(name, fault)
			return d.reason, true
		}
	}
	return "", false
}

func describe(scope, fault string) string {
	if scope == wholeService {
		return fmt.Sprintf("the new version %s over all routes", fault)
	}
	return fmt.Sprintf("the new version %s on route %s", fault, scope)
}

func (s *scope) observe(now time.Time, o Observation) (fault string) {
	if o.Sampled {
		s.answered.add(o.IsNew)
	}
	if o.Failed {
		return s.observeFailure(now, o)
	}
	if !o.Sampled || !o.OnlyInFlight || (o.Censored && float64(o.Latency) <= s.threshold.value) {
		return ""
	}
	s.judged.add(o.IsNew)
	if !o.IsNew {
		s.olds++
		s.threshold.add(float64(o.Latency))
	}
	if s.judged.seen < minExposed || s.olds < minOld || float64(o.Latency) <= s.threshold.value {
		return ""
	}
	smallest := 0.0
	if s.judged.part > evenExposure {
		smallest = evenRatio
	}
	if s.slow.add(o.IsNew, s.judged.part, smallest, slowAlarm) {
		return "is slow"
	}
	return ""
}

func (s *scope) observeFailure(now time.Time, o Observation) (fault string) {
	if now.Before(s.failedUntil[o.Server]) {
		return ""
	}
	s.failedUntil[o.Server] = now.Add(failureGap)
	if s.failed.add(o.IsNew, s.answered.known(), 0, failureAlarm) {
		return "fails"
	}
	return ""
}

// exposure follows the new version's part of a stream of observations.
type exposure struct {
	part float64
	seen float64
}

// known returns the part, or a guess before there are observations.
func (e *exposure) known() float64 {
	if e.seen < minExposed {
		return steps[0]
	}
	return e.part
}

func (e *exposure) add(isNew bool) {
	x := 0.0
	if isNew {
		x = 1
	}
	e.seen = min(e.seen+1, exposureLife)
	e.part += (x - e.part) / e.seen
}

// add takes in one bad observation. Given that it is bad, it comes from the new
// version with a probability that depends on the hazard ratio and the exposure.
func (c *cusum) add(isNew bool, exposure, smallest, level float64) (alarm bool) {
	e := min(max(exposure, minExposure), 1-minExposure)
	for i, ratio := range hazardRatios {
		if ratio < smallest {
			c[i] = 0
			continue
		}
		p := e * ratio / (e*ratio + 1 - e)
		gain := math.Log((1 - p) / (1 - e))
		if isNew {
			gain = math.Log(p / e)
		}
		c[i] = max(0, c[i]+gain)
		alarm = alarm || c[i] >= level
	}
	return alarm
}

// quantile follows a quantile of a stream by stochastic approximation.
type quantile struct {
	value float64
	count int
}

func (q *quantile) add(x float64) {
	q.count++
	if q.count == 1 {
		q.value = x
		return
	}
	step := q.value * max(quantileStep, 1/float64(q.count))
	if x > q.value {
		q.value += step * slowQuantile
	} else {
		q.value -= step * (1 - slowQuantile)
	}
}
