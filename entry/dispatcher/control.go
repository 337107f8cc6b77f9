package dispatcher

import (
	"net/netip"
	"time"

	"samphiremux/entry/limiter"
	"samphiremux/entry/quarantiner"
	"samphiremux/entry/retrier"
	"samphiremux/entry/sender"
	"samphiremux/pkg/describer"
)

// OwnerReport is a report on one server, addressed to the server's owner.
type OwnerReport struct {
	Owner  string
	Server string
	Report limiter.Report
}

// CollectReports returns what this entry saw of each server since the last call.
// Queued requests count as demand, divided evenly among the servers. Servers
// without an owner are left out.
func (d *Dispatcher) CollectReports() (reports []OwnerReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	waiting := 0
	for _, q := range d.queues {
		waiting += q.Len()
	}
	if n := len(d.servers); n > 0 {
		waiting = (waiting + n - 1) / n
	}
	if d.unserved {
		waiting, d.unserved = max(waiting, 1), false
	}
	mean := d.mean.Value()
	for _, s := range d.servers {
		if s.placement.Owner == "" {
			continue
		}
		reports = append(reports, OwnerReport{
			Owner: s.placement.Owner, Server: s.placement.Server.Name, Report: s.report(now, d.id, waiting, mean, d.contact),
		})
	}
	return reports
}

// RestoreReport handles a report that was not delivered to its owner. If it said
// that the server may have turned cold, or what rate limit the server states, the
// next report repeats that. The counts in the report are lost.
func (d *Dispatcher) RestoreReport(o OwnerReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.byName[o.Server]; ok {
		if o.Report.SuspectCold && !s.suspectCold {
			s.suspectCold, s.suspectedAt = true, time.Time{}
		}
		s.rateLimitUnreported = s.rateLimitUnreported || o.Report.RateLimitKnown
	}
}

// ApplyGrant applies a grant for a server. The deadline of the grant must count from
// when the report was sent.
func (d *Dispatcher) ApplyGrant(serverName string, g limiter.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.byName[serverName]
	if !ok {
		return
	}
	if s.suspectCold && !g.Cold {
		// The suspicion is newer than the report that this grant answers.
		return
	}
	s.allotment = s.allotment.WithGrant(g).WithFloorReleased(s.idleReports >= releaseAfter)
	if !s.drainUnreported {
		s.draining = g.Draining
	}
	if g.RateLimitKnown && !s.rateLimitUnreported {
		s.rateLimit = g.RateLimit
	}
	d.drainQueues(d.now())
}

// InvalidateGrants drops all grants and floors, as after a time without contact to
// other entries. Servers get no requests until new grants arrive.
func (d *Dispatcher) InvalidateGrants() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		s.allotment = s.allotment.WithGrant(limiter.Grant{}).WithoutFloor()
	}
}

// SetLeavingVMs applies the platform's list of VMs. Leaving reports whether the
// VM with an IP address is leaving.
func (d *Dispatcher) SetLeavingVMs(leaving func(address string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		s.vmLeaving = leaving(s.placement.Server.Address.Addr().String())
	}
}

// Address returns the address of a server. Ok is false if there is no such server.
func (d *Dispatcher) Address(serverName string) (address netip.AddrPort, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.byName[serverName]
	if !ok {
		return netip.AddrPort{}, false
	}
	return s.placement.Server.Address, true
}

// ObserveProbe records what a server responded to a probe that this entry sent for the owner.
func (d *Dispatcher) ObserveProbe(serverName string, draining bool, l describer.RateLimit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.byName[serverName]
	if !ok {
		return
	}
	if draining {
		s.draining, s.drainUnreported = true, true
	}
	s.observeRateLimit(l)
}

// ObserveHead records what the server said of itself in the head of a response, and returns
// what of that is news. If it asked for a pause and no other server is left, queued requests
// are refused.
func (p *Permit) ObserveHead(h sender.Head) (news sender.Head) {
	d := p.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if h.Draining {
		news.Draining = !p.state.draining
		p.state.draining = true
		p.state.drainUnreported = true
	}
	if h.Pause == (describer.Pause{}) {
		return news
	}
	now := d.now()
	if p.state.pause.Observe(now, h.Pause, d.rng.Float64()) {
		news.Pause = h.Pause
	}
	if h.Pause.Until.IsZero() {
		return news
	}
	d.drainQueues(now)
	at, _ := p.state.pause.ResumesAt(now)
	time.AfterFunc(at.Sub(now), d.resume)
	return news
}

// ObserveRateLimit records the rate limit that the server stated in its response.
func (p *Permit) ObserveRateLimit(l describer.RateLimit) {
	d := p.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	p.state.observeRateLimit(l)
}

// observeRateLimit records the rate limit that the server stated. The caller holds the lock.
func (s *server) observeRateLimit(l describer.RateLimit) {
	s.rateLimitUnreported = s.rateLimitUnreported || s.rateLimit.Stated || l.Stated
	s.rateLimit = l
}

// RecordFirstAttempt adds a first attempt to the retry budget.
func (d *Dispatcher) RecordFirstAttempt() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Deposit()
}

// Decide returns what follows an attempt. A retry after an attempt that reached a
// server is charged to the retry budget.
func (d *Dispatcher) Decide(r retrier.Request, o retrier.Outcome) retrier.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return retrier.Decide(d.now(), r, o, d.budget)
}

// WithSuspects calls f with the suspects of the service, with the dispatcher's lock
// held.
func (d *Dispatcher) WithSuspects(f func(now time.Time, s *quarantiner.Suspects)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.now(), d.suspects)
}

// MeanLatency returns the mean latency of the service.
func (d *Dispatcher) MeanLatency() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mean.Value()
}

// Status is a snapshot of one server for operators.
type Status struct {
	Server   string  `json:"server"`
	InFlight int     `json:"in-flight"`
	Quota    int     `json:"quota"`
	Slowness float64 `json:"slowness"`
	Cold     bool    `json:"cold"`
	Leaving  bool    `json:"leaving"`
	Ejected  bool    `json:"ejected"`
	Owner    string  `json:"owner"`
}

// Status returns a snapshot of each server.
func (d *Dispatcher) Status() (all []Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	mean := d.mean.Value()
	for _, s := range d.servers {
		slowness := s.slowness.Value(now, mean, s.starts)
		all = append(all, Status{
			Server: s.placement.Server.Name, InFlight: len(s.starts), Quota: s.quota(now, slowness), Slowness: slowness,
			Cold: s.allotment.Cold(), Leaving: s.leaving(), Ejected: s.ejected(now), Owner: s.placement.Owner,
		})
	}
	return all
}

// QueueLength returns the number of queued requests of all versions.
func (d *Dispatcher) QueueLength() (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, q := range d.queues {
		n += q.Len()
	}
	return n
}
