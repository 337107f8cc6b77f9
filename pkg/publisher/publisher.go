// Package publisher writes environment documents to the platform's store and reads them
// back. Document revisions are monotonic: each publication is a compare-and-swap against
// the previous one.
package publisher

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"

	"samphiremux/pkg/storer"
)

// maxEnvelopeBytes bounds the uncompressed size of an envelope.
const maxEnvelopeBytes = 8 << 20

// commitTimeout bounds the wait for the response to a publication, so that time remains
// to read the document back if the outcome is unknown.
const commitTimeout = 2 * time.Second

// Revision numbers the published documents of one environment.
type Revision uint64

// Envelope is a published document with the metadata of its publication.
type Envelope struct {
	Environment string    `json:"environment"`
	Revision    Revision  `json:"revision"`
	ChangeID    string    `json:"change-id"`
	Digest      string    `json:"digest"`
	Author      string    `json:"author"`
	PublishedAt time.Time `json:"published-at"`
	// Source is the environment and revision from which the document was promoted.
	Source   string `json:"source,omitempty"`
	Document string `json:"document"`
}

// Digest returns the SHA-256 digest of a document in hexadecimal.
func Digest(document []byte) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}

// Encode returns the stored form of an envelope: JSON, compressed with gzip since every
// entry reads every change.
func (e Envelope) Encode() (data []byte, err error) {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	if err := json.NewEncoder(zw).Encode(e); err != nil {
		return nil, fmt.Errorf("published document: %w", err)
	}
	if err := zw.Close(); err != nil {
		return nil, fmt.Errorf("published document: %w", err)
	}
	return buf.Bytes(), nil
}

// Decode decodes the stored form of an envelope and verifies the digest of its document.
func Decode(data []byte) (e Envelope, err error) {
	zr, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return Envelope{}, fmt.Errorf("published document: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(zr, maxEnvelopeBytes)).Decode(&e); err != nil {
		return Envelope{}, fmt.Errorf("published document: %w", err)
	}
	if got := Digest([]byte(e.Document)); got != e.Digest {
		return Envelope{}, fmt.Errorf("published document at revision %d has digest %s but declares %s", e.Revision, got, e.Digest)
	}
	return e, nil
}

// DocumentKey returns the key of the current document.
func DocumentKey(environment string) string { return "samphiremux/" + environment + "/document" }

// EnvironmentPrefix returns the prefix of all keys that entries watch.
func EnvironmentPrefix(environment string) string { return "samphiremux/" + environment + "/" }

// HistoryPrefix returns the prefix of the keys that keep all published documents. It is
// outside EnvironmentPrefix, so that watches do not deliver each document twice.
func HistoryPrefix(environment string) string { return "samphiremux-history/" + environment + "/" }

func historyKey(environment string, r Revision) string {
	return fmt.Sprintf("%s%010d", HistoryPrefix(environment), r)
}

// EntryPrefix returns the prefix of the registrations of entries.
func EntryPrefix(environment string) string { return "samphiremux/" + environment + "/entries/" }

// MoveKey returns the key of the record of a service's version move.
func MoveKey(environment, service string) string {
	return "samphiremux/" + environment + "/moves/" + service
}

// Current reads the current document and the store revision to guard its replacement
// with. If none was published, the guard and the document revision are zero.
func Current(ctx context.Context, s storer.Store, environment string) (e Envelope, guard storer.Revision, err error) {
	pair, err := s.Get(ctx, DocumentKey(environment))
	var noKey storer.ErrNoSuchKey
	if errors.As(err, &noKey) {
		return Envelope{Environment: environment}, 0, nil
	}
	if err != nil {
		return Envelope{}, 0, err
	}
	e, err = Decode(pair.Value)
	return e, pair.ModRevision, err
}

// Change is a document to publish.
type Change struct {
	Environment string
	Document    []byte
	Author      string
	Source      string
	At          time.Time
}

