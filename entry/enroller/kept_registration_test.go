package enroller_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"samphiremux/entry/enroller"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/linker"
	"samphiremux/pkg/storer"
)

// leaseStore is a store that knows one lease. It grants lease 1.
type leaseStore struct {
	*fakeStore
	lease atomic.Int64
}

// Renew implements storer.Store.
func (s *leaseStore) Renew(ctx context.Context, id storer.LeaseID) error {
	if err := s.fakeStore.Renew(ctx, id); err != nil || int64(id) == s.lease.Load() {
		return err
	}
	return storer.ErrLeaseExpired{ID: id}
}

// TestRegistrationKept guards against two calls of the store for each start of an entry whose
// registration still holds, and against an entry that relies on a registration that differs,
// that expires while it starts, or that the previous process removes as it ends: such an entry
// must not take part in limits before the others know it.
func TestRegistrationKept(t *testing.T) {
	const registered = `{"id":"e00","failure-domain":"a","address":"","link-address":"link0","incarnation":"earlier","lease":%d}`
	for _, c := range []struct {
		name string
		// value is the registration in the list, which arrives late, and lease the one that
		// the store has.
		value     string
		lease     int64
		late      time.Duration
		commits   int
		removedAt time.Duration
	}{
		{"kept", fmt.Sprintf(registered, 7), 7, 300 * time.Millisecond, 0, 0},
		{"lease expired", fmt.Sprintf(registered, 7), 1, 300 * time.Millisecond, 1, 0},
		{"of an earlier version", fmt.Sprintf(registered, 0), 1, 300 * time.Millisecond, 1, 0},
		{"other address", `{"id":"e00","failure-domain":"a","link-address":"link9","incarnation":"earlier","lease":7}`, 1, 300 * time.Millisecond, 1, 0},
		{"none", "", 1, 300 * time.Millisecond, 1, 0},
		{"list too late", fmt.Sprintf(registered, 7), 1, 3 * time.Second, 1, 0},
		{"removed by the previous process", fmt.Sprintf(registered, 7), 7, 300 * time.Millisecond, 1, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cache, store := &fakeStoreCache{}, &leaseStore{fakeStore: &fakeStore{}}
				store.lease.Store(c.lease)
				e := enroller.New(time.Now(), enroller.Options{
					Self:  tracker.Member{ID: "e00", Domain: "a", LinkAddress: "link0", Incarnation: "later"},
					Store: store, Prefix: "entries/", Pool: linker.NewPool(nil), StoreCache: cache,
					Seeds: func() []string { return nil }, Log: hclog.NewNullLogger(),
				})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go e.RunRegistration(ctx)
				time.Sleep(c.late)
				if c.value != "" {
					e.ApplyChange(time.Now(), "entries/e00", []byte(c.value), false)
				}
				cache.set(5, true)
				time.Sleep(time.Second)
				if c.removedAt > 0 {
					is.Equal(store.registrations(), 0)
					is.True(!e.Settled())
					time.Sleep(c.removedAt)
					is.True(e.Settled())
					store.lease.Store(1)
					e.ApplyChange(time.Now(), "entries/e00", nil, true)
					time.Sleep(time.Second)
					is.True(e.Settled()) // others count this entry for a while
				}
				is.Equal(store.registrations(), c.commits)
				is.Equal(e.Resumed(), c.name == "kept")
				is.True(e.ReachesStore())
				time.Sleep(30 * time.Second)
				is.Equal(store.registrations(), c.commits)
			})
		})
	}
}
