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

// versionWeights returns the traffic weights of a service's versions. The main
// version comes first.
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

// routeWeights returns the shares of the new version on routes with little traffic.
// A move gives it more there than its share of the service.
func routeWeights(s parser.Service, r mover.Record, hasRecord bool) map[string]float64 {
	if s.Move == nil || !hasRecord || r.Move != mover.ID(*s.Move) {
		return nil
	}
	return r.RouteShares
}

// observer compares the two versions of a move by this entry's own traffic.
type observer struct {
	node    *Node
	service string

	mu       sync.Mutex
	move     string
	from, to string
	step     int
	done     bool
	detector *mover.Detector
	tallies  map[string]mover.Evidence
}

func newObserver(n *Node, service string) *observer { return &observer{node: n, service: service} }

// update applies the declaration and the move record of the service. The
// comparison starts again when the service has another move.
func (o *observer) update(s parser.Service, r mover.Record, hasRecord bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s.Move == nil {
		o.move = ""
		return
	}
	id := mover.ID(*s.Move)
	o.done = hasRecord && r.Move == id && r.Phase.Final()
	if id == o.move {
		if r.Step != o.step {
			o.step = r.Step
			o.detector.ResetExposure()
		}
		return
	}
	o.step = 0
	o.move, o.from, o.to = id, s.Move.From, s.Move.To
	o.detector = mover.NewDetector()
	o.tallies = map[string]mover.Evidence{}
}

// Observe implements dispatcher.Observer.
func (o *observer) Observe(now time.Time, a dispatcher.Attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.move == "" || o.done || (a.Version != o.from && a.Version != o.to) {
		return
	}
	isNew := a.Version == o.to
	if !a.Censored {
		o.countResponse(a.Route, isNew)
	}
	reason, harm := o.detector.Observe(now, mover.Observation{
		Route: a.Route, Server: a.Server, IsNew: isNew, Sampled: a.Sampled, Latency: a.Latency, Failed: a.Failed, OnlyInFlight: a.OnlyInFlight, Censored: a.Censored,
	})
	if harm {
		o.done = true
		// The caller holds the dispatcher's lock, which the rollback also
		// takes, so the rollback runs in a goroutine of its own.
		go o.node.handleHarm(o.service, o.move, reason)
	}
}

func (o *observer) countResponse(route string, isNew bool) {
	e := o.tallies[route]
	if isNew {
		e.NewAnswers++
	} else {
		e.OldAnswers++
	}
	o.tallies[route] = e
}

// OnRollback sets the function that notifies the other entries of a rollback
// that this entry decided.
func (n *Node) OnRollback(f func(service, move, reason string)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onRollback = f
}

// OnDoubt sets the function that is called when the contact with the servers of a service
// is in doubt. It must not block, and must be set before the first document.
func (n *Node) OnDoubt(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onDoubt = f
}

// handleHarm rolls a move back after the detector found harm, and notifies the
// other entries unless the move had already ended.
func (n *Node) handleHarm(service, move, reason string) {
	if n.Rollback(service, move, reason) {
		n.mu.Lock()
		notify := n.onRollback
		n.mu.Unlock()
		notify(service, move, reason)
	}
}

// Rollback stops new work on the new version of a move at once. It reports
// false if the move is not in progress.
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

// SetMoveRecord applies the stored record of a move. A rollback that this entry
// knows of is undone only by another end of the same move: the operators have been
// notified of the end that the store holds.
func (n *Node) SetMoveRecord(service string, r mover.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if current, ok := n.records[service]; ok && current.Move == r.Move && current.Phase == mover.RolledBack && !r.Phase.Final() {
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

// MoveEvidence returns the id of a service's move and the evidence on it that this
// entry collected, by route.
func (n *Node) MoveEvidence(service string) (move string, tallies map[string]mover.Evidence) {
	n.mu.Lock()
	o := n.observers[service]
	n.mu.Unlock()
	if o == nil {
		return "", nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	tallies = make(map[string]mover.Evidence, len(o.tallies))
	for route, e := range o.tallies {
		tallies[route] = e
	}
	return o.move, tallies
}
