// Package enroller keeps an entry's registration in the platform's store and
// exchanges heartbeats with the other entries.
package enroller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/reflector"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/linker"
	"samphiremux/pkg/storer"
)

const (
	// tick is the time between two looks at the registration.
	tick = 500 * time.Millisecond
	// retryPause is the wait after a failed call of the store.
	retryPause = time.Second
)

// Options are what an enroller needs.
type Options struct {
	Self  tracker.Member
	Store storer.Store
	// Prefix begins the keys of registrations.
	Prefix string
	Pool   *linker.Pool
	// StoreCache is this entry's copy of the store.
	StoreCache StoreCache
	// Seeds returns link addresses of other entries, used while none is known.
	Seeds func() []string
	Log   hclog.Logger
}

// StoreCache is an entry's copy of the store.
type StoreCache interface {
	// Revision returns the store revision up to which the copy is whole.
	Revision() storer.Revision
	// StoreReachable tells whether the store answers this entry.
	StoreReachable() bool
	// ObservePeerRevision takes in the revision of another entry.
	ObservePeerRevision(now time.Time, revision storer.Revision)
	// ChangesSince returns the changes above a revision.
	ChangesSince(revision storer.Revision) reflector.Batch
	// ApplyBatch takes in what another entry knows.
	ApplyBatch(now time.Time, b reflector.Batch)
}

// Enroller knows the entries.
type Enroller struct {
	o Options

	mu      sync.Mutex
	tracker *tracker.Tracker
	known   map[string]tracker.Member
	// relieved is until when a scout that was heard counts as at work.
	relieved time.Time
	// acknowledged is the revision that each other entry last told.
	acknowledged map[string]storer.Revision
	kick         chan struct{}
	lease        storer.LeaseID
	next         time.Time
	left         bool
	// refused tells that the store refused or lost the last call of this entry.
	refused bool
}

// New returns an enroller that knows itself only.
func New(now time.Time, o Options) *Enroller {
	e := &Enroller{
		o: o, tracker: tracker.New(now, o.Self), known: map[string]tracker.Member{o.Self.ID: o.Self},
		acknowledged: map[string]storer.Revision{}, kick: make(chan struct{}, 1),
	}
	e.tracker.SetRegistered(now, []tracker.Member{o.Self})
	return e
}

func (e *Enroller) key() string { return e.o.Prefix + e.o.Self.ID }

// ApplyChange takes in a change of a registration. It reports false for other keys.
func (e *Enroller) ApplyChange(now time.Time, key string, value []byte, deleted bool) bool {
	id, ok := strings.CutPrefix(key, e.o.Prefix)
	if !ok {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case id == e.o.Self.ID:
		if deleted {
			e.lease, e.next = 0, time.Time{}
		}
		return true
	case deleted:
		delete(e.known, id)
	default:
		var m tracker.Member
		if err := json.Unmarshal(value, &m); err != nil {
			e.o.Log.Error("Registration not readable.", "key", key, "error", err)
			return true
		}
		e.known[id] = m
	}
	e.follow(now)
	return true
}

func (e *Enroller) follow(now time.Time) {
	all := make([]tracker.Member, 0, len(e.known))
	for _, m := range e.known {
		all = append(all, m)
	}
	e.tracker.SetRegistered(now, all)
}

// UsableMembers lists the entries that can be named to callers.
func (e *Enroller) UsableMembers(now time.Time) (usable []tracker.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.Refresh(now)
	for _, m := range e.tracker.Members() {
		if e.tracker.Usable(now, m.ID) {
			usable = append(usable, m)
		}
	}
	return usable
}

// Count returns the number of entries that may be at work, this one included.
func (e *Enroller) Count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(1, len(e.tracker.Members()))
}

// Stop notes that this entry is leaving and ends its registration.
func (e *Enroller) Stop(ctx context.Context) {
	e.mu.Lock()
	e.left = true
	e.tracker.SetStopping()
	lease := e.lease
	e.mu.Unlock()
	e.beatAll(ctx, append(e.domain(), e.ring(nil)...), false)
	if lease == 0 {
		return
	}
	if err := e.o.Store.Revoke(ctx, lease); err != nil {
		e.o.Log.Warn("Registration not removed; its lease will lapse.", "error", err)
	}
}

// ReachesStore tells whether the store answers this entry.
func (e *Enroller) ReachesStore() bool {
	reached := e.o.StoreCache.StoreReachable()
	e.mu.Lock()
	defer e.mu.Unlock()
	return reached && !e.refused
}

// ReportStoreFailure notes that the store refused or lost a call of this entry. The next
// renewal shows whether it answers again.
func (e *Enroller) ReportStoreFailure() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refused = true
	e.next = time.Now().Add(retryPause)
}

// MembersReachingStore lists the entries that the store answers.
func (e *Enroller) MembersReachingStore(now time.Time) (writers []tracker.Member) {
	own := e.ReachesStore()
	for _, m := range e.UsableMembers(now) {
		if (m.ID == e.o.Self.ID && own) || (m.ID != e.o.Self.ID && e.reached(m.ID)) {
			writers = append(writers, m)
		}
	}
	return writers
}

func (e *Enroller) reached(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.PeerReachesStore(id)
}

// RunRegistration renews the registration until ctx ends.
func (e *Enroller) RunRegistration(ctx context.Context) {
	for {
		e.keep(ctx)
		select {
		case <-time.After(tick):
		case <-ctx.Done():
			return
		}
	}
}

func (e *Enroller) keep(ctx context.Context) {
	e.mu.Lock()
	due := !e.left && !time.Now().Before(e.next)
	lease := e.lease
	e.mu.Unlock()
	if !due {
		return
	}
	sent := time.Now()
	lease, err := e.renew(ctx, lease)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease = lease
	e.refused = err != nil
	if err != nil {
		e.next = sent.Add(retryPause)
		e.o.Log.Warn("Registration not renewed.", "error", err)
		return
	}
	e.next = sent.Add(tracker.RenewInterval)
	e.tracker.RecordRenewal(sent)
}

// renew extends the lease, or registers anew.
func (e *Enroller) renew(ctx context.Context, lease storer.LeaseID) (_ storer.LeaseID, err error) {
	if lease != 0 {
		err = e.o.Store.Renew(ctx, lease)
		var lapsed storer.ErrLeaseExpired
		if !errors.As(err, &lapsed) {
			return lease, err
		}
	}
	defer func() {
		if err != nil {
			err = fmt.Errorf("registering entry %q: %w", e.o.Self.ID, err)
		}
	}()
	lease, err = e.o.Store.Grant(ctx, tracker.LeaseTTL)
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(e.o.Self)
	if err != nil {
		return 0, err
	}
	put := storer.Put{Key: e.key(), Value: value, Lease: lease}
	switch o := e.o.Store.Commit(ctx, storer.Transaction{Puts: []storer.Put{put}}).(type) {
	case storer.NotCommitted:
		return 0, o.Cause
	case storer.Unknown:
		return 0, o.Cause
	}
	e.o.Log.Info("Registered.", "entry", e.o.Self.ID)
	return lease, nil
}

// PeerAddresses lists the link addresses of the other entries that answer, or the seeds
// while none is known.
func (e *Enroller) PeerAddresses(now time.Time) (addresses []string) {
	for _, m := range e.UsableMembers(now) {
		if m.ID != e.o.Self.ID {
			addresses = append(addresses, m.LinkAddress)
		}
	}
	if len(addresses) > 0 {
		return addresses
	}
	for _, a := range e.o.Seeds() {
		if a != e.o.Self.LinkAddress {
			addresses = append(addresses, a)
		}
	}
	return addresses
}
