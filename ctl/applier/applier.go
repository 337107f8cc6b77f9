// Package applier applies documents, promotes them between environments, and
// tells when they are in force on every entry.
package applier

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"samphiremux/ctl/differ"
	"samphiremux/pkg/encoder"
	"samphiremux/pkg/parser"
	"samphiremux/pkg/publisher"
	"samphiremux/pkg/storer"
)

const (
	entryLimit   = 2 * time.Second
	pollInterval = 200 * time.Millisecond
)

// Applier acts on the environments of one store.
type Applier struct {
	store  storer.Store
	client *http.Client
	now    func() time.Time
}

// New returns an applier.
func New(s storer.Store, client *http.Client, now func() time.Time) *Applier {
	return &Applier{store: s, client: client, now: now}
}

// ErrWrongEnvironment says that a document is for another environment.
type ErrWrongEnvironment struct{ Document, Requested string }

func (e ErrWrongEnvironment) Error() string {
	return fmt.Sprintf("the document is for environment %q but %q was asked for", e.Document, e.Requested)
}

// Current returns the document in force.
func (a *Applier) Current(ctx context.Context, environment string) (e publisher.Envelope, doc parser.Document, err error) {
	e, _, err = publisher.Current(ctx, a.store, environment)
	if err != nil || e.Revision == 0 {
		return e, parser.Document{Environment: environment}, err
	}
	doc, err = parser.Parse(fmt.Sprintf("%s-%d.yaml", environment, e.Revision), []byte(e.Document), time.Time{})
	return e, doc, err
}

// Apply publishes a document in its normal form. A negative base means the
// revision in force.
func (a *Applier) Apply(ctx context.Context, doc parser.Document, base int64, author, source string) (e publisher.Envelope, err error) {
	data, err := encoder.Encode(doc)
	if err != nil {
		return publisher.Envelope{}, err
	}
	if base < 0 {
		current, _, err := publisher.Current(ctx, a.store, doc.Environment)
		if err != nil {
			return publisher.Envelope{}, err
		}
		base = int64(current.Revision)
	}
	return publisher.Publish(ctx, a.store, publisher.Revision(base), publisher.Change{
		Environment: doc.Environment, Document: data, Author: author, Source: source, At: a.now(),
	})
}

// Changes lists what other operators changed since a base revision.
func (a *Applier) Changes(ctx context.Context, stale publisher.ErrStaleRevision) (changes []differ.Change, err error) {
	history, err := publisher.History(ctx, a.store, stale.Current.Environment)
	if err != nil {
		return nil, err
	}
	var before parser.Document
	for _, e := range history {
		if e.Revision == stale.Base {
			if before, err = parser.Parse("base", []byte(e.Document), time.Time{}); err != nil {
				return nil, err
			}
		}
	}
	after, err := parser.Parse("current", []byte(stale.Current.Document), time.Time{})
	if err != nil {
		return nil, err
	}
	return differ.Diff(before, after), nil
}

// Promotion is the exact document to promote, and the target's addresses.
type Promotion struct {
	From, To string
	Revision publisher.Revision
	Digest   string
	Overlay  parser.Overlay
}

// ErrSourceMismatch says that the document to promote is not the one in force.
type ErrSourceMismatch struct {
	Want, Have             publisher.Revision
	WantDigest, HaveDigest string
}

func (e ErrSourceMismatch) Error() string {
	return fmt.Sprintf("revision %d with digest %s was to be promoted but revision %d with digest %s is in force",
		e.Want, e.WantDigest, e.Have, e.HaveDigest)
}

