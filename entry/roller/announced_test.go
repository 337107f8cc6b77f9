package roller_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/snapshotter"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/describer"
	"samphiremux/pkg/fixturereader"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
)

// announcedCase is a move with an announced rollback. The entries run until the move has ended.
type announcedCase struct {
	Name string
	// Stored is the record that the store holds, and Era its era. The order is of era 1 and
	// is written again in a later one.
	Stored knownMove
	Era    int64
	// Entries hold what each entry knows.
	Entries []knownMove
	// End is the phase that all entries and the store hold at the end.
	End snapshotter.Phase
}

// knownMove is a record that an entry knows. Announced means that a rollback was announced behind
// it.
type knownMove struct {
	Step      int
	Phase     snapshotter.Phase
	Announced bool
}

func (k knownMove) record(order int64) snapshotter.MoveRecord {
	r := snapshotter.MoveRecord{Order: order, Step: k.Step, Stable: "v1", Target: "v2", Phase: k.Phase, Share: 0.1, Started: time.Now(), Changed: time.Now()}
	if k.Phase == snapshotter.Done {
		r.Share = 1
	}
	return r
}

// TestAnnouncedRollback guards against an announced rollback that some entries undo or never
// learn of, and against one that replaces the end of the move that others know.
func TestAnnouncedRollback(t *testing.T) {
	for _, c := range fixturereader.Read[[]announcedCase](t, "_fixtures/announced.yaml") {
		// The leader is the same VM each time, so that each entry of the case leads once.
		for shift := range c.Entries {
			t.Run(fmt.Sprintf("%s/%d", c.Name, shift), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { c.play(t, shift) })
			})
		}
	}
}

func (c announcedCase) play(t *testing.T, shift int) {
	is := is.New(t)
	began := int64(storer.NewRevision(1, 7))
	order := describer.MoveOrder{Service: "stock", Target: "v2", Duration: 8 * time.Second, Revision: began}
	if c.Era > 1 {
		order.Revision = int64(storer.NewRevision(c.Era, 7))
	}
	value, err := c.Stored.record(began).Encode(time.Now())
	is.NoErr(err)
	store := &recordStore{value: value, revision: storer.NewRevision(c.Era, 8)}
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		synctest.Wait()
	}()
	var members []tracker.Member
	for i := range c.Entries {
		members = append(members, tracker.Member{ID: fmt.Sprintf("e%d", i)})
	}
	for i, m := range members {
		k := c.Entries[(i+shift)%len(c.Entries)]
		known := k.record(began)
		r := newRoller(m.ID, members, store, order, &known)
		if k.Announced {
			r.HandleRollback(&linkpb.VerdictNotice{Service: "stock", Move: fmt.Sprint(began), Reason: "fails"})
		}
		// What the store holds reaches each entry.
		store.snapshots[i].SetMoveRecord("stock", c.Stored.record(began))
		go r.Run(ctx)
	}
	time.Sleep(20 * time.Second)
	stored, err := snapshotter.DecodeMoveRecord(time.Now(), store.value)
	is.NoErr(err)
	is.Equal(stored.Phase, c.End)
	for _, s := range store.snapshots {
		rec, _ := s.MoveRecord("stock")
		is.Equal(rec.Phase, c.End)
	}
}
