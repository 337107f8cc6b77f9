package mover

import (
	"fmt"
	"math"
	"time"
)

const (
	// unitLength is the time over which the answers of one server count as one
	// observation, since faults of a machine hit answers in clusters.
	unitLength = 100 * time.Millisecond
	// alarmLevel is the cumulative log likelihood ratio that is taken as harm.
	// A detector raises a false alarm within n bad observations with a
	// probability of at most n*exp(-alarmLevel) (Page's test; Lorden 1971).
	alarmLevel = 16.0
	// slowQuantile is the quantile of the old version's latency above which an
	// answer counts as slow.
	slowQuantile = 0.9
	// exposureLife is the number of observations over which the new version's
	// part of the traffic is measured.
	exposureLife = 400.0
	// minOld is the number of observations of the old version on a route that
	// must come before its slow answers are judged.
	minOld = 50
)

// hazardRatios are the harms that the test looks for: how many times as many
// bad answers the new version gives.
var hazardRatios = [...]float64{2, 5, 20}

// Detector compares the answers of two versions at one entry, in the same
// failure domains over the same time. It is not safe for concurrent use.
type Detector struct {
	scopes map[string]*scope
	reason string
}

// scope is one route, or the whole service.
type scope struct {
	threshold quantile
	exposure  float64 // part of observations on the new version
	seen      float64
	olds      int
	open      map[string]*unit
	slow      cusum
	failed    cusum
}

// unit is one observation in the making.
type unit struct {
	until  time.Time
	isNew  bool
	total  int
	slow   int
	failed int
}

// cusum is Page's test for each hazard ratio.
type cusum [len(hazardRatios)]float64

// NewDetector returns a detector without observations.
func NewDetector() *Detector { return &Detector{scopes: map[string]*scope{}} }

// wholeService is the scope of all routes together.
const wholeService = ""

// Observation is one answer of either version.
type Observation struct {
	Route   string
	Server  string
	IsNew   bool
	Latency time.Duration
	Failed  bool
}

// Observe takes in an answer. It returns the reason once harm is found.
func (d *Detector) Observe(now time.Time, o Observation) (reason string, harm bool) {
	if d.reason != "" {
		return d.reason, true
	}
	for _, name := range []string{o.Route, wholeService} {
		s, ok := d.scopes[name]
		if !ok {
			s = &scope{open: map[string]*unit{}}
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
	u, ok := s.open[o.Server]
	if ok && !now.Before(u.until) {
		fault = s.close(u)
		ok = false
	}
	if !ok {
		u = &unit{until: now.Add(unitLength), isNew: o.IsNew}
		s.open[o.Server] = u
	}
	u.total++
	if o.Failed {
		u.failed++
		if o.IsNew && u.failed == 1 && fault == "" {
			// The first failure of a unit decides it, and need not wait.
			fault = s.judgeFailure(u)
		}
		return fault
	}
	if !o.IsNew {
		s.threshold.add(float64(o.Latency))
	}
	if s.olds >= minOld && float64(o.Latency) > s.threshold.value {
		u.slow++
	}
	return fault
}

// close judges a finished unit.
func (s *scope) close(u *unit) (fault string) {
	x := 0.0
	if u.isNew {
		x = 1
	} else {
		s.olds++
	}
	s.seen = min(s.seen+1, exposureLife)
	s.exposure += (x - s.exposure) / s.seen
	if !u.isNew && u.failed > 0 {
		s.failed.add(false, s.exposure)
	}
	if 2*u.slow > u.total && s.slow.add(u.isNew, s.exposure) {
		return "is slow"
	}
	return ""
}

func (s *scope) judgeFailure(u *unit) (fault string) {
	if s.failed.add(u.isNew, s.exposure) {
		return "fails"
	}
	return ""
}

// add takes in one bad observation. Given that it is bad, it comes from the new
// version with a probability that depends on the hazard ratio and the exposure.
func (c *cusum) add(isNew bool, exposure float64) (alarm bool) {
	e := min(max(exposure, 0.005), 0.995)
	for i, ratio := range hazardRatios {
		p := e * ratio / (e*ratio + 1 - e)
		gain := math.Log((1 - p) / (1 - e))
		if isNew {
			gain = math.Log(p / e)
		}
		c[i] = max(0, c[i]+gain)
		alarm = alarm || c[i] >= alarmLevel
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
	step := q.value * max(0.01, 1/float64(q.count))
	if x > q.value {
		q.value += step * slowQuantile
	} else {
		q.value -= step * (1 - slowQuantile)
	}
}