// Promote publishes the document tried in one environment to another.
func (a *Applier) Promote(ctx context.Context, t Promotion, base int64, author string) (e publisher.Envelope, err error) {
	tried, doc, err := a.Current(ctx, t.From)
	if err != nil {
		return publisher.Envelope{}, err
	}
	if tried.Revision == 0 || (t.Revision != 0 && t.Revision != tried.Revision) || (t.Digest != "" && t.Digest != tried.Digest) {
		return publisher.Envelope{}, ErrSourceMismatch{
			Want: t.Revision, Have: tried.Revision, WantDigest: t.Digest, HaveDigest: tried.Digest,
		}
	}
	if t.Overlay.Environment != "" && t.Overlay.Environment != t.To {
		return publisher.Envelope{}, ErrWrongEnvironment{Document: t.Overlay.Environment, Requested: t.To}
	}
	doc = doc.WithEnvironment(t.To).WithAddresses(t.Overlay)
	source := fmt.Sprintf("%s/%d/%s", t.From, tried.Revision, tried.Digest)
	return a.Apply(ctx, doc, base, author, source)
}

// Entry is an entry with the revision that it has in force.
type Entry struct {
	ID       string `json:"id"`
	Domain   string `json:"failure-domain"`
	Address  string `json:"address"`
	Revision uint64 `json:"revision"`
	Problem  string `json:"problem,omitempty"`
}

// Entries asks every registered entry what it has in force.
func (a *Applier) Entries(ctx context.Context, environment string, doc parser.Document) (all []Entry, err error) {
	pairs, _, err := a.store.List(ctx, publisher.EntryPrefix(environment))
	if err != nil {
		return nil, err
	}
	all = make([]Entry, len(pairs))
	var work sync.WaitGroup
	for i, p := range pairs {
		if err := json.Unmarshal(p.Value, &all[i]); err != nil {
			return nil, fmt.Errorf("registration %q: %w", p.Key, err)
		}
		work.Go(func() { a.ask(ctx, &all[i], doc) })
	}
	work.Wait()
	return all, nil
}

// ask reads the revision from an entry's answer to callers.
func (a *Applier) ask(ctx context.Context, e *Entry, doc parser.Document) {
	if len(doc.Services) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, entryLimit)
	defer cancel()
	address := fmt.Sprintf("http://%s/.samphire/locate?service=%s", e.Address, url.QueryEscape(doc.Services[0].Name))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		e.Problem = err.Error()
		return
	}
	resp, err := a.client.Do(req)
	if err != nil {
		e.Problem = err.Error()
		return
	}
	defer resp.Body.Close()
	var body struct {
		Revision uint64 `json:"revision"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		e.Problem = err.Error()
		return
	}
	e.Revision = body.Revision
}

// ErrNotConverged says which entries did not bring a revision into force in
// time.
type ErrNotConverged struct {
	Revision publisher.Revision
	Missing  []Entry
}

func (e ErrNotConverged) Error() string {
	return fmt.Sprintf("revision %d is not yet in force on %d entries", e.Revision, len(e.Missing))
}

// AwaitConvergence waits until every entry has a revision or a newer one.
func (a *Applier) AwaitConvergence(ctx context.Context, e publisher.Envelope, doc parser.Document) (entries []Entry, err error) {
	for {
		asked, err := a.Entries(ctx, e.Environment, doc)
		if err == nil {
			entries = asked
			missing := behind(asked, e.Revision)
			if len(missing) == 0 && len(asked) > 0 {
				return entries, nil
			}
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return entries, errors.Join(ErrNotConverged{Revision: e.Revision, Missing: behind(entries, e.Revision)}, err)
		}
	}
}

func behind(entries []Entry, revision publisher.Revision) (missing []Entry) {
	for _, e := range entries {
		if e.Revision < uint64(revision) {
			missing = append(missing, e)
		}
	}
	return missing
}

// Move is the stored record of a version move.
type Move struct {
	Service string          `json:"service"`
	Record  json.RawMessage `json:"record"`
}

// Moves lists the records of version moves.
func (a *Applier) Moves(ctx context.Context, environment string) (moves []Move, err error) {
	prefix := publisher.MoveKey(environment, "")
	pairs, _, err := a.store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	for _, p := range pairs {
		moves = append(moves, Move{Service: p.Key[len(prefix):], Record: p.Value})
	}
	return moves, nil
}

// History lists the documents that were applied.
func (a *Applier) History(ctx context.Context, environment string) ([]publisher.Envelope, error) {
	return publisher.History(ctx, a.store, environment)
}
