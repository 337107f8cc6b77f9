package balancer

import (
	"samphiremux/entry/snapshotter"
)

// observeRateLimit records the rate limit that a server states in a response, and logs
// when it begins or ceases to state one.
func (b *Balancer) observeRateLimit(server snapshotter.Backend, source string, perSecond float64, stated bool) {
	previous := server.State.ObserveRateLimit(snapshotter.RateLimit{PerSecond: perSecond, Stated: stated})
	if previous.Stated == stated {
		return
	}
	b.opts.Log.Info("Rate limit of a backend server changed.", "server", server.ID, "stated", stated, "per-second", perSecond, "source", source)
}
