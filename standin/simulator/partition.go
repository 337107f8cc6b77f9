package simulator

import (
	"context"
	"io"
	"log"
	"sync/atomic"
	"time"

	"samphiremux/pkg/storer"
	"samphiremux/standin/netemulator"
)

// nullLog discards the messages of the backend servers' HTTP servers.
var nullLog = log.New(io.Discard, "", 0)

// partitionableStore is one host's view of the store. While the host is partitioned
// from the store, calls block until their context ends.
type partitionableStore struct {
	storer.Store
	partitioned *atomic.Bool
}

// waitIfPartitioned returns nil if the host can reach the store. Otherwise it blocks
// until ctx ends and returns errPartitioned.
func (s *partitionableStore) waitIfPartitioned(ctx context.Context) error {
	if !s.partitioned.Load() {
		return nil
	}
	<-ctx.Done()
	return errPartitioned
}

// Get implements storer.Store.
func (s *partitionableStore) Get(ctx context.Context, key string) (storer.KeyValue, error) {
	if err := s.waitIfPartitioned(ctx); err != nil {
		return storer.KeyValue{}, err
	}
	return s.Store.Get(ctx, key)
}

// List implements storer.Store.
func (s *partitionableStore) List(ctx context.Context, prefix string) ([]storer.KeyValue, storer.Revision, error) {
	if err := s.waitIfPartitioned(ctx); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, prefix)
}

// Commit implements storer.Store.
func (s *partitionableStore) Commit(ctx context.Context, t storer.Transaction) storer.Outcome {
	if err := s.waitIfPartitioned(ctx); err != nil {
		return storer.Unknown{Cause: err}
	}
	return s.Store.Commit(ctx, t)
}

// Grant implements storer.Store.
func (s *partitionableStore) Grant(ctx context.Context, ttl time.Duration) (storer.LeaseID, error) {
	if err := s.waitIfPartitioned(ctx); err != nil {
		return 0, err
	}
	return s.Store.Grant(ctx, ttl)
}

// Renew implements storer.Store.
func (s *partitionableStore) Renew(ctx context.Context, id storer.LeaseID) error {
	if err := s.waitIfPartitioned(ctx); err != nil {
		return err
	}
	return s.Store.Renew(ctx, id)
}

// Watch implements storer.Store. It fails at once if the host is partitioned, and a
// partition that begins during the watch ends it at the next event.
func (s *partitionableStore) Watch(ctx context.Context, prefix string, after storer.Revision, f func([]storer.Event, storer.Revision)) error {
	if s.partitioned.Load() {
		return errPartitioned
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	return s.Store.Watch(ctx, prefix, after, func(events []storer.Event, upTo storer.Revision) {
		if s.partitioned.Load() {
			cancel(errPartitioned)
			return
		}
		f(events, upTo)
	})
}

// SetServerPartition sets the partition between the host and all backend servers on n,
// the network of the cluster. Callers, the store and other entries still reach the host.
func (h *Host) SetServerPartition(n *netemulator.Network, p netemulator.Partition) {
	h.serverPartition = p
	for _, b := range h.cluster.Servers {
		n.SetPartition(h.Address, b.Declared.Address.Addr(), p)
	}
}

// ServerPartition returns the partition between the host and all backend servers.
func (h *Host) ServerPartition() netemulator.Partition { return h.serverPartition }
