// Package tracker holds the membership of an environment as one entry sees it.
// The list of members comes from registrations in the platform's store; direct
// heartbeats show which members are reachable. While the store is unavailable,
// the list stays as it was.
package tracker

import (
	"cmp"
	"slices"
	"time"

	"samphiremux/pkg/placer"
)

const (
	// LeaseTTL is the time for which a registration is valid without renewal.
	LeaseTTL = 9 * time.Second
	// RenewInterval is the time between renewals of a registration.
	RenewInterval = LeaseTTL / 3
	// HeartbeatInterval is the time between two heartbeats to a peer.
	HeartbeatInterval = time.Second
	// HeartbeatFanOut is the maximum number of peers that an entry sends
	// heartbeats to.
	HeartbeatFanOut = 8
	// heartbeatTimeout is the age of the last heartbeat from which a peer
	// counts as unreachable.
	heartbeatTimeout = 2500 * time.Millisecond
	// reportRetention is the time for which a report that a member is unreachable applies
	// after the reporting entry was last heard. If that one is lost too, another one has to
	// take over its heartbeats first: in two failure domains one after the other, that takes
	// up to 4 s.
	reportRetention = 2 * heartbeatTimeout
	// corroborationTimeout is the time without an answer after which an entry reports a
	// member as unreachable itself that another entry has reported so.
	corroborationTimeout = 600 * time.Millisecond
	// lateHeartbeat is the time for which a heartbeat or an answer may be under way. Their
	// calls end before the next heartbeat.
	lateHeartbeat = HeartbeatInterval
	// isolationTimeout is the time without an answer from the store or a peer
	// from which an entry counts as isolated.
	isolationTimeout = 2500 * time.Millisecond
	// expiryGrace is the time for which a member is kept after its registration
	// has expired, provided that it answers heartbeats. Registrations expire in
	// a long outage of the store.
	expiryGrace = 3 * LeaseTTL
	// viewRetention is the time for which past member lists are kept. It
	// exceeds the time for which idempotency keys are stored.
	viewRetention = 15 * time.Minute
)

// Member is a registered entry. It is immutable.
type Member struct {
	ID          string `json:"id"`
	Domain      string `json:"failure-domain"`
	Address     string `json:"address"`
	LinkAddress string `json:"link-address"`
	// DelegationAddress is where the entry takes requests that other entries pass on. It
	// is empty if it takes none.
	DelegationAddress string `json:"delegation-address,omitempty"`
	// LinkRate is the bandwidth of the entry's link in bytes per second, zero if it is not
	// known.
	LinkRate float64 `json:"link-rate,omitempty"`
	// Incarnation distinguishes restarts of the same entry.
	Incarnation string `json:"incarnation"`
}

func (m Member) candidate() placer.Member { return placer.Member{ID: m.ID, Domain: m.Domain} }

// peer is what this entry knows of a member.
type peer struct {
	lastHeartbeat time.Time
	// unansweredSince is when the first heartbeat after lastHeartbeat was sent, and lastSent
	// when the latest one was.
	unansweredSince time.Time
	lastSent        time.Time
	// storeReached is true if the peer last reported that it reaches the store.
	storeReached bool
	stopping     bool
	// stoppingUntil is the time until which a heartbeat that does not say that the peer is
	// stopping may be older than one that did.
	stoppingUntil time.Time
	revision      uint64
	// expiredAt is when the registration was first found missing. It is zero
	// while the peer is registered.
	expiredAt time.Time
}

// unreachableReport is a report that a member is unreachable.
type unreachableReport struct {
	reporter string
	at       time.Time
	// retracted is true if the reporter no longer states it.
	retracted bool
}

// applies reports whether the report still counts.
func (r unreachableReport) applies(now time.Time) bool {
	if r.retracted {
		return now.Sub(r.at) < heartbeatTimeout
	}
	return now.Sub(r.at) < reportRetention
}

// view is a member list and the time from which it was valid.
type view struct {
	from    time.Time
	members []Member
}

// Tracker is the membership state of one entry. It is not safe for concurrent
// use.
type Tracker struct {
	self       Member
	started    time.Time
	registered map[string]Member
	members    []Member
	peers      map[string]*peer
	views      []view
	// keepsViews reports that past member lists are kept, for KeyOwner.
	keepsViews  bool
	leaseExpiry time.Time
	// lastContact is the latest sending time of a request that the store or a
	// peer answered.
	lastContact time.Time
	// unreachableReports holds the latest report that a member is unreachable, by member id.
	unreachableReports map[string]unreachableReport
	// listReceived is true once registrations have been read.
	listReceived  bool
	leaseObtained bool
}

