package balancer

import (
	"context"
	"errors"
	"syscall"
	"time"

	"samphiremux/entry/quarantiner"
	"samphiremux/entry/retrier"
)

// deathCheck bounds the check whether a server that lost a request is down.
const deathCheck = 100 * time.Millisecond

func (c *call) print() quarantiner.Fingerprint {
	return quarantiner.FingerprintOf(c.service, c.method, c.target, c.body)
}

// quarantined tells whether the request has killed servers before.
func (s *Balancer) quarantined(c *call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, ok := s.suspects[c.service]
	return ok && all.Len() > 0 && all.Quarantined(time.Now(), c.print())
}

// checkDeath finds whether the server died while it ran the request: it refuses
// connections after it broke one off.
func (s *Balancer) checkDeath(c *call, p *picked, o retrier.Outcome) {
	switch o.(type) {
	case retrier.ConnectionLost, retrier.Truncated:
	default:
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), deathCheck)
	defer cancel()
	_, conn, err := p.State.Probe(ctx, c.view.Table.Services[c.service].HealthPath)
	if err == nil {
		p.State.Release(conn)
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	p.State.Eject(time.Now())
	print := c.print()
	deaths := s.died(c.service, print)
	s.o.Log.Warn("Backend server died under a request.", "id", c.id, "server", p.ID, "deaths", deaths)
	s.o.NotifySuspect(c.service, print, deaths)
}

func (s *Balancer) died(service string, print quarantiner.Fingerprint) (deaths int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspectsOf(service).RecordCrash(time.Now(), print)
}

// suspectsOf returns the suspects of a service. The lock is held.
func (s *Balancer) suspectsOf(service string) *quarantiner.Suspects {
	all, ok := s.suspects[service]
	if !ok {
		all = quarantiner.New()
		s.suspects[service] = all
	}
	return all
}

// AddPeerSuspect takes in the deaths that another entry saw.
func (s *Balancer) AddPeerSuspect(service string, print quarantiner.Fingerprint, entry string, deaths int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspectsOf(service).RecordPeerCrashes(time.Now(), print, entry, deaths)
}
