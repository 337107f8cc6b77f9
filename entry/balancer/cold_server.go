package balancer

import (
	"time"

	"samphiremux/entry/snapshotter"
	"samphiremux/entry/throttler"
)

// resumedShare is the share of a cold server's rate in which entries take part that have just
// started and kept the registration of their previous process. Together with the settled ones, or
// with what their previous processes sent, they exceed the rate by half and 2 requests a second,
// which a cold server bears. Without it, a service whose servers are all cold after a loss of
// power would get no requests for the 3 s until the entries are settled.
const resumedShare = 0.5

// coldPart is the part that this entry has in the rate of a cold server.
type coldPart struct {
	// rank is the position of this entry in the order of the entries for the server, from 0.
	rank int
	// perSecond is the rate that all holders share.
	perSecond float64
	// holders is the number of entries that share the rate, and entries the number of those
	// that this entry counts.
	holders, entries int
	// takesPart reports that the entry is settled, or has kept its registration.
	takesPart bool
}

// isHolder reports whether this entry may send the server requests.
func (p coldPart) isHolder() bool { return p.takesPart && p.rank < p.holders }

// coldPartOf returns the part of this entry in the rate of a cold server.
func (b *Balancer) coldPartOf(view *snapshotter.Snapshot, server snapshotter.Backend) coldPart {
	rank, entries := b.opts.Rank(server.ID)
	perSecond, settled := view.Table.Services[server.Service].ColdRate, b.opts.Settled()
	if !settled {
		perSecond *= resumedShare
	}
	return coldPart{
		rank: rank, perSecond: perSecond, holders: throttler.ColdHolders(perSecond, entries), entries: entries,
		takesPart: settled || b.opts.Resumed(),
	}
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
	if !part.isHolder() || !p.State.TakeColdToken(now, part.perSecond, part.holders) {
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
