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

// newClient returns a client of an emulated store that it calls over HTTP in the
// platform's format.
func newClient(t *testing.T) (*storeadapter.Client, *platformemulator.Store) {
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
	client, _ := newClient(t)
	ctx := context.Background()
	var noSuchKey storer.ErrNoSuchKey
	_, err := client.Get(ctx, "a/1")
	is.True(errors.As(err, &noSuchKey))
	done, ok := storer.CompareAndSwap(ctx, client, storer.Guard{Key: "a/1"}, storer.Put{Key: "a/1", Value: []byte{0, 255}}).(storer.Committed)
	is.True(ok)
	pair, err := client.Get(ctx, "a/1")
	is.NoErr(err)
	is.Equal(pair, storer.KeyValue{Key: "a/1", Value: []byte{0, 255}, ModRevision: done.Revision})
	conflict, ok := storer.CompareAndSwap(ctx, client, storer.Guard{Key: "a/1"}, storer.Put{Key: "a/1"}).(storer.NotCommitted)
	is.True(ok)
	is.True(errors.Is(conflict.Cause, storer.ErrConflict{Key: "a/1"}))
}

func TestGatewayTransactionIsAtomic(t *testing.T) {
	is := is.New(t)
	client, _ := newClient(t)
	ctx := context.Background()
	first := client.Commit(ctx, storer.Transaction{Puts: []storer.Put{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("1")}}})
	revision := first.(storer.Committed).Revision
	outcome := client.Commit(ctx, storer.Transaction{
		Guards: []storer.Guard{{Key: "a", ModRevision: revision}, {Key: "b", ModRevision: revision + 1}}, Deletes: []string{"a"},
	})
	_, notCommitted := outcome.(storer.NotCommitted)
	is.True(notCommitted) // one of the two guards fails
	_, err := client.Get(ctx, "a")
	is.NoErr(err)
	outcome = client.Commit(ctx, storer.Transaction{
		Guards:  []storer.Guard{{Key: "a", ModRevision: revision}, {Key: "b", ModRevision: revision}},
		Deletes: []string{"a"}, Puts: []storer.Put{{Key: "c", Value: []byte("2")}},
	})
	_, done := outcome.(storer.Committed)
	is.True(done)
	pairs, _, err := client.List(ctx, "")
	is.NoErr(err)
	is.Equal(len(pairs), 2)
}

// TestGatewayPaging lists more keys than fit on one page. The client must fetch all
// pages.
func TestGatewayPaging(t *testing.T) {
	is := is.New(t)
	client, store := newClient(t)
	for i := range 1203 {
		store.PutUnguarded(fmt.Sprintf("p/%05d", i), []byte("v"))
	}
	store.PutUnguarded("q/1", nil)
	before := client.Calls()
	pairs, revision, err := client.List(context.Background(), "p/")
	is.NoErr(err)
	is.Equal(len(pairs), 1203)
	is.Equal(revision, storer.Revision(1204))
	is.Equal(client.Calls()-before, int64(3))
}

