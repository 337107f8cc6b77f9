package roller_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

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

// lateStore is a store that gives no response to the first write of each final record, and
// carries it out later if its condition still holds.
type lateStore struct {
	recordCache
	// executed tells when the first write of a phase is carried out, in seconds, or -1 for
	// never.
	executed map[snapshotter.Phase]float64
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
	delay, isLate := s.executed[rec.Phase]
	_, isRepeated := s.written[rec.Phase]
	if !isRepeated {
		s.written[rec.Phase] = time.Now()
	}
	s.mu.Unlock()
	if !isLate || isRepeated {
		return s.execute(ctx, t, rec.Phase)
	}
	if delay >= 0 {
		time.AfterFunc(seconds(delay), func() { s.execute(context.Background(), t, rec.Phase) })
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
					synctest.Test(t, func(t *testing.T) { playLateWrites(t, done, rolledBack, regresses) })
				})
			}
		}
	}
}

// playLateWrites plays a move with late writes of its final records. It fails unless the move
// has one end, and all entries hold it.
func playLateWrites(t *testing.T, done, rolledBack, regresses float64) {
	is := is.New(t)
	order := describer.MoveOrder{Service: "stock", Target: "v2", Duration: 8 * time.Second, Revision: int64(storer.NewRevision(1, 7))}
	store := &lateStore{
		recordCache: recordCache{&recordStore{}}, written: map[snapshotter.Phase]time.Time{},
		executed: map[snapshotter.Phase]float64{snapshotter.Done: done, snapshotter.RolledBack: rolledBack},
	}
	var members []tracker.Member
	for i := range 3 {
		members = append(members, tracker.Member{ID: fmt.Sprintf("e%d", i)})
	}
	var rollers []*roller.Roller
	for _, m := range members {
		rollers = append(rollers, newRollerAt(m.ID, members, store.recordStore, store, order, nil))
	}
	store.onRollback = func(rec snapshotter.MoveRecord) {
		for _, r := range rollers {
			r.HandleRollback(&linkpb.VerdictNotice{Service: "stock", Move: fmt.Sprint(rec.Order), Reason: rec.Reason})
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		synctest.Wait()
	}()
	for _, r := range rollers {
		go r.Run(ctx)
	}
	for range 30 * 20 {
		time.Sleep(50 * time.Millisecond)
		began, ok := store.writtenAt(snapshotter.Done)
		fails := ok && time.Since(began) >= seconds(regresses)
		for _, r := range rollers {
			for range 10 {
				r.Observe(balancer.Attempt{Service: "stock", Version: "v2", Route: "r", LatencyRatio: 1, Failed: fails})
			}
			r.Observe(balancer.Attempt{Service: "stock", Version: "v1", Route: "r", LatencyRatio: 1})
		}
	}
	stored, err := snapshotter.DecodeMoveRecord(time.Now(), store.value)
	is.NoErr(err)
	is.True(stored.Phase.Final())
	for _, p := range store.final {
		is.Equal(p, stored.Phase)
	}
	for _, s := range store.snapshots {
		rec, _ := s.MoveRecord("stock")
		is.Equal(rec.Phase, stored.Phase)
	}
}
