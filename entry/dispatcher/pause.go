package dispatcher

import (
	"maps"
	"net/netip"
	"time"

	"samphiremux/entry/refuser"
	"samphiremux/entry/throttler"
)

// resume serves queued requests after the pause of a server.
func (d *Dispatcher) resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drainQueues(d.now())
}

// pauseOf returns the pause of the server at an address.
func (d *Dispatcher) pauseOf(address netip.AddrPort) *throttler.Pause {
	p, ok := d.pauses[address]
	if !ok {
		p = &throttler.Pause{}
		d.pauses[address] = p
	}
	return p
}

// forgetPauses forgets the pauses of servers that are not in the plan and whose time is over.
func (d *Dispatcher) forgetPauses(now time.Time) {
	planned := map[netip.AddrPort]bool{}
	for _, s := range d.servers {
		planned[s.placement.Server.Address] = true
	}
	maps.DeleteFunc(d.pauses, func(address netip.AddrPort, p *throttler.Pause) bool {
		_, paused := p.ResumesAt(now)
		return !paused && !planned[address]
	})
}

// paused reports whether the server asked this entry for a pause that is not over.
func (s *server) paused(now time.Time) bool {
	_, paused := s.pause.ResumesAt(now)
	return paused
}

// noServerRefusal returns the refusal of a request for a version without a server that may
// get it. If all of them pause, it says when the first is used again.
func (d *Dispatcher) noServerRefusal(now time.Time, version string) *refuser.Refusal {
	var first time.Time
	for _, s := range d.servers {
		if s.placement.Server.Version != version || s.leaving() {
			continue
		}
		at, paused := s.pause.ResumesAt(now)
		if !paused {
			return refusalOf(refuser.NoBackendServer)
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	if first.IsZero() {
		return refusalOf(refuser.NoBackendServer)
	}
	r := refuser.NewNotRun(refuser.PausedServers).WithRetryAt(throttler.RetryAt(now, first, d.rng.Float64()))
	return &r
}

// allPaused reports whether every server of a version that is not leaving pauses.
func (d *Dispatcher) allPaused(now time.Time, version string) bool {
	return d.noServerRefusal(now, version).Reason == refuser.PausedServers
}