func TestGatewayWatch(t *testing.T) {
	is := is.New(t)
	client, store := newClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	store.PutUnguarded("w/1", []byte("1"))
	got := make(chan storer.Event, 8)
	ended := make(chan error, 1)
	go func() {
		ended <- client.Watch(ctx, "w/", 0, func(events []storer.Event, _ storer.Revision) {
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
	client, store := newClient(t)
	store.PutUnguarded("w/1", []byte("1"))
	store.PutUnguarded("w/2", []byte("1"))
	store.Compact()
	err := client.Watch(context.Background(), "w/", 1, func([]storer.Event, storer.Revision) {})
	is.True(errors.Is(err, storer.ErrCompacted))
}

func TestGatewayLeases(t *testing.T) {
	is := is.New(t)
	client, store := newClient(t)
	ctx := context.Background()
	id, err := client.Grant(ctx, time.Minute)
	is.NoErr(err)
	_ = client.Commit(ctx, storer.Transaction{Puts: []storer.Put{{Key: "l", Value: []byte("1"), Lease: id}}})
	is.NoErr(client.Renew(ctx, id))
	store.ExpireLeases()
	var expired storer.ErrLeaseExpired
	is.True(errors.As(client.Renew(ctx, id), &expired))
	outcome := client.Commit(ctx, storer.Transaction{Puts: []storer.Put{{Key: "l", Lease: id}}})
	is.True(errors.As(outcome.(storer.NotCommitted).Cause, &expired))
	is.NoErr(client.Revoke(ctx, id)) // revoking an ended lease is no error
}

// TestGatewayLostAnswer drops the answer to a write that took effect. The client must
// report the outcome as unknown and must not retry the write.
func TestGatewayLostAnswer(t *testing.T) {
	is := is.New(t)
	client, store := newClient(t)
	store.SetFaults(platformemulator.Faults{LoseAnswers: 1})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	outcome := storer.CompareAndSwap(ctx, client, storer.Guard{Key: "x"}, storer.Put{Key: "x", Value: []byte("1")})
	_, unknown := outcome.(storer.Unknown)
	is.True(unknown)
	pair, err := client.Get(context.Background(), "x")
	is.NoErr(err)
	is.Equal(pair.ModRevision, storer.Revision(1))
}

// TestGatewayLateWrite delays a write until after its caller has timed out. The client
// must report the outcome as unknown, because the write still takes effect.
func TestGatewayLateWrite(t *testing.T) {
	is := is.New(t)
	client, store := newClient(t)
	store.SetFaults(platformemulator.Faults{DelayWrites: 1, DelayBy: 300 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	outcome := storer.CompareAndSwap(ctx, client, storer.Guard{Key: "x"}, storer.Put{Key: "x", Value: []byte("1")})
	_, unknown := outcome.(storer.Unknown)
	is.True(unknown) // the write may still take effect
	_, err := client.Get(context.Background(), "x")
	is.True(errors.As(err, &storer.ErrNoSuchKey{}))
	watchCtx, stop := context.WithCancel(context.Background())
	var seen []storer.Event
	_ = client.Watch(watchCtx, "x", 0, func(events []storer.Event, _ storer.Revision) {
		seen = append(seen, events...)
		stop()
	})
	is.Equal(len(seen), 1) // the write took effect after the timeout
}

// TestGatewayClientFaults checks after which faults the client reports a write as not
// committed: 429 and 503 say so, a reset or a missing response leaves it unknown.
func TestGatewayClientFaults(t *testing.T) {
	for _, tc := range []struct {
		fault        platformemulator.ClientFault
		notCommitted bool
	}{
		{platformemulator.Throttled, true},
		{platformemulator.Unavailable, true},
		{platformemulator.Reset, false},
		{platformemulator.Silent, false},
	} {
		t.Run(string(tc.fault), func(t *testing.T) {
			is := is.New(t)
			store := platformemulator.NewStore()
			faultHandler := platformemulator.NewFaultHandler(storeadapter.Handler(store))
			server := httptest.NewServer(faultHandler)
			t.Cleanup(func() {
				server.CloseClientConnections()
				server.Close()
			})
			client := storeadapter.New((&net.Dialer{}).DialContext, server.URL)
			faultHandler.Set(map[netip.Addr]platformemulator.ClientFault{netip.MustParseAddr("127.0.0.1"): tc.fault})
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			outcome := storer.CompareAndSwap(ctx, client, storer.Guard{Key: "x"}, storer.Put{Key: "x", Value: []byte("1")})
			_, notCommitted := outcome.(storer.NotCommitted)
			_, unknown := outcome.(storer.Unknown)
			is.Equal(notCommitted, tc.notCommitted)
			is.Equal(unknown, !tc.notCommitted)
			var unavailable storer.ErrUnavailable
			_, err := client.Get(ctx, "x")
			is.True(err != nil)
			is.Equal(errors.As(err, &unavailable), !tc.notCommitted) // an error response does not count as an outage of the store
			_, _, err = client.List(ctx, "x")
			is.True(err != nil)
			is.True(client.Watch(ctx, "x", 0, func([]storer.Event, storer.Revision) {}) != nil)
			faultHandler.Set(nil)
			_, done := storer.CompareAndSwap(context.Background(), client, storer.Guard{Key: "x"}, storer.Put{Key: "x"}).(storer.Committed)
			is.True(done) // the client recovers on a working connection
		})
	}
}

func TestGatewayStoreDown(t *testing.T) {
	is := is.New(t)
	client, store := newClient(t)
	store.SetFaults(platformemulator.Faults{Down: true})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Get(ctx, "x")
	var unavailable storer.ErrUnavailable
	is.True(errors.As(err, &unavailable))
}
