package snapshotter_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/roundtripper"
	"samphiremux/entry/snapshotter"
	"samphiremux/pkg/describer"
	"samphiremux/pkg/storer"
)

func newSnapshotter() *snapshotter.Snapshotter {
	return snapshotter.New(func(s describer.Server) *snapshotter.ServerState {
		return snapshotter.NewServerState(roundtripper.New(s.ID, s.Address.String(), func(context.Context) (net.Conn, error) {
			return nil, errors.New("no network")
		}, roundtripper.Headers{}))
	})
}

func server(id, version string) describer.Server {
	return describer.Server{
		ID: id, Service: "stock", Domain: "a", Version: version, Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 2,
	}
}

func TestOlderTableRefused(t *testing.T) {
	is := is.New(t)
	s := newSnapshotter()
	is.NoErr(s.SetTable(describer.NewRouteTable(7, nil, nil, describer.Limits{})))
	var older snapshotter.ErrStaleTable
	is.True(errors.As(s.SetTable(describer.NewRouteTable(6, nil, nil, describer.Limits{})), &older))
	is.True(errors.As(s.SetTable(describer.NewRouteTable(7, nil, nil, describer.Limits{})), &older))
	is.Equal(s.Snapshot().Table.Version, int64(7))
}

// TestNewIncarnationResetsState guards against state of a server that outlives a
// restart under the same id: the leaving mark of the first incarnation must not
// apply to the second, and a late change of the first must not replace the second.
func TestNewIncarnationResetsState(t *testing.T) {
	is := is.New(t)
	s := newSnapshotter()
	first := server("i-1", "v1")
	first.Incarnation = 1
	s.PutServer(first)
	state := s.Snapshot().Services["stock"][0].State
	state.SetLeaving()
	draining := first
	draining.Draining = true
	s.PutServer(draining)
	is.True(s.Snapshot().Services["stock"][0].State == state) // the same incarnation keeps its state
	restarted := first
	restarted.Incarnation = 2
	s.PutServer(restarted)
	is.True(!s.Snapshot().Services["stock"][0].State.Snapshot(time.Now()).Leaving)
	s.PutServer(first) // a late change of the first incarnation is ignored
	is.Equal(s.Snapshot().Services["stock"][0].Incarnation, int64(2))
}

func TestTrafficSplit(t *testing.T) {
	order := describer.MoveOrder{Service: "stock", Target: "v2", Revision: 5}
	record := snapshotter.MoveRecord{Order: 5, Step: 1, Stable: "v1", Target: "v2", Phase: snapshotter.Moving, Share: 0.25}
	for _, c := range []struct {
		name    string
		order   *describer.MoveOrder
		record  *snapshotter.MoveRecord
		servers map[string]int
		want    snapshotter.TrafficSplit
	}{
		{"no order: majority version", nil, nil, map[string]int{"v1": 3, "v2": 1}, snapshotter.TrafficSplit{Stable: "v1"}},
		{"order without record: target gets nothing", &order, nil, map[string]int{"v1": 1, "v2": 3}, snapshotter.TrafficSplit{Stable: "v1", Target: "v2"}},
		{"move under way", &order, &record, map[string]int{"v1": 2, "v2": 2}, snapshotter.TrafficSplit{Stable: "v1", Target: "v2", Share: 0.25}},
		{"move done", &order, ptr(record.WithPhase(snapshotter.Done, "")), map[string]int{"v1": 2, "v2": 2}, snapshotter.TrafficSplit{Stable: "v2"}},
		{"move rolled back", &order, ptr(record.WithPhase(snapshotter.RolledBack, "")), map[string]int{"v1": 2, "v2": 2}, snapshotter.TrafficSplit{Stable: "v1", Target: "v2"}},
		{"later order after a move that was done", &describer.MoveOrder{Service: "stock", Target: "v3", Revision: 9}, ptr(record.WithPhase(snapshotter.Done, "")), map[string]int{"v1": 2, "v2": 2, "v3": 2}, snapshotter.TrafficSplit{Stable: "v2", Target: "v3"}},
		{"later order after a move that was rolled back", &describer.MoveOrder{Service: "stock", Target: "v3", Revision: 9}, ptr(record.WithPhase(snapshotter.RolledBack, "")), map[string]int{"v1": 2, "v3": 2}, snapshotter.TrafficSplit{Stable: "v1", Target: "v3"}},
		{"stable version has no servers left", &order, ptr(record.WithPhase(snapshotter.RolledBack, "")), map[string]int{"v4": 2, "v2": 3}, snapshotter.TrafficSplit{Stable: "v4", Target: "v2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSnapshotter()
			for version, n := range c.servers {
				for i := range n {
					s.PutServer(server(version+string(rune('a'+i)), version))
				}
			}
			if c.order != nil {
				s.SetOrder(*c.order)
			}
			if c.record != nil {
				s.SetMoveRecord("stock", *c.record)
			}
			is.Equal(s.Snapshot().Splits["stock"], c.want)
		})
	}
}

