// Package registrar keeps the entry registered in the platform's store. The
// registration is a key under a lease, which the registrar renews; if the entry
// crashes, the registration expires with the lease.
package registrar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/collector"
	"samphiremux/entry/reconciler"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/publisher"
	"samphiremux/pkg/storer"
)

// Interval is the time between two ticks of the registrar. A tick renews the lease
// only if it is due.
const Interval = time.Second

// callTimeout bounds the calls to the store of one tick.
const callTimeout = 2 * time.Second

// Registrar is the actor that registers the entry and renews its lease.
type Registrar struct {
	node        *reconciler.Node
	store       storer.Store
	environment string
	log         hclog.Logger
	// lease is zero if the entry is not registered.
	lease storer.LeaseID
	// nextRenewal is the time of the next renewal.
	nextRenewal time.Time
	// stopped is true once the entry has deregistered.
	stopped bool
}

// New returns a registrar without a lease. It registers at its first tick.
func New(n *reconciler.Node, s storer.Store, environment string, log hclog.Logger) *Registrar {
	return &Registrar{node: n, store: s, environment: environment, log: log}
}

// Deregister asks the registrar to revoke the lease and register no more. Done is
// closed after the attempt, even if it failed.
type Deregister struct{ Done chan<- struct{} }

// Receive handles one message. A failed renewal is tried again at the next tick.
func (r *Registrar) Receive(ctx context.Context, msg any) {
	if m, ok := msg.(Deregister); ok {
		r.deregister(ctx)
		close(m.Done)
		return
	}
	if r.stopped || !r.renewalDue() {
		return
	}
	if err := r.renewOrRegister(ctx); err != nil {
		r.nextRenewal = time.Time{}
		r.log.Warn("Registration not renewed.", "error", err)
	}
}

// renewalDue reports whether the lease is due for renewal, and if so sets the
// time of the next renewal. An entry that receives no heartbeat of a peer renews at
// each tick, since then only the store can show that it is not isolated.
func (r *Registrar) renewalDue() (due bool) {
	r.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		due = !now.Before(r.nextRenewal) || t.NoPeerReachable(now)
		if due {
			r.nextRenewal = now.Add(tracker.RenewInterval - Interval/2)
		}
		return false
	})
	return due
}

// renewOrRegister renews the lease, or registers the entry if it has no lease or
// its lease has expired. The deadline of the lease counts from before the call, so
// that a slow response does not extend it.
func (r *Registrar) renewOrRegister(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if r.lease == 0 {
		return r.register(ctx)
	}
	sentAt := r.node.Now()
	err = r.store.Renew(ctx, r.lease)
	r.node.Metrics().StoreCalls.WithLabelValues("renew", collector.Result(err)).Inc()
	var expired storer.ErrLeaseExpired
	if errors.As(err, &expired) {
		r.lease = 0
		r.node.WithTracker(func(_ time.Time, t *tracker.Tracker) bool { t.RecordLeaseLost(); return false })
		r.log.Warn("Lease expired; registering again.")
		return r.register(ctx)
	}
	if err != nil {
		return err
	}
	r.node.WithTracker(func(_ time.Time, t *tracker.Tracker) bool { t.RecordRenewal(sentAt); return false })
	return nil
}

// key returns the store key of the entry's registration.
func (r *Registrar) key() string {
	return publisher.EntryPrefix(r.environment) + r.node.Self().ID
}

// register obtains a new lease and puts the registration under it. The put is
// conditional on the key's revision, so that it does not overwrite a registration
// that changed in between.
func (r *Registrar) register(ctx context.Context) (err error) {
	defer func() {
		r.node.Metrics().StoreCalls.WithLabelValues("register", collector.Result(err)).Inc()
		if err != nil {
			err = fmt.Errorf("registering entry %q: %w", r.node.Self().ID, err)
		}
	}()
	sentAt := r.node.Now()
	lease, err := r.store.Grant(ctx, tracker.LeaseTTL)
	if err != nil {
		return err
	}
	guard := storer.Guard{Key: r.key()}
	pair, err := r.store.Get(ctx, r.key())
	var notFound storer.ErrNoSuchKey
	switch {
	case errors.As(err, &notFound):
	case err != nil:
		return err
	default:
		guard.ModRevision = pair.ModRevision
	}
	value, err := json.Marshal(r.node.Self())
	if err != nil {
		return err
	}
	outcome := storer.CompareAndSwap(ctx, r.store, guard, storer.Put{Key: r.key(), Value: value, Lease: lease})
	if unknown, ok := outcome.(storer.Unknown); ok {
		return unknown.Cause
	}
	if refused, ok := outcome.(storer.NotCommitted); ok {
		return refused.Cause
	}
	r.lease = lease
	r.node.WithTracker(func(_ time.Time, t *tracker.Tracker) bool { t.RecordRenewal(sentAt); return false })
	r.log.Info("Registered.", "entry", r.node.Self().ID)
	return nil
}

// deregister revokes the lease, which removes the registration.
func (r *Registrar) deregister(ctx context.Context) {
	r.stopped = true
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.store.Revoke(ctx, r.lease); err != nil {
		r.log.Warn("Could not remove the registration; it stays until its lease expires.", "error", err)
	}
}
