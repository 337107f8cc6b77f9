package measurer_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"samphiremux/entry/mover"
	"samphiremux/pkg/parser"
	"samphiremux/standin/caller"
	"samphiremux/standin/generator"
	"samphiremux/standin/loadtester"
	"samphiremux/standin/responder"
	"samphiremux/standin/simulator"
)

const (
	moveServers = 8
	moveEntries = 4
	moveRoutes  = 10
	// lateFault is when a late fault begins.
	lateFault = 60 * time.Second
)

// versionFault is a way in which a new version is bad.
type versionFault struct {
	name string
	// length is the time from the start of the move to its deadline.
	length time.Duration
	load   float64
	bad    func(r *http.Request, load float64, at time.Duration) responder.Fault
}

func versionFaults() []versionFault {
	fails := responder.Fault{Fail: true}
	slow := responder.Fault{SlowFactor: 2}
	var fine responder.Fault
	return []versionFault{
		{"good", 40 * time.Second, 0.5, func(*http.Request, float64, time.Duration) responder.Fault { return fine }},
		{"fails", 40 * time.Second, 0.5, func(*http.Request, float64, time.Duration) responder.Fault { return fails }},
		{"slow", 40 * time.Second, 0.5, func(*http.Request, float64, time.Duration) responder.Fault { return slow }},
		{"late", 90 * time.Second, 0.5, func(_ *http.Request, _ float64, at time.Duration) responder.Fault {
			if at < lateFault {
				return fine
			}
			return fails
		}},
		{"under-load", 40 * time.Second, 0.5, func(_ *http.Request, load float64, _ time.Duration) responder.Fault {
			if load < 0.6 {
				return fine
			}
			return fails
		}},
		{"one-route", 40 * time.Second, 0.5, func(r *http.Request, _ float64, _ time.Duration) responder.Fault {
			if strings.HasPrefix(r.URL.Path, "/catalogue/7") {
				return fails
			}
			return fine
		}},
	}
}

// moveResult is what one move did.
type moveResult struct {
	phase     mover.Phase
	reason    string
	share     float64 // of the new version when its fault first showed
	hurt      int
	stopAfter time.Duration
	doneAhead time.Duration
}

func measureMove(t *testing.T, v versionFault, seed uint64) (res moveResult) {
	t.Helper()
	d := simulator.Trust().WithOnlyService("catalogue").WithServers(moveServers)
	var began, first, last atomic.Int64
	var node atomic.Pointer[simulator.Cluster]
	var share atomic.Uint64
	o := simulator.Options{Deployment: d, Entries: moveEntries, Seed: seed, Fault: fault(func(r *http.Request, load float64) responder.Fault {
		now := time.Now().UnixNano()
		m := v.bad(r, load, time.Duration(now-began.Load()))
		if m != (responder.Fault{}) && first.CompareAndSwap(0, now) {
			if w := node.Load(); w != nil {
				if rec, ok := w.Entries[0].Entry.Node().MoveRecord("catalogue"); ok {
					share.Store(uint64(1000 * rec.Share))
				}
			}
		}
		last.Store(now)
		return m
	})}
	doc := withVersions(d, d.Document("production"), "catalogue", nil, moveRoutes)
	withWorld(t, o, doc, func(t *testing.T, w world) {
		node.Store(w.Cluster)
		loadtester.InjectSlowdowns(w.ctx, w.Cluster, generator.DefaultNoisyNeighbours(), seed)
		deadline := time.Now().Add(v.length).Truncate(time.Second)
		began.Store(time.Now().UnixNano())
		err := w.Update(func(doc parser.Document) (parser.Document, bool) {
			s, _ := doc.Service("catalogue")
			s.Move = &parser.Move{From: "v1", To: "v2", Deadline: deadline}
			return doc.WithService(s), true
		})
		if err != nil {
			t.Fatal(err)
		}
		rate := v.load * float64(moveServers*d.Slots) / lognormal().Mean().Seconds()
		var x samples
		drive(w, seed, 0, time.Until(deadline)+time.Second, x.add, plan(w, "catalogue", rate, lognormal()))
		rec := finalRecord(w)
		res.phase, res.reason = rec.Phase, rec.Reason
		res.share = float64(share.Load()) / 1000
		res.doneAhead = deadline.Sub(rec.StepAt)
		for _, s := range x.all {
			if _, failed := s.Result.(caller.Failed); failed {
				res.hurt++
			}
		}
		if first.Load() > 0 {
			res.stopAfter = time.Duration(last.Load() - first.Load())
		}
	})
	return res
}

func finalRecord(w world) (r mover.Record) {
	for _, h := range w.Entries {
		if rec, ok := h.Entry.Node().MoveRecord("catalogue"); ok && (r.Move == "" || rec.Phase.Final()) {
			r = rec
		}
	}
	return r
}

func TestMovesTable(t *testing.T) {
	if !*tables {
		t.Skip("run with -tables")
	}
	for _, v := range versionFaults() {
		for seed := 1; seed <= *seeds; seed++ {
			t.Run(fmt.Sprintf("%s/%d", v.name, seed), func(t *testing.T) {
				t.Parallel()
				r := measureMove(t, v, uint64(seed))
				row("move %s seed=%d phase=%s share=%.2f hurt=%d stop-after=%v done-ahead=%v reason=%q", v.name, seed, r.phase,
					r.share, r.hurt, r.stopAfter.Round(time.Millisecond), r.doneAhead.Round(time.Millisecond), r.reason)
			})
		}
	}
}

// stopLimit is the time from the first fault of a version to its last work.
const stopLimit = 2 * time.Second

// smallShare is the most that a version has before it has shown its worth.
const smallShare = 0.05

func TestMoves(t *testing.T) {
	for _, v := range versionFaults()[:2] {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			r := measureMove(t, v, 3)
			switch {
			case v.name == "good" && (r.phase != mover.Done || r.doneAhead < 0):
				t.Errorf("a good version ended as %s, %v before its deadline: %s", r.phase, r.doneAhead, r.reason)
			case v.name == "fails" && (r.phase != mover.RolledBack || r.stopAfter > stopLimit || r.share > smallShare):
				t.Errorf("a bad version ended as %s with a share of %v, %v after its first fault", r.phase, r.share, r.stopAfter)
			}
		})
	}
}