// TestOrderWithdrawn guards against a target that keeps its share after operators
// withdraw the order in the middle of a move.
func TestOrderWithdrawn(t *testing.T) {
	is := is.New(t)
	s := newSnapshotter()
	s.PutServer(server("a", "v1"))
	s.PutServer(server("b", "v2"))
	s.PutServer(server("c", "v2"))
	s.SetOrder(describer.MoveOrder{Service: "stock", Target: "v2", Revision: 5})
	s.SetMoveRecord("stock", snapshotter.MoveRecord{Order: 5, Step: 1, Stable: "v1", Target: "v2", Phase: snapshotter.Moving, Share: 0.25})
	s.RemoveOrder("stock")
	is.Equal(s.Snapshot().Splits["stock"], snapshotter.TrafficSplit{Stable: "v1"}) // the target gets no more requests
}

func ptr(r snapshotter.MoveRecord) *snapshotter.MoveRecord { return &r }

// TestOlderRecordIgnored guards against a rolled-back move that resumes because an
// older record arrives late.
func TestOlderRecordIgnored(t *testing.T) {
	is := is.New(t)
	s := newSnapshotter()
	r := snapshotter.MoveRecord{Order: 5, Step: 1, Stable: "v1", Target: "v2", Phase: snapshotter.Moving, Share: 0.5}
	rolledBack := r.WithPhase(snapshotter.RolledBack, "fails")
	s.SetMoveRecord("stock", rolledBack)
	s.SetMoveRecord("stock", r)
	got, _ := s.MoveRecord("stock")
	is.Equal(got, rolledBack)
}

// TestRolledBackMoveResumesAfterRestore guards against a faulty version that gets requests
// again because the operators write its order again after a restore of the store.
func TestRolledBackMoveResumesAfterRestore(t *testing.T) {
	is := is.New(t)
	s := newSnapshotter()
	s.PutServer(server("a", "v1"))
	s.PutServer(server("b", "v2"))
	order := func(era, number int64, target string) describer.MoveOrder {
		return describer.MoveOrder{Service: "stock", Target: target, Revision: int64(storer.NewRevision(era, number))}
	}
	s.SetOrder(order(1, 9, "v2"))
	r := snapshotter.MoveRecord{Order: order(1, 9, "v2").Revision, Step: 1, Stable: "v1", Target: "v2", Phase: snapshotter.Moving, Share: 0.5}
	rolledBack := r.WithPhase(snapshotter.RolledBack, "fails")
	s.SetMoveRecord("stock", rolledBack)
	s.SetOrder(order(2, 7, "v2"))
	is.Equal(s.Snapshot().Splits["stock"].Share, 0.0)
	is.True(rolledBack.BelongsTo(order(2, 7, "v2")))
	is.True(!rolledBack.BelongsTo(order(1, 12, "v2"))) // an order of the same era is a new one
	is.True(!rolledBack.BelongsTo(order(2, 7, "v3")))
	is.True(!rolledBack.BelongsTo(order(0, 9, "v2")))
}

