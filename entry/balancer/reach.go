package balancer

import (
	"context"
	"time"

	"samphiremux/entry/delegator"
	"samphiremux/entry/linkgauger"
	"samphiremux/entry/refuser"
	"samphiremux/entry/snapshotter"
)

// unreachedTime is the time for which no requests of a service are taken from other entries
// after its servers were not reached. After only some of them were, requests are taken that
// no other entry takes.
const unreachedTime = 300 * time.Millisecond

// reach is which servers of a service this entry has reached lately.
type reach struct {
	// noneUntil is the time until which it counts as reaching none, and someUntil that
	// until which it counts as reaching some only.
	noneUntil, someUntil time.Time
}

// ReachesServers reports whether this entry reaches any backend server.
func (b *Balancer) ReachesServers() bool { return !b.monitor.Isolated() }

// observeReached records that a server has responded. If the entry was isolated from the
// servers, all of them may be used again at once.
func (b *Balancer) observeReached() {
	if !b.monitor.ObserveResponse(time.Now()) {
		return
	}
	for _, servers := range b.opts.Snapshot().Services {
		for _, srv := range servers {
			srv.State.Readmit()
		}
	}
	b.opts.Log.Info("Backend servers reached again.")
}

// observeUnreached records that a server could not be connected to or did not answer a
// probe.
func (b *Balancer) observeUnreached(server string) {
	known := 0
	for _, servers := range b.opts.Snapshot().Services {
		known += len(servers)
	}
	if b.monitor.ObserveFailure(time.Now(), server, known) {
		b.opts.Log.Warn("No backend server reached; requests are passed on to other entries.", "servers", known)
	}
}

const (
	// reachInterval is the time between two checks whether an isolated entry reaches a
	// server again, and reachProbes the number of servers that each check probes.
	reachInterval = 200 * time.Millisecond
	reachProbes   = 3
)

// RunReachChecks probes servers while this entry reaches none, until ctx ends.
func (b *Balancer) RunReachChecks(ctx context.Context) {
	t := time.NewTicker(reachInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if b.monitor.Isolated() {
				b.checkReach(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

// checkReach probes servers that are picked at random.
func (b *Balancer) checkReach(ctx context.Context) {
	view := b.opts.Snapshot()
	if view.Table == nil {
		return
	}
	all := b.shuffledServers(view)
	for _, srv := range all[:min(reachProbes, len(all))] {
		if b.isReached(ctx, view, srv) {
			return
		}
	}
}

// isReached reports whether a server responds to a probe within probeRoundTimeout.
func (b *Balancer) isReached(ctx context.Context, view *snapshotter.Snapshot, srv candidate) (reached bool) {
	probes := b.newProbes(view, srv.Service, time.Now().Add(linkgauger.MaxExtension))
	defer probes.end()
	for _, r := range probes.round(ctx, []candidate{srv}) {
		r.release()
		reached = reached || r.err == nil || responded(r.err)
	}
	return reached
}

// shuffledServers returns the servers of all services in random order, without those that
// want nothing from this entry.
func (b *Balancer) shuffledServers(view *snapshotter.Snapshot) (all []candidate) {
	now := time.Now()
	for _, servers := range view.Services {
		for _, srv := range servers {
			if unavailable(srv.State) == "" {
				all = append(all, candidate{Backend: srv, state: srv.State.Snapshot(now)})
			}
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// mostlyUnreached reports whether half of the servers that were probed for the last attempt
// or more could not be reached, so that the others are no measure of the service.
func (c *call) mostlyUnreached() bool { return c.probes > 0 && 2*c.unreached >= c.probes }

// observePick records that no server was picked for a request, if that is because servers
// are not reached.
func (b *Balancer) observePick(c *call, reason refuser.Reason) {
	until := time.Now().Add(unreachedTime)
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.reaches[c.service]
	switch {
	case reason == refuser.BackendUnreachable:
		r.noneUntil = until
	case c.mostlyUnreached():
		r.someUntil = until
	default:
		return
	}
	b.reaches[c.service] = r
}

// reachOf returns which servers of a service this entry reaches.
func (b *Balancer) reachOf(service string) delegator.Reach {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.reaches[service]
	switch {
	case now.Before(r.noneUntil):
		return delegator.ReachNone
	case now.Before(r.someUntil):
		return delegator.ReachSome
	}
	return delegator.ReachAll
}
