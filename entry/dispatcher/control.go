package dispatcher

import (
	"time"

	"samphiremux/entry/limiter"
	"samphiremux/entry/quarantiner"
	"samphiremux/entry/retrier"
)

// OwnerReport is a report for the owner of a server.
type OwnerReport struct {
	Owner  string
	Server string
	Report limiter.Report
}

// CollectReports returns what was seen of each server since the last call.
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
	mean := d.mean.Value()
	for _, s := range d.servers {
		if s.place.Owner == "" {
			continue
		}
		reports = append(reports, OwnerReport{
			Owner: s.place.Owner, Server: s.place.Server.Name, Report: s.report(now, d.id, waiting, mean),
		})
	}
	return reports
}

// RestoreReport takes back a report that its owner did not get, so that the next one
// carries its signs.
func (d *Dispatcher) RestoreReport(o OwnerReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.byName[o.Server]; ok {
		s.coldSign = s.coldSign || o.Report.SuspectCold
	}
}

// ApplyGrant takes in a grant for a server. Its deadline must count from when the
// report was sent.
func (d *Dispatcher) ApplyGrant(serverName string, g limiter.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.byName[serverName]
	if !ok {
		return
	}
	if s.coldSign && !g.Cold {
		// The sign came after the report that this grant answers.
		return
	}
	s.allotment = s.allotment.WithGrant(g).WithFloorReleased(s.idleReports >= releaseAfter)
	if !s.drainSign {
		s.draining = g.Draining
	}
	d.drain(d.now())
}

// InvalidateGrants drops all grants and floors, as after a time without contact to other
// entries. Only new grants give work to servers again.
func (d *Dispatcher) InvalidateGrants() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		s.allotment = s.allotment.WithGrant(limiter.Grant{}).WithoutFloor()
	}
}

// SetLeavingVMs follows the platform's list of VMs. Leaving holds addresses.
func (d *Dispatcher) SetLeavingVMs(leaving func(address string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		s.listLeaving = leaving(s.place.Server.Address.Addr().String())
	}
}

// MarkDraining takes in a server's own word that it is leaving.
func (t *Permit) MarkDraining() {
	d := t.owner
	d.mu.Lock()
	defer d.mu.Unlock()
	t.state.draining = true
	t.state.drainSign = true
}

// RecordFirstAttempt notes a first attempt for the retry budget.
func (d *Dispatcher) RecordFirstAttempt() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Deposit()
}

// Decide returns what follows an attempt.
func (d *Dispatcher) Decide(r retrier.Request, o retrier.Outcome) retrier.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return retrier.Decide(d.now(), r, o, d.budget)
}

// WithSuspects runs f with the suspects of the service.
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

// Status returns a snapshot of all servers.
func (d *Dispatcher) Status() (all []Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	mean := d.mean.Value()
	for _, s := range d.servers {
		slowness := s.speed.Value(now, mean, s.starts)
		all = append(all, Status{
			Server: s.place.Server.Name, InFlight: len(s.starts), Quota: s.quota(now, slowness), Slowness: slowness,
			Cold: s.allotment.Cold(), Leaving: s.leaving(), Ejected: s.ejected(now), Owner: s.place.Owner,
		})
	}
	return all
}

// QueueLength returns the number of queued requests.
func (d *Dispatcher) QueueLength() (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, q := range d.queues {
		n += q.Len()
	}
	return n
}
