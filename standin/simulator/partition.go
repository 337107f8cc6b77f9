package simulator

import (
	"context"
	"io"
	"log"
	"sync/atomic"
	"time"

	"samphiremux/pkg/storer"
)

var nullLog = log.New(io.Discard, "", 0)

// cutStore is a store that one host may be cut off from.
type cutStore struct {
	storer.Store
	down *atomic.Bool
}

// gate waits for ctx while the host is cut off.
func (s *cutStore) gate(ctx context.Context) error {
	if !s.down.Load() {
		return nil
	}
	<-ctx.Done()
	return errCut
}

// Get implements storer.Store.
func (s *cutStore) Get(ctx context.Context, key string) (storer.KeyValue, error) {
	if err := s.gate(ctx); err != nil {
		return storer.KeyValue{}, err
	}
	return s.Store.Get(ctx, key)
}

// List implements storer.Store.
func (s *cutStore) List(ctx context.Context, prefix string) ([]storer.KeyValue, storer.Revision, error) {
	if err := s.gate(ctx); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, prefix)
}

// Commit implements storer.Store.
func (s *cutStore) Commit(ctx context.Context, t storer.Transaction) storer.Outcome {
	if err := s.gate(ctx); err != nil {
		return storer.Unknown{Cause: err}
	}
	return s.Store.Commit(ctx, t)
}

// Grant implements storer.Store.
func (s *cutStore) Grant(ctx context.Context, ttl time.Duration) (storer.LeaseID, error) {
	if err := s.gate(ctx); err != nil {
		return 0, err
	}
	return s.Store.Grant(ctx, ttl)
}

// Renew implements storer.Store.
func (s *cutStore) Renew(ctx context.Context, id storer.LeaseID) error {
	if err := s.gate(ctx); err != nil {
		return err
	}
	return s.Store.Renew(ctx, id)
}

// Watch implements storer.Store. A cut ends it at the next change.
func (s *cutStore) Watch(ctx context.Context, prefix string, after storer.Revision, f func([]storer.Event, storer.Revision)) error {
	if s.down.Load() {
		return errCut
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	return s.Store.Watch(ctx, prefix, after, func(events []storer.Event, upTo storer.Revision) {
		if s.down.Load() {
			cancel(errCut)
			return
		}
		f(events, upTo)
	})
}
