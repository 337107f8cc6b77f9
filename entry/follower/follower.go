// Package follower brings the newest document, the list of members and the
// records of version moves into force, from the platform's store or, when it is
// out, from other entries.
package follower

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/counter"
	"samphiremux/entry/mover"
	"samphiremux/entry/sharer"
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

// Follower is the duty that follows the store.
type Follower struct {
	node        *sharer.Node
	store       storer.Store
	pool        *linker.Pool
	environment string
	seeds       []string
	log         hclog.Logger
	rng         *rand.Rand
	members     map[string]tracker.Member
	accepted    func()
}

// New returns a follower. Seeds are link addresses of entries to ask when the
// store is out at the start. Accepted is called for each new document.
func New(n *sharer.Node, s storer.Store, p *linker.Pool, environment string, seeds []string, rng *rand.Rand, log hclog.Logger, accepted func()) *Follower {
	return &Follower{
		node: n, store: s, pool: p, environment: environment, seeds: seeds, rng: rng, log: log,
		members: map[string]tracker.Member{}, accepted: accepted,
	}
}

// Listed is the whole environment as the store holds it.
type Listed struct{ Pairs []storer.Pair }

// Changed is a batch of changes.
type Changed struct{ Events []storer.Event }

// FetchFrom asks for the newest document of a peer.
type FetchFrom struct{ LinkAddress string }

// AskSeeds asks the seeds for a document, as long as there is none.
type AskSeeds struct{}

// Lost says that the store does not answer.
type Lost struct{ Cause error }

// Follow reads and watches the store, and sends what it finds to the duty,
// until ctx ends.
func (f *Follower) Follow(ctx context.Context, send func(msg any)) {
	pause := firstPause
	// The store may be out, and callers do not wait.
	send(AskSeeds{})
	for ctx.Err() == nil {
		started := f.node.Now()
		err := f.followOnce(ctx, send)
		f.node.Metrics().StoreCalls.WithLabelValues("watch", counter.Result(err)).Inc()
		if ctx.Err() != nil {
			return
		}
		send(Lost{Cause: err})
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

func (f *Follower) followOnce(ctx context.Context, send func(msg any)) error {
	listCtx, cancel := context.WithTimeout(ctx, listLimit)
	pairs, at, err := f.store.List(listCtx, publisher.Prefix(f.environment))
	cancel()
	f.node.Metrics().StoreCalls.WithLabelValues("list", counter.Result(err)).Inc()
	if err != nil {
		return err
	}
	send(Listed{Pairs: pairs})
	return f.store.Watch(ctx, publisher.Prefix(f.environment), at, func(events []storer.Event, _ storer.Revision) {
		send(Changed{Events: events})
	})
}

// Receive handles a message of the duty.
func (f *Follower) Receive(ctx context.Context, msg any) {
	switch m := msg.(type) {
	case Listed:
		f.listed(m)
	case Changed:
		f.changed(m)
	case FetchFrom:
		f.fetch(ctx, m.LinkAddress)
	case AskSeeds:
		f.askSeeds(ctx)
	case Lost:
		f.log.Warn("Store does not answer; going on with what is known.", "error", m.Cause)
		f.askSeeds(ctx)
	}
}

func (f *Follower) listed(m Listed) {
	f.members = map[string]tracker.Member{}
	for _, p := range m.Pairs {
		f.apply(p)
	}
	f.follow()
}

func (f *Follower) changed(m Changed) {
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
func (f *Follower) follow() {
	all := make([]tracker.Member, 0, len(f.members))
	for _, m := range f.members {
		all = append(all, m)
	}
	f.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool { return t.SetRegistered(now, all) })
}

func (f *Follower) apply(p storer.Pair) {
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
func (f *Follower) accept(data []byte, source string) {
	e, err := publisher.Decode(data)
	if err != nil {
		f.log.Error("Document not readable.", "source", source, "error", err)
		return
	}
	accepted, err := f.node.Accept(e)
	var older sharer.ErrOlderDocument
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
func (f *Follower) askSeeds(ctx context.Context) {
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

func (f *Follower) fetch(ctx context.Context, address string) {
	var resp *linkpb.FetchResponse
	ctx, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	err := f.pool.Call(ctx, address, func(ctx context.Context, c linkpb.DRPCLinkClient) (err error) {
		resp, err = c.Fetch(ctx, &linkpb.FetchRequest{AboveRevision: uint64(f.node.Envelope().Revision)})
		return err
	})
	f.node.Metrics().LinkCalls.WithLabelValues("fetch", counter.Result(err)).Inc()
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
func (f *Follower) adoptMembers(members []*linkpb.Member) {
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
