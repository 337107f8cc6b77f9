package roller_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"samphiremux/entry/balancer"
	"samphiremux/entry/roller"
	"samphiremux/entry/snapshotter"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/describer"
	"samphiremux/pkg/fixturereader"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
)

// storeTimeout is the time after which a call without a response has an unknown outcome.
const storeTimeout = 3 * time.Second

// fate is what becomes of a write that gets no response: the time until the store carries it
// out, in seconds, or one of the following.
type fate float64

const (
	never    fate = -1
	answered fate = -2 // the write gets a response
)

// lateStore is a store that gives no response to some writes, and carries them out later if
// their conditions still hold.
type lateStore struct {
	recordCache
	// fateOf returns the fate of a write. IsFirst is set for the first one of its phase.
	fateOf func(p snapshotter.Phase, isFirst bool) fate
	// onRollback is called with each write of a rollback, which its leader has announced before.
	onRollback func(snapshotter.MoveRecord)

	mu      sync.Mutex
	written map[snapshotter.Phase]time.Time
	// final holds the final records in the order in which they were stored.
	final []snapshotter.Phase
}

func (s *lateStore) Commit(ctx context.Context, t storer.Transaction) storer.Outcome {
	rec, err := snapshotter.DecodeMoveRecord(time.Now(), t.Puts[0].Value)
	if err != nil {
		return storer.NotCommitted{Cause: err}
	}
	if rec.Phase == snapshotter.RolledBack {
		s.onRollback(rec)
	}
	s.mu.Lock()
	_, isRepeated := s.written[rec.Phase]
	if !isRepeated {
		s.written[rec.Phase] = time.Now()
	}
	f := s.fateOf(rec.Phase, !isRepeated)
	s.mu.Unlock()
	if f == answered {
		return s.execute(ctx, t, rec.Phase)
	}
	if f != never {
		time.AfterFunc(seconds(float64(f)), func() { s.execute(context.Background(), t, rec.Phase) })
	}
	select {
	case <-time.After(storeTimeout):
	case <-ctx.Done():
	}
	return storer.Unknown{Cause: context.DeadlineExceeded}
}

func (s *lateStore) execute(ctx context.Context, t storer.Transaction, p snapshotter.Phase) storer.Outcome {
	out := s.recordCache.Commit(ctx, t)
	if _, ok := out.(storer.Committed); ok && p.Final() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.final = append(s.final, p)
	}
	return out
}

