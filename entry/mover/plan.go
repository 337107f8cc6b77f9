package mover

import (
	"fmt"
	"slices"
	"time"

	"samphiremux/pkg/parser"
)

const (
	// minAnswers is the number of answers of the new version that each route needs
	// before the move leaves the steps with a small share.
	minAnswers = 30
	// minAnswersLate is the number of answers of the new version that each route needs
	// for the move to advance after lateFraction. Routes with little traffic need
	// fewer.
	minAnswersLate = 4
	// lastSmallStep is the last step with a small share.
	lastSmallStep = 0
	// planFraction is the fraction of the time to the deadline that the steps use. The
	// rest is margin.
	planFraction = 0.85
	// lateFraction is the fraction of the time to the deadline from which missing
	// evidence no longer holds back a move without a detected regression.
	lateFraction = 0.7
	// maxRouteShare bounds the share of a route with little traffic.
	maxRouteShare = 0.5
	// minDwell is the shortest time at a step.
	minDwell = 500 * time.Millisecond
)

// steps are the shares of the new version. The old version keeps a part of the traffic
// until the move is done, so that late faults can still be compared. With a smaller
// part, an idle version would be compared with a loaded one.
var steps = []float64{0.045, 0.1, 0.2, 0.35, 0.5, 0.7}

// Evidence counts the answers that the entries received on one route since the move
// began.
type Evidence struct {
	OldAnswers int
	NewAnswers int
}

// Advance returns the next record of a move, given the evidence by route, and whether
// it has to be stored. The record stays the same before the time of its next step and
// after the end of the move. While a move holds, a change of its route shares alone is
// not reported.
func Advance(now time.Time, m parser.Move, routes []string, r Record, evidence map[string]Evidence) (next Record, changed bool) {
	if r.Phase.Final() {
		return r, false
	}
	total := m.Deadline.Sub(r.Started)
	if now.Before(nextStepTime(r, total)) {
		return r, false
	}
	lacking := lackingRoutes(routes, evidence)
	late := now.Sub(r.Started) >= time.Duration(lateFraction*float64(total))
	mayAdvance := late && hasMinimalEvidence(lacking, evidence)
	if len(lacking) > 0 && r.Step >= lastSmallStep && !mayAdvance {
		return hold(now, r, total, lacking, evidence)
	}
	if r.Step+1 < len(steps) {
		return r.WithStep(r.Step+1, now).WithRouteShares(lowTrafficShares(now, r, total, lacking, evidence)), true
	}
	return r.WithDone(now), true
}

// nextStepTime returns the time at which the record may leave its step. The steps are
// spread evenly over the planned time; a late step shortens those that follow.
func nextStepTime(r Record, total time.Duration) time.Time {
	planned := r.Started.Add(time.Duration(planFraction * float64(total) * float64(r.Step+1) / float64(len(steps))))
	if earliest := r.StepAt.Add(minDwell); planned.Before(earliest) {
		return earliest
	}
	return planned
}

// lackingRoutes lists, in order, the routes with too few answers of the new version.
// Routes without any traffic need none.
func lackingRoutes(routes []string, evidence map[string]Evidence) (lacking []string) {
	for _, route := range routes {
		e := evidence[route]
		if e.NewAnswers < minAnswers && e.OldAnswers+e.NewAnswers > 0 {
			lacking = append(lacking, route)
		}
	}
	slices.Sort(lacking)
	return lacking
}

// hasMinimalEvidence reports whether the new version has answered at least
// minAnswersLate requests on each lacking route, or one in minAnswersLate of the
// route's requests, rounded up, if that is fewer.
func hasMinimalEvidence(lacking []string, evidence map[string]Evidence) bool {
	return !slices.ContainsFunc(lacking, func(route string) bool {
		e := evidence[route]
		return e.NewAnswers < min(minAnswersLate, (e.OldAnswers+e.NewAnswers+minAnswersLate-1)/minAnswersLate)
	})
}

// hold returns the record in the holding phase, and whether its phase or reason
// changed.
func hold(now time.Time, r Record, total time.Duration, lacking []string, evidence map[string]Evidence) (Record, bool) {
	next := r.WithHold(fmt.Sprintf("routes %v have too few answers of the new version", lacking)).
		WithRouteShares(lowTrafficShares(now, r, total, lacking, evidence))
	changed := r.Phase != Holding || r.Reason != next.Reason
	return next, changed
}

// lowTrafficShares raises the share of each lacking route so that the new version gets
// enough answers within one step.
func lowTrafficShares(now time.Time, r Record, total time.Duration, lacking []string, evidence map[string]Evidence) map[string]float64 {
	elapsed := now.Sub(r.Started)
	step := total / time.Duration(len(steps)+1)
	if len(lacking) == 0 || elapsed <= 0 || step <= 0 {
		return nil
	}
	shares := map[string]float64{}
	for _, route := range lacking {
		e := evidence[route]
		expected := float64(e.OldAnswers+e.NewAnswers) / float64(elapsed) * float64(step)
		shares[route] = min(maxRouteShare, max(r.Share, float64(minAnswers-e.NewAnswers)/max(expected, 1)))
	}
	return shares
}
