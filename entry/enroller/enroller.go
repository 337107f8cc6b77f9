// Package enroller keeps an entry registered in the platform's store under a lease
// and exchanges heartbeats with the other entries. In each failure domain one entry,
// the relay, watches the store and forwards the changes with its heartbeats.
package enroller

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/reflector"
	"samphiremux/entry/startrecorder"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/linker"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
)

// responsiveTime is the time for which an entry is asked for changes before others after its
// last heartbeat or answer.
const responsiveTime = tracker.HeartbeatInterval * 3 / 2

// Options are the dependencies and settings of an Enroller.
type Options struct {
	// Self is this entry's own registration.
	Self  tracker.Member
	Store storer.Store
	// Prefix is the prefix of the keys of registrations. An entry's id follows it.
	Prefix string
	// Pool holds the connections to other entries.
	Pool *linker.Pool
	// StoreCache is this entry's copy of the store.
	StoreCache StoreCache
	// Seeds returns link addresses of other entries, which are used while no other
	// entry is known.
	Seeds func() []string
	// Usage exchanges usage counts with heartbeats. It may be nil.
	Usage UsageExchange
	// OnPeer is called when another entry has sent or answered a heartbeat, with whether the
	// store answers that one. It may be nil.
	OnPeer func(now time.Time, storeReached bool)
	// Start records when another entry and the store have first answered. It may be nil.
	Start *startrecorder.Recorder
	Log   hclog.Logger
}

// UsageExchange holds the usage counts of this entry, and those of others for a relay.
type UsageExchange interface {
	// Query returns what a relay asks an entry for, or nil.
	Query(entry string) *linkpb.UsageQuery
	// Answer returns the counts that a relay asks for, or nil.
	Answer(q *linkpb.UsageQuery) *linkpb.UsageCounts
	// Receive records the counts of another entry, if it has sent any.
	Receive(u *linkpb.UsageCounts)
}

// StoreCache is an entry's copy of the store.
type StoreCache interface {
	// Revision returns the store revision up to which the copy is complete.
	Revision() storer.Revision
	// StoreReachable reports whether the store answers this entry.
	StoreReachable() bool
	// ObservePeerRevision records the revision that another entry has reached.
	ObservePeerRevision(now time.Time, revision storer.Revision)
	// ChangesSince returns the changes above a revision, in a batch of at most limit
	// bytes.
	ChangesSince(above storer.Revision, limit int) reflector.Batch
	// ApplyBatch applies a batch of changes from another entry.
	ApplyBatch(now time.Time, b reflector.Batch)
}

// Enroller maintains this entry's registration and its view of the other entries. It
// is safe for concurrent use.
type Enroller struct {
	o Options

	mu sync.Mutex
	// members tracks the registered entries. Methods that read them call tracked.
	members *tracker.Tracker
	// registered holds the registrations by entry id, this entry's included.
	registered map[string]tracker.Member
	// departed holds the entries whose registrations were removed, and until when they
	// count for limits that all entries share.
	departed map[string]time.Time
	ranks    ranks
	// participation is when this entry takes part in these limits.
	participation participation
	// changed reports that members does not have all of registered yet.
	changed bool
	// relay is the entry that last sent a heartbeat as the relay, and relayUntil the time
	// until which it counts as alive.
	relay      string
	relayUntil time.Time
	// election determines the relay of the failure domain.
	election election
	// electionStart is when electionDelay ends.
	electionStart time.Time
	// remoteUntil holds the time until which a report applies that an entry of another
	// failure domain is unreachable, by the id of that entry.
	remoteUntil map[string]time.Time
	// peerRevisions holds the revision last reported by each other entry in the answer
	// to a heartbeat.
	peerRevisions map[string]storer.Revision
	// wake ends the wait before the next heartbeats.
	wake chan struct{}
	// forwardQueue holds heartbeats of relays whose changes are to be forwarded.
	forwardQueue chan *linkpb.BeatRequest
	// checkNow ends the wait before the next check whether a renewal is due.
	checkNow    chan struct{}
	lease       storer.LeaseID
	nextRenewal time.Time
	// keptLease is the lease in the store's registration of this entry, for a process that has
	// none. It is zero if the entry must register anew.
	keptLease storer.LeaseID
	// nextRelayRenewal is when the renewal is due if this entry is a relay.
	nextRelayRenewal time.Time
	// postponeUntil is the time until which a renewal may wait for the end of an outage.
	postponeUntil time.Time
	stopped       bool
	contact       storeContact
	// resumed is set by resumeRegistration, and cancelAttempt cancels an attempt to register
	// that began before.
	resumed       bool
	cancelAttempt context.CancelFunc

	// forwardedBytes counts the bytes of changes sent with heartbeats, and
	// failedHeartbeats the heartbeats without an answer.
	forwardedBytes   atomic.Int64
	failedHeartbeats atomic.Int64
}