// writtenAt returns when the first write of a phase came.
func (s *lateStore) writtenAt(p snapshotter.Phase) (at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok = s.written[p]
	return at, ok
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// TestFinalRecordReplaced guards against a move whose final record is replaced by another final
// one, and against entries that hold another end of the move than the store, whenever two
// writes without a response are carried out.
func TestFinalRecordReplaced(t *testing.T) {
	table := fixturereader.Read[struct {
		DoneExecuted       []float64 `yaml:"done-executed"`
		RolledBackExecuted []float64 `yaml:"rolled-back-executed"`
		Regresses          []float64
	}](t, "_fixtures/late_final_writes.yaml")
	for _, done := range table.DoneExecuted {
		for _, rolledBack := range table.RolledBackExecuted {
			for _, regresses := range table.Regresses {
				t.Run(fmt.Sprintf("done %v, rolled back %v, regresses %v", done, rolledBack, regresses), func(t *testing.T) {
					fates := map[snapshotter.Phase]fate{snapshotter.Done: fate(done), snapshotter.RolledBack: fate(rolledBack)}
					fateOf := func(p snapshotter.Phase, isFirst bool) fate {
						if f, ok := fates[p]; ok && isFirst {
							return f
						}
						return answered
					}
					synctest.Test(t, func(t *testing.T) {
						for _, v := range (latePlay{fateOf: fateOf, regresses: regresses}).run() {
							t.Error(v)
						}
					})
				})
			}
		}
	}
}

// latePlay is a move in which some writes get no response.
type latePlay struct {
	fateOf func(p snapshotter.Phase, isFirst bool) fate
	// regresses is when the target begins to fail, in seconds after the first write of done.
	regresses float64
	// unreached holds the entries that no announcement reaches.
	unreached map[int]bool
	// restarts is when the process of an entry is replaced, in seconds after the order.
	restarts map[int]float64
}

// run plays the move. It returns what is wrong at its end, unless the move has one end, which all
// entries hold.
func (p latePlay) run() (violations []string) {
	order := describer.MoveOrder{Service: "stock", Target: "v2", Duration: 8 * time.Second, Revision: int64(storer.NewRevision(1, 7))}
	store := &lateStore{recordCache: recordCache{&recordStore{}}, written: map[snapshotter.Phase]time.Time{}, fateOf: p.fateOf}
	var members []tracker.Member
	for i := range 3 {
		members = append(members, tracker.Member{ID: fmt.Sprintf("e%d", i)})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		synctest.Wait()
	}()
	var rollers []*roller.Roller
	var stops []context.CancelFunc
	start := func(i int) (*roller.Roller, context.CancelFunc) {
		process, stop := context.WithCancel(ctx)
		r := newRollerAt(members[i].ID, members, store.recordStore, store, order, nil)
		go r.Run(process)
		return r, stop
	}
	for i := range members {
		r, stop := start(i)
		rollers, stops = append(rollers, r), append(stops, stop)
	}
	store.onRollback = func(rec snapshotter.MoveRecord) {
		for i, r := range rollers {
			if !p.unreached[i] {
				r.HandleRollback(&linkpb.VerdictNotice{Service: "stock", Move: fmt.Sprint(rec.Order), Reason: rec.Reason})
			}
		}
	}
	ordered := time.Now()
	for range 60 * 20 {
		time.Sleep(50 * time.Millisecond)
		for i, at := range p.restarts {
			if time.Since(ordered) >= seconds(at) {
				delete(p.restarts, i)
				stops[i]()
				rollers[i], stops[i] = start(i)
				store.adopt(len(store.snapshots) - 1)
			}
		}
		began, ok := store.writtenAt(snapshotter.Done)
		fails := ok && time.Since(began) >= seconds(p.regresses)
		for _, r := range rollers {
			for range 10 {
				r.Observe(balancer.Attempt{Service: "stock", Version: "v2", Route: "r", LatencyRatio: 1, Failed: fails})
			}
			r.Observe(balancer.Attempt{Service: "stock", Version: "v1", Route: "r", LatencyRatio: 1})
		}
	}
	synctest.Wait()
	stored, err := snapshotter.DecodeMoveRecord(time.Now(), store.value)
	if err != nil || !stored.Phase.Final() {
		return append(violations, fmt.Sprintf("the move has not ended: %q, %v", stored.Phase, err))
	}
	for _, phase := range store.final {
		if phase != stored.Phase {
			violations = append(violations, fmt.Sprintf("ends in the order of the store: %v", store.final))
		}
	}
	for i, s := range store.snapshots {
		if rec, _ := s.MoveRecord("stock"); rec.Phase != stored.Phase {
			violations = append(violations, fmt.Sprintf("snapshot %d holds %q, the store %q", i, rec.Phase, stored.Phase))
		}
	}
	return violations
}

// adopt applies the stored record to a snapshot that has just been made.
func (s *lateStore) adopt(i int) {
	if value, _ := s.recordStore.Get(""); value != nil {
		if rec, err := snapshotter.DecodeMoveRecord(time.Now(), value); err == nil {
			s.snapshots[i].SetMoveRecord("stock", rec)
		}
	}
}

// TestDrawnLateWrites guards as TestFinalRecordReplaced, with drawn fates of all writes,
// announcements that do not arrive, and entries that restart. For a longer run set -rapid.checks
// and -rapid.seed.
func TestDrawnLateWrites(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fates := rapid.SliceOfN(rapid.SampledFrom([]fate{answered, answered, answered, never, 0, 0.5, 2, 3.2, 4, 6}), 8, 8).Draw(rt, "fates")
		n := 0
		p := latePlay{
			fateOf: func(snapshotter.Phase, bool) fate {
				n++
				if n > len(fates) {
					return answered
				}
				return fates[n-1]
			},
			regresses: rapid.SampledFrom([]float64{0, 0.5, 2, 3, 3.3, 5}).Draw(rt, "regresses"),
			unreached: map[int]bool{}, restarts: map[int]float64{},
		}
		for i := range 3 {
			p.unreached[i] = rapid.Bool().Draw(rt, "unreached")
			if rapid.IntRange(0, 2).Draw(rt, "restarts") == 0 {
				p.restarts[i] = rapid.SampledFrom([]float64{1, 5, 9, 10, 11, 12, 13, 15}).Draw(rt, "at")
			}
		}
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = p.run() })
		if len(violations) > 0 {
			rt.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}
