package dispatcher

import (
	"time"

	"samphiremux/entry/retrier"
)

// ContactLost reports whether the entry reaches no server.
func (d *Dispatcher) ContactLost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.contact.Lost()
}

// ContactRegainedAt returns the end of the last time without contact, or zero.
func (d *Dispatcher) ContactRegainedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.contact.RegainedAt()
}

// ContactLostAt returns since when the entry reaches no server, or zero.
func (d *Dispatcher) ContactLostAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.contact.LostAt()
}

// Answering reports whether servers may still answer on open connections although new
// ones fail.
func (d *Dispatcher) Answering() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.contact.Answering(d.now())
}

// Silent returns a channel that is closed when the entry reaches no server and none
// answers on open connections either.
func (d *Dispatcher) Silent() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.contact.Silent()
}

// OnDoubt sets the function that is called when a check becomes due. It is called with the
// dispatcher's lock held, and must not block.
func (d *Dispatcher) OnDoubt(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onDoubt = f
}

// DoubtContact makes a check of the contact due.
func (d *Dispatcher) DoubtContact() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordDoubt(d.now())
}

// recordDoubt records a failure that may be due to the entry. The lock must be held.
func (d *Dispatcher) recordDoubt(now time.Time) {
	d.contact.RecordFailure(now)
	if d.onDoubt != nil {
		d.onDoubt()
	}
}

// recordContact updates the contact with the outcome of an attempt. The lock must be
// held.
func (d *Dispatcher) recordContact(now time.Time, o retrier.Outcome) {
	switch o.(type) {
	case retrier.Answered, retrier.Shed:
		d.contact.RecordAnswer(now)
	case retrier.NotSent, retrier.ConnectionLost, retrier.Unconfirmed, retrier.TimedOut:
		d.recordDoubt(now)
	}
}

// blameless reports whether the failure of an attempt is due to the entry, since it has
// or had no contact with any server.
func (d *Dispatcher) blameless(start time.Time, o retrier.Outcome) bool {
	switch o.(type) {
	case retrier.NotSent, retrier.ConnectionLost, retrier.Unconfirmed, retrier.TimedOut:
		return d.contact.Lost() || start.Before(d.contact.RegainedAt())
	default:
		return false
	}
}

// CheckDue reports whether a check of the contact should begin now.
func (d *Dispatcher) CheckDue() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.contact.CheckDue(d.now(), d.oldestStart())
}

// oldestStart returns the start of the oldest unanswered attempt, or zero. The lock must
// be held.
func (d *Dispatcher) oldestStart() (oldest time.Time) {
	for _, s := range d.servers {
		for _, start := range s.starts {
			if oldest.IsZero() || start.Before(oldest) {
				oldest = start
			}
		}
	}
	return oldest
}

// BeginCheck records the start of a check and returns it.
func (d *Dispatcher) BeginCheck() (began time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	began = d.now()
	d.contact.BeginCheck(began)
	return began
}

// EndCheck records the result of a check. Changed is true if the contact was lost or
// regained by it.
func (d *Dispatcher) EndCheck(began time.Time, reached bool) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	changed = d.contact.EndCheck(now, began, d.oldestStart(), reached)
	if !changed {
		return false
	}
	for _, s := range d.servers {
		if reached {
			s.regain()
			continue
		}
		s.lose(d.contact.ConfirmedSince(s.suspectedAt))
	}
	return true
}

// lose updates the server when the entry loses contact with all servers. Suspicions that
// no check has confirmed are due to the entry.
func (s *server) lose(confirmed bool) {
	s.suspectCold = s.suspectCold && confirmed
	s.allotment = s.allotment.WithoutFloor()
	s.peak = len(s.starts)
}

// regain makes the server usable at once, since its failures were due to the entry. The
// demand makes its owner grant a part of the limit again.
func (s *server) regain() {
	s.failures, s.ejections, s.ejectedUntil = 0, 0, time.Time{}
	s.allotment = s.allotment.WithCap(time.Time{})
	s.peak = max(s.peak, 1)
}

// RecordUnserved records that a request went to another entry since this one holds no
// grants. The next reports ask for some.
func (d *Dispatcher) RecordUnserved() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unserved = true
}
