package roller_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"samphiremux/entry/roller"
	"samphiremux/entry/snapshotter"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/describer"
	"samphiremux/pkg/linker"
	"samphiremux/pkg/storer"
)

// recordStore holds one move record. All entries learn of it without delay.
type recordStore struct {
	storer.Store
	mu        sync.Mutex
	value     []byte
	revision  storer.Revision
	commits   int
	snapshots []*snapshotter.Snapshotter
}

func (s *recordStore) Get(string) ([]byte, storer.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value, s.revision
}

func (s *recordStore) Commit(_ context.Context, t storer.Transaction) storer.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.Guards[0].ModRevision != s.revision {
		return storer.NotCommitted{Cause: storer.ErrConflict{Key: t.Guards[0].Key}}
	}
	s.commits++
	s.revision = storer.NewRevision(2, s.revision.Number()+1)
	s.value = t.Puts[0].Value
	if r, err := snapshotter.DecodeMoveRecord(time.Now(), s.value); err == nil {
		for _, sn := range s.snapshots {
			sn.SetMoveRecord("stock", r)
		}
	}
	return storer.Committed{Revision: s.revision}
}

// newRoller returns a roller of an entry that knows an order and may know a record.
func newRoller(id string, members []tracker.Member, store *recordStore, o describer.MoveOrder, known *snapshotter.MoveRecord) *roller.Roller {
	return newRollerAt(id, members, store, recordCache{store}, o, known)
}

// newRollerAt is as newRoller, for a roller that writes to another store than the one of which
// the entries learn.
func newRollerAt(id string, members []tracker.Member, store *recordStore, written storer.Store, o describer.MoveOrder, known *snapshotter.MoveRecord) *roller.Roller {
	snapshots := snapshotter.New(func(describer.Server) *snapshotter.ServerState { return nil })
	snapshots.SetOrder(o)
	store.snapshots = append(store.snapshots, snapshots)
	if known != nil {
		snapshots.SetMoveRecord(o.Service, *known)
	}
	all := func(time.Time) []tracker.Member { return members }
	return roller.New(roller.Options{
		Self: id, Store: written, StoreCache: store, Prefix: "moves/", Snapshots: snapshots, Members: all, LeaderCandidates: all,
		OnStoreFailure: func() {}, Pool: linker.NewPool(refuseDial),
		Exposure: func() roller.ExposureLimit { return roller.ExposureLimit{Share: 0.1, Slack: 50} },
		EncodeStatus: func(describer.MoveOrder, describer.MoveState) (string, []byte, error) {
			return "status", nil, nil
		},
		Log: hclog.NewNullLogger(),
	})
}

// recordCache is the store as a roller writes to it.
type recordCache struct{ *recordStore }

func (recordCache) Get(context.Context, string) (storer.KeyValue, error) {
	return storer.KeyValue{}, storer.ErrUnavailable{}
}

// TestRolledBackMoveStartsAgain guards against a faulty version that gets requests again
// after the store has lost the record of its rollback: an entry that has just started
// leads the move and knows no record.
func TestRolledBackMoveStartsAgain(t *testing.T) {
	for fresh := range 3 {
		t.Run(fmt.Sprintf("entry %d has just started", fresh), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				order := describer.MoveOrder{Service: "stock", Target: "v2", Duration: 14 * time.Second, Revision: int64(storer.NewRevision(2, 7))}
				rolledBack := snapshotter.MoveRecord{
					Order: int64(storer.NewRevision(1, 9)), Step: 3, Stable: "v1", Target: "v2", Phase: snapshotter.RolledBack,
				}
				store := &recordStore{}
				var members []tracker.Member
				for i := range 3 {
					members = append(members, tracker.Member{ID: fmt.Sprintf("e%d", i)})
				}
				var rollers []*roller.Roller
				ctx, cancel := context.WithCancel(context.Background())
				for i, m := range members {
					known := &rolledBack
					if i == fresh {
						known = nil
					}
					rollers = append(rollers, newRoller(m.ID, members, store, order, known))
				}
				for _, r := range rollers {
					go r.Run(ctx)
				}
				for range 10 {
					time.Sleep(time.Second)
					if value, _ := store.Get(""); value != nil {
						stored, err := snapshotter.DecodeMoveRecord(time.Now(), value)
						is.NoErr(err)
						is.Equal(stored.Phase, snapshotter.RolledBack)
					}
				}
				is.Equal(store.commits, 1) // one entry writes it for all
				cancel()
				synctest.Wait()
			})
		})
	}
}

// refuseDial opens no connection to another entry.
func refuseDial(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }
