package balancer

import (
	"time"

	"samphiremux/entry/snapshotter"
	"samphiremux/entry/throttler"
	"samphiremux/pkg/describer"
)

// observeRateLimit records the rate limit that a server states in a response, and logs
// when it begins or ceases to state one.
func (b *Balancer) observeRateLimit(now time.Time, server snapshotter.Backend, l describer.RateLimit) {
	previous := server.State.ObserveRateLimit(now, l)
	if previous.Stated != l.Stated {
		b.opts.Log.Info("Rate limit of a backend server changed.", "server", server.ID, "stated", l.Stated, "per-second", l.PerSecond)
	}
}

// rateLimitHolders returns the number of entries that share the rate limit of a server,
// and whether this entry is one of them.
func (b *Balancer) rateLimitHolders(server string, l describer.RateLimit) (holders int, isHolder bool) {
	rank, entries := b.opts.Rank(server)
	holders = throttler.Holders(l.PerSecond, entries)
	return holders, rank < holders && b.opts.Settled()
}

// hasRateToken reports whether this entry may send the server a request now by a rate
// limit that it stated, if any.
func (b *Balancer) hasRateToken(now time.Time, server snapshotter.Backend, l describer.RateLimit) bool {
	if !l.Stated {
		return true
	}
	holders, isHolder := b.rateLimitHolders(server.ID, l)
	return isHolder && server.State.HasRateToken(now, l, holders)
}

// takeRateToken takes a token from this entry's part of a rate limit that the server
// stated, if any.
func (b *Balancer) takeRateToken(now time.Time, server snapshotter.Backend, l describer.RateLimit) bool {
	if !l.Stated {
		return true
	}
	holders, isHolder := b.rateLimitHolders(server.ID, l)
	return isHolder && server.State.TakeRateToken(now, l, holders)
}
