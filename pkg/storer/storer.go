// Package storer defines the interface to the platform's key-value store: reads,
// transactions with compare-and-swap, leases and watches.
package storer

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Revision is the version of the whole store. It consists of an era, which grows when the
// store is restored from a copy, and a number, which grows by one with each change. A
// restore gives numbers out again, so that only revisions with their eras can be compared:
// every revision of a later era is greater.
type Revision int64

// eraShift is the number of bits of a revision that hold its number.
const eraShift = 40

// NewRevision returns the revision with a number in an era.
func NewRevision(era, number int64) Revision { return Revision(era<<eraShift | number) }

// Era returns the era of the store in which the revision was given out.
func (r Revision) Era() int64 { return int64(r >> eraShift) }

// Number returns the number of the revision as the store gave it out.
func (r Revision) Number() int64 { return int64(r & (1<<eraShift - 1)) }

// LeaseID identifies a lease. Zero means no lease.
type LeaseID int64

// KeyValue is a key with its value and the revision of its last modification.
type KeyValue struct {
	Key         string
	Value       []byte
	ModRevision Revision
}

// Put is one write of a transaction. With a lease other than zero, the store deletes
// the key when the lease expires.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Guard is a condition of a transaction: the key was last modified at ModRevision, or
// does not exist if ModRevision is zero.
type Guard struct {
	Key         string
	ModRevision Revision
}

// Transaction is a set of writes and deletions that the store applies atomically if
// all guards hold.
type Transaction struct {
	Guards  []Guard
	Puts    []Put
	Deletes []string
}

// Store is the part of the platform's store that the project uses. Each call returns
// by the deadline of its context.
type Store interface {
	// Get reads one key. It returns ErrNoSuchKey if the key does not exist.
	Get(ctx context.Context, key string) (KeyValue, error)
	// List reads all keys with a prefix, and returns the revision from which a watch
	// misses no later change.
	List(ctx context.Context, prefix string) ([]KeyValue, Revision, error)
	// Commit applies all changes of a transaction if all its guards hold, or none.
	Commit(ctx context.Context, t Transaction) Outcome
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease. It returns ErrLeaseExpired if the lease no longer exists.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch calls f for each batch of changes under a prefix after a revision, with
	// the revision up to which the batch is complete. It returns when the watch
	// fails or ctx ends, with ErrCompacted if the store no longer has the changes.
	Watch(ctx context.Context, prefix string, after Revision, f func(events []Event, upTo Revision)) error
}

// Event is one change reported by a watch.
type Event struct {
	Pair    KeyValue
	Deleted bool
}

// Outcome is the result of a transaction: Committed, NotCommitted or Unknown.
type Outcome interface{ outcome() }

// Committed reports that the transaction took effect at a revision.
type Committed struct{ Revision Revision }

// NotCommitted reports that the transaction had no effect: a guard did not hold, the
// store refused it, or it was never sent.
type NotCommitted struct{ Cause error }

// Unknown reports that no valid response came. The transaction may have taken effect.
type Unknown struct{ Cause error }

func (Committed) outcome()    {}
func (NotCommitted) outcome() {}
func (Unknown) outcome()      {}

// ErrConflict reports that a guard of a transaction did not hold.
type ErrConflict struct{ Key string }

func (e ErrConflict) Error() string { return fmt.Sprintf("key %q has changed", e.Key) }

// ErrNoSuchKey reports that a key does not exist.
type ErrNoSuchKey struct{ Key string }

func (e ErrNoSuchKey) Error() string { return fmt.Sprintf("key %q does not exist", e.Key) }

// ErrUnavailable reports that the store gave no valid response.
type ErrUnavailable struct{ Cause error }

func (e ErrUnavailable) Error() string { return fmt.Sprintf("no valid store response: %v", e.Cause) }

// Unwrap returns the cause.
func (e ErrUnavailable) Unwrap() error { return e.Cause }

// ErrLeaseExpired reports that a lease no longer exists.
type ErrLeaseExpired struct{ ID LeaseID }

func (e ErrLeaseExpired) Error() string { return fmt.Sprintf("lease %x has expired", int64(e.ID)) }

// ErrCompacted reports that a watch asked for changes that the store has compacted.
var ErrCompacted = errors.New("requested revision has been compacted")

// CompareAndSwap commits the puts if the guard holds.
func CompareAndSwap(ctx context.Context, s Store, guard Guard, puts ...Put) Outcome {
	return s.Commit(ctx, Transaction{Guards: []Guard{guard}, Puts: puts})
}

// ErrPending reports that a transaction without a response has not been executed yet, and may be as
// long as its guard holds.
type ErrPending struct{ Guard Guard }

func (e ErrPending) Error() string {
	return fmt.Sprintf("not executed yet; the store may do so while key %q is at revision %d", e.Guard.Key, e.Guard.ModRevision.Number())
}

// ResolveUnknown determines the outcome of a transaction whose response was lost, by
// reading back a key that it wrote. Matches reports whether a value is the one written. While
// the guard of the transaction holds, a transaction that has not been executed remains Unknown.
func ResolveUnknown(ctx context.Context, s Store, guard Guard, key string, matches func([]byte) bool) Outcome {
	// The guard is read first: if it has changed by then, a transaction that the second read
	// does not show can no longer be executed.
	before, err := get(ctx, s, guard.Key)
	if err != nil {
		return Unknown{Cause: err}
	}
	written, err := get(ctx, s, key)
	switch {
	case err != nil:
		return Unknown{Cause: err}
	case written.ModRevision != 0 && matches(written.Value):
		return Committed{Revision: written.ModRevision}
	case before.ModRevision == guard.ModRevision:
		return Unknown{Cause: ErrPending{Guard: guard}}
	default:
		return NotCommitted{Cause: ErrConflict{Key: guard.Key}}
	}
}

// get reads a key. One that does not exist has the revision zero.
func get(ctx context.Context, s Store, key string) (pair KeyValue, err error) {
	pair, err = s.Get(ctx, key)
	var noKey ErrNoSuchKey
	if errors.As(err, &noKey) {
		return KeyValue{Key: key}, nil
	}
	return pair, err
}
