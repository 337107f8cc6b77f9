// Package roller moves the traffic of a service from one version of its backend
// servers to another on the operators' order, and takes it back when the new
// version does harm. One entry leads each move. Every step is a transaction in the
// platform's store, so that two leaders cannot both succeed.
package roller

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/balancer"
	"samphiremux/entry/snapshotter"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/describer"
	"samphiremux/pkg/linker"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
)

const (
	// interval is the time between two looks at the moves.
	interval = 250 * time.Millisecond
	// tellLimit bounds a call to another entry.
	tellLimit = 500 * time.Millisecond
	// learnTime is the time in which a new leader hears of all entries before it
	// changes a share: four reports.
	learnTime = time.Second
	// minShareStep is the least change of a share that is worth a write.
	minShareStep = 0.02
)

// StoreCache is the entry's copy of the store.
type StoreCache interface {
	// Get returns a key's value and revision, or a zero revision.
	Get(key string) (value []byte, revision storer.Revision)
}

// Options are what a roller needs.
type Options struct {
	Self       string
	Store      storer.Store
	StoreCache StoreCache
	Prefix     string
	Snapshots  *snapshotter.Snapshotter
	Members    func(now time.Time) []tracker.Member
	// LeaderCandidates lists the entries that the store answers. One of them leads.
	LeaderCandidates func(now time.Time) []tracker.Member
	// OnStoreFailure hears that the store refused or lost a write of this entry.
	OnStoreFailure func()
	Pool           *linker.Pool
	// Exposure returns the bounds in force.
	Exposure func() ExposureLimit
	// EncodeStatus returns the key and value by which operators read a move's state.
	EncodeStatus func(describer.MoveOrder, describer.MoveState) (key string, value []byte, err error)
	Log          hclog.Logger
}

// Roller leads moves and tells the leaders of others what this entry sees.
type Roller struct {
	o   Options
	own tallies

	mu    sync.Mutex
	heard map[string]map[string]heard
	// since is when this entry began to lead the moves of a service.
	since map[string]time.Time
}

// heard is the newest tally of one entry for one service.
type heard struct {
	order  int64
	routes map[string]evidence
}

// New returns a roller.
func New(o Options) *Roller {
	return &Roller{o: o, own: tallies{all: map[string]*tally{}}, heard: map[string]map[string]heard{}, since: map[string]time.Time{}}
}

// RecordKey returns the key of a service's record.
func (r *Roller) RecordKey(service string) string { return r.o.Prefix + service }

// Observe counts an attempt of a service that is being moved.
func (r *Roller) Observe(a balancer.Attempt) {
	if rec, ok := r.o.Snapshots.MoveRecord(a.Service); ok && !rec.Phase.Final() {
		r.own.observe(a, rec)
	}
}