// New returns the state of an entry that starts at now. It keeps past member lists, from
// which KeyOwner tells how long an entry has owned a key.
func New(now time.Time, self Member) *Tracker {
	t := NewWithoutHistory(now, self)
	t.keepsViews = true
	return t
}

// NewWithoutHistory returns the state of an entry that starts at now and owns no keys.
func NewWithoutHistory(now time.Time, self Member) *Tracker {
	return &Tracker{
		self: self, started: now, registered: map[string]Member{}, peers: map[string]*peer{},
		unreachableReports: map[string]unreachableReport{},
	}
}

// Self returns the entry's own registration.
func (t *Tracker) Self() Member { return t.self }

// SetRegistered replaces the registrations read from the store. It reports
// whether the members changed.
func (t *Tracker) SetRegistered(now time.Time, members []Member) (changed bool) {
	t.registered = map[string]Member{}
	for _, m := range members {
		t.registered[m.ID] = m
	}
	t.listReceived = true
	return t.refresh(now)
}

// Refresh drops expired members whose grace period has ended. It reports
// whether the members changed.
func (t *Tracker) Refresh(now time.Time) (changed bool) { return t.refresh(now) }

func (t *Tracker) refresh(now time.Time) (changed bool) {
	if !t.listReceived {
		return false
	}
	next := make([]Member, 0, len(t.registered))
	for _, m := range t.registered {
		next = append(next, m)
		t.peer(m.ID).expiredAt = time.Time{}
	}
	for _, m := range t.members {
		if _, ok := t.registered[m.ID]; !ok && t.retainExpired(now, m.ID) {
			next = append(next, m)
		}
	}
	slices.SortFunc(next, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(next, t.members) {
		return false
	}
	t.members = next
	if !t.keepsViews {
		return true
	}
	t.views = append(t.views, view{now, next})
	for len(t.views) > 1 && now.Sub(t.views[1].from) > viewRetention {
		t.views = t.views[1:]
	}
	return true
}

// retainExpired reports whether a member whose registration has expired stays
// in the list. The entry keeps itself until it stops, and a peer for
// expiryGrace as long as it answers heartbeats.
func (t *Tracker) retainExpired(now time.Time, id string) bool {
	if id == t.self.ID {
		return !t.peer(id).stopping
	}
	p := t.peer(id)
	if p.expiredAt.IsZero() {
		p.expiredAt = now
	}
	return !p.stopping && now.Sub(p.expiredAt) < expiryGrace && now.Sub(p.lastHeartbeat) < heartbeatTimeout
}

func (t *Tracker) peer(id string) *peer {
	p, ok := t.peers[id]
	if !ok {
		p = &peer{}
		t.peers[id] = p
	}
	return p
}

// Members returns the members in the order of their ids.
func (t *Tracker) Members() []Member { return t.members }

// Subset returns the members that serve a service, in rank order.
func (t *Tracker) Subset(service string, size int) []Member {
	return subsetOf(t.members, service, size)
}

func subsetOf(members []Member, service string, size int) []Member {
	candidates := make([]placer.Member, len(members))
	byID := make(map[string]Member, len(members))
	for i, m := range members {
		candidates[i] = m.candidate()
		byID[m.ID] = m
	}
	chosen := placer.Subset(service, candidates, size)
	subset := make([]Member, len(chosen))
	for i, c := range chosen {
		subset[i] = byID[c.ID]
	}
	return subset
}

// KeyOwner returns the member that owns an idempotency key of a service, and
// since when it has owned it without interruption according to this entry's
// member lists. A restart of the owner is an interruption.
func (t *Tracker) KeyOwner(service, key string, size int) (owner Member, since time.Time, ok bool) {
	for i := len(t.views) - 1; i >= 0; i-- {
		subset := subsetOf(t.views[i].members, service, size)
		m, found := HighestRanked(key, subset)
		switch {
		case !found:
			return owner, since, ok
		case !ok:
			owner, ok = m, true
		case m.ID != owner.ID || m.Incarnation != owner.Incarnation:
			return owner, since, ok
		}
		since = t.views[i].from
	}
	if owner.ID == t.self.ID && since.Before(t.started) {
		since = t.started
	}
	return owner, since, ok
}

// HighestRanked returns the member with the highest rendezvous hashing weight
// for a key.
func HighestRanked(key string, members []Member) (first Member, ok bool) {
	candidates := make([]placer.Member, len(members))
	for i, m := range members {
		candidates[i] = m.candidate()
	}
	chosen, ok := placer.HighestRanked(key, candidates)
	if !ok {
		return Member{}, false
	}
	i := slices.IndexFunc(members, func(m Member) bool { return m.ID == chosen.ID })
	return members[i], true
}

// RecordHeartbeat records a heartbeat from a peer, or its answer to one.
func (t *Tracker) RecordHeartbeat(now time.Time, id string, storeReached, stopping bool, revision uint64) {
	p := t.peer(id)
	p.lastHeartbeat = now
	p.storeReached = storeReached
	if stopping {
		p.stoppingUntil = now.Add(lateHeartbeat)
	}
	p.stopping = stopping || now.Before(p.stoppingUntil)
	p.revision = max(p.revision, revision)
	delete(t.unreachableReports, id)
}

// RecordHeartbeatAnswered records that a peer answered a heartbeat that was
// sent at sent. Only the sending time bounds the age of an answer, which may be
// read late, as after a pause of the process.
func (t *Tracker) RecordHeartbeatAnswered(sent time.Time) { t.recordContact(sent) }

func (t *Tracker) recordContact(sent time.Time) {
	if sent.After(t.lastContact) {
		t.lastContact = sent
	}
}

// RecordHeartbeatSent records that a heartbeat was sent to a peer.
func (t *Tracker) RecordHeartbeatSent(now time.Time, id string) {
	p := t.peer(id)
	if p.unansweredSince.Before(p.lastHeartbeat) || now.Sub(p.lastSent) >= heartbeatTimeout {
		p.unansweredSince = now
	}
	p.lastSent = now
}

// RecordUnreachableReports records which members an entry reports as unreachable now. A
// report has no effect if this entry had a heartbeat from the member within
// HeartbeatInterval.
func (t *Tracker) RecordUnreachableReports(now time.Time, reporter string, ids []string) {
	for id, r := range t.unreachableReports {
		if r.reporter == reporter && !slices.Contains(ids, id) {
			r.retracted = true
			t.unreachableReports[id] = r
		}
	}
	for _, id := range ids {
		if p := t.peer(id); now.Sub(p.lastHeartbeat) >= HeartbeatInterval {
			t.unreachableReports[id] = unreachableReport{reporter: reporter, at: now}
		}
	}
}

// Unreachable returns the ids of the members that do not answer this entry's
// own heartbeats.
func (t *Tracker) Unreachable(now time.Time) (ids []string) {
	for _, m := range t.members {
		if m.ID != t.self.ID && t.unresponsive(now, m.ID) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// unresponsive reports whether a peer has been sent heartbeats for at least heartbeatTimeout,
// or for corroborationTimeout while a report of another entry applies, and has sent none
// within heartbeatTimeout. This lapses once it is sent no more, since nothing would show that
// it responds again.
func (t *Tracker) unresponsive(now time.Time, id string) bool {
	p := t.peer(id)
	timeout := heartbeatTimeout
	if t.unreachableReports[id].applies(now) {
		timeout = corroborationTimeout
	}
	return now.Sub(p.lastSent) < heartbeatTimeout && now.Sub(p.unansweredSince) >= timeout && now.Sub(p.lastHeartbeat) >= heartbeatTimeout
}

// Unanswered reports whether a member that is sent heartbeats has answered none of them for
// a time.
func (t *Tracker) Unanswered(now time.Time, id string, d time.Duration) bool {
	p := t.peer(id)
	return now.Sub(p.lastSent) < heartbeatTimeout && p.unansweredSince.After(p.lastHeartbeat) && now.Sub(p.unansweredSince) >= d
}

// Unresponsive reports whether a member does not answer this entry's own heartbeats.
func (t *Tracker) Unresponsive(now time.Time, id string) bool { return t.unresponsive(now, id) }

// Usable reports whether callers may be referred to a member. A member that is
// stopping, unresponsive or reported unreachable is not usable.
func (t *Tracker) Usable(now time.Time, id string) bool {
	if id == t.self.ID {
		return !t.peer(id).stopping
	}
	if t.peer(id).stopping || t.unresponsive(now, id) {
		return false
	}
	return !t.unreachableReports[id].applies(now)
}

// PeerReachesStore reports whether a member last stated that it reaches the
// store.
func (t *Tracker) PeerReachesStore(id string) bool { return t.peer(id).storeReached }

// PeerMayReachStore reports whether the store may answer a member: it last stated so, or has
// stated nothing yet.
func (t *Tracker) PeerMayReachStore(id string) bool {
	p := t.peer(id)
	return p.lastHeartbeat.IsZero() || p.storeReached
}

// PeerLacksStore reports whether a member has stated lately that it does not reach the store.
func (t *Tracker) PeerLacksStore(now time.Time, id string) bool {
	p := t.peer(id)
	return !p.storeReached && now.Sub(p.lastHeartbeat) < heartbeatTimeout
}

// HeardWithin reports whether a member has sent a heartbeat, or answered one, within a time.
func (t *Tracker) HeardWithin(now time.Time, id string, d time.Duration) bool {
	return now.Sub(t.peer(id).lastHeartbeat) < d
}

// SentWithin reports whether a member was sent a heartbeat within a time.
func (t *Tracker) SentWithin(now time.Time, id string, d time.Duration) bool {
	return now.Sub(t.peer(id).lastSent) < d
}

// SetStopping records that this entry is stopping.
func (t *Tracker) SetStopping() { t.peer(t.self.ID).stopping = true }

// Stopping reports whether this entry is stopping.
func (t *Tracker) Stopping() bool { return t.peer(t.self.ID).stopping }

// RecordRenewal records that the store answered a lease renewal that was sent
// at sent. The lease counts from the sending, so that an entry that was paused
// fences itself in time.
func (t *Tracker) RecordRenewal(sent time.Time) {
	t.leaseExpiry = sent.Add(LeaseTTL)
	t.recordContact(sent)
	t.leaseObtained = true
}

// RecordLeaseLost records that the store no longer has the lease of this entry.
func (t *Tracker) RecordLeaseLost() { t.leaseExpiry = time.Time{} }

// StoreReached reports whether this entry's lease is valid, that is, whether
// the store answered a renewal that was sent within LeaseTTL.
func (t *Tracker) StoreReached(now time.Time) bool { return now.Before(t.leaseExpiry) }

// IsolationDeadline returns the time from which the entry counts as isolated if
// neither the store nor a peer answers until then. An entry without peers never
// counts as isolated.
func (t *Tracker) IsolationDeadline() (at time.Time, ok bool) {
	if len(t.members) < 2 {
		return time.Time{}, false
	}
	return t.lastContact.Add(isolationTimeout), true
}

// NoPeerReachable reports whether no peer has sent a heartbeat within
// heartbeatTimeout, so that only the store can show that the entry is not
// isolated. It is false for an entry without peers.
func (t *Tracker) NoPeerReachable(now time.Time) bool {
	for _, m := range t.members {
		if m.ID != t.self.ID && now.Sub(t.peer(m.ID).lastHeartbeat) < heartbeatTimeout {
			return false
		}
	}
	return len(t.members) > 1
}

// HasKeyAuthority reports whether this entry may act as the owner of
// idempotency keys. After its lease has expired it may do so only while a
// majority of the members cannot reach the store either, since then no
// successor can have been agreed.
func (t *Tracker) HasKeyAuthority(now time.Time) bool {
	if now.Before(t.leaseExpiry) {
		return true
	}
	if !t.leaseObtained {
		return false
	}
	withoutStore := 1
	for _, m := range t.members {
		if m.ID == t.self.ID {
			continue
		}
		if p := t.peer(m.ID); now.Sub(p.lastHeartbeat) < heartbeatTimeout && !p.storeReached {
			withoutStore++
		}
	}
	return 2*withoutStore > len(t.members)
}

// HeartbeatTargets returns the peers to send heartbeats to: the members that
// follow this one in the order of ids, at most HeartbeatFanOut.
func (t *Tracker) HeartbeatTargets() (targets []Member) {
	start := slices.IndexFunc(t.members, func(m Member) bool { return m.ID >= t.self.ID })
	if start < 0 {
		start = 0
	}
	for i := range t.members {
		m := t.members[(start+i)%len(t.members)]
		if m.ID == t.self.ID {
			continue
		}
		if len(targets) == HeartbeatFanOut {
			break
		}
		targets = append(targets, m)
	}
	return targets
}

// NewerPeer returns the reachable member with the highest known document
// revision above revision.
func (t *Tracker) NewerPeer(now time.Time, revision uint64) (m Member, ok bool) {
	highest := revision
	for _, candidate := range t.members {
		p := t.peer(candidate.ID)
		if candidate.ID != t.self.ID && p.revision > highest && now.Sub(p.lastHeartbeat) < heartbeatTimeout {
			highest, m, ok = p.revision, candidate, true
		}
	}
	return m, ok
}
