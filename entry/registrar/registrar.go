// Package registrar keeps the entry's registration in the platform's store
// under a lease.
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

// Interval is the time between two looks at the registration.
const Interval = time.Second

// callLimit bounds one call of the store.
const callLimit = 2 * time.Second

// Registrar is the actor that keeps the registration.
type Registrar struct {
	node        *reconciler.Node
	store       storer.Store
	environment string
	log         hclog.Logger
	lease       storer.LeaseID
	next        time.Time
	stopped     bool
}

// New returns a registrar without a lease.
func New(n *reconciler.Node, s storer.Store, environment string, log hclog.Logger) *Registrar {
	return &Registrar{node: n, store: s, environment: environment, log: log}
}

// Deregister asks the registrar to end the registration. Done is closed after it.
type Deregister struct{ Done chan<- struct{} }

// Receive handles a message of the actor.
func (r *Registrar) Receive(ctx context.Context, msg any) {
	if leave, ok := msg.(Deregister); ok {
		r.leave(ctx)
		close(leave.Done)
		return
	}
	if r.stopped || !r.due() {
		return
	}
	if err := r.keep(ctx); err != nil {
		r.next = time.Time{}
		r.log.Warn("Registration not renewed.", "error", err)
	}
}

// due tells whether it is time to renew. An entry that hears of no peer renews
// at each tick, since the store alone can show that it is not cut off.
func (r *Registrar) due() (due bool) {
	r.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		due = !now.Before(r.next) || t.NoPeerReachable(now)
		if due {
			r.next = now.Add(tracker.RenewInterval - Interval/2)
		}
		return false
	})
	return due
}

func (r *Registrar) keep(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if r.lease == 0 {
		return r.register(ctx)
	}
	sent := r.node.Now()
	err = r.store.Renew(ctx, r.lease)
	r.node.Metrics().StoreCalls.WithLabelValues("renew", collector.Result(err)).Inc()
	var lapsed storer.ErrLeaseExpired
	if errors.As(err, &lapsed) {
		r.lease = 0
		r.node.WithTracker(func(_ time.Time, t *tracker.Tracker) bool { t.LeaseLost(); return false })
		r.log.Warn("Lease lapsed; registering again.")
		return r.register(ctx)
	}
	if err != nil {
		return err
	}
	r.node.WithTracker(func(_ time.Time, t *tracker.Tracker) bool { t.RecordRenewal(sent); return false })
	return nil
}

func (r *Registrar) key() string {
	return publisher.EntryPrefix(r.environment) + r.node.Self().ID
}

func (r *Registrar) register(ctx context.Context) (err error) {
	defer func() {
		r.node.Metrics().StoreCalls.WithLabelValues("register", collector.Result(err)).Inc()
		if err != nil {
			err = fmt.Errorf("registering entry %q: %w", r.node.Self().ID, err)
		}
	}()
	sent := r.node.Now()
	id, err := r.store.Grant(ctx, tracker.LeaseTTL)
	if err != nil {
		return err
	}
	guard := storer.Guard{Key: r.key()}
	pair, err := r.store.Get(ctx, r.key())
	var absent storer.ErrNoSuchKey
	switch {
	case errors.As(err, &absent):
	case err != nil:
		return err
	default:
		guard.ModRevision = pair.ModRevision
	}
	value, err := json.Marshal(r.node.Self())
	if err != nil {
		return err
	}
	outcome := storer.CompareAndSwap(ctx, r.store, guard, storer.Put{Key: r.key(), Value: value, Lease: id})
	if unknown, ok := outcome.(storer.Unknown); ok {
		return unknown.Cause
	}
	if refused, ok := outcome.(storer.NotCommitted); ok {
		return refused.Cause
	}
	r.lease = id
	r.node.WithTracker(func(_ time.Time, t *tracker.Tracker) bool { t.RecordRenewal(sent); return false })
	r.log.Info("Registered.", "entry", r.node.Self().ID)
	return nil
}

func (r *Registrar) leave(ctx context.Context) {
	r.stopped = true
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if err := r.store.Revoke(ctx, r.lease); err != nil {
		r.log.Warn("Registration not removed; its lease will lapse.", "error", err)
	}
}