// New returns an enroller that knows no entry but its own.
func New(now time.Time, o Options) *Enroller {
	e := &Enroller{
		o: o, members: tracker.NewWithoutHistory(now, o.Self), registered: map[string]tracker.Member{o.Self.ID: o.Self},
		departed: map[string]time.Time{}, peerRevisions: map[string]storer.Revision{}, remoteUntil: map[string]time.Time{}, wake: make(chan struct{}, 1), checkNow: make(chan struct{}, 1), forwardQueue: make(chan *linkpb.BeatRequest, forwardQueueLength),
		electionStart: now.Add(electionDelay), election: election{due: now.Add(electionDelay), passedOver: map[string]bool{}},
	}
	e.members.SetRegistered(now, []tracker.Member{o.Self})
	return e
}

// ForwardedBytes returns the number of bytes of changes that this entry has sent with its
// heartbeats, those that failed included.
func (e *Enroller) ForwardedBytes() int64 { return e.forwardedBytes.Load() }

// FailedHeartbeats returns the number of heartbeats of this entry that were not answered.
func (e *Enroller) FailedHeartbeats() int64 { return e.failedHeartbeats.Load() }

func (e *Enroller) key() string { return e.o.Prefix + e.o.Self.ID }

// ApplyChange applies a change of an entry's registration. It reports false for keys
// that are not registrations. If this entry's own registration is deleted, the next
// check registers the entry again.
func (e *Enroller) ApplyChange(now time.Time, key string, value []byte, deleted bool) bool {
	id, ok := strings.CutPrefix(key, e.o.Prefix)
	if !ok {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case id == e.o.Self.ID && deleted:
		e.lease, e.keptLease, e.nextRenewal = 0, 0, time.Time{}
		e.participation = e.participation.withoutRegistration(now)
		return true
	case id == e.o.Self.ID:
		e.keptLease = e.keepableLease(value)
		e.participation = e.participation.withRegistration(now)
		return true
	case deleted:
		if _, ok := e.registered[id]; ok {
			e.departed[id] = now.Add(departedMemory)
		}
		delete(e.registered, id)
	default:
		var m tracker.Member
		if err := json.Unmarshal(value, &m); err != nil {
			e.o.Log.Error("Registration is invalid; ignored.", "key", key, "error", err)
			return true
		}
		e.registered[id] = m
		delete(e.departed, id)
	}
	e.changed = true
	e.ranks = ranks{}
	return true
}

// tracked returns the members with all known registrations. These are not passed on one by
// one, since each change of the members costs time and memory in proportion to their number.
// The caller holds the lock.
func (e *Enroller) tracked(now time.Time) *tracker.Tracker {
	if e.changed {
		e.changed = false
		e.members.SetRegistered(now, slices.Collect(maps.Values(e.registered)))
	}
	return e.members
}

