package publisher_test

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"samphiremux/pkg/fixturereader"
	"samphiremux/pkg/publisher"
	"samphiremux/pkg/storer"
)

// memoryStore holds keys in memory. It gives no response to the first transaction.
type memoryStore struct {
	storer.Store
	pairs    map[string]storer.KeyValue
	revision storer.Revision
	// onFirst is called with the first transaction.
	onFirst func(storer.Transaction)
}

func (s *memoryStore) Get(_ context.Context, key string) (storer.KeyValue, error) {
	if pair, ok := s.pairs[key]; ok {
		return pair, nil
	}
	return storer.KeyValue{}, storer.ErrNoSuchKey{Key: key}
}

func (s *memoryStore) Commit(_ context.Context, t storer.Transaction) storer.Outcome {
	if f := s.onFirst; f != nil {
		s.onFirst = nil
		f(t)
		return storer.Unknown{Cause: context.DeadlineExceeded}
	}
	return s.execute(t)
}

func (s *memoryStore) execute(t storer.Transaction) storer.Outcome {
	for _, g := range t.Guards {
		if s.pairs[g.Key].ModRevision != g.ModRevision {
			return storer.NotCommitted{Cause: storer.ErrConflict{Key: g.Key}}
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.pairs[p.Key] = storer.KeyValue{Key: p.Key, Value: p.Value, ModRevision: s.revision}
	}
	return storer.Committed{Revision: s.revision}
}

// TestLatePublication guards against a publication that is reported as not applied and that the
// store carries out later.
func TestLatePublication(t *testing.T) {
	for _, c := range fixturereader.Read[[]struct {
		Name, Executed, Outcome string
		Other                   bool
	}](t, "_fixtures/late_publish.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			s := &memoryStore{pairs: map[string]storer.KeyValue{}}
			change := publisher.Change{Environment: "production", Document: []byte("a")}
			base, err := publisher.Publish(ctx, s, 0, change)
			is.NoErr(err)
			executeLater := func() {}
			s.onFirst = func(tx storer.Transaction) {
				next := base.Revision
				switch c.Executed {
				case "at-once":
					s.execute(tx)
					next++
				case "later":
					executeLater = func() { s.execute(tx) }
				}
				if c.Other {
					_, err := publisher.Publish(ctx, s, next, publisher.Change{Environment: "production", Document: []byte("other")})
					is.NoErr(err)
				}
			}
			e, err := publisher.Publish(ctx, s, base.Revision, publisher.Change{Environment: "production", Document: []byte("b")})
			var stale publisher.ErrStaleRevision
			var unknown publisher.ErrOutcomeUnknown
			switch c.Outcome {
			case "applied":
				is.NoErr(err)
				is.Equal(e.Revision, base.Revision+1)
			case "unknown":
				is.True(errors.As(err, &unknown))
			case "stale":
				is.True(errors.As(err, &stale))
				executeLater()
				current, _, err := publisher.Current(ctx, s, "production")
				is.NoErr(err)
				is.Equal(current.Document, "other") // it is not executed later either
			}
		})
	}
}
