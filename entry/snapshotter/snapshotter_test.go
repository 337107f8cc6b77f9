package snapshotter_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/roundtripper"
	"samphiremux/entry/snapshotter"
	"samphiremux/pkg/describer"
)

func withSurvey() *snapshotter.Snapshotter {
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
	s := withSurvey()
	is.NoErr(s.SetTable(describer.NewRouteTable(7, nil, nil, describer.Limits{})))
	var older snapshotter.ErrOlderTable
	is.True(errors.As(s.SetTable(describer.NewRouteTable(6, nil, nil, describer.Limits{})), &older))
	is.True(errors.As(s.SetTable(describer.NewRouteTable(7, nil, nil, describer.Limits{})), &older))
	is.Equal(s.Snapshot().Table.Version, int64(7))
}

// TestNewIncarnationResetsState starts a server again under its id. What was known of it is void.
func TestNewIncarnationResetsState(t *testing.T) {
	is := is.New(t)
	s := withSurvey()
	first := server("i-1", "v1")
	first.Incarnation = 1
	s.PutServer(first)
	live := s.Snapshot().Services["stock"][0].State
	live.SetLeaving()
	draining := first
	draining.Draining = true
	s.PutServer(draining)
	is.True(s.Snapshot().Services["stock"][0].State == live) // the same incarnation
	reborn := first
	reborn.Incarnation = 2
	s.PutServer(reborn)
	is.True(!s.Snapshot().Services["stock"][0].State.Snapshot(time.Now()).Leaving)
	s.PutServer(first) // a late word of the first incarnation
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
		{"no order: the version of most servers", nil, nil, map[string]int{"v1": 3, "v2": 1}, snapshotter.TrafficSplit{Stable: "v1"}},
		{"an order without a record gives the target nothing", &order, nil, map[string]int{"v1": 1, "v2": 3}, snapshotter.TrafficSplit{Stable: "v1", Target: "v2"}},
		{"a move", &order, &record, map[string]int{"v1": 2, "v2": 2}, snapshotter.TrafficSplit{Stable: "v1", Target: "v2", Share: 0.25}},
		{"done", &order, ptr(record.WithPhase(snapshotter.Done, "")), map[string]int{"v1": 2, "v2": 2}, snapshotter.TrafficSplit{Stable: "v2"}},
		{"taken back", &order, ptr(record.WithPhase(snapshotter.RolledBack, "")), map[string]int{"v1": 2, "v2": 2}, snapshotter.TrafficSplit{Stable: "v1", Target: "v2"}},
		{"a later order after one that was done", &describer.MoveOrder{Service: "stock", Target: "v3", Revision: 9}, ptr(record.WithPhase(snapshotter.Done, "")), map[string]int{"v1": 2, "v2": 2, "v3": 2}, snapshotter.TrafficSplit{Stable: "v2", Target: "v3"}},
		{"a later order after one that was taken back", &describer.MoveOrder{Service: "stock", Target: "v3", Revision: 9}, ptr(record.WithPhase(snapshotter.RolledBack, "")), map[string]int{"v1": 2, "v3": 2}, snapshotter.TrafficSplit{Stable: "v1", Target: "v3"}},
		{"the old version has left", &order, ptr(record.WithPhase(snapshotter.RolledBack, "")), map[string]int{"v4": 2, "v2": 3}, snapshotter.TrafficSplit{Stable: "v4", Target: "v2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := withSurvey()
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

func TestOrderWithdrawn(t *testing.T) {
	is := is.New(t)
	s := withSurvey()
	s.PutServer(server("a", "v1"))
	s.PutServer(server("b", "v2"))
	s.PutServer(server("c", "v2"))
	s.SetOrder(describer.MoveOrder{Service: "stock", Target: "v2", Revision: 5})
	s.SetMoveRecord("stock", snapshotter.MoveRecord{Order: 5, Step: 1, Stable: "v1", Target: "v2", Phase: snapshotter.Moving, Share: 0.25})
	s.RemoveOrder("stock")
	is.Equal(s.Snapshot().Splits["stock"], snapshotter.TrafficSplit{Stable: "v1"}) // the target gets nothing more
}

func ptr(r snapshotter.MoveRecord) *snapshotter.MoveRecord { return &r }

func TestOlderRecordIgnored(t *testing.T) {
	is := is.New(t)
	s := withSurvey()
	r := snapshotter.MoveRecord{Order: 5, Step: 1, Stable: "v1", Target: "v2", Phase: snapshotter.Moving, Share: 0.5}
	back := r.WithPhase(snapshotter.RolledBack, "fails")
	s.SetMoveRecord("stock", back)
	s.SetMoveRecord("stock", r)
	got, _ := s.MoveRecord("stock")
	is.Equal(got, back)
}

func TestEjectionTimeGrowsAndResets(t *testing.T) {
	is := is.New(t)
	s := withSurvey()
	s.PutServer(server("i-1", "v1"))
	live := s.Snapshot().Services["stock"][0].State
	now := time.Unix(100, 0)
	live.Eject(now)
	is.True(live.Snapshot(now.Add(200 * time.Millisecond)).Ejected)
	is.True(!live.Snapshot(now.Add(300 * time.Millisecond)).Ejected)
	live.Eject(now)
	is.True(live.Snapshot(now.Add(300 * time.Millisecond)).Ejected)
	live.ObserveProbe(now, roundtripper.Health{})
	is.True(!live.Snapshot(now).Ejected) // an answer ends it
}

// TestManyChanges holds a snapshot back while thousands of servers appear. One that
// was taken is not changed, and the next has them all.
func TestManyChanges(t *testing.T) {
	is := is.New(t)
	s := withSurvey()
	before := s.Snapshot()
	for i := range 3000 {
		s.PutServer(server(strconv.Itoa(i), "v1"))
	}
	is.Equal(len(before.Services["stock"]), 0)
	after := s.Snapshot()
	is.Equal(len(after.Services["stock"]), 3000)
	is.True(after == s.Snapshot()) // built once
}
