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
	// lateFault is the time from the start of the move to the start of a late fault.
	lateFault = 60 * time.Second
)

// versionFault is a fault of a new version, or none.
type versionFault struct {
	name string
	// length is the time from the start of the move to its deadline.
	length time.Duration
	// load is the offered load, as a fraction of the capacity of one version.
	load float64
	// fault returns the fault of a request, by the load of its server and the time
	// since the start of the move.
	fault func(r *http.Request, load float64, at time.Duration) responder.Fault
}

func versionFaults() []versionFault {
	failing := responder.Fault{Fail: true}
	slow := responder.Fault{SlowFactor: 2}
	var none responder.Fault
	return []versionFault{
		{"good", 40 * time.Second, 0.5, func(*http.Request, float64, time.Duration) responder.Fault { return none }},
		{"fails", 40 * time.Second, 0.5, func(*http.Request, float64, time.Duration) responder.Fault { return failing }},
		{"slow", 40 * time.Second, 0.5, func(*http.Request, float64, time.Duration) responder.Fault { return slow }},
		{"late", 90 * time.Second, 0.5, func(_ *http.Request, _ float64, at time.Duration) responder.Fault {
			if at < lateFault {
				return none
			}
			return failing
		}},
		{"under-load", 40 * time.Second, 0.5, func(_ *http.Request, load float64, _ time.Duration) responder.Fault {
			if load < 0.6 {
				return none
			}
			return failing
		}},
		{"one-route", 40 * time.Second, 0.5, func(r *http.Request, _ float64, _ time.Duration) responder.Fault {
			if strings.HasPrefix(r.URL.Path, "/catalogue/7") {
				return failing
			}
			return none
		}},
	}
}

// moveResult is the outcome of one move.
type moveResult struct {
	phase  mover.Phase
	reason string
	// share is the share of the new version at its first fault.
	share float64
	// failedCalls counts the calls that got an error from a backend server.
	failedCalls int
	// stopAfter is the time from the first fault to the last request to the new
	// version. It is zero without a fault.
	stopAfter time.Duration
	// doneAhead is the time from the last step of the move to its deadline.
	doneAhead time.Duration
}

// measureMove moves a service under load to a new version with a fault.
func measureMove(t *testing.T, v versionFault, seed uint64) (res moveResult) {
	t.Helper()
	d := simulator.Trust().WithOnlyService("catalogue").WithServers(moveServers)
	var startedAt, firstFault, lastRequest atomic.Int64
	var running atomic.Pointer[simulator.Cluster]
	var faultShare atomic.Uint64
	o := simulator.Options{Deployment: d, Entries: moveEntries, Seed: seed, Fault: faultOnV2(func(r *http.Request, load float64) responder.Fault {
		now := time.Now().UnixNano()
		fault := v.fault(r, load, time.Duration(now-startedAt.Load()))
		if fault != (responder.Fault{}) && firstFault.CompareAndSwap(0, now) {
			if cl := running.Load(); cl != nil {
				if rec, ok := cl.Entries[0].Entry.Node().MoveRecord("catalogue"); ok {
					faultShare.Store(uint64(1000 * rec.Share))
				}
			}
		}
		lastRequest.Store(now)
		return fault
	})}
	doc := withVersions(d, d.Document("production"), "catalogue", nil, moveRoutes)
	withCluster(t, o, doc, func(t *testing.T, cl testCluster) {
		running.Store(cl.Cluster)
		loadtester.InjectSlowdowns(cl.ctx, cl.Cluster, generator.DefaultNoisyNeighbours(), seed)
		deadline := time.Now().Add(v.length).Truncate(time.Second)
		startedAt.Store(time.Now().UnixNano())
		err := cl.Update(func(doc parser.Document) (parser.Document, bool) {
			s, _ := doc.Service("catalogue")
			s.Move = &parser.Move{From: "v1", To: "v2", Deadline: deadline}
			return doc.WithService(s), true
		})
		if err != nil {
			t.Fatal(err)
		}
		rate := v.load * float64(moveServers*d.Slots) / lognormal().Mean().Seconds()
		var calls samples
		drive(cl, seed, 0, time.Until(deadline)+time.Second, calls.add, workload(cl, "catalogue", rate, lognormal()))
		rec := finalRecord(cl)
		res.phase, res.reason = rec.Phase, rec.Reason
		res.share = float64(faultShare.Load()) / 1000
		res.doneAhead = deadline.Sub(rec.StepAt)
		for _, s := range calls.all {
			if _, failed := s.Result.(caller.Failed); failed {
				res.failedCalls++
			}
		}
		if firstFault.Load() > 0 {
			res.stopAfter = time.Duration(lastRequest.Load() - firstFault.Load())
		}
	})
	return res
}

// finalRecord returns the record of the move in a final phase if an entry has one.
func finalRecord(cl testCluster) (r mover.Record) {
	for _, h := range cl.Entries {
		if rec, ok := h.Entry.Node().MoveRecord("catalogue"); ok && (r.Move == "" || rec.Phase.Final()) {
			r = rec
		}
	}
	return r
}

// TestMovesTable prints the outcome of a move for each fault and seed.
func TestMovesTable(t *testing.T) {
	if !*tables {
		t.Skip("run with -tables")
	}
	for _, v := range versionFaults() {
		for seed := 1; seed <= *seeds; seed++ {
			t.Run(fmt.Sprintf("%s/%d", v.name, seed), func(t *testing.T) {
				t.Parallel()
				r := measureMove(t, v, uint64(seed))
				printRow("move %s seed=%d phase=%s share=%.2f hurt=%d stop-after=%v done-ahead=%v reason=%q", v.name, seed, r.phase,
					r.share, r.failedCalls, r.stopAfter.Round(time.Millisecond), r.doneAhead.Round(time.Millisecond), r.reason)
			})
		}
	}
}

// stopLimit bounds the time from the first fault of a bad version to its last request.
const stopLimit = 2 * time.Second

// smallShare bounds the share of a new version until its answers have shown that it is
// good.
const smallShare = 0.05

// TestMoves fails when a good version is not fully in service by the deadline, or when
// a version that fails every request is not rolled back early, at a small share.
func TestMoves(t *testing.T) {
	for _, v := range versionFaults()[:2] {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			r := measureMove(t, v, 3)
			switch {
			case v.name == "good" && (r.phase != mover.Done || r.doneAhead < 0):
				t.Errorf("move to a good version ended as %s, %v before its deadline: %s", r.phase, r.doneAhead, r.reason)
			case v.name == "fails" && (r.phase != mover.RolledBack || r.stopAfter > stopLimit || r.share > smallShare):
				t.Errorf("move to a bad version ended as %s with a share of %v, %v after its first fault", r.phase, r.share, r.stopAfter)
			}
		})
	}
}