// UsableMembers returns the entries that callers may be directed to.
func (e *Enroller) UsableMembers(now time.Time) (usable []tracker.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.tracked(now)
	t.Refresh(now)
	for _, m := range t.Members() {
		if t.Usable(now, m.ID) {
			usable = append(usable, m)
		}
	}
	return usable
}

// MemberCount returns the number of entries that may be running, at least one since this
// entry is included.
func (e *Enroller) MemberCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(1, len(e.tracked(time.Now()).Members()))
}

// Members returns the entries that are registered and this one, in no order. Unlike
// UsableMembers it does not depend on which of them answered lately.
func (e *Enroller) Members() []tracker.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Values(e.registered))
}

// FirstMembers returns the ids of the first n of the usable entries in the rendezvous order
// for a key, or of all if there are fewer.
func (e *Enroller) FirstMembers(key string, n int) (ids []string) {
	members := e.UsableMembers(time.Now())
	for len(ids) < n {
		first, ok := tracker.HighestRanked(key, members)
		if !ok {
			break
		}
		ids = append(ids, first.ID)
		members = slices.DeleteFunc(members, func(m tracker.Member) bool { return m.ID == first.ID })
	}
	return ids
}

// Deregister announces to the other entries that this entry is leaving and revokes
// the lease of its registration.
func (e *Enroller) Deregister(ctx context.Context) {
	e.mu.Lock()
	e.stopped = true
	e.members.SetStopping()
	lease := e.lease
	e.mu.Unlock()
	e.sendHeartbeats(ctx, append(e.domainPeers(), e.ringTargets(nil)...), e.newRound(time.Now(), false))
	if lease == 0 {
		return
	}
	if err := e.o.Store.Revoke(ctx, lease); err != nil {
		e.o.Log.Warn("Registration not removed; its lease will expire.", "error", err)
	}
}

// ReachesStore reports whether the store answers this entry's watches and its calls.
func (e *Enroller) ReachesStore() bool {
	reached := e.o.StoreCache.StoreReachable()
	e.mu.Lock()
	defer e.mu.Unlock()
	return reached && !e.contact.failed
}

// ReportStoreFailure records that the store refused or did not answer a call of this
// entry. The next renewal, after retryDelay, shows whether it answers again.
func (e *Enroller) ReportStoreFailure() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.contact.failed = true
	e.nextRenewal = time.Now().Add(retryDelay)
}

// MembersReachingStore returns the usable entries that the store answers.
func (e *Enroller) MembersReachingStore(now time.Time) (members []tracker.Member) {
	selfReaches := e.ReachesStore()
	for _, m := range e.UsableMembers(now) {
		if (m.ID == e.o.Self.ID && selfReaches) || (m.ID != e.o.Self.ID && e.peerReachesStore(m.ID)) {
			members = append(members, m)
		}
	}
	return members
}

// LacksStore reports whether another entry has stated lately that it does not reach the store.
func (e *Enroller) LacksStore(now time.Time, id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return id != e.o.Self.ID && e.members.PeerLacksStore(now, id)
}

func (e *Enroller) peerReachesStore(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members.PeerReachesStore(id)
}

// PeerAddresses returns the link addresses of the other usable entries, first of those from
// which a heartbeat has arrived lately, or the seeds if there are no other entries. The order
// is random otherwise.
func (e *Enroller) PeerAddresses(now time.Time) (addresses []string) {
	members := e.UsableMembers(now)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var silent []string
	e.mu.Lock()
	for _, m := range members {
		switch {
		case m.ID == e.o.Self.ID:
		case e.members.HeardWithin(now, m.ID, responsiveTime):
			addresses = append(addresses, m.LinkAddress)
		default:
			silent = append(silent, m.LinkAddress)
		}
	}
	e.mu.Unlock()
	if addresses = append(addresses, silent...); len(addresses) > 0 {
		return addresses
	}
	for _, a := range e.o.Seeds() {
		if a != e.o.Self.LinkAddress {
			addresses = append(addresses, a)
		}
	}
	return addresses
}
