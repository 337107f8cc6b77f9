package enroller

import (
	"context"
	"slices"
	"time"

	"samphiremux/entry/reflector"
	"samphiremux/entry/startrecorder"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/linker"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
)

const (
	// heartbeatTimeout bounds one heartbeat. It is below tracker.HeartbeatInterval, the
	// time between two heartbeats to a ring target.
	heartbeatTimeout = 800 * time.Millisecond
	// relayInterval is the time between two heartbeats of a relay.
	relayInterval = 300 * time.Millisecond
	// relayTimeout is the time without a heartbeat of the relay after which an entry
	// watches the store itself.
	relayTimeout = 700 * time.Millisecond
	// minHandover is the time in which the next relay sends heartbeats after one has reported
	// that the store does not answer it, and peerHandover what it takes longer for each
	// entry that it has no connection to yet.
	minHandover  = relayInterval
	peerHandover = 4 * time.Millisecond
	// minChangeBytes and maxChangeBytes bound the changes in one heartbeat of a relay.
	// Entries read larger values from the store, and watch it themselves while more changes
	// than that come. Heartbeats of minChangeBytes to 22 entries take half of a link of
	// 10 Mbit/s.
	minChangeBytes = 8 << 10
	maxChangeBytes = 48 << 10
	// linkShare is the part of a relay's link that its heartbeats may use.
	linkShare = 0.5
	// fullBytes is the size from which the changes in a heartbeat of an earlier version may
	// have been cut short.
	fullBytes = minChangeBytes - 512
)

// HasRelay reports whether a relay has sent a heartbeat within relayTimeout.
func (e *Enroller) HasRelay() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.relayUntil)
}

// HeartbeatNow sends the next heartbeats at once, so that a relay forwards its changes
// without delay.
func (e *Enroller) HeartbeatNow() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// RunHeartbeats sends heartbeats until ctx ends. A relay sends them to its whole
// failure domain every relayInterval, and once more when the store no longer answers
// it. Every entry sends them to its ring targets every tracker.HeartbeatInterval, a
// relay also to entries of other failure domains.
func (e *Enroller) RunHeartbeats(ctx context.Context) {
	go e.runFanOut(ctx)
	var lastRing time.Time
	var sent sentRevisions
	wasRelay := false
	for {
		now := time.Now()
		relay := e.IsRelay() && e.storeConfirmed(now)
		var targets []tracker.Member
		if relay || (wasRelay && !e.ReachesStore()) {
			targets = e.domainPeers()
		}
		wasRelay = relay
		ringDue := now.Sub(lastRing) >= tracker.HeartbeatInterval-relayInterval/2
		if ringDue {
			targets = append(targets, e.ringTargets(targets)...)
			if len(targets) > 0 {
				lastRing = now
			}
		}
		if relay && (ringDue || now.After(e.electionStart)) {
			targets = append(targets, slices.DeleteFunc(e.remoteTargets(now), func(m tracker.Member) bool { return slices.Contains(targets, m) })...)
		}
		wait := tracker.HeartbeatInterval
		r := e.newRound(now, relay)
		if relay {
			wait = relayInterval
			sent, r.fanOut.confirmedUpTo = sent.with(now, e.o.StoreCache.Revision())
		} else {
			sent = nil
		}
		e.sendHeartbeats(ctx, targets, r)
		select {
		case <-time.After(wait):
		case <-e.wake:
		case <-ctx.Done():
			return
		}
	}
}

// storeConfirmed reports whether the store has answered this entry lately. One that has
// just become the relay sends no heartbeats as such before.
func (e *Enroller) storeConfirmed(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.contact.confirmed(now)
}

// domainPeers returns the other members of this entry's failure domain.
func (e *Enroller) domainPeers() (targets []tracker.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.tracked(time.Now()).Members() {
		if m.Domain == e.o.Self.Domain && m.ID != e.o.Self.ID {
			targets = append(targets, m)
		}
	}
	return targets
}

// ringTargets returns the members that every entry sends heartbeats to, relay or not,
// without those in targets.
func (e *Enroller) ringTargets(targets []tracker.Member) (added []tracker.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.tracked(time.Now()).HeartbeatTargets() {
		if !slices.Contains(targets, m) {
			added = append(added, m)
		}
	}
	return added
}

// sendHeartbeats sends a heartbeat to each target without waiting for the answers. If
// this entry is a relay, its heartbeats to its own failure domain mark it as one, and all of
// them ask for usage counts: otherwise the counts of a relay would be at that entry only, and
// those of the holder of usage reports would be lost with it.
func (e *Enroller) sendHeartbeats(ctx context.Context, targets []tracker.Member, r round) {
	e.mu.Lock()
	now := time.Now()
	for _, m := range targets {
		e.members.RecordHeartbeatSent(now, m.ID)
	}
	e.mu.Unlock()
	for _, m := range targets {
		go e.sendHeartbeat(ctx, m, r)
	}
}