// Run leads and reports until ctx ends.
func (r *Roller) Run(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.look(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (r *Roller) look(ctx context.Context) {
	for _, o := range r.o.Snapshots.Orders() {
		rec, ok := r.o.Snapshots.MoveRecord(o.Service)
		if ok && rec.Order == o.Revision && rec.Phase.Final() && r.written(o.Service, rec) {
			continue
		}
		leader, found := r.leader(o.Service)
		switch {
		case !found:
		case leader.ID == r.o.Self:
			if err := r.lead(ctx, o, rec, ok && rec.Order == o.Revision); err != nil {
				r.o.Log.Warn("Move not advanced.", "service", o.Service, "error", err)
			}
		case ok:
			r.follow(o.Service)
			r.report(ctx, leader, o.Service, rec.Order)
		}
	}
}

// written tells whether the store is known to hold a record.
func (r *Roller) written(service string, rec snapshotter.MoveRecord) bool {
	stored, _, err := r.stored(service)
	return err == nil && stored.Order == rec.Order && stored.Phase == rec.Phase
}

func (r *Roller) stored(service string) (rec snapshotter.MoveRecord, at storer.Revision, err error) {
	value, at := r.o.StoreCache.Get(r.RecordKey(service))
	if at == 0 || len(value) == 0 {
		return snapshotter.MoveRecord{}, at, nil
	}
	rec, err = snapshotter.DecodeMoveRecord(value)
	return rec, at, err
}

// leader returns the entry that leads the moves of a service.
func (r *Roller) leader(service string) (m tracker.Member, ok bool) {
	return tracker.HighestRanked("move of "+service, r.o.LeaderCandidates(time.Now()))
}

// report tells the leader what this entry has seen.
func (r *Roller) report(ctx context.Context, leader tracker.Member, service string, order int64) {
	tallies := r.own.wire(service, order)
	if len(tallies) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tellLimit)
	defer cancel()
	err := r.o.Pool.Call(ctx, leader.LinkAddress, func(ctx context.Context, c linkpb.DRPCLinkClient) error {
		_, err := c.Report(ctx, &linkpb.ReportRequest{EntryId: r.o.Self, Tallies: tallies})
		return err
	})
	if err != nil {
		r.o.Log.Debug("Leader of a move not reached.", "service", service, "leader", leader.ID, "error", err)
	}
}

// HandleReport takes in what another entry has seen.
func (r *Roller) HandleReport(entry string, all []*linkpb.Tally) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range all {
		order, err := strconv.ParseInt(t.GetMove(), 10, 64)
		if err != nil {
			r.o.Log.Warn("Tally not readable.", "entry", entry, "error", err)
			continue
		}
		service := t.GetService()
		if r.heard[service] == nil {
			r.heard[service] = map[string]heard{}
		}
		h := r.heard[service][entry]
		if h.order != order {
			h = heard{order: order, routes: map[string]evidence{}}
		}
		h.routes[t.GetRoute()] = fromWire(t)
		r.heard[service][entry] = h
	}
}

// gather sums what all entries have seen of a move, by route.
func (r *Roller) gather(service string, order int64) map[string]evidence {
	sum := map[string]evidence{}
	for _, t := range r.own.wire(service, order) {
		sum[t.GetRoute()] = fromWire(t)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.heard[service] {
		if h.order != order {
			continue
		}
		for route, e := range h.routes {
			sum[route] = sum[route].plus(e)
		}
	}
	return sum
}

// lead takes the next step of a move. Started tells that the record belongs to
// the order.
func (r *Roller) lead(ctx context.Context, o describer.MoveOrder, rec snapshotter.MoveRecord, started bool) error {
	now := time.Now()
	if !started {
		rec = snapshotter.MoveRecord{
			Order: o.Revision, Stable: r.o.Snapshots.StableVersion(o), Target: o.Target, Phase: snapshotter.Moving, Started: now,
		}
		rec.Share = progress{span: o.Duration}.share(r.o.Exposure())
		return r.write(ctx, o, rec)
	}
	if rec.Phase.Final() {
		return r.write(ctx, o, rec)
	}
	routes := r.gather(o.Service, o.Revision)
	if reason, found := harm(routes); found {
		rec = rec.WithPhase(snapshotter.RolledBack, reason)
		r.o.Snapshots.SetMoveRecord(o.Service, rec)
		r.tell(ctx, o.Service, rec)
		return r.write(ctx, o, rec)
	}
	if now.Sub(r.leading(o.Service, now)) < learnTime {
		return nil
	}
	p := progress{elapsed: now.Sub(rec.Started), span: o.Duration}
	for _, e := range routes {
		p.total = p.total.plus(e)
	}
	share := p.next(r.o.Exposure(), rec.Share)
	servers := r.servers(o.Service)
	if reason, held := p.holds(servers[rec.Stable], servers[rec.Target]); held {
		r.o.Log.Debug("Move held.", "service", o.Service, "reason", reason)
		return nil
	}
	switch {
	case rec.Share == 1 && now.Sub(rec.Changed) >= settleTime:
		return r.write(ctx, o, rec.WithPhase(snapshotter.Done, ""))
	case share >= rec.Share+minShareStep || (share == 1 && rec.Share < 1):
		return r.write(ctx, o, rec.WithShare(share, now))
	}
	return nil
}

// leading returns since when this entry leads the moves of a service.
func (r *Roller) leading(service string, now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, ok := r.since[service]
	if !ok {
		since = now
		r.since[service] = since
	}
	return since
}

// follow notes that another entry leads.
func (r *Roller) follow(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.since, service)
}

