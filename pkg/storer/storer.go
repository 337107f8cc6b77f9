// Package storer reaches the platform's key-value store through one narrow
// interface: read, compare-and-swap, lease and watch.
package storer

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Revision counts the changes of the whole store. It grows by one with each
// change.
type Revision int64

// LeaseID names a lease. Zero means no lease.
type LeaseID int64

// KeyValue is a key with its value and the revision of its last change.
type KeyValue struct {
	Key         string
	Value       []byte
	ModRevision Revision
}

// Put is one write of a swap. A lease other than zero removes the key when the
// lease lapses.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Guard is the condition of a swap: the key was last changed at ModRevision, or
// does not exist if ModRevision is zero.
type Guard struct {
	Key         string
	ModRevision Revision
}

// Transaction is a set of changes under conditions.
type Transaction struct {
	Guards  []Guard
	Puts    []Put
	Deletes []string
}

// Store is what the project needs of the platform's store. Each call ends by
// the deadline of its context.
type Store interface {
	// Get reads one key. It returns ErrNoSuchKey if the key does not exist.
	Get(ctx context.Context, key string) (KeyValue, error)
	// List reads all keys with a prefix and the revision of the answer.
	List(ctx context.Context, prefix string) ([]KeyValue, Revision, error)
	// Commit makes all changes of a transaction if all its guards hold, or none.
	Commit(ctx context.Context, t Transaction) Outcome
	// Grant creates a lease that lapses ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease. It returns ErrLeaseExpired if it has lapsed.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch calls f for each batch of changes below a prefix that come after
	// a revision, with the revision up to which the batch is whole. It returns
	// when the watch breaks or ctx ends, with ErrCompacted if the changes are no
	// longer kept.
	Watch(ctx context.Context, prefix string, after Revision, f func(events []Event, upTo Revision)) error
}

// Event is one change seen by a watch.
type Event struct {
	Pair    KeyValue
	Deleted bool
}

// Outcome is the answer to a swap: Committed, NotCommitted or Unknown.
type Outcome interface{ outcome() }

// Committed says that the swap took effect at a revision.
type Committed struct{ Revision Revision }

// NotCommitted says that the guard did not hold or the store refused the swap.
type NotCommitted struct{ Cause error }

// Unknown says that no answer came: the swap may have taken effect.
type Unknown struct{ Cause error }

func (Committed) outcome()    {}
func (NotCommitted) outcome() {}
func (Unknown) outcome()      {}

// ErrConflict says that the guard of a swap did not hold.
type ErrConflict struct{ Key string }

func (e ErrConflict) Error() string { return fmt.Sprintf("key %q has changed", e.Key) }

// ErrNoSuchKey says that a key does not exist.
type ErrNoSuchKey struct{ Key string }

func (e ErrNoSuchKey) Error() string { return fmt.Sprintf("key %q does not exist", e.Key) }

// ErrUnavailable says that the store gave no answer.
type ErrUnavailable struct{ Cause error }

func (e ErrUnavailable) Error() string { return fmt.Sprintf("the store gave no answer: %v", e.Cause) }

// Unwrap returns the cause.
func (e ErrUnavailable) Unwrap() error { return e.Cause }

// ErrLeaseExpired says that a lease no longer exists.
type ErrLeaseExpired struct{ ID LeaseID }

func (e ErrLeaseExpired) Error() string { return fmt.Sprintf("lease %x has lapsed", int64(e.ID)) }

// ErrCompacted says that a watch asked for changes that are no longer kept.
var ErrCompacted = errors.New("the changes asked for are no longer kept")

// CompareAndSwap writes the puts if one guard holds.
func CompareAndSwap(ctx context.Context, s Store, guard Guard, puts ...Put) Outcome {
	return s.Commit(ctx, Transaction{Guards: []Guard{guard}, Puts: puts})
}

// ResolveUnknown decides an unknown outcome by reading the key back. Matches
// tells whether a value is the one that was written.
func ResolveUnknown(ctx context.Context, s Store, key string, matches func([]byte) bool) Outcome {
	pair, err := s.Get(ctx, key)
	var absent ErrNoSuchKey
	switch {
	case errors.As(err, &absent):
		return NotCommitted{Cause: err}
	case err != nil:
		return Unknown{Cause: err}
	case matches(pair.Value):
		return Committed{Revision: pair.ModRevision}
	default:
		return NotCommitted{Cause: ErrConflict{Key: key}}
	}
}
