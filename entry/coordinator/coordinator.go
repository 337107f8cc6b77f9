// Package coordinator leads the version moves of the services that this entry
// coordinates. Each step is a compare-and-swap in the platform's store, so that
// two coordinators cannot both lead.
package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/collector"
	"samphiremux/entry/granter"
	"samphiremux/entry/mover"
	"samphiremux/entry/reconciler"
	"samphiremux/entry/reporter"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/parser"
	"samphiremux/pkg/publisher"
	"samphiremux/pkg/storer"
)

const (
	// Interval is the time between two looks at the moves.
	Interval = 250 * time.Millisecond
	// callLimit bounds the store calls of one look at one move.
	callLimit = time.Second
)

// Announcement tells the operators' hook that a move has ended. It may be
// delivered more than once, with the same id.
type Announcement struct {
	ID      string      `json:"id"`
	Service string      `json:"service"`
	Move    string      `json:"move"`
	Phase   mover.Phase `json:"phase"`
	Reason  string      `json:"reason,omitempty"`
}

// Announce delivers an announcement.
type Announce func(ctx context.Context, a Announcement) error

// Coordinator is the actor that leads moves.
type Coordinator struct {
	node        *reconciler.Node
	store       storer.Store
	owner       *granter.Client
	environment string
	announce    Announce
	log         hclog.Logger
	// stored is what the store is known to hold, by service.
	stored map[string]storedRecord
}

type storedRecord struct {
	record   mover.Record
	modified storer.Revision
}

// New returns a coordinator. A nil announce delivers nothing.
func New(n *reconciler.Node, s storer.Store, owner *granter.Client, environment string, a Announce, log hclog.Logger) *Coordinator {
	return &Coordinator{
		node: n, store: s, owner: owner, environment: environment, announce: a, log: log, stored: map[string]storedRecord{},
	}
}

// Receive handles a message of the actor: it looks at each move that this entry
// coordinates.
func (c *Coordinator) Receive(ctx context.Context, _ any) {
	snapshot := c.node.Snapshot()
	if snapshot == nil || !c.mayWrite() {
		return
	}
	for name, sv := range snapshot.Services {
		if sv.Declared.Move == nil {
			delete(c.stored, name)
			continue
		}
		if id, ok := reporter.MoveCoordinator(name, sv); !ok || id != c.node.Self().ID {
			delete(c.stored, name)
			continue
		}
		if err := c.lead(ctx, sv.Declared); err != nil {
			delete(c.stored, name)
			c.log.Warn("Move not advanced.", "service", name, "error", err)
		}
	}
}

// mayWrite tells whether the entry's own lease holds. A paused entry does not
// lead.
func (c *Coordinator) mayWrite() (ok bool) {
	c.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		ok = t.StoreReached(now)
		return false
	})
	return ok
}

func (c *Coordinator) lead(ctx context.Context, s parser.Service) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	have, ok := c.stored[s.Name]
	if !ok {
		if have, err = c.load(ctx, s.Name); err != nil {
			return err
		}
		c.stored[s.Name] = have
	}
	now := c.node.Now()
	id := mover.ID(*s.Move)
	known, hasKnown := c.node.MoveRecord(s.Name)
	switch {
	case have.record.Move != id && hasKnown && known.Move == id && known.Phase == mover.RolledBack:
		return c.write(ctx, s.Name, have, known.WithCoordinator(c.node.Self().ID))
	case have.record.Move != id:
		return c.write(ctx, s.Name, have, mover.NewRecord(*s.Move, now, c.node.Self().ID))
	case hasKnown && known.Move == id && known.Phase == mover.RolledBack && have.record.Phase != mover.RolledBack:
		return c.write(ctx, s.Name, have, have.record.WithRollback(known.Reason, now))
	case have.record.Phase.Final():
		return c.announceEnd(ctx, s.Name, have)
	}
	evidence, err := c.owner.Evidence(ctx, s.Name, id)
	if err != nil {
		return err
	}
	next, changed := mover.Advance(now, *s.Move, routeNames(s), have.record, evidence)
	if !changed {
		return nil
	}
	return c.write(ctx, s.Name, have, next.WithCoordinator(c.node.Self().ID))
}

func routeNames(s parser.Service) (names []string) {
	for _, r := range s.Routes {
		names = append(names, r.Name)
	}
	return names
}

func (c *Coordinator) load(ctx context.Context, service string) (have storedRecord, err error) {
	pair, err := c.store.Get(ctx, publisher.MoveKey(c.environment, service))
	c.node.Metrics().StoreCalls.WithLabelValues("move-read", collector.Result(err)).Inc()
	var absent storer.ErrNoSuchKey
	if errors.As(err, &absent) {
		return storedRecord{}, nil
	}
	if err != nil {
		return storedRecord{}, err
	}
	r, err := mover.DecodeRecord(pair.Value)
	return storedRecord{record: r, modified: pair.ModRevision}, err
}

// write stores a record. An unknown outcome is settled by the next look, which
// reads the record back.
func (c *Coordinator) write(ctx context.Context, service string, have storedRecord, next mover.Record) (err error) {
	data, err := next.Encode()
	if err != nil {
		return err
	}
	key := publisher.MoveKey(c.environment, service)
	outcome := storer.CompareAndSwap(ctx, c.store, storer.Guard{Key: key, ModRevision: have.modified}, storer.Put{Key: key, Value: data})
	switch o := outcome.(type) {
	case storer.Committed:
		c.stored[service] = storedRecord{record: next, modified: o.Revision}
		c.node.SetMoveRecord(service, next)
		c.node.Metrics().Moves.WithLabelValues(service, string(next.Phase)).Set(100 * next.Share)
		c.log.Info("Move changed.", "service", service, "move", next.Move, "phase", next.Phase,
			"share", next.Share, "reason", next.Reason)
		return nil
	case storer.NotCommitted:
		return fmt.Errorf("record of %q not written: %w", service, o.Cause)
	case storer.Unknown:
		return fmt.Errorf("record of %q perhaps not written: %w", service, o.Cause)
	default:
		return fmt.Errorf("unexpected outcome %T", outcome)
	}
}

// announceEnd delivers the end of a move until the hook has taken it.
func (c *Coordinator) announceEnd(ctx context.Context, service string, have storedRecord) error {
	if c.announce == nil || have.record.Announced {
		return nil
	}
	a := Announcement{
		ID: service + "/" + have.record.Move + "/" + string(have.record.Phase), Service: service,
		Move: have.record.Move, Phase: have.record.Phase, Reason: have.record.Reason,
	}
	if err := c.announce(ctx, a); err != nil {
		return fmt.Errorf("announcing move %q: %w", a.ID, err)
	}
	return c.write(ctx, service, have, have.record.WithAnnounced())
}