// write stores a record with the state that operators read.
func (r *Roller) write(ctx context.Context, o describer.MoveOrder, rec snapshotter.MoveRecord) (err error) {
	_, at, err := r.stored(o.Service)
	if err != nil {
		return err
	}
	data, err := rec.Encode()
	if err != nil {
		return err
	}
	state := describer.MoveRunning
	switch rec.Phase {
	case snapshotter.Done:
		state = describer.MoveSucceeded
	case snapshotter.RolledBack:
		state = describer.MoveRolledBack
	}
	key, status, err := r.o.EncodeStatus(o, state)
	if err != nil {
		return err
	}
	outcome := r.o.Store.Commit(ctx, storer.Transaction{
		Guards: []storer.Guard{{Key: r.RecordKey(o.Service), ModRevision: at}},
		Puts:   []storer.Put{{Key: r.RecordKey(o.Service), Value: data}, {Key: key, Value: status}},
	})
	switch out := outcome.(type) {
	case storer.Committed:
		r.o.Snapshots.SetMoveRecord(o.Service, rec)
		r.o.Log.Info("Move changed.", "service", o.Service, "target", rec.Target, "phase", rec.Phase, "share", rec.Share,
			"reason", rec.Reason, "servers", r.servers(o.Service))
		return nil
	case storer.NotCommitted:
		var conflict storer.ErrConflict
		if !errors.As(out.Cause, &conflict) {
			r.o.OnStoreFailure()
		}
		return fmt.Errorf("record not written: %w", out.Cause)
	case storer.Unknown:
		r.o.OnStoreFailure()
		return fmt.Errorf("record perhaps not written: %w", out.Cause)
	default:
		return errors.New("unexpected outcome")
	}
}

// servers counts the servers of a service that may get work, by version.
func (r *Roller) servers(service string) map[string]int {
	counts := map[string]int{}
	view := r.o.Snapshots.Snapshot()
	for _, b := range view.Services[service] {
		if view.Eligible(b) {
			counts[b.Version]++
		}
	}
	return counts
}

// tell stops the target on the other entries before the store has the record.
func (r *Roller) tell(ctx context.Context, service string, rec snapshotter.MoveRecord) {
	ctx, cancel := context.WithTimeout(ctx, tellLimit)
	defer cancel()
	notice := &linkpb.TellRequest{EntryId: r.o.Self, Notice: &linkpb.TellRequest_Verdict{Verdict: &linkpb.VerdictNotice{
		Service: service, Move: strconv.FormatInt(rec.Order, 10), Reason: rec.Reason,
	}}}
	var others []string
	for _, m := range r.o.Members(time.Now()) {
		if m.ID != r.o.Self {
			others = append(others, m.LinkAddress)
		}
	}
	r.o.Pool.NotifyAll(ctx, others, notice, func(address string, err error) {
		r.o.Log.Warn("Verdict not delivered; the store will tell.", "peer", address, "error", err)
	})
}

// HandleVerdict stops the target of a move on another entry's verdict.
func (r *Roller) HandleVerdict(v *linkpb.VerdictNotice) {
	order, err := strconv.ParseInt(v.GetMove(), 10, 64)
	if err != nil {
		r.o.Log.Warn("Verdict not readable.", "service", v.GetService(), "error", err)
		return
	}
	rec, ok := r.o.Snapshots.MoveRecord(v.GetService())
	if !ok || rec.Order != order || rec.Phase.Final() {
		return
	}
	r.o.Snapshots.SetMoveRecord(v.GetService(), rec.WithPhase(snapshotter.RolledBack, v.GetReason()))
	r.o.Log.Info("Move taken back.", "service", v.GetService(), "reason", v.GetReason())
}
