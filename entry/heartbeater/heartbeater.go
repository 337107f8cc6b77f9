// Package heartbeater exchanges heartbeats with other entries. Heartbeats show
// which entries are alive and which revision of the document each has.
package heartbeater

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"samphiremux/entry/collector"
	"samphiremux/entry/reconciler"
	"samphiremux/entry/spawner"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/linker"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/publisher"
)

const (
	// beatTimeout bounds one heartbeat call.
	beatTimeout = 700 * time.Millisecond
	// pushFanOut bounds the peers that get a heartbeat at once when this entry has
	// a new document.
	pushFanOut = 3
	// maxUnreachable bounds the unreachable members listed in a heartbeat.
	maxUnreachable = 8
)

// Heartbeater is the actor that sends heartbeats.
type Heartbeater struct {
	node  *reconciler.Node
	pool  *linker.Pool
	rng   *rand.Rand
	fetch func(linkAddress string)
}

// New returns a heartbeater for n. Fetch starts a fetch of the document from the
// peer at linkAddress and must not block.
func New(n *reconciler.Node, p *linker.Pool, rng *rand.Rand, fetch func(linkAddress string)) *Heartbeater {
	return &Heartbeater{node: n, pool: p, rng: rng, fetch: fetch}
}

// Push is the message that asks for a heartbeat to a few random peers at once,
// so that they learn of a new document before the next tick.
type Push struct{}

// Receive handles one message. At a tick it sends heartbeats to all targets, at a
// Push to pushFanOut random ones. They go out in parallel, and Receive returns when
// each has had a response or an error.
func (h *Heartbeater) Receive(ctx context.Context, msg any) {
	var targets []tracker.Member
	h.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		targets = t.HeartbeatTargets()
		return t.Refresh(now)
	})
	switch msg.(type) {
	case spawner.Tick:
	case Push:
		h.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		targets = targets[:min(len(targets), pushFanOut)]
	default:
		return
	}
	var wg sync.WaitGroup
	for _, m := range targets {
		wg.Go(func() { h.beat(ctx, m) })
	}
	wg.Wait()
}

// NewHeartbeat returns the heartbeat that the entry of n sends.
func NewHeartbeat(n *reconciler.Node) (r *linkpb.BeatRequest) {
	r = &linkpb.BeatRequest{EntryId: n.Self().ID, DocumentRevision: uint64(n.Envelope().Revision)}
	n.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		r.StoreReached = t.StoreReached(now)
		r.Stopping = t.Stopping()
		unreachable := t.Unreachable(now)
		r.Unreachable = unreachable[:min(len(unreachable), maxUnreachable)]
		return false
	})
	return r
}

// beat sends one heartbeat to m and records the response. A response with another
// entry's id is ignored, since then m no longer has that address. If the peer has
// a newer document, beat starts a fetch.
func (h *Heartbeater) beat(ctx context.Context, m tracker.Member) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	request := NewHeartbeat(h.node)
	sentAt := h.node.Now()
	h.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool { t.RecordHeartbeatSent(now, m.ID); return false })
	var resp *linkpb.BeatResponse
	err := h.pool.Call(ctx, m.LinkAddress, func(ctx context.Context, c linkpb.DRPCLinkClient) (err error) {
		resp, err = c.Beat(ctx, request)
		return err
	})
	h.node.Metrics().LinkCalls.WithLabelValues("beat", collector.Result(err)).Inc()
	if err != nil || resp.GetEntryId() != m.ID {
		return
	}
	h.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		t.RecordHeartbeat(now, m.ID, resp.GetStoreReached(), resp.GetStopping(), resp.GetDocumentRevision())
		t.RecordHeartbeatAnswered(sentAt)
		return false
	})
	h.node.ObservePeerRevision(publisher.Revision(resp.GetDocumentRevision()))
	if resp.GetDocumentRevision() > uint64(h.node.Envelope().Revision) {
		h.fetch(m.LinkAddress)
	}
}
