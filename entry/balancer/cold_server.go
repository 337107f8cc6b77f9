package balancer

import (
	"time"

	"samphiremux/entry/snapshotter"
	"samphiremux/entry/throttler"
)

// coldPart is the part that this entry has in the rate of a cold server.
type coldPart struct {
	// rank is the position of this entry in the order of the entries for the server, from 0.
	rank int
	// holders is the number of entries that share the rate, and entries the number of those
	// that this entry counts.
	holders, entries int
	// settled is as in Options.Settled.
	settled bool
}

// isHolder reports whether this entry may send the server requests.
func (p coldPart) isHolder() bool { return p.settled && p.rank < p.holders }

// coldPartOf returns the part of this entry in the rate of a cold server.
func (b *Balancer) coldPartOf(view *snapshotter.Snapshot, server snapshotter.Backend) coldPart {
	rank, entries := b.opts.Rank(server.ID)
	holders := throttler.ColdHolders(view.Table.Services[server.Service].ColdRate, entries)
	return coldPart{rank: rank, holders: holders, entries: entries, settled: b.opts.Settled()}
}

// hasColdToken reports whether this entry may send a server a request now if it is cold.
func (b *Balancer) hasColdToken(view *snapshotter.Snapshot, cand candidate) bool {
	return cand.state.ColdReady && b.coldPartOf(view, cand.Backend).isHolder()
}

// admitCold takes a token from this entry's part of the rate of the server if it is
// cold, and records the part.
func (b *Balancer) admitCold(view *snapshotter.Snapshot, p *picked) bool {
	now := time.Now()
	if !p.State.Snapshot(now).Cold {
		return true
	}
	part := b.coldPartOf(view, p.Backend)
	if !part.isHolder() || !p.State.TakeColdToken(now, view.Table.Services[p.Service].ColdRate, part.holders) {
		return false
	}
	p.cold = &part
	return true
}

// observeChosen records a picked server, and counts the attempt if the server is cold or
// outside the subset.
func (b *Balancer) observeChosen(c *call, d Decision, p *picked) {
	c.traceChosen(d, p)
	if p.cold != nil {
		b.metrics.coldAttempts.With(p.Service).Inc()
	}
	if p.beyond {
		b.metrics.beyondSubset.With(p.Service).Inc()
	}
}
