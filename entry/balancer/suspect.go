package balancer

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"samphiremux/entry/quarantiner"
	"samphiremux/entry/retrier"
	"samphiremux/entry/snapshotter"
)

// crashProbeTimeout bounds the probe that finds whether a server that lost a
// request is down.
const crashProbeTimeout = 100 * time.Millisecond

// maxWitnesses bounds the other servers that are probed to tell the crash of a server from
// links that this entry has lost.
const maxWitnesses = 6

func (c *call) fingerprint() quarantiner.Fingerprint {
	return quarantiner.FingerprintOf(c.service, c.method, c.target, c.body)
}

// detectCrash finds whether the server crashed while it ran the request. It
// counts as crashed if it refuses connections after it broke off the one that
// carried the request, while another server accepts one: otherwise this entry may have
// lost its own links.
func (b *Balancer) detectCrash(c *call, p *picked, attempt quarantiner.Attempt, outcome retrier.Outcome) {
	switch outcome.(type) {
	case retrier.ConnectionLost, retrier.Truncated:
	default:
		return
	}
	if unavailable(p.State) != "" {
		return // a probe is a request too, and a leaving server is expected to exit
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	_, conn, err := p.State.Probe(ctx, c.view.Table.Services[c.service].HealthPath)
	if err == nil {
		p.State.Release(conn)
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) || !b.connectsToOther(p.ID) {
		return
	}
	p.State.Eject(time.Now())
	fingerprint := c.fingerprint()
	crashes := b.recordCrash(c.service, fingerprint, attempt)
	b.opts.Log.Warn("Backend server died under a request.", "id", c.id, "server", p.ID, "deaths", crashes)
	if crashes > 0 {
		b.opts.NotifySuspect(c.service, fingerprint, crashes, attempt)
	}
}

// connectsToOther reports whether any server but one responds to this entry on a new
// connection. It is true if there is no other.
func (b *Balancer) connectsToOther(id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	view := b.opts.Snapshot()
	others := slices.DeleteFunc(b.shuffledServers(view), func(srv candidate) bool { return srv.ID == id })
	if len(others) == 0 {
		return true
	}
	for _, srv := range others[:min(maxWitnesses, len(others))] {
		if b.connects(ctx, view, srv) {
			return true
		}
	}
	return false
}

// connects reports whether a server responds to a probe on a new connection. A failure is
// not held against the server, since open connections to it may work.
func (b *Balancer) connects(ctx context.Context, view *snapshotter.Snapshot, srv candidate) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, conn, err := srv.State.ProbeNew(ctx, view.Table.Services[srv.Service].HealthPath)
	if err == nil {
		srv.State.Release(conn)
	}
	return err == nil || responded(err)
}

func (b *Balancer) recordCrash(service string, fingerprint quarantiner.Fingerprint, attempt quarantiner.Attempt) (crashes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspectsOf(service).RecordCrash(time.Now(), fingerprint, attempt)
}

// recordSuccess records that the request succeeded, if its service has suspects. If that
// clears it, the other entries are notified.
func (b *Balancer) recordSuccess(c *call) {
	b.mu.Lock()
	suspects, ok := b.suspects[c.service]
	if !ok || suspects.Len() == 0 {
		b.mu.Unlock()
		return
	}
	fingerprint := c.fingerprint()
	cleared := suspects.RecordSuccess(time.Now(), fingerprint)
	b.mu.Unlock()
	if cleared {
		b.opts.Log.Info("Request is no longer suspected of crashing servers.", "id", c.id)
		go b.opts.NotifySuspect(c.service, fingerprint, 0, quarantiner.Attempt{})
	}
}

// suspectsOf returns the suspects of a service. The caller must hold b.mu.
func (b *Balancer) suspectsOf(service string) *quarantiner.Suspects {
	suspects, ok := b.suspects[service]
	if !ok {
		suspects = quarantiner.New()
		b.suspects[service] = suspects
	}
	return suspects
}

// Quarantines returns the requests that are in quarantine.
func (b *Balancer) Quarantines() (quarantines []quarantiner.Quarantine) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, suspects := range b.suspects {
		for _, f := range suspects.Fingerprints(now) {
			quarantines = append(quarantines, quarantiner.Quarantine{Service: service, Fingerprint: f})
		}
	}
	return quarantines
}

// SetStoredQuarantine records whether the platform's store holds a request as quarantined.
func (b *Balancer) SetStoredQuarantine(q quarantiner.Quarantine, stored bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspectsOf(q.Service).SetStored(time.Now(), q.Fingerprint, stored)
}

// AddPeerSuspect records the crashes that another entry saw for a request, and the attempt
// of the last one. Zero crashes clear the suspect unless the store holds it.
func (b *Balancer) AddPeerSuspect(service string, fingerprint quarantiner.Fingerprint, entry string, crashes int, last quarantiner.Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspectsOf(service).RecordPeerCrash(time.Now(), fingerprint, entry, crashes, last)
}
