// Package coordinator advances the version moves of the services that this
// entry coordinates. Each step is a compare-and-swap in the platform's store,
// so that two coordinators cannot both advance a move.
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
	// Interval is the time between two checks of the moves.
	Interval = 250 * time.Millisecond
	// moveTimeout bounds the calls made for one move in one check: to the
	// store, for the evidence and to the operators' hook.
	moveTimeout = time.Second
)

// Announcement notifies the operators' hook that a move has ended. It may be
// delivered more than once, with the same id.
type Announcement struct {
	ID      string      `json:"id"`
	Service string      `json:"service"`
	Move    string      `json:"move"`
	Phase   mover.Phase `json:"phase"`
	Reason  string      `json:"reason,omitempty"`
}

// AnnounceFunc delivers an announcement to the operators' hook.
type AnnounceFunc func(ctx context.Context, a Announcement) error

// Coordinator is the actor that advances moves.
type Coordinator struct {
	node        *reconciler.Node
	store       storer.Store
	granter     *granter.Client
	environment string
	announce    AnnounceFunc
	log         hclog.Logger
	// stored caches the records that the store is known to hold, by service.
	stored map[string]storedRecord
}

// storedRecord is a move record and its modification revision in the store. It
// is zero if the store has no record.
type storedRecord struct {
	record   mover.Record
	modified storer.Revision
}

// New returns a coordinator. If a is nil, announcements are not delivered.
func New(n *reconciler.Node, s storer.Store, g *granter.Client, environment string, a AnnounceFunc, log hclog.Logger) *Coordinator {
	return &Coordinator{
		node: n, store: s, granter: g, environment: environment, announce: a, log: log, stored: map[string]storedRecord{},
	}
}

// Receive handles a message of the actor: it checks each move that this entry
// coordinates, and advances it if it is ready.
func (c *Coordinator) Receive(ctx context.Context, _ any) {
	snapshot := c.node.Snapshot()
	if snapshot == nil || !c.mayWrite() {
		return
	}
	for name, sv := range snapshot.Services {
		if sv.Spec.Move == nil {
			delete(c.stored, name)
			continue
		}
		if id, ok := reporter.MoveCoordinator(name, sv); !ok || id != c.node.Self().ID {
			delete(c.stored, name)
			continue
		}
		if err := c.advance(ctx, sv.Spec); err != nil {
			delete(c.stored, name)
			c.log.Warn("Move was not advanced; the next check tries again.", "service", name, "error", err)
		}
	}
}

// mayWrite reports whether the entry's own lease is valid. An entry whose lease
// expired, as during a pause, does not advance moves.
func (c *Coordinator) mayWrite() (ok bool) {
	c.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		ok = t.StoreReached(now)
		return false
	})
	return ok
}

// advance brings the stored record of a service's move up to date. It creates
// the record of a new move, stores a rollback that this entry knows of unless the
// store holds the end of the move already, announces a move that has ended, and otherwise takes the next step if the
// evidence allows it.
func (c *Coordinator) advance(ctx context.Context, s parser.Service) (err error) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	current, ok := c.stored[s.Name]
	if !ok {
		if current, err = c.load(ctx, s.Name); err != nil {
			return err
		}
		c.stored[s.Name] = current
	}
	now := c.node.Now()
	id := mover.ID(*s.Move)
	known, hasKnown := c.node.MoveRecord(s.Name)
	switch {
	case current.record.Move != id && hasKnown && known.Move == id && known.Phase == mover.RolledBack:
		return c.write(ctx, s.Name, current, known.WithCoordinator(c.node.Self().ID))
	case current.record.Move != id:
		return c.write(ctx, s.Name, current, mover.NewRecord(*s.Move, now, c.node.Self().ID))
	case hasKnown && known.Move == id && known.Phase == mover.RolledBack && !current.record.Phase.Final():
		return c.write(ctx, s.Name, current, current.record.WithRollback(known.Reason, now))
	case current.record.Phase.Final():
		return c.announceEnd(ctx, s.Name, current)
	}
	evidence, err := c.granter.Evidence(ctx, s.Name, id)
	if err != nil {
		return err
	}
	next, changed := mover.Advance(now, *s.Move, routeNames(s), current.record, evidence)
	if !changed {
		return nil
	}
	return c.write(ctx, s.Name, current, next.WithCoordinator(c.node.Self().ID))
}

func routeNames(s parser.Service) (names []string) {
	for _, r := range s.Routes {
		names = append(names, r.Name)
	}
	return names
}

// load reads the record of a service's move from the store.
func (c *Coordinator) load(ctx context.Context, service string) (stored storedRecord, err error) {
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

// write stores a record by compare-and-swap. After an unknown outcome the next
// check reads the record back.
func (c *Coordinator) write(ctx context.Context, service string, current storedRecord, next mover.Record) (err error) {
	data, err := next.Encode()
	if err != nil {
		return err
	}
	key := publisher.MoveKey(c.environment, service)
	outcome := storer.CompareAndSwap(ctx, c.store, storer.Guard{Key: key, ModRevision: current.modified}, storer.Put{Key: key, Value: data})
	switch o := outcome.(type) {
	case storer.Committed:
		c.stored[service] = storedRecord{record: next, modified: o.Revision}
		c.node.SetMoveRecord(service, next)
		c.node.Metrics().MoveShare.WithLabelValues(service, string(next.Phase)).Set(100 * next.Share)
		c.log.Info("Move changed.", "service", service, "move", next.Move, "phase", next.Phase,
			"share", next.Share, "reason", next.Reason)
		return nil
	case storer.NotCommitted:
		return fmt.Errorf("move record of service %q was not written: %w", service, o.Cause)
	case storer.Unknown:
		return fmt.Errorf("move record of service %q may not have been written: %w", service, o.Cause)
	default:
		return fmt.Errorf("unexpected compare-and-swap outcome %T", outcome)
	}
}

// announceEnd announces the end of a move. It is repeated at each check until
// the hook accepts the announcement and the record says so.
func (c *Coordinator) announceEnd(ctx context.Context, service string, current storedRecord) error {
	if c.announce == nil || current.record.Announced {
		return nil
	}
	a := Announcement{
		ID: service + "/" + current.record.Move + "/" + string(current.record.Phase), Service: service,
		Move: current.record.Move, Phase: current.record.Phase, Reason: current.record.Reason,
	}
	if err := c.announce(ctx, a); err != nil {
		return fmt.Errorf("announce end of move %q: %w", a.ID, err)
	}
	return c.write(ctx, service, current, current.record.WithAnnounced())
}
