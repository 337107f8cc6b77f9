// Package applier publishes environment documents, promotes them between
// environments, and waits until they are in force on every entry.
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
	// entryTimeout bounds the query of one entry.
	entryTimeout = 2 * time.Second
	// pollInterval is the time between two polls of all entries.
	pollInterval = 200 * time.Millisecond
)

// Applier reads and publishes the documents of the environments in one store.
type Applier struct {
	store  storer.Store
	client *http.Client
	now    func() time.Time
}

// New returns an applier that publishes to store s, queries entries through client, and
// takes the time of publications from now.
func New(s storer.Store, client *http.Client, now func() time.Time) *Applier {
	return &Applier{store: s, client: client, now: now}
}

// ErrWrongEnvironment reports that a document is for an environment other than the
// requested one.
type ErrWrongEnvironment struct{ Document, Requested string }

func (e ErrWrongEnvironment) Error() string {
	return fmt.Sprintf("document is for environment %q, but %q was requested", e.Document, e.Requested)
}

// Current returns the document in force with its envelope. If none was published,
// the envelope is zero and the document has only its environment.
func (a *Applier) Current(ctx context.Context, environment string) (e publisher.Envelope, doc parser.Document, err error) {
	e, _, err = publisher.Current(ctx, a.store, environment)
	if err != nil || e.Revision == 0 {
		return e, parser.Document{Environment: environment}, err
	}
	doc, err = parser.Parse(fmt.Sprintf("%s-%d.yaml", environment, e.Revision), []byte(e.Document), time.Time{})
	return e, doc, err
}

// Apply publishes a document in its normal form, by compare-and-swap on revision
// base. A negative base means the revision in force. It returns
// publisher.ErrStaleRevision if base is not the revision in force, and
// publisher.ErrOutcomeUnknown if the document may or may not have been published.
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

// Changes lists what other operators changed since the base revision of a conflict.
// If that revision is not in the history, every field counts as added.
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

// Promotion selects the document to promote, and the addresses of the target. A zero
// Revision or an empty Digest takes the one in force in the source environment.
type Promotion struct {
	From, To string
	Revision publisher.Revision
	Digest   string
	Overlay  parser.Overlay
}

// ErrSourceMismatch reports that the document to promote is not the one in force in
// the source environment.
type ErrSourceMismatch struct {
	Want, Have             publisher.Revision
	WantDigest, HaveDigest string
}

func (e ErrSourceMismatch) Error() string {
	return fmt.Sprintf("revision %d with digest %s was to be promoted, but revision %d with digest %s is in force",
		e.Want, e.WantDigest, e.Have, e.HaveDigest)
}

// Promote publishes the document in force in one environment to another, with the
// addresses of the overlay. The published envelope names its source.
func (a *Applier) Promote(ctx context.Context, p Promotion, base int64, author string) (e publisher.Envelope, err error) {
	current, doc, err := a.Current(ctx, p.From)
	if err != nil {
		return publisher.Envelope{}, err
	}
	if current.Revision == 0 || (p.Revision != 0 && p.Revision != current.Revision) || (p.Digest != "" && p.Digest != current.Digest) {
		return publisher.Envelope{}, ErrSourceMismatch{
			Want: p.Revision, Have: current.Revision, WantDigest: p.Digest, HaveDigest: current.Digest,
		}
	}
	if p.Overlay.Environment != "" && p.Overlay.Environment != p.To {
		return publisher.Envelope{}, ErrWrongEnvironment{Document: p.Overlay.Environment, Requested: p.To}
	}
	doc = doc.WithEnvironment(p.To).WithAddresses(p.Overlay)
	source := fmt.Sprintf("%s/%d/%s", p.From, current.Revision, current.Digest)
	return a.Apply(ctx, doc, base, author, source)
}

// Entry is a registered entry with the revision that it has in force. Problem is the
// reason why the revision could not be read; Revision is zero then.
type Entry struct {
	ID       string `json:"id"`
	Domain   string `json:"failure-domain"`
	Address  string `json:"address"`
	Revision uint64 `json:"revision"`
	Problem  string `json:"problem,omitempty"`
}

// Entries queries every registered entry, in parallel, for the revision that it has
// in force. An entry that does not answer is listed with its problem.
func (a *Applier) Entries(ctx context.Context, environment string, doc parser.Document) (entries []Entry, err error) {
	pairs, _, err := a.store.List(ctx, publisher.EntryPrefix(environment))
	if err != nil {
		return nil, err
	}
	entries = make([]Entry, len(pairs))
	var wg sync.WaitGroup
	for i, p := range pairs {
		if err := json.Unmarshal(p.Value, &entries[i]); err != nil {
			return nil, fmt.Errorf("registration %q: %w", p.Key, err)
		}
		wg.Go(func() { a.queryRevision(ctx, &entries[i], doc) })
	}
	wg.Wait()
	return entries, nil
}

// queryRevision sets the revision or the problem of e. It reads the revision from the
// response to a locate request, with which callers find the entries of a service, so it
// does nothing if doc has no service.
func (a *Applier) queryRevision(ctx context.Context, e *Entry, doc parser.Document) {
	if len(doc.Services) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
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

// ErrNotConverged lists the entries that did not have a revision in force within
// the timeout.
type ErrNotConverged struct {
	Revision publisher.Revision
	Missing  []Entry
}

func (e ErrNotConverged) Error() string {
	return fmt.Sprintf("revision %d is not yet in force on %d entries", e.Revision, len(e.Missing))
}

// AwaitConvergence polls the entries until each has the revision of e or a newer one
// in force. When ctx ends first, it returns ErrNotConverged with the entries of the
// last successful poll.
func (a *Applier) AwaitConvergence(ctx context.Context, e publisher.Envelope, doc parser.Document) (entries []Entry, err error) {
	for {
		polled, err := a.Entries(ctx, e.Environment, doc)
		if err == nil {
			entries = polled
			missing := behind(polled, e.Revision)
			if len(missing) == 0 && len(polled) > 0 {
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

// behind returns the entries that have an older revision in force.
func behind(entries []Entry, revision publisher.Revision) (missing []Entry) {
	for _, e := range entries {
		if e.Revision < uint64(revision) {
			missing = append(missing, e)
		}
	}
	return missing
}

// Move is the stored record of the version move of one service.
type Move struct {
	Service string          `json:"service"`
	Record  json.RawMessage `json:"record"`
}

// Moves lists the stored records of version moves.
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

// History lists the past documents of an environment, oldest first.
func (a *Applier) History(ctx context.Context, environment string) ([]publisher.Envelope, error) {
	return publisher.History(ctx, a.store, environment)
}
