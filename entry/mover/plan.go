package mover

import (
	"fmt"
	"slices"
	"time"

	"samphiremux/pkg/parser"
)

const (
	// wantedAnswers is the number of answers of the new version on each route
	// without which it keeps a small share.
	wantedAnswers = 30
	// fewAnswers is the number without which not even a near deadline moves a
	// route.
	fewAnswers = 4
	// smallStep is the last step with a small share.
	smallStep = 0
	// planFraction is the part of the time to the deadline that the steps use.
	// The rest is margin.
	planFraction = 0.85
	// rushFraction is the part of the time from which missing evidence no
	// longer holds a move on which no harm was seen.
	rushFraction = 0.7
	// maxRouteShare bounds the share of a quiet route.
	maxRouteShare = 0.5
	// minDwell is the least time at a step.
	minDwell = 500 * time.Millisecond
)

// steps are the shares of the new version. The old version keeps a part of the
// work until the move is done, so that late faults can still be compared. With
// less than this part an idle version would be compared with a loaded one.
var steps = []float64{0.045, 0.1, 0.2, 0.35, 0.5, 0.7}

// Evidence is what the entries saw on one route since the move began.
type Evidence struct {
	OldAnswers int
	NewAnswers int
}

// Advance returns the next record of a move, given the evidence by route. It
// returns the same record if nothing changes.
func Advance(now time.Time, m parser.Move, routes []string, r Record, evidence map[string]Evidence) (next Record, changed bool) {
	if r.Phase.Final() {
		return r, false
	}
	total := m.Deadline.Sub(r.Started)
	if now.Before(stepTime(r, total)) {
		return r, false
	}
	lacking := lackingRoutes(routes, evidence)
	rush := now.Sub(r.Started) >= time.Duration(rushFraction*float64(total))
	mayRush := rush && shownSome(lacking, evidence)
	if len(lacking) > 0 && r.Step >= smallStep && !mayRush {
		return hold(now, r, total, lacking, evidence)
	}
	if r.Step+1 < len(steps) {
		return r.WithStep(r.Step+1, now).WithRouteShares(quietShares(now, r, total, lacking, evidence)), true
	}
	return r.WithDone(now), true
}

// stepTime returns when the record may leave its step. The steps are spread
// over the planned time; a step that came late shortens those that follow.
func stepTime(r Record, total time.Duration) time.Time {
	planned := r.Started.Add(time.Duration(planFraction * float64(total) * float64(r.Step+1) / float64(len(steps))))
	if earliest := r.StepAt.Add(minDwell); planned.Before(earliest) {
		return earliest
	}
	return planned
}

// lackingRoutes lists the routes with too few answers of the new version.
// Routes without any traffic need none.
func lackingRoutes(routes []string, evidence map[string]Evidence) (lacking []string) {
	for _, route := range routes {
		e := evidence[route]
		if e.NewAnswers < wantedAnswers && e.OldAnswers+e.NewAnswers > 0 {
			lacking = append(lacking, route)
		}
	}
	slices.Sort(lacking)
	return lacking
}

// shownSome tells whether the new version answered on each lacking route as
// often as the route's little traffic lets it.
func shownSome(lacking []string, evidence map[string]Evidence) bool {
	return !slices.ContainsFunc(lacking, func(route string) bool {
		e := evidence[route]
		return e.NewAnswers < min(fewAnswers, (e.OldAnswers+e.NewAnswers+fewAnswers-1)/fewAnswers)
	})
}

func hold(now time.Time, r Record, total time.Duration, lacking []string, evidence map[string]Evidence) (Record, bool) {
	next := r.WithHold(fmt.Sprintf("routes %v have too few answers of the new version", lacking)).
		WithRouteShares(quietShares(now, r, total, lacking, evidence))
	changed := r.Phase != Holding || r.Reason != next.Reason
	return next, changed
}

// quietShares raises the share of each lacking route so that it shows enough
// within one step.
func quietShares(now time.Time, r Record, total time.Duration, lacking []string, evidence map[string]Evidence) map[string]float64 {
	elapsed := now.Sub(r.Started)
	step := total / time.Duration(len(steps)+1)
	if len(lacking) == 0 || elapsed <= 0 || step <= 0 {
		return nil
	}
	shares := map[string]float64{}
	for _, route := range lacking {
		e := evidence[route]
		expected := float64(e.OldAnswers+e.NewAnswers) / float64(elapsed) * float64(step)
		shares[route] = min(maxRouteShare, max(r.Share, float64(wantedAnswers-e.NewAnswers)/max(expected, 1)))
	}
	return shares
}
