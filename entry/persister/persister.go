// Package persister keeps quarantined requests in the platform's store, so that entries
// that start know them, also after all entries have ended at the same time.
package persister

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/quarantiner"
	"samphiremux/pkg/storer"
)

const (
	// checkInterval is the time between two checks for quarantined requests that the store
	// lacks.
	checkInterval = 250 * time.Millisecond
	// turnDelay is the time by which an entry waits longer than the one before it in the
	// order of a request, so that one of them writes it. The first waits for it too: where
	// the quarantine has not ended yet when the lease does, it ends within this time.
	turnDelay = time.Second
	// retryDelay is the time between two tries of an entry to write a request.
	retryDelay = 5 * time.Second
)

// Options are the dependencies of a Persister.
type Options struct {
	Store storer.Store
	// Prefix is the prefix of the keys of quarantined requests.
	Prefix string
	// Quarantines returns the requests that this entry has in quarantine.
	Quarantines func() []quarantiner.Quarantine
	// SetStored is called when the store begins or ceases to hold a quarantined request.
	SetStored func(q quarantiner.Quarantine, stored bool)
	// Rank returns the position of this entry, from 0, in the order of the entries for a
	// key, and the number of entries.
	Rank func(key string) (rank, entries int)
	// ReachesStore reports whether the store answers this entry.
	ReachesStore func() bool
	Log          hclog.Logger
}

// Persister writes quarantined requests to the store and reads those of other entries. A
// request is removed from the store by its lease, which lasts as long as the quarantine.
type Persister struct {
	o Options
	// turns holds when this entry is to write a request that the store lacks. Only check
	// uses it.
	turns map[quarantiner.Quarantine]time.Time

	mu sync.Mutex
	// stored holds the requests in the store by key.
	stored map[string]quarantiner.Quarantine
}

// New returns a persister that knows no requests of the store.
func New(o Options) *Persister {
	return &Persister{o: o, turns: map[quarantiner.Quarantine]time.Time{}, stored: map[string]quarantiner.Quarantine{}}
}

// record is the value of a quarantined request in the store. The key has its fingerprint.
type record struct {
	Service string `json:"service"`
}

func (p *Persister) key(f quarantiner.Fingerprint) string {
	return p.o.Prefix + f.String()
}

// ApplyChange applies a change of the store. It reports false for keys that are not those
// of quarantined requests.
func (p *Persister) ApplyChange(key string, value []byte, deleted bool) bool {
	text, ok := strings.CutPrefix(key, p.o.Prefix)
	if !ok {
		return false
	}
	if deleted {
		p.mu.Lock()
		q, known := p.stored[key]
		delete(p.stored, key)
		p.mu.Unlock()
		if known {
			p.o.SetStored(q, false)
		}
		return true
	}
	var r record
	f, err := strconv.ParseUint(text, 16, 64)
	if err == nil {
		err = json.Unmarshal(value, &r)
	}
	if err != nil || r.Service == "" {
		p.o.Log.Error("Quarantined request in the store is invalid; ignored.", "key", key, "error", err)
		return true
	}
	q := quarantiner.Quarantine{Service: r.Service, Fingerprint: quarantiner.Fingerprint(f)}
	p.mu.Lock()
	earlier, known := p.stored[key]
	p.stored[key] = q
	p.mu.Unlock()
	if known && earlier != q {
		p.o.SetStored(earlier, false)
	}
	p.o.SetStored(q, true)
	return true
}

// Run writes quarantined requests that the store lacks until ctx ends.
func (p *Persister) Run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.check(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// check writes the requests that the store lacks and whose turn it is.
func (p *Persister) check(ctx context.Context) {
	now := time.Now()
	turns := map[quarantiner.Quarantine]time.Time{}
	for _, q := range p.missing() {
		turn, ok := p.turns[q]
		if !ok {
			rank, _ := p.o.Rank(p.key(q.Fingerprint))
			turn = now.Add(time.Duration(rank+1) * turnDelay)
		}
		if !now.Before(turn) && p.o.ReachesStore() {
			turn = now.Add(retryDelay)
			if err := p.write(ctx, q); err != nil {
				p.o.Log.Warn("Quarantined request not stored; trying again.", "service", q.Service, "error", err)
			}
		}
		turns[q] = turn
	}
	p.turns = turns
}

// missing returns the quarantined requests that the store lacks.
func (p *Persister) missing() (missing []quarantiner.Quarantine) {
	quarantines := p.o.Quarantines()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range quarantines {
		if _, ok := p.stored[p.key(q.Fingerprint)]; !ok {
			missing = append(missing, q)
		}
	}
	return missing
}

// write writes a request under a lease of its own. It is no error if another entry has
// written it.
func (p *Persister) write(ctx context.Context, q quarantiner.Quarantine) (err error) {
	value, err := json.Marshal(record{Service: q.Service})
	if err != nil {
		return err
	}
	lease, err := p.o.Store.Grant(ctx, quarantiner.QuarantineTTL)
	if err != nil {
		return err
	}
	key := p.key(q.Fingerprint)
	switch outcome := storer.CompareAndSwap(ctx, p.o.Store, storer.Guard{Key: key}, storer.Put{Key: key, Value: value, Lease: lease}).(type) {
	case storer.NotCommitted:
		var conflict storer.ErrConflict
		if errors.As(outcome.Cause, &conflict) {
			return p.o.Store.Revoke(ctx, lease)
		}
		return outcome.Cause
	case storer.Unknown:
		return outcome.Cause
	}
	p.o.Log.Info("Quarantined request stored.", "service", q.Service, "key", key)
	return nil
}
