package enroller

import (
	"context"
	"slices"
	"time"

	"samphiremux/entry/reflector"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
)

const (
	// beatLimit bounds one heartbeat. It is below the time between two.
	beatLimit = 800 * time.Millisecond
	// scoutInterval is the time between two heartbeats of a scout.
	scoutInterval = 300 * time.Millisecond
	// scoutSilent is the time without a scout's heartbeat from which an entry
	// watches the store itself.
	scoutSilent = 700 * time.Millisecond
)

// IsRelay tells whether this entry watches the store for the others of its failure
// domain: it is the first by rendezvous hashing of those that reach the store.
func (e *Enroller) IsRelay() bool {
	if !e.ReachesStore() {
		return false
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var candidates []tracker.Member
	for _, m := range e.tracker.Members() {
		if m.Domain != e.o.Self.Domain {
			continue
		}
		if m.ID == e.o.Self.ID || (e.tracker.Usable(now, m.ID) && e.tracker.PeerReachesStore(m.ID)) {
			candidates = append(candidates, m)
		}
	}
	first, ok := tracker.HighestRanked("scout", candidates)
	return ok && first.ID == e.o.Self.ID
}

// HasRelay tells whether a scout was heard a short time ago.
func (e *Enroller) HasRelay() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.relieved)
}

// HeartbeatNow makes a scout pass its changes on at once.
func (e *Enroller) HeartbeatNow() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

// RunHeartbeats sends heartbeats until ctx ends.
func (e *Enroller) RunHeartbeats(ctx context.Context) {
	var ring time.Time
	for {
		scout := e.IsRelay()
		now := time.Now()
		var targets []tracker.Member
		if scout {
			targets = e.domain()
		}
		if now.Sub(ring) >= tracker.HeartbeatInterval-scoutInterval/2 {
			ring = now
			targets = append(targets, e.ring(targets)...)
		}
		e.beatAll(ctx, targets, scout)
		wait := tracker.HeartbeatInterval
		if scout {
			wait = scoutInterval
		}
		select {
		case <-time.After(wait):
		case <-e.kick:
		case <-ctx.Done():
			return
		}
	}
}

// domain lists the other members of this entry's failure domain.
func (e *Enroller) domain() (targets []tracker.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.tracker.Members() {
		if m.Domain == e.o.Self.Domain && m.ID != e.o.Self.ID {
			targets = append(targets, m)
		}
	}
	return targets
}

// ring lists the members that this entry sends heartbeats to in any case, without
// those that are targets already.
func (e *Enroller) ring(targets []tracker.Member) (more []tracker.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.tracker.HeartbeatTargets() {
		if !slices.Contains(targets, m) {
			more = append(more, m)
		}
	}
	return more
}

func (e *Enroller) beatAll(ctx context.Context, targets []tracker.Member, scout bool) {
	e.mu.Lock()
	now := time.Now()
	for _, m := range targets {
		e.tracker.RecordHeartbeatSent(now, m.ID)
	}
	e.mu.Unlock()
	for _, m := range targets {
		go e.beat(ctx, m, scout && m.Domain == e.o.Self.Domain)
	}
}

func (e *Enroller) beat(ctx context.Context, m tracker.Member, scout bool) {
	ctx, cancel := context.WithTimeout(ctx, beatLimit)
	defer cancel()
	sent := time.Now()
	err := e.o.Pool.Call(ctx, m.LinkAddress, func(ctx context.Context, c linkpb.DRPCLinkClient) error {
		resp, err := c.Beat(ctx, e.request(m.ID, scout))
		if err != nil {
			return err
		}
		e.heardAnswer(sent, resp)
		return nil
	})
	if err != nil {
		e.o.Log.Debug("Heartbeat not answered.", "entry", m.ID, "error", err)
	}
}

func (e *Enroller) heardAnswer(sent time.Time, resp *linkpb.BeatResponse) {
	now := time.Now()
	revision := storer.Revision(resp.GetDocumentRevision())
	e.o.StoreCache.ObservePeerRevision(now, revision)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.acknowledged[resp.GetEntryId()] = revision
	e.tracker.RecordHeartbeat(now, resp.GetEntryId(), resp.GetStoreReached(), resp.GetStopping(), 0)
	e.tracker.RecordHeartbeatAnswered(sent)
}

// request returns the heartbeat for another entry. A scout adds the changes that
// the other does not know.
func (e *Enroller) request(to string, scout bool) *linkpb.BeatRequest {
	// The store cache is asked without the lock, since it calls ApplyChange with its own held.
	reached := e.ReachesStore()
	revision := e.o.StoreCache.Revision()
	e.mu.Lock()
	now := time.Now()
	acknowledged := e.acknowledged[to]
	r := &linkpb.BeatRequest{
		EntryId: e.o.Self.ID, StoreReached: reached, Stopping: e.tracker.Stopping(),
		DocumentRevision: uint64(revision), Unreachable: e.tracker.Unreachable(now), Scout: scout,
	}
	e.mu.Unlock()
	if scout && acknowledged < revision {
		b := e.o.StoreCache.ChangesSince(acknowledged)
		r.Changes, r.Whole, r.DocumentRevision = b.Changes, b.Full, uint64(b.Revision)
	}
	return r
}

// HandleHeartbeat takes in another entry's heartbeat and answers it.
func (e *Enroller) HandleHeartbeat(r *linkpb.BeatRequest) *linkpb.BeatResponse {
	now := time.Now()
	if r.GetScout() {
		e.hearScout(now, r)
	}
	e.o.StoreCache.ObservePeerRevision(now, storer.Revision(r.GetDocumentRevision()))
	reached := e.ReachesStore()
	revision := e.o.StoreCache.Revision()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.RecordHeartbeat(now, r.GetEntryId(), r.GetStoreReached(), r.GetStopping(), 0)
	for _, id := range r.GetUnreachable() {
		e.tracker.RecordUnreachableReport(now, id)
	}
	return &linkpb.BeatResponse{
		EntryId: e.o.Self.ID, StoreReached: reached, Stopping: e.tracker.Stopping(), DocumentRevision: uint64(revision),
	}
}

// hearScout takes in the changes that a scout passes on.
func (e *Enroller) hearScout(now time.Time, r *linkpb.BeatRequest) {
	if len(r.GetChanges()) > 0 || r.GetWhole() {
		e.o.StoreCache.ApplyBatch(now, reflector.Batch{
			Changes: r.GetChanges(), Revision: storer.Revision(r.GetDocumentRevision()), Full: r.GetWhole(),
		})
	}
	if !r.GetStoreReached() || storer.Revision(r.GetDocumentRevision()) < e.o.StoreCache.Revision() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.relieved = now.Add(scoutSilent)
}
