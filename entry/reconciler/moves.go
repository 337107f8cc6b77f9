package reconciler

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"samphiremux/entry/dispatcher"
	"samphiremux/entry/mover"
	"samphiremux/pkg/parser"
)

// versionWeights returns the weights of a service's versions. The main version
// comes first.
func versionWeights(s parser.Service, r mover.Record, hasRecord bool) (weights []dispatcher.VersionWeight) {
	if s.Move != nil {
		share := 0.0
		if hasRecord && r.Move == mover.ID(*s.Move) {
			share = r.Share
		}
		if share >= 1 {
			return []dispatcher.VersionWeight{{Version: s.Move.To, Weight: 1}}
		}
		weights = []dispatcher.VersionWeight{{Version: s.Move.From, Weight: 1 - share}}
		if share > 0 {
			weights = append(weights, dispatcher.VersionWeight{Version: s.Move.To, Weight: share})
		}
		return weights
	}
	for _, v := range s.Versions {
		if v.Share > 0 {
			weights = append(weights, dispatcher.VersionWeight{Version: v.Name, Weight: float64(v.Share) / 100})
		}
	}
	slices.SortStableFunc(weights, func(a, b dispatcher.VersionWeight) int { return cmp.Compare(b.Weight, a.Weight) })
	return weights
}

func routeWeights(s parser.Service, r mover.Record, hasRecord bool) map[string]float64 {
	if s.Move == nil || !hasRecord || r.Move != mover.ID(*s.Move) {
		return nil
	}
	return r.RouteShares
}

// watcher compares the versions of a move on this entry's own traffic.
type watcher struct {
	node    *Node
	service string

	mu       sync.Mutex
	move     string
	from, to string
	step     int
	ended    bool
	detector *mover.Detector
	tallies  map[string]mover.Evidence
}

func newWatcher(n *Node, service string) *watcher { return &watcher{node: n, service: service} }

// follow starts anew when the service has another move.
func (w *watcher) follow(s parser.Service, r mover.Record, hasRecord bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.Move == nil {
		w.move = ""
		return
	}
	id := mover.ID(*s.Move)
	w.ended = hasRecord && r.Move == id && r.Phase.Final()
	if id == w.move {
		if r.Step != w.step {
			w.step = r.Step
			w.detector.ResetExposure()
		}
		return
	}
	w.step = 0
	w.move, w.from, w.to = id, s.Move.From, s.Move.To
	w.detector = mover.NewDetector()
	w.tallies = map[string]mover.Evidence{}
}

// Observe implements dispatcher.Observer.
func (w *watcher) Observe(now time.Time, a dispatcher.Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.move == "" || w.ended || (a.Version != w.from && a.Version != w.to) {
		return
	}
	isNew := a.Version == w.to
	if !a.Abandoned {
		w.count(a.Route, isNew)
	}
	reason, harm := w.detector.Observe(now, mover.Observation{
		Route: a.Route, Server: a.Server, IsNew: isNew, Sampled: a.Sampled, Latency: a.Latency, Failed: a.Failed, OnlyInFlight: a.OnlyInFlight, Censored: a.Abandoned,
	})
	if harm {
		w.ended = true
		// The dispatcher's lock is held, so the verdict acts from elsewhere.
		go w.node.harmSeen(w.service, w.move, reason)
	}
}

func (w *watcher) count(route string, isNew bool) {
	e := w.tallies[route]
	if isNew {
		e.NewAnswers++
	} else {
		e.OldAnswers++
	}
	w.tallies[route] = e
}

// OnRollback sets the function that passes a verdict to the other entries.
func (n *Node) OnRollback(f func(service, move, reason string)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.harm = f
}

func (n *Node) harmSeen(service, move, reason string) {
	if n.Rollback(service, move, reason) {
		n.mu.Lock()
		f := n.harm
		n.mu.Unlock()
		f(service, move, reason)
	}
}

// Rollback stops new work on the new version of a move at once. It reports
// false if the move is not under way.
func (n *Node) Rollback(service, move, reason string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, ok := n.document.Service(service)
	if !ok || s.Move == nil || mover.ID(*s.Move) != move {
		return false
	}
	r, ok := n.records[service]
	if !ok || r.Move != move {
		r = mover.Record{Move: move, Started: n.options.Now()}
	}
	if r.Phase.Final() {
		return false
	}
	n.records[service] = r.WithRollback(reason, n.options.Now())
	n.rebuild()
	return true
}

// SetMoveRecord follows the stored record of a move. A verdict that this entry knows
// is never undone by a stored record of the same move.
func (n *Node) SetMoveRecord(service string, r mover.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if have, ok := n.records[service]; ok && have.Move == r.Move && have.Phase == mover.RolledBack && r.Phase != mover.RolledBack {
		return
	}
	n.records[service] = r
	n.rebuild()
}

// MoveRecord returns the record of a service's move as this entry knows it.
func (n *Node) MoveRecord(service string) (r mover.Record, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, ok = n.records[service]
	return r, ok
}

// Tallies returns this entry's evidence by route on the move of a service.
func (n *Node) Tallies(service string) (move string, tallies map[string]mover.Evidence) {
	n.mu.Lock()
	w := n.watchers[service]
	n.mu.Unlock()
	if w == nil {
		return "", nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	tallies = make(map[string]mover.Evidence, len(w.tallies))
	for route, e := range w.tallies {
		tallies[route] = e
	}
	return w.move, tallies
}