func TestEjectionTimeGrowsAndResets(t *testing.T) {
	is := is.New(t)
	s := newSnapshotter()
	s.PutServer(server("i-1", "v1"))
	state := s.Snapshot().Services["stock"][0].State
	now := time.Unix(100, 0)
	state.Eject(now)
	is.True(state.Snapshot(now.Add(200 * time.Millisecond)).Ejected)
	is.True(!state.Snapshot(now.Add(300 * time.Millisecond)).Ejected)
	state.Eject(now)
	is.True(state.Snapshot(now.Add(300 * time.Millisecond)).Ejected)
	state.ObserveProbe(now, now, roundtripper.Health{})
	is.True(!state.Snapshot(now).Ejected) // an answer to a probe ends the ejection
}

// TestLateProbeEndsColdStart guards against a server that counts as warm since the answer to
// a probe from before it turned cold was read late.
func TestLateProbeEndsColdStart(t *testing.T) {
	is := is.New(t)
	s := newSnapshotter()
	s.PutServer(server("i-1", "v1"))
	state := s.Snapshot().Services["stock"][0].State
	before := time.Unix(100, 0)
	cold, after := before.Add(10*time.Millisecond), before.Add(20*time.Millisecond)
	state.ObserveProbe(cold, before, roundtripper.Health{ColdRemaining: 3 * time.Second})
	state.ObserveProbe(after, before, roundtripper.Health{})
	is.True(state.Snapshot(after).Cold)
	state.ObserveProbe(after, after, roundtripper.Health{})
	is.True(!state.Snapshot(after).Cold) // the server has stated since that it is not
}

// TestColdTokensAfterRestart guards against a cold server that starts again under its id and
// gets two requests in a second from each holder.
func TestColdTokensAfterRestart(t *testing.T) {
	const perSecond, holders = 5.2, 6
	is := is.New(t)
	s := newSnapshotter()
	srv := server("i-1", "v1")
	srv.Incarnation = 1
	s.PutServer(srv)
	now := time.Unix(100, 0)
	is.True(s.Snapshot().Services["stock"][0].State.TakeColdToken(now, perSecond, holders))
	srv.Incarnation = 2
	s.PutServer(srv)
	state := s.Snapshot().Services["stock"][0].State
	is.True(!state.TakeColdToken(now.Add(time.Second), perSecond, holders))
	is.True(state.TakeColdToken(now.Add(2*time.Second), perSecond, holders))
}

// TestManyChanges adds thousands of servers between two reads. The snapshot read
// before must not change, and the next one must hold all of them in order, and none that was
// removed or belongs to another service since.
func TestManyChanges(t *testing.T) {
	is := is.New(t)
	s := newSnapshotter()
	before := s.Snapshot()
	for i := range 3000 {
		s.PutServer(server(strconv.Itoa(i), "v1"))
	}
	is.Equal(len(before.Services["stock"]), 0)
	after := s.Snapshot()
	is.Equal(len(after.Services["stock"]), 3000)
	is.True(after == s.Snapshot()) // not rebuilt without a change
	s.RemoveServer("17")
	moved := server("18", "v1")
	moved.Service = "orders"
	s.PutServer(moved)
	s.PutServer(server("1800a", "v2"))
	is.Equal(len(after.Services["stock"]), 3000)
	var ids []string
	for _, b := range s.Snapshot().Services["stock"] {
		ids = append(ids, b.ID)
	}
	is.Equal(len(ids), 2999)
	is.True(slices.IsSorted(ids))
	is.True(!slices.Contains(ids, "17") && !slices.Contains(ids, "18") && slices.Contains(ids, "1800a"))
	is.Equal(s.Snapshot().Services["orders"][0].ID, "18")
	s.RemoveServer("18")
	is.Equal(len(s.Snapshot().Services), 1)
}

// TestOlderConfigurationDuringRebuild guards against requests that read the state before a
// change while another request rebuilds the snapshot.
func TestOlderConfigurationDuringRebuild(t *testing.T) {
	const readers = 8
	s := snapshotter.New(nil)
	for version := range int64(2000) {
		if err := s.SetTable(describer.NewRouteTable(version+1, nil, nil, describer.Limits{})); err != nil {
			t.Fatal(err)
		}
		var reads sync.WaitGroup
		for range readers {
			reads.Go(func() {
				if table := s.Snapshot().Table; table == nil || table.Version <= version {
					t.Errorf("the configuration before version %d was read", version+1)
				}
			})
		}
		reads.Wait()
	}
}