// sendHeartbeat sends one heartbeat and records the answer.
func (e *Enroller) sendHeartbeat(ctx context.Context, m tracker.Member, r round) {
	e.callBeat(ctx, m, func() *linkpb.BeatRequest {
		request := e.newRequest(m, r)
		if r.relay && e.o.Usage != nil {
			request.Usage = e.o.Usage.Query(m.ID)
		}
		return request
	})
}

// callBeat sends a heartbeat, which is made once there is a connection, and records the answer.
func (e *Enroller) callBeat(ctx context.Context, m tracker.Member, request func() *linkpb.BeatRequest) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := time.Now()
	err := e.o.Pool.Call(ctx, m.LinkAddress, func(ctx context.Context, c linkpb.DRPCLinkClient) error {
		resp, err := c.Beat(ctx, request())
		if err != nil {
			return err
		}
		e.handleResponse(sent, resp)
		return nil
	})
	if err != nil {
		e.failedHeartbeats.Add(1)
		e.o.Log.Debug("Peer did not answer the heartbeat.", "entry", m.ID, "error", err)
	}
}

// handleResponse records the answer to a heartbeat. sent is when the heartbeat was
// sent.
func (e *Enroller) handleResponse(sent time.Time, resp *linkpb.BeatResponse) {
	now := time.Now()
	e.observePeer(now, resp.GetStoreReached())
	revision := linker.DecodeRevision(resp.GetDocumentRevision(), resp.GetEra(), e.o.StoreCache.Revision().Era())
	e.o.StoreCache.ObservePeerRevision(now, revision)
	if e.o.Usage != nil {
		e.o.Usage.Receive(resp.GetUsage())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peerRevisions[resp.GetEntryId()] = revision
	e.members.RecordHeartbeat(now, resp.GetEntryId(), resp.GetStoreReached(), resp.GetStopping(), 0)
	e.members.RecordHeartbeatAnswered(sent)
}

// round is what the heartbeats that are sent together have in common.
type round struct {
	// relay reports that this entry is a relay.
	relay  bool
	fanOut fanOut
	// limit bounds the changes in a heartbeat that is not to a secondary relay.
	limit int
	// reports holds the entries that do not answer this one, and relayReports those that a
	// relay reports to its own failure domain. A relay states all of them in each heartbeat:
	// when it repeated them every 0.9 s only, callers were referred to a lost relay for 6.8 s.
	reports, relayReports []string
}

// newRound returns a round of heartbeats.
func (e *Enroller) newRound(now time.Time, relay bool) round {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := round{relay: relay, reports: e.tracked(now).Unreachable(now)}
	if relay {
		r.fanOut, r.limit = e.fanOutOf(now, e.o.Self), e.changeLimit(now)
		r.relayReports = append(slices.Clone(r.reports), e.remoteUnreachable(now)...)
	}
	return r
}

// newRequest returns the heartbeat for a peer. A relay adds the changes above the
// revision that the peer last reported, unless the peer gets them from its secondary relay.
func (e *Enroller) newRequest(peer tracker.Member, in round) *linkpb.BeatRequest {
	// The store cache is called without the lock held: it calls ApplyChange while it
	// holds its own, so that the opposite order would deadlock.
	reached := e.ReachesStore()
	revision := e.o.StoreCache.Revision()
	e.mu.Lock()
	relay := in.relay && peer.Domain == e.o.Self.Domain
	peerRevision, limit := e.peerRevisions[peer.ID], in.limit
	_, isSecondary := in.fanOut.groups[peer.ID]
	left := in.fanOut.leavesTo(peer.ID, peerRevision)
	if isSecondary || left {
		limit = in.fanOut.limit
	}
	r := &linkpb.BeatRequest{
		EntryId: e.o.Self.ID, StoreReached: reached, Stopping: e.members.Stopping(),
		Unreachable: in.reports, Scout: relay,
	}
	if relay {
		r.Unreachable = in.relayReports
	}
	e.mu.Unlock()
	complete := revision
	if relay && peerRevision < revision {
		if b := e.o.StoreCache.ChangesSince(peerRevision, limit); b.Revision != 0 {
			r.CutShort = &b.CutShort
			if left {
				b = reflector.Batch{Revision: revision}
			}
			r.Changes, r.Omitted, r.Whole, r.AboveRevision = b.Changes, b.Omitted, b.Full, uint64(peerRevision)
			revision, complete = b.Revision, b.CompleteRevision()
			e.forwardedBytes.Add(int64(b.Size()))
		}
	}
	r.CoveredRevision = uint64(revision)
	r.DocumentRevision, r.Era = uint64(complete.Number()), complete.Era()
	return r
}

// observePeer records that another entry has sent or answered a heartbeat.
func (e *Enroller) observePeer(now time.Time, storeReached bool) {
	e.o.Start.Reach(startrecorder.Peers)
	if e.o.OnPeer != nil {
		e.o.OnPeer(now, storeReached)
	}
	if storeReached && e.o.StoreCache.Revision() != 0 {
		e.mu.Lock()
		e.resumeRegistration()
		e.mu.Unlock()
	}
}

// HandleHeartbeat records another entry's heartbeat and returns the answer.
func (e *Enroller) HandleHeartbeat(r *linkpb.BeatRequest) *linkpb.BeatResponse {
	now := time.Now()
	e.observePeer(now, r.GetStoreReached())
	peerRevision := coveredRevision(r, e.o.StoreCache.Revision().Era())
	batch := e.applyChanges(now, r, peerRevision)
	if r.GetScout() {
		e.handleRelay(now, r, peerRevision, batch)
	}
	e.o.StoreCache.ObservePeerRevision(now, peerRevision)
	reached := e.ReachesStore()
	revision := e.o.StoreCache.Revision()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordRelayState(now, r)
	e.members.RecordHeartbeat(now, r.GetEntryId(), r.GetStoreReached(), r.GetStopping(), 0)
	e.members.RecordUnreachableReports(now, r.GetEntryId(), r.GetUnreachable())
	for _, id := range r.GetUnreachable() {
		e.recordRemote(now, r.GetEntryId(), id)
	}
	resp := &linkpb.BeatResponse{
		EntryId: e.o.Self.ID, StoreReached: reached, Stopping: e.members.Stopping(),
		DocumentRevision: uint64(revision.Number()), Era: revision.Era(),
	}
	if e.o.Usage != nil {
		resp.Usage = e.o.Usage.Answer(r.GetUsage())
	}
	return resp
}

// recordRelayState records that the relay can no longer be one, if its heartbeat says so.
// The next one takes over at once. The caller holds the lock.
func (e *Enroller) recordRelayState(now time.Time, r *linkpb.BeatRequest) {
	if r.GetEntryId() != e.relay || (r.GetStoreReached() && !r.GetStopping()) {
		return
	}
	e.relay = ""
	peers := len(e.domainMembers(now, func(m tracker.Member) bool { return !e.isPassedOver(m.ID) }))
	if until := now.Add(minHandover + time.Duration(peers)*peerHandover); until.Before(e.relayUntil) {
		e.relayUntil = until
	}
	e.wakeCheck()
}

// coveredRevision returns the revision up to which the changes of a heartbeat are complete
// apart from the omitted ones. Entries of earlier versions omit none. Own is the era of
// the receiver.
func coveredRevision(r *linkpb.BeatRequest, own int64) storer.Revision {
	if covered := storer.Revision(r.GetCoveredRevision()); covered != 0 {
		return linker.DecodeRevision(uint64(covered.Number()), covered.Era(), own)
	}
	return linker.DecodeRevision(r.GetDocumentRevision(), r.GetEra(), own)
}

// applyChanges applies the changes that a relay or a secondary relay sends, which are complete
// up to a revision apart from the omitted ones. Those of a relay are forwarded, except whole
// states, which are for this entry only.
func (e *Enroller) applyChanges(now time.Time, r *linkpb.BeatRequest, upTo storer.Revision) (b reflector.Batch) {
	b = reflector.Batch{
		Changes: r.GetChanges(), Omitted: r.GetOmitted(), Above: storer.Revision(r.GetAboveRevision()), Revision: upTo, Full: r.GetWhole(),
	}
	if len(b.Changes) == 0 && len(b.Omitted) == 0 && !b.Full {
		return b
	}
	e.o.StoreCache.ApplyBatch(now, b)
	if r.GetScout() && !b.Full {
		select {
		case e.forwardQueue <- r:
		default:
		}
	}
	return b
}

// handleRelay records the heartbeat of a relay, whose batch has been applied. The relay counts
// as alive only if the store answers it and its copy is not older than this entry's, and only
// while its changes fit in its heartbeats: after one that is full, more are waiting.
func (e *Enroller) handleRelay(now time.Time, r *linkpb.BeatRequest, upTo storer.Revision, b reflector.Batch) {
	if !r.GetStoreReached() || upTo < e.o.StoreCache.Revision() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.relay, e.relayUntil = r.GetEntryId(), now.Add(relayTimeout)
	e.election.recordHeartbeat(now, r.GetEntryId())
	cutShort := r.GetCutShort()
	if r.CutShort == nil {
		cutShort = len(b.Omitted) == 0 && b.Size() > fullBytes
	}
	if cutShort {
		e.relayUntil = now
	}
}
