// Package watcher brings the newest document, the list of members and the
// records of version moves into force, from the platform's store or, when it is
// out, from other entries.
package watcher

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/collector"
	"samphiremux/entry/mover"
	"samphiremux/entry/reconciler"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/linker"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/publisher"
	"samphiremux/pkg/storer"
)

const (
	// listLimit bounds one reading of the whole environment.
	listLimit = 3 * time.Second
	// firstPause and maxPause bound the wait before the store is tried again,
	// which varies by a half. The store's return must be seen within 2 s, since
	// what it tells of servers that leave has to be followed within 3 s.
	firstPause = 200 * time.Millisecond
	maxPause   = time.Second
	fetchLimit = 2 * time.Second
)

// Watcher is the actor that follows the store.
type Watcher struct {
	node        *reconciler.Node
	store       storer.Store
	pool        *linker.Pool
	environment string
	seeds       []string
	log         hclog.Logger
	rng         *rand.Rand
	members     map[string]tracker.Member
	accepted    func()
}

// New returns a watcher. Seeds are link addresses of entries to ask when the
// store is out at the start. Accepted is called for each new document.
func New(n *reconciler.Node, s storer.Store, p *linker.Pool, environment string, seeds []string, rng *rand.Rand, log hclog.Logger, accepted func()) *Watcher {
	return &Watcher{
		node: n, store: s, pool: p, environment: environment, seeds: seeds, rng: rng, log: log,
		members: map[string]tracker.Member{}, accepted: accepted,
	}
}

// StoreSnapshot is the whole environment as the store holds it.
type StoreSnapshot struct{ Pairs []storer.KeyValue }

// StoreEvents is a batch of changes.
type StoreEvents struct{ Events []storer.Event }

// FetchFrom asks for the newest document of a peer.
type FetchFrom struct{ LinkAddress string }

// FetchFromSeeds asks the seeds for a document, as long as there is none.
type FetchFromSeeds struct{}

// StoreUnavailable says that the store does not answer.
type StoreUnavailable struct{ Cause error }

// Run reads and watches the store, and sends what it finds to the actor,
// until ctx ends.
func (f *Watcher) Run(ctx context.Context, send func(msg any)) {
	pause := firstPause
	// The store may be out, and callers do not wait.
	send(FetchFromSeeds{})
	for ctx.Err() == nil {
		started := f.node.Now()
		err := f.followOnce(ctx, send)
		f.node.Metrics().StoreCalls.WithLabelValues("watch", collector.Result(err)).Inc()
		if ctx.Err() != nil {
			return
		}
		send(StoreUnavailable{Cause: err})
		if f.node.Now().Sub(started) > maxPause {
			pause = firstPause
		}
		select {
		case <-time.After(pause/2 + time.Duration(f.rng.Int64N(int64(pause)))):
		case <-ctx.Done():
		}
		pause = min(2*pause, maxPause)
	}
}

func (f *Watcher) followOnce(ctx context.Context, send func(msg any)) error {
	listCtx, cancel := context.WithTimeout(ctx, listLimit)
	pairs, at, err := f.store.List(listCtx, publisher.EnvironmentPrefix(f.environment))
	cancel()
	f.node.Metrics().StoreCalls.WithLabelValues("list", collector.Result(err)).Inc()
	if err != nil {
		return err
	}
	send(StoreSnapshot{Pairs: pairs})
	return f.store.Watch(ctx, publisher.EnvironmentPrefix(f.environment), at, func(events []storer.Event, _ storer.Revision) {
		send(StoreEvents{Events: events})
	})
}

// Receive handles a message of the actor.
func (f *Watcher) Receive(ctx context.Context, msg any) {
	switch m := msg.(type) {
	case StoreSnapshot:
		f.listed(m)
	case StoreEvents:
		f.changed(m)
	case FetchFrom:
		f.fetch(ctx, m.LinkAddress)
	case FetchFromSeeds:
		f.askSeeds(ctx)
	case StoreUnavailable:
		f.log.Warn("Store does not answer; going on with what is known.", "error", m.Cause)
		f.askSeeds(ctx)
	}
}