// ErrStaleRevision reports that the base revision of a change is not the current one,
// such as when another operator has published since.
type ErrStaleRevision struct {
	Base    Revision
	Current Envelope
}

func (e ErrStaleRevision) Error() string {
	return fmt.Sprintf("change is based on revision %d but the current revision is %d by %s", e.Base, e.Current.Revision, e.Current.Author)
}

// ErrOutcomeUnknown reports that the response of the store was lost, and that reading
// back did not show whether the change was applied. The store may still apply it.
type ErrOutcomeUnknown struct{ Cause error }

func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("unknown whether the change was applied: %v", e.Cause)
}
func (e ErrOutcomeUnknown) Unwrap() error { return e.Cause }

// Publish stores a document if base is still the current revision, and returns
// ErrStaleRevision otherwise. If the response is lost, Publish reads the document back;
// if that fails too, or the store may apply the change later, it returns the envelope with
// ErrOutcomeUnknown.
func Publish(ctx context.Context, s storer.Store, base Revision, c Change) (e Envelope, err error) {
	current, guard, err := Current(ctx, s, c.Environment)
	if err != nil {
		return Envelope{}, err
	}
	if current.Revision != base {
		return Envelope{}, ErrStaleRevision{Base: base, Current: current}
	}
	e = Envelope{
		Environment: c.Environment,
		Revision:    base + 1,
		ChangeID:    uuid.NewString(),
		Digest:      Digest(c.Document),
		Author:      c.Author,
		PublishedAt: c.At,
		Source:      c.Source,
		Document:    string(c.Document),
	}
	data, err := e.Encode()
	if err != nil {
		return Envelope{}, err
	}
	key := DocumentKey(c.Environment)
	commitCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	outcome := storer.CompareAndSwap(commitCtx, s, storer.Guard{Key: key, ModRevision: guard},
		storer.Put{Key: key, Value: data}, storer.Put{Key: historyKey(c.Environment, e.Revision), Value: data})
	if unknown, ok := outcome.(storer.Unknown); ok {
		outcome = resolve(ctx, s, storer.Guard{Key: key, ModRevision: guard}, e, unknown)
	}
	switch o := outcome.(type) {
	case storer.Committed:
		return e, nil
	case storer.NotCommitted:
		return Envelope{}, conflictError(ctx, s, base, c.Environment, o.Cause)
	case storer.Unknown:
		return e, ErrOutcomeUnknown{Cause: o.Cause}
	default:
		return Envelope{}, fmt.Errorf("unexpected outcome %T", outcome)
	}
}

// resolve determines an unknown outcome from the history key of the change, which
// remains even if a later document has replaced the current one.
func resolve(ctx context.Context, s storer.Store, guard storer.Guard, e Envelope, unknown storer.Unknown) storer.Outcome {
	outcome := storer.ResolveUnknown(ctx, s, guard, historyKey(e.Environment, e.Revision), func(data []byte) bool {
		got, err := Decode(data)
		return err == nil && got.ChangeID == e.ChangeID
	})
	if _, ok := outcome.(storer.Unknown); ok {
		return unknown
	}
	return outcome
}

// conflictError returns the error for a publication that was not committed: a stale
// revision if the guard did not hold, and the cause otherwise.
func conflictError(ctx context.Context, s storer.Store, base Revision, environment string, cause error) error {
	var conflict storer.ErrConflict
	if !errors.As(cause, &conflict) {
		return cause
	}
	current, _, err := Current(ctx, s, environment)
	if err != nil {
		return err
	}
	return ErrStaleRevision{Base: base, Current: current}
}

// History returns all published documents, oldest first.
func History(ctx context.Context, s storer.Store, environment string) (all []Envelope, err error) {
	pairs, _, err := s.List(ctx, HistoryPrefix(environment))
	if err != nil {
		return nil, err
	}
	for _, p := range pairs {
		e, err := Decode(p.Value)
		if err != nil {
			return nil, fmt.Errorf("history key %q: %w", p.Key, err)
		}
		all = append(all, e)
	}
	return all, nil
}
