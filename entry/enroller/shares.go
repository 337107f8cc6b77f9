package enroller

import (
	"time"

	"samphiremux/pkg/placer"
)

const (
	// departedMemory is the time for which an entry whose registration was removed counts
	// for limits that all entries share. It may still run: registrations are also lost in
	// outages of the store, and an entry serves for its grace period after it deregisters.
	departedMemory = 30 * time.Second
	// maxRanks bounds the results of Rank that are held.
	maxRanks = 1024
)

// LimitShares returns the number of entries that share a limit for all of them, this one
// included. Those that were removed lately count.
func (e *Enroller) LimitShares() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 1
	e.forEachShare(time.Now(), func(string) { n++ })
	return n
}

// ranks holds results of Rank until the entries that share limits change.
type ranks struct {
	byKey map[string]position
	// until is when the first of the entries ceases to count, or zero.
	until time.Time
}

// position is a result of Rank.
type position struct{ rank, entries int }

// Rank returns the position of this entry, from 0, in the rendezvous order of the entries
// for a key, and the number of entries. Entries that may be running count, whether they are
// reachable or registered or not, so that entries that lose sight of each other keep their
// ranks.
func (e *Enroller) Rank(key string) (rank, entries int) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if stale := !e.ranks.until.IsZero() && !now.Before(e.ranks.until); stale || len(e.ranks.byKey) >= maxRanks {
		e.ranks = ranks{}
	}
	if p, ok := e.ranks.byKey[key]; ok {
		return p.rank, p.entries
	}
	self := placer.Weight(key, e.o.Self.ID)
	e.forEachShare(now, func(id string) {
		entries++
		if w := placer.Weight(key, id); w > self || (w == self && id < e.o.Self.ID) {
			rank++
		}
	})
	if e.ranks.byKey == nil {
		e.ranks.byKey = map[string]position{}
		for _, until := range e.departed {
			if e.ranks.until.IsZero() || until.Before(e.ranks.until) {
				e.ranks.until = until
			}
		}
	}
	p := position{rank, entries + 1}
	e.ranks.byKey[key] = p
	return p.rank, p.entries
}

// forEachShare calls f with each other entry that shares limits. The caller holds the lock.
func (e *Enroller) forEachShare(now time.Time, f func(id string)) {
	for id := range e.registered {
		if id != e.o.Self.ID {
			f(id)
		}
	}
	for id, until := range e.departed {
		switch {
		case !now.Before(until):
			delete(e.departed, id)
		case id != e.o.Self.ID:
			f(id)
		}
	}
}

// Resumed reports whether the store has renewed the lease of the previous process of this entry,
// so that the others have counted this one all along, and the keys of the store have shown it
// those that registered before.
func (e *Enroller) Resumed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.participation.resumed
}

// Settled reports whether the others count this entry in limits for all of them, and this one
// them. What an earlier process of it has sent no longer counts for a second by then.
func (e *Enroller) Settled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.participation.includes(time.Now())
}
