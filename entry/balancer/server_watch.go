package balancer

import (
	"time"

	"samphiremux/entry/hedger"
)

// serverWatch waits for evidence that the server of an attempt has become slow or is gone.
type serverWatch struct {
	balancer *Balancer
	server   *picked
	// changed is closed when the state of the server changes. It is nil if no hedge can
	// become due by evidence.
	changed <-chan struct{}
}

// watchServer returns a watch of the server of an attempt that is about to be sent. Without
// a limit of hedges it never finds evidence.
func (b *Balancer) watchServer(p *picked) *serverWatch {
	w := &serverWatch{balancer: b, server: p}
	if b.hedger != nil {
		w.changed = p.State.Changed()
	}
	return w
}

// showsDue reports whether a change of the server makes the hedge of the attempt due, which
// is so once at most. What the attempt itself shows of the server is no evidence, since its
// result follows.
func (w *serverWatch) showsDue(c *call, a hedger.Attempt) bool {
	w.changed = w.server.State.Changed()
	now := time.Now()
	changes := w.server.State.Changes(now, a.Sent)
	if w.server.ended.Load() {
		w.end()
		return false
	}
	var evidence hedger.Evidence
	switch {
	case changes.Lost:
		evidence = hedger.Lost{}
	case changes.Ejected:
		evidence = hedger.Ejected{}
	case changes.HasLoad:
		evidence = hedger.Slowed{Slowness: changes.Load.Slowness}
	default:
		return false
	}
	if !a.DueBy(now, evidence) {
		return false
	}
	w.end()
	kind := string(hedger.KindOf(evidence))
	w.balancer.metrics.hedges.evidence.With(kind).Inc()
	c.trace.add(HedgeDue, "evidence", kind, "slowness", changes.Load.Slowness)
	return true
}

// end ends the watch.
func (w *serverWatch) end() { w.changed = nil }
