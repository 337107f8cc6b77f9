package enroller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"samphiremux/entry/startrecorder"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/storer"
)

const (
	// leaseTTL is the time for which a registration is valid without renewal. Heartbeats
	// show sooner which entries are reachable.
	leaseTTL = 30 * time.Second
	// renewInterval is the time between two renewals of an entry, and relayRenewInterval of
	// a relay, which learns by them that the store does not answer it.
	renewInterval      = leaseTTL / 3
	relayRenewInterval = 500 * time.Millisecond
	// checkInterval is the time between checks whether the registration is due for
	// renewal.
	checkInterval = 250 * time.Millisecond
	// maxRenewInterval is the time until a renewal in an outage of the store.
	maxRenewInterval = 2 * leaseTTL / 3
	// listCheckInterval is the time between checks whether the first list has arrived.
	listCheckInterval = 20 * time.Millisecond
	// retryDelay is the wait before the next renewal after a failed call of the store, and
	// passiveRetryDelay that of an entry which is not among the first relays of its failure
	// domain. Its lease lasts for several of them, and in an outage the renewals of all
	// entries would cost more than anything else.
	retryDelay        = time.Second
	passiveRetryDelay = 4 * time.Second
)

// firstListTime is the time for which a process waits at its start for the list of the store,
// which shows whether the registration of the previous process still holds. A list on a slow
// link takes 1.2 s.
const firstListTime = 1500 * time.Millisecond

// registration is the value of an entry's key in the store. The lease is part of it, so that
// the next process of the entry can keep both.
type registration struct {
	tracker.Member
	Lease storer.LeaseID `json:"lease,omitempty"`
}

// keepableLease returns the lease of a registration that an earlier process of this entry has
// made. It is zero if the registration differs in more than the incarnation, which shows others
// of a restart and which nothing depends on.
func (e *Enroller) keepableLease(value []byte) storer.LeaseID {
	var r registration
	if err := json.Unmarshal(value, &r); err != nil {
		return 0
	}
	earlier, own := r.Member, e.o.Self
	earlier.Incarnation, own.Incarnation = "", ""
	if earlier != own {
		return 0
	}
	return r.Lease
}

// awaitList waits until this entry knows the keys of the store, for firstListTime at most.
func (e *Enroller) awaitList(ctx context.Context) {
	for until := time.Now().Add(firstListTime); e.o.StoreCache.Revision() == 0 && time.Now().Before(until); {
		select {
		case <-time.After(listCheckInterval):
		case <-e.checkNow:
		case <-ctx.Done():
			return
		}
	}
}

// HandleStoreAnswer records that the store has answered a list or a watch of this entry.
func (e *Enroller) HandleStoreAnswer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.resumed {
		e.contact.failed = false
		e.resumeRegistration()
	}
}

// resumeRegistration begins an attempt to register anew at once if one is under way or waits to
// be made, the first time that the store is known to answer this entry or another one, and this
// entry to have a copy of its keys: the store may have been unavailable until now, and the keys
// tell whether the registration of the previous process holds. The caller holds the lock.
func (e *Enroller) resumeRegistration() {
	if e.resumed {
		return
	}
	e.resumed = true
	if e.lease != 0 {
		return
	}
	e.nextRenewal = time.Time{}
	if e.cancelAttempt != nil {
		e.cancelAttempt()
	}
	e.wakeCheck()
}

// wakeCheck ends the wait before the next check whether a renewal is due.
func (e *Enroller) wakeCheck() {
	select {
	case e.checkNow <- struct{}{}:
	default:
	}
}

// WasRegistered reports whether this entry has seen a registration of its own in the store.
func (e *Enroller) WasRegistered() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.participation.from.IsZero()
}

// RunRegistration registers this entry and renews the registration until ctx ends.
func (e *Enroller) RunRegistration(ctx context.Context) {
	e.awaitList(ctx)
	for {
		e.renewIfDue(ctx)
		select {
		case <-time.After(checkInterval):
		case <-e.checkNow:
		case <-ctx.Done():
			return
		}
	}
}

