// Package tracker knows the entries of an environment. The list of members
// comes from registrations in the platform's store; direct heartbeats tell which
// of them answer now. When the store is out, the list stays as it was.
package tracker

import (
	"cmp"
	"slices"
	"time"

	"samphiremux/pkg/placer"
)

const (
	// LeaseTTL is the time for which a registration holds without renewal.
	LeaseTTL = 9 * time.Second
	// RenewInterval is the time between renewals.
	RenewInterval = LeaseTTL / 3
	// HeartbeatInterval is the time between two heartbeats to a peer.
	HeartbeatInterval = time.Second
	// HeartbeatFanOut bounds the peers that an entry sends heartbeats to.
	HeartbeatFanOut = 8
	// silentAfter is the age of the last heartbeat from which a peer counts as
	// unreachable.
	silentAfter = 2500 * time.Millisecond
	// isolatedAfter is the time without any answer of the store or of a peer
	// from which an entry takes itself as cut off.
	isolatedAfter = 2500 * time.Millisecond
	// lapseGrace keeps a member whose registration has lapsed while it answers
	// heartbeats, as after a long outage of the store.
	lapseGrace = 3 * LeaseTTL
	// viewLife is the time for which past member lists are kept. It exceeds the
	// time for which idempotency keys are remembered.
	viewLife = 15 * time.Minute
)

// Member is a registered entry. It is immutable.
type Member struct {
	ID          string `json:"id"`
	Domain      string `json:"failure-domain"`
	Address     string `json:"address"`
	LinkAddress string `json:"link-address"`
	// Incarnation tells restarts of the same entry apart.
	Incarnation string `json:"incarnation"`
}

func (m Member) candidate() placer.Member { return placer.Member{ID: m.ID, Domain: m.Domain} }

type peer struct {
	heard        time.Time
	asked        time.Time
	storeReached bool
	stopping     bool
	revision     uint64
	lapsed       time.Time
}

// view is a member list and the time from which it held.
type view struct {
	from    time.Time
	members []Member
}

// Tracker is the membership state of one entry. It is not safe for concurrent
// use.
type Tracker struct {
	self          Member
	started       time.Time
	registered    map[string]Member
	members       []Member
	peers         map[string]*peer
	views         []view
	leaseUntil    time.Time
	contact       time.Time
	hearsayUntil  map[string]time.Time
	everListed    bool
	leaseObtained bool
}

// New returns the state of an entry that starts at now.
func New(now time.Time, self Member) *Tracker {
	return &Tracker{
		self: self, started: now, registered: map[string]Member{}, peers: map[string]*peer{},
		hearsayUntil: map[string]time.Time{},
	}
}

// Self returns the entry's own registration.
func (t *Tracker) Self() Member { return t.self }

// SetRegistered replaces the list of registrations read from the store. It
// reports whether the members changed.
func (t *Tracker) SetRegistered(now time.Time, members []Member) (changed bool) {
	t.registered = map[string]Member{}
	for _, m := range members {
		t.registered[m.ID] = m
	}
	t.everListed = true
	return t.refresh(now)
}

// Refresh drops members whose grace has ended. It reports whether the members
// changed.
func (t *Tracker) Refresh(now time.Time) (changed bool) { return t.refresh(now) }