func (f *Watcher) listed(m StoreSnapshot) {
	f.members = map[string]tracker.Member{}
	for _, p := range m.Pairs {
		f.apply(p)
	}
	f.follow()
}

func (f *Watcher) changed(m StoreEvents) {
	membersChanged := false
	for _, e := range m.Events {
		if id, ok := strings.CutPrefix(e.Pair.Key, publisher.EntryPrefix(f.environment)); ok {
			membersChanged = true
			if e.Deleted {
				delete(f.members, id)
				continue
			}
		}
		if !e.Deleted {
			f.apply(e.Pair)
		}
	}
	if membersChanged {
		f.follow()
	}
}

// follow passes the registrations on to the membership state.
func (f *Watcher) follow() {
	all := make([]tracker.Member, 0, len(f.members))
	for _, m := range f.members {
		all = append(all, m)
	}
	f.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool { return t.SetRegistered(now, all) })
}

func (f *Watcher) apply(p storer.KeyValue) {
	switch {
	case p.Key == publisher.DocumentKey(f.environment):
		f.accept(p.Value, "store")
	case strings.HasPrefix(p.Key, publisher.EntryPrefix(f.environment)):
		var m tracker.Member
		if err := json.Unmarshal(p.Value, &m); err != nil {
			f.log.Error("Registration not readable.", "key", p.Key, "error", err)
			return
		}
		f.members[m.ID] = m
	case strings.HasPrefix(p.Key, publisher.MoveKey(f.environment, "")):
		r, err := mover.DecodeRecord(p.Value)
		if err != nil {
			f.log.Error("Move record not readable.", "key", p.Key, "error", err)
			return
		}
		f.node.SetMoveRecord(strings.TrimPrefix(p.Key, publisher.MoveKey(f.environment, "")), r)
	}
}

// accept brings a document into force, and shouts when an older one is offered.
func (f *Watcher) accept(data []byte, source string) {
	e, err := publisher.Decode(data)
	if err != nil {
		f.log.Error("Document not readable.", "source", source, "error", err)
		return
	}
	accepted, err := f.node.Accept(e)
	var older reconciler.ErrOlderDocument
	switch {
	case errors.As(err, &older):
		f.log.Error("Older document refused. The store may have been restored.", "source", source, "error", err)
	case err != nil:
		f.log.Error("Document refused.", "source", source, "error", err)
	case accepted:
		f.log.Info("Document in force.", "revision", e.Revision, "source", source)
		f.accepted()
	}
}

// askSeeds looks for a document at other entries, as long as there is none.
func (f *Watcher) askSeeds(ctx context.Context) {
	if f.node.Snapshot() != nil {
		return
	}
	for _, address := range f.seeds {
		f.fetch(ctx, address)
		if f.node.Snapshot() != nil {
			return
		}
	}
}

func (f *Watcher) fetch(ctx context.Context, address string) {
	var resp *linkpb.FetchResponse
	ctx, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	err := f.pool.Call(ctx, address, func(ctx context.Context, c linkpb.DRPCLinkClient) (err error) {
		resp, err = c.Fetch(ctx, &linkpb.FetchRequest{AboveRevision: uint64(f.node.Envelope().Revision)})
		return err
	})
	f.node.Metrics().LinkCalls.WithLabelValues("fetch", collector.Result(err)).Inc()
	if err != nil {
		f.log.Debug("Peer not asked.", "peer", address, "error", err)
		return
	}
	if len(resp.GetEnvelope()) > 0 {
		f.accept(resp.GetEnvelope(), "entry "+address)
	}
	f.adoptMembers(resp.GetMembers())
}

// adoptMembers takes the list of a peer while the store has given none.
func (f *Watcher) adoptMembers(members []*linkpb.Member) {
	if len(f.members) > 0 || len(members) == 0 {
		return
	}
	for _, m := range members {
		f.members[m.GetId()] = tracker.Member{
			ID: m.GetId(), Domain: m.GetFailureDomain(), Address: m.GetAddress(), LinkAddress: m.GetLinkAddress(),
			Incarnation: m.GetIncarnation(),
		}
	}
	f.follow()
}