// renewIfDue renews the registration if its time has come and the entry has not
// stopped.
func (e *Enroller) renewIfDue(ctx context.Context) {
	relay := e.IsRelay()
	reached := e.o.StoreCache.StoreReachable()
	now := time.Now()
	e.mu.Lock()
	renewalDue := !e.stopped && !e.mayPostpone(now, reached) && (!now.Before(e.nextRenewal) || (relay && !now.Before(e.nextRelayRenewal)))
	lease, kept := e.lease, storer.LeaseID(0)
	if renewalDue && lease == 0 {
		kept, e.keptLease = e.keptLease, 0
		lease = kept
	}
	attempt, cancel := context.WithCancel(ctx)
	defer cancel()
	e.cancelAttempt = nil
	if !e.resumed {
		e.cancelAttempt = cancel
	}
	e.mu.Unlock()
	if !renewalDue {
		return
	}
	delay := retryDelay
	if lease != 0 && !relay && !e.MayBecomeRelay() {
		delay = passiveRetryDelay
	}
	sent, lease, err := e.renewPromptly(attempt, lease)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease, e.cancelAttempt = lease, nil
	if err != nil && attempt.Err() != nil {
		return
	}
	if err != nil {
		e.contact.failed = true
		e.nextRenewal = sent.Add(delay)
		e.o.Log.Warn("Registration not renewed.", "error", err)
		return
	}
	e.o.Start.Reach(startrecorder.Registration)
	if kept != 0 && lease == kept {
		e.participation = e.participation.withResumption()
	}
	now = time.Now()
	confirmed := e.contact.confirmed(now)
	e.nextRenewal, e.nextRelayRenewal = sent.Add(renewInterval), sent.Add(relayRenewInterval)
	e.postponeUntil = sent.Add(maxRenewInterval)
	if e.electionStart.After(e.nextRelayRenewal) {
		// Until then most entries consider themselves the relay.
		e.nextRelayRenewal = e.electionStart
	}
	e.contact = e.contact.withResponse(sent, now, e.nextRelayRenewal)
	e.members.RecordRenewal(sent)
	if relay && !confirmed {
		e.HeartbeatNow()
	}
}

// mayPostpone reports whether a renewal waits for the end of an outage of the store, which
// others or this entry's list of the keys show: a call that is refused costs as much as ten
// renewals. The lease lasts for some tries then. The caller holds the lock.
func (e *Enroller) mayPostpone(now time.Time, reached bool) bool {
	return e.lease != 0 && now.Before(e.postponeUntil) && (!reached || e.awaitsRelay(now))
}

// renewPromptly renews the lease, and reports when the answered call was sent. A connection
// to the store may have gone silent, so a renewal whose response is overdue is sent once more
// on a new one. If that response is overdue as well, the store counts as failed until it
// arrives.
func (e *Enroller) renewPromptly(ctx context.Context, lease storer.LeaseID) (sent time.Time, _ storer.LeaseID, err error) {
	e.mu.Lock()
	timeout := e.contact.timeout()
	e.mu.Unlock()
	sent = time.Now()
	if lease != 0 {
		first, cancel := context.WithTimeout(ctx, timeout)
		renewed, err := e.renew(first, lease)
		overdue := err != nil && first.Err() != nil && ctx.Err() == nil
		cancel()
		if !overdue {
			return sent, renewed, err
		}
		sent = time.Now()
	}
	renewing, ended := context.WithCancel(ctx)
	defer ended()
	overdue := time.AfterFunc(timeout, func() { e.reportOverdue(renewing) })
	defer overdue.Stop()
	lease, err = e.renew(ctx, lease)
	return sent, lease, err
}

// reportOverdue records that the response to a renewal is overdue, unless it has ended by
// now. If this entry is the relay, it tells its failure domain.
func (e *Enroller) reportOverdue(renewing context.Context) {
	e.mu.Lock()
	overdue := renewing.Err() == nil
	if overdue {
		e.contact.failed = true
	}
	e.mu.Unlock()
	if overdue {
		e.o.Log.Warn("Store does not answer the renewal of the registration.")
		e.HeartbeatNow()
	}
}

// renew renews the lease, which may be that of the previous process of this entry. If there is
// none or it has expired, it registers the entry under a new one. It returns the lease to renew next, or zero if the entry must
// register again.
func (e *Enroller) renew(ctx context.Context, lease storer.LeaseID) (_ storer.LeaseID, err error) {
	if lease != 0 {
		err = e.o.Store.Renew(ctx, lease)
		var expired storer.ErrLeaseExpired
		if !errors.As(err, &expired) {
			return lease, err
		}
	}
	defer func() {
		if err != nil {
			err = fmt.Errorf("registering entry %q: %w", e.o.Self.ID, err)
		}
	}()
	lease, err = e.o.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(registration{e.o.Self, lease})
	if err != nil {
		return 0, err
	}
	put := storer.Put{Key: e.key(), Value: value, Lease: lease}
	switch outcome := e.o.Store.Commit(ctx, storer.Transaction{Puts: []storer.Put{put}}).(type) {
	case storer.NotCommitted:
		return 0, outcome.Cause
	case storer.Unknown:
		return 0, outcome.Cause
	}
	e.o.Log.Info("Registered.", "entry", e.o.Self.ID)
	return lease, nil
}
