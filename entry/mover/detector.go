package mover

import (
	"fmt"
	"math"
	"time"
)

const (
	// slowAlarm and failureAlarm are the cumulative log-likelihood ratios at which a
	// regression is reported. For each hazard ratio, the test raises a false alarm
	// within n bad observations with a probability of at most n*exp(-alarm) (Page's
	// CUSUM test; Lorden 1971). The alarm for slow answers is higher, since a healthy
	// version has a tenth of its answers counted as slow, but hardly any as failed.
	slowAlarm    = 16.0
	failureAlarm = 11.0
	// slowQuantile is the quantile of the old version's latency above which an answer
	// counts as slow.
	slowQuantile = 0.9
	// minObservations is the number of observations from which the estimated fraction
	// of the new version is used.
	minObservations = 40
	// minExposure bounds the fraction of either version from below, which keeps the
	// test defined while one version has no traffic.
	minExposure = 0.005
	// quantileStep is the smallest relative step of the quantile estimate.
	quantileStep = 0.004
	// exposureWindow is the number of observations over which the new version's
	// fraction of the traffic is averaged.
	exposureWindow = 400.0
	// failureGap is the time within which only the first failure of a server counts,
	// since a server that crashes fails many requests at once.
	failureGap = 100 * time.Millisecond
	// highExposure is the fraction of the new version above which small hazard ratios
	// are not tested: a version that carries most of the load is slower because of it.
	highExposure = 0.4
	// highExposureMinRatio is the smallest hazard ratio tested above highExposure.
	highExposureMinRatio = 5
	// minOldObservations is the number of latencies of the old version that a scope
	// needs before slow answers are judged.
	minOldObservations = 50
)

// hazardRatios are the regressions that the test looks for: the factor by which bad
// answers are more frequent with the new version.
var hazardRatios = [...]float64{2, 5, 20, 200}

// Detector compares the answers of two versions at one entry, in the same failure
// domains over the same time. It is not safe for concurrent use.
type Detector struct {
	scopes map[string]*scope
	reason string
}

// scope holds the statistics of one route, or of the whole service.
type scope struct {
	threshold quantile
	// latencyExposure is the new version's fraction of the compared latencies, and
	// sampleExposure its fraction of all sampled answers.
	latencyExposure exposure
	sampleExposure  exposure
	oldObservations int
	// failedUntil is the time, by server, before which further failures are not
	// counted.
	failedUntil  map[string]time.Time
	slowCusum    cusum
	failureCusum cusum
}

// cusum is Page's cumulative sum test, with one sum for each hazard ratio.
type cusum [len(hazardRatios)]float64

// NewDetector returns a Detector without observations.
func NewDetector() *Detector { return &Detector{scopes: map[string]*scope{}} }

// ResetExposure must be called when the share of the new version changes. Its fraction
// of the traffic is then estimated again before slow answers are judged.
func (d *Detector) ResetExposure() {
	for _, s := range d.scopes {
		s.latencyExposure, s.sampleExposure = exposure{}, exposure{}
	}
}

// allRoutes is the name of the scope that covers every route of the service.
const allRoutes = ""

// Observation is one answer of either version.
type Observation struct {
	Route   string
	Server  string
	IsNew   bool
	Latency time.Duration
	Failed  bool
	// Sampled reports that the request was chosen for the comparison when it was sent.
	// Latencies of other requests are not compared: faults of a machine hit answers in
	// clusters, and a choice by the time of the answer would favour short ones.
	Sampled bool
	// OnlyInFlight reports that the server had no other request of this entry in
	// flight, so that the latency does not reflect the load of its version.
	OnlyInFlight bool
	// Censored reports that the entry did not wait for the answer, which took at least
	// Latency.
	Censored bool
}

// Observe adds an answer. It returns the reason once a regression is detected, and the
// same reason from then on.
func (d *Detector) Observe(now time.Time, o Observation) (reason string, found bool) {
	if d.reason != "" {
		return d.reason, true
	}
	for _, name := range []string{o.Route, allRoutes} {
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
	if scope == allRoutes {
		return fmt.Sprintf("the new version %s over all routes", fault)
	}
	return fmt.Sprintf("the new version %s on route %s", fault, scope)
}

func (s *scope) observe(now time.Time, o Observation) (fault string) {
	if o.Sampled {
		s.sampleExposure.add(o.IsNew)
	}
	if o.Failed {
		return s.observeFailure(now, o)
	}
	if !o.Sampled || !o.OnlyInFlight || (o.Censored && float64(o.Latency) <= s.threshold.value) {
		return ""
	}
	s.latencyExposure.add(o.IsNew)
	if !o.IsNew {
		s.oldObservations++
		s.threshold.add(float64(o.Latency))
	}
	if s.latencyExposure.count < minObservations || s.oldObservations < minOldObservations || float64(o.Latency) <= s.threshold.value {
		return ""
	}
	minRatio := 0.0
	if s.latencyExposure.fraction > highExposure {
		minRatio = highExposureMinRatio
	}
	if s.slowCusum.add(o.IsNew, s.latencyExposure.fraction, minRatio, slowAlarm) {
		return "is slow"
	}
	return ""
}

func (s *scope) observeFailure(now time.Time, o Observation) (fault string) {
	if now.Before(s.failedUntil[o.Server]) {
		return ""
	}
	s.failedUntil[o.Server] = now.Add(failureGap)
	if s.failureCusum.add(o.IsNew, s.sampleExposure.estimate(), 0, failureAlarm) {
		return "fails"
	}
	return ""
}

// exposure is a moving average of the new version's fraction of a stream of
// observations.
type exposure struct {
	fraction float64
	// count is the number of observations, at most exposureWindow.
	count float64
}

// estimate returns the fraction, or the share of the first step while there are too
// few observations.
func (e *exposure) estimate() float64 {
	if e.count < minObservations {
		return steps[0]
	}
	return e.fraction
}

func (e *exposure) add(isNew bool) {
	x := 0.0
	if isNew {
		x = 1
	}
	e.count = min(e.count+1, exposureWindow)
	e.fraction += (x - e.fraction) / e.count
}

// add updates the sums with one bad observation. Given that it is bad, it comes from
// the new version with a probability that depends on the hazard ratio and the
// exposure. Sums of ratios below minRatio are reset. It reports whether a sum has
// reached the alarm level.
func (c *cusum) add(isNew bool, exposure, minRatio, level float64) (alarm bool) {
	e := min(max(exposure, minExposure), 1-minExposure)
	for i, ratio := range hazardRatios {
		if ratio < minRatio {
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

// quantile estimates a quantile of a stream by stochastic approximation.
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
