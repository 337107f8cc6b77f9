// Package heartbeater exchanges heartbeats with other entries. They tell who is
// alive and which document each has.
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
)

const (
	// beatLimit bounds one heartbeat.
	beatLimit = 700 * time.Millisecond
	// pushFanOut is the number of peers that hear of a new document at once.
	pushFanOut = 3
	// maxHearsay bounds the unreachable members named in a heartbeat.
	maxHearsay = 8
)

// Heartbeater is the actor that sends heartbeats.
type Heartbeater struct {
	node  *reconciler.Node
	pool  *linker.Pool
	rng   *rand.Rand
	fetch func(linkAddress string)
}

// New returns a heartbeater. Fetch asks a peer for its newer document.
func New(n *reconciler.Node, p *linker.Pool, rng *rand.Rand, fetch func(linkAddress string)) *Heartbeater {
	return &Heartbeater{node: n, pool: p, rng: rng, fetch: fetch}
}

// Push tells a few peers at once that this entry has a new document.
type Push struct{}

// Receive handles a message of the actor.
func (b *Heartbeater) Receive(ctx context.Context, msg any) {
	var targets []tracker.Member
	b.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		targets = t.HeartbeatTargets()
		return t.Refresh(now)
	})
	switch msg.(type) {
	case spawner.Tick:
	case Push:
		b.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		targets = targets[:min(len(targets), pushFanOut)]
	default:
		return
	}
	var all sync.WaitGroup
	for _, m := range targets {
		all.Go(func() { b.beat(ctx, m) })
	}
	all.Wait()
}

// Request returns this entry's heartbeat.
func Request(n *reconciler.Node) (r *linkpb.BeatRequest) {
	r = &linkpb.BeatRequest{EntryId: n.Self().ID, DocumentRevision: uint64(n.Envelope().Revision)}
	n.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		r.StoreReached = t.StoreReached(now)
		r.Stopping = t.Stopping()
		unreachable := t.Unreachable(now)
		r.Unreachable = unreachable[:min(len(unreachable), maxHearsay)]
		return false
	})
	return r
}

func (b *Heartbeater) beat(ctx context.Context, m tracker.Member) {
	ctx, cancel := context.WithTimeout(ctx, beatLimit)
	defer cancel()
	request := Request(b.node)
	sent := b.node.Now()
	b.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool { t.RecordHeartbeatSent(now, m.ID); return false })
	var resp *linkpb.BeatResponse
	err := b.pool.Call(ctx, m.LinkAddress, func(ctx context.Context, c linkpb.DRPCLinkClient) (err error) {
		resp, err = c.Beat(ctx, request)
		return err
	})
	b.node.Metrics().LinkCalls.WithLabelValues("beat", collector.Result(err)).Inc()
	if err != nil || resp.GetEntryId() != m.ID {
		return
	}
	b.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		t.RecordHeartbeat(now, m.ID, resp.GetStoreReached(), resp.GetStopping(), resp.GetDocumentRevision())
		t.RecordHeartbeatAnswered(sent)
		return false
	})
	if resp.GetDocumentRevision() > uint64(b.node.Envelope().Revision) {
		b.fetch(m.LinkAddress)
	}
}
