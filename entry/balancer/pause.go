package balancer

import (
	"net/http"
	"time"

	"samphiremux/entry/refuser"
	"samphiremux/entry/snapshotter"
	"samphiremux/entry/throttler"
)

// unavailable returns the reason for a refusal if the server gets nothing from this entry
// by its own word.
func unavailable(s *snapshotter.ServerState) refuser.Reason {
	state := s.Snapshot(time.Now())
	switch {
	case state.Leaving:
		return refuser.NoBackendServer
	case state.Paused:
		return refuser.PausedServers
	}
	return ""
}

// resumption returns the first time at which this entry uses a server of the request's
// service and version again, if it uses none before because all are paused.
func (b *Balancer) resumption(now time.Time, c *call) (first time.Time, allPaused bool) {
	view := b.opts.Snapshot()
	for _, srv := range view.Services[c.service] {
		if !view.Eligible(srv) || (c.version != "" && srv.Version != c.version) || srv.State.Leaving() {
			continue
		}
		at, paused := srv.State.ResumesAt(now)
		if !paused {
			return time.Time{}, false
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// refuseUpload returns the refusal of a request with a body if all servers of its service are
// paused, so that the body is not read in vain.
func (b *Balancer) refuseUpload(now time.Time, service string) *refuser.Refusal {
	c := &call{service: service}
	if _, allPaused := b.resumption(now, c); !allPaused {
		return nil
	}
	refusal := b.withRetryTime(now, c, refuser.NewNotRun(refuser.PausedServers))
	return &refusal
}

// withRetryTime adds the time at which the caller may be served to a refusal, if all
// servers are paused. Callers are spread over some time after it.
func (b *Balancer) withRetryTime(now time.Time, c *call, r refuser.Refusal) refuser.Refusal {
	if r.Status() != http.StatusServiceUnavailable || !r.RetryAt.IsZero() {
		return r
	}
	first, allPaused := b.resumption(now, c)
	if !allPaused {
		return c.withCapacityTime(r)
	}
	b.mu.Lock()
	draw := b.rng.Float64()
	b.mu.Unlock()
	return r.WithRetryAt(throttler.RetryAt(now, first, draw))
}
