package platformemulator_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/pkg/storer"
	"samphiremux/platform/storeadapter"
	"samphiremux/standin/platformemulator"
)

// withKeeper returns a client of a stand-in that speaks the platform's format over
// HTTP.
func withKeeper(t *testing.T) (*storeadapter.Client, *platformemulator.Store) {
	t.Helper()
	store := platformemulator.NewStore()
	server := httptest.NewServer(storeadapter.Handler(store))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return storeadapter.New((&net.Dialer{}).DialContext, server.URL), store
}

func TestGatewayReadsAndWrites(t *testing.T) {
	is := is.New(t)
	k, _ := withKeeper(t)
	ctx := context.Background()
	var absent storer.ErrNoSuchKey
	_, err := k.Get(ctx, "a/1")
	is.True(errors.As(err, &absent))
	done, ok := storer.CompareAndSwap(ctx, k, storer.Guard{Key: "a/1"}, storer.Put{Key: "a/1", Value: []byte{0, 255}}).(storer.Committed)
	is.True(ok)
	pair, err := k.Get(ctx, "a/1")
	is.NoErr(err)
	is.Equal(pair, storer.KeyValue{Key: "a/1", Value: []byte{0, 255}, ModRevision: done.Revision})
	conflict, ok := storer.CompareAndSwap(ctx, k, storer.Guard{Key: "a/1"}, storer.Put{Key: "a/1"}).(storer.NotCommitted)
	is.True(ok)
	is.True(errors.Is(conflict.Cause, storer.ErrConflict{Key: "a/1"}))
}

func TestGatewayTransactionIsAtomic(t *testing.T) {
	is := is.New(t)
	k, _ := withKeeper(t)
	ctx := context.Background()
	first := k.Commit(ctx, storer.Transaction{Puts: []storer.Put{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("1")}}})
	at := first.(storer.Committed).Revision
	outcome := k.Commit(ctx, storer.Transaction{
		Guards: []storer.Guard{{Key: "a", ModRevision: at}, {Key: "b", ModRevision: at + 1}}, Deletes: []string{"a"},
	})
	_, refused := outcome.(storer.NotCommitted)
	is.True(refused) // one of two guards does not hold
	_, err := k.Get(ctx, "a")
	is.NoErr(err)
	outcome = k.Commit(ctx, storer.Transaction{
		Guards:  []storer.Guard{{Key: "a", ModRevision: at}, {Key: "b", ModRevision: at}},
		Deletes: []string{"a"}, Puts: []storer.Put{{Key: "c", Value: []byte("2")}},
	})
	_, done := outcome.(storer.Committed)
	is.True(done)
	pairs, _, err := k.List(ctx, "")
	is.NoErr(err)
	is.Equal(len(pairs), 2)
}

// TestGatewayPaging lists more keys than a page holds.
func TestGatewayPaging(t *testing.T) {
	is := is.New(t)
	k, store := withKeeper(t)
	for i := range 1203 {
		store.PutUnguarded(fmt.Sprintf("p/%05d", i), []byte("v"))
	}
	store.PutUnguarded("q/1", nil)
	before := k.Calls()
	pairs, at, err := k.List(context.Background(), "p/")
	is.NoErr(err)
	is.Equal(len(pairs), 1203)
	is.Equal(at, storer.Revision(1204))
	is.Equal(k.Calls()-before, int64(3))
}

func TestGatewayWatch(t *testing.T) {
	is := is.New(t)
	k, store := withKeeper(t)
	ctx, cancel := context.WithCancel(context.Background())
	store.PutUnguarded("w/1", []byte("1"))
	got := make(chan storer.Event, 8)
	ended := make(chan error, 1)
	go func() {
		ended <- k.Watch(ctx, "w/", 0, func(events []storer.Event, _ storer.Revision) {
			for _, e := range events {
				got <- e
			}
		})
	}()
	is.Equal(string((<-got).Pair.Value), "1")
	_ = store.Commit(ctx, storer.Transaction{Deletes: []string{"w/1"}})
	is.True((<-got).Deleted)
	cancel()
	is.True(<-ended != nil)
}

func TestGatewayWatchAfterCompaction(t *testing.T) {
	is := is.New(t)
	k, store := withKeeper(t)
	store.PutUnguarded("w/1", []byte("1"))
	store.PutUnguarded("w/2", []byte("1"))
	store.Compact()
	err := k.Watch(context.Background(), "w/", 1, func([]storer.Event, storer.Revision) {})
	is.True(errors.Is(err, storer.ErrCompacted))
}