func (t *Tracker) refresh(now time.Time) (changed bool) {
	if !t.everListed {
		return false
	}
	next := make([]Member, 0, len(t.registered))
	for _, m := range t.registered {
		next = append(next, m)
		t.peer(m.ID).lapsed = time.Time{}
	}
	for _, m := range t.members {
		if _, ok := t.registered[m.ID]; !ok && t.keepLapsed(now, m.ID) {
			next = append(next, m)
		}
	}
	slices.SortFunc(next, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(next, t.members) {
		return false
	}
	t.members = next
	t.views = append(t.views, view{now, next})
	for len(t.views) > 1 && now.Sub(t.views[1].from) > viewLife {
		t.views = t.views[1:]
	}
	return true
}

func (t *Tracker) keepLapsed(now time.Time, id string) bool {
	if id == t.self.ID {
		return !t.peer(id).stopping
	}
	p := t.peer(id)
	if p.lapsed.IsZero() {
		p.lapsed = now
	}
	return !p.stopping && now.Sub(p.lapsed) < lapseGrace && now.Sub(p.heard) < silentAfter
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

// KeyOwner returns the member that remembers a key of a service, and since when it
// has been so in this entry's eyes.
func (t *Tracker) KeyOwner(service, key string, size int) (home Member, since time.Time, ok bool) {
	for i := len(t.views) - 1; i >= 0; i-- {
		subset := subsetOf(t.views[i].members, service, size)
		m, found := HighestRanked(key, subset)
		switch {
		case !found:
			return home, since, ok
		case !ok:
			home, ok = m, true
		case m.ID != home.ID || m.Incarnation != home.Incarnation:
			return home, since, ok
		}
		since = t.views[i].from
	}
	if home.ID == t.self.ID && since.Before(t.started) {
		since = t.started
	}
	return home, since, ok
}

// HighestRanked returns the member that comes first for a key by rendezvous hashing.
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

// RecordHeartbeat notes a heartbeat of a peer.
func (t *Tracker) RecordHeartbeat(now time.Time, id string, storeReached, stopping bool, revision uint64) {
	p := t.peer(id)
	p.heard = now
	p.storeReached = storeReached
	p.stopping = stopping
	p.revision = max(p.revision, revision)
	delete(t.hearsayUntil, id)
}

// RecordHeartbeatAnswered notes that a peer answered a heartbeat sent at a time. Only the time
// of sending shows that an answer is not old, as after a pause.
func (t *Tracker) RecordHeartbeatAnswered(sent time.Time) { t.touch(sent) }

func (t *Tracker) touch(sent time.Time) {
	if sent.After(t.contact) {
		t.contact = sent
	}
}

// RecordHeartbeatSent notes that a heartbeat was sent to a peer.
func (t *Tracker) RecordHeartbeatSent(now time.Time, id string) {
	if p := t.peer(id); p.asked.Before(p.heard) || p.asked.IsZero() {
		p.asked = now
	}
}

// RecordUnreachableReport notes that other entries cannot reach a member.
func (t *Tracker) RecordUnreachableReport(now time.Time, id string) {
	if p := t.peer(id); now.Sub(p.heard) >= HeartbeatInterval {
		t.hearsayUntil[id] = now.Add(silentAfter)
	}
}

// Unreachable lists members that answered none of this entry's own heartbeats.
func (t *Tracker) Unreachable(now time.Time) (ids []string) {
	for _, m := range t.members {
		if m.ID != t.self.ID && t.silent(now, m.ID) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// silent tells whether a peer was asked and has not answered for too long.
func (t *Tracker) silent(now time.Time, id string) bool {
	p := t.peer(id)
	return !p.asked.IsZero() && now.Sub(p.asked) >= silentAfter && now.Sub(p.heard) >= silentAfter
}

// Usable tells whether a member can be named to callers.
func (t *Tracker) Usable(now time.Time, id string) bool {
	if id == t.self.ID {
		return !t.peer(id).stopping
	}
	if t.peer(id).stopping || t.silent(now, id) {
		return false
	}
	return !now.Before(t.hearsayUntil[id])
}

// PeerReachesStore tells whether a member said that the store answers it.
func (t *Tracker) PeerReachesStore(id string) bool { return t.peer(id).storeReached }

// SetStopping notes that this entry is leaving.
func (t *Tracker) SetStopping() { t.peer(t.self.ID).stopping = true }

// Stopping tells whether this entry is leaving.
func (t *Tracker) Stopping() bool { return t.peer(t.self.ID).stopping }

// RecordRenewal notes that a renewal sent at sent was answered. The deadline counts
// from the sending, so that a paused entry fences itself in time.
func (t *Tracker) RecordRenewal(sent time.Time) {
	t.leaseUntil = sent.Add(LeaseTTL)
	t.touch(sent)
	t.leaseObtained = true
}

// LeaseLost notes that the store no longer has the lease.
func (t *Tracker) LeaseLost() { t.leaseUntil = time.Time{} }

// StoreReached tells whether the store answered a short time ago.
func (t *Tracker) StoreReached(now time.Time) bool { return now.Before(t.leaseUntil) }

// IsolationDeadline returns the time from which the entry counts as cut off, if
// nothing is heard until then. An entry without peers never does.
func (t *Tracker) IsolationDeadline() (at time.Time, ok bool) {
	if len(t.members) < 2 {
		return time.Time{}, false
	}
	return t.contact.Add(isolatedAfter), true
}

// NoPeerReachable tells whether no peer has answered for a while, so that the store alone
// can show that the entry is not cut off.
func (t *Tracker) NoPeerReachable(now time.Time) bool {
	for _, m := range t.members {
		if m.ID != t.self.ID && now.Sub(t.peer(m.ID).heard) < silentAfter {
			return false
		}
	}
	return len(t.members) > 1
}

// HasKeyAuthority tells whether this entry may still act as the home of keys. Past
// its lease it may only while a majority of the members cannot reach the store
// either, since then no successor can have been agreed.
func (t *Tracker) HasKeyAuthority(now time.Time) bool {
	if now.Before(t.leaseUntil) {
		return true
	}
	if !t.leaseObtained {
		return false
	}
	without := 1
	for _, m := range t.members {
		if m.ID == t.self.ID {
			continue
		}
		if p := t.peer(m.ID); now.Sub(p.heard) < silentAfter && !p.storeReached {
			without++
		}
	}
	return 2*without > len(t.members)
}

// HeartbeatTargets returns the peers to send heartbeats to: the next members after
// this one in the order of ids, at most HeartbeatFanOut.
func (t *Tracker) HeartbeatTargets() (targets []Member) {
	at := slices.IndexFunc(t.members, func(m Member) bool { return m.ID >= t.self.ID })
	if at < 0 {
		at = 0
	}
	for i := range t.members {
		m := t.members[(at+i)%len(t.members)]
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

// NewerPeer returns a member that is known to have a document above revision.
func (t *Tracker) NewerPeer(now time.Time, revision uint64) (m Member, ok bool) {
	best := revision
	for _, candidate := range t.members {
		p := t.peer(candidate.ID)
		if candidate.ID != t.self.ID && p.revision > best && now.Sub(p.heard) < silentAfter {
			best, m, ok = p.revision, candidate, true
		}
	}
	return m, ok
}