func TestGatewayLeases(t *testing.T) {
	is := is.New(t)
	k, store := withKeeper(t)
	ctx := context.Background()
	id, err := k.Grant(ctx, time.Minute)
	is.NoErr(err)
	_ = k.Commit(ctx, storer.Transaction{Puts: []storer.Put{{Key: "l", Value: []byte("1"), Lease: id}}})
	is.NoErr(k.Renew(ctx, id))
	store.ExpireLeases()
	var lapsed storer.ErrLeaseExpired
	is.True(errors.As(k.Renew(ctx, id), &lapsed))
	outcome := k.Commit(ctx, storer.Transaction{Puts: []storer.Put{{Key: "l", Lease: id}}})
	is.True(errors.As(outcome.(storer.NotCommitted).Cause, &lapsed))
	is.NoErr(k.Revoke(ctx, id)) // ending a lease that has ended is no error
}

// TestGatewayLostAnswer loses the answer of a write that took effect. The outcome is
// unknown, and the write is not repeated.
func TestGatewayLostAnswer(t *testing.T) {
	is := is.New(t)
	k, store := withKeeper(t)
	store.SetFaults(platformemulator.Faults{LoseAnswers: 1})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	outcome := storer.CompareAndSwap(ctx, k, storer.Guard{Key: "x"}, storer.Put{Key: "x", Value: []byte("1")})
	_, unknown := outcome.(storer.Unknown)
	is.True(unknown)
	pair, err := k.Get(context.Background(), "x")
	is.NoErr(err)
	is.Equal(pair.ModRevision, storer.Revision(1))
}

// TestGatewayLateWrite makes a write take effect after its caller gave up.
func TestGatewayLateWrite(t *testing.T) {
	is := is.New(t)
	k, store := withKeeper(t)
	store.SetFaults(platformemulator.Faults{DelayWrites: 1, DelayBy: 300 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	outcome := storer.CompareAndSwap(ctx, k, storer.Guard{Key: "x"}, storer.Put{Key: "x", Value: []byte("1")})
	_, unknown := outcome.(storer.Unknown)
	is.True(unknown) // no word on whether it will be done
	_, err := k.Get(context.Background(), "x")
	is.True(errors.As(err, &storer.ErrNoSuchKey{}))
	watchCtx, stop := context.WithCancel(context.Background())
	var seen []storer.Event
	_ = k.Watch(watchCtx, "x", 0, func(events []storer.Event, _ storer.Revision) {
		seen = append(seen, events...)
		stop()
	})
	is.Equal(len(seen), 1) // it was done all the same
}

// TestGatewayClientFaults checks what a caller may take for not done.
func TestGatewayClientFaults(t *testing.T) {
	for _, c := range []struct {
		way     platformemulator.ClientFault
		notDone bool
	}{
		{platformemulator.Throttled, true},
		{platformemulator.Unavailable, true},
		{platformemulator.Reset, false},
		{platformemulator.Silent, false},
	} {
		t.Run(string(c.way), func(t *testing.T) {
			is := is.New(t)
			store := platformemulator.NewStore()
			door := platformemulator.NewFaultHandler(storeadapter.Handler(store))
			server := httptest.NewServer(door)
			t.Cleanup(func() {
				server.CloseClientConnections()
				server.Close()
			})
			k := storeadapter.New((&net.Dialer{}).DialContext, server.URL)
			door.Set(map[netip.Addr]platformemulator.ClientFault{netip.MustParseAddr("127.0.0.1"): c.way})
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			outcome := storer.CompareAndSwap(ctx, k, storer.Guard{Key: "x"}, storer.Put{Key: "x", Value: []byte("1")})
			_, notDone := outcome.(storer.NotCommitted)
			_, unknown := outcome.(storer.Unknown)
			is.Equal(notDone, c.notDone)
			is.Equal(unknown, !c.notDone)
			var out storer.ErrUnavailable
			_, err := k.Get(ctx, "x")
			is.True(err != nil)
			is.Equal(errors.As(err, &out), !c.notDone) // an answer is no outage
			_, _, err = k.List(ctx, "x")
			is.True(err != nil)
			is.True(k.Watch(ctx, "x", 0, func([]storer.Event, storer.Revision) {}) != nil)
			door.Set(nil)
			_, done := storer.CompareAndSwap(context.Background(), k, storer.Guard{Key: "x"}, storer.Put{Key: "x"}).(storer.Committed)
			is.True(done) // let in again, over a connection that works
		})
	}
}

func TestGatewayStoreDown(t *testing.T) {
	is := is.New(t)
	k, store := withKeeper(t)
	store.SetFaults(platformemulator.Faults{Down: true})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := k.Get(ctx, "x")
	var out storer.ErrUnavailable
	is.True(errors.As(err, &out))
}
