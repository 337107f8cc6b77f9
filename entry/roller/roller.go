// Package roller shifts the traffic of a service from one version of its backend
// servers to another when operators order it (a canary rollout), and rolls it back
// when the new version shows a regression. One entry leads the moves of each service.
// Every step is a guarded transaction in the platform's store, so that only one of two
// concurrent leaders succeeds.
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
	// reconcileInterval is the time between two passes over the ordered moves.
	reconcileInterval = 250 * time.Millisecond
	// callTimeout bounds a call to another entry, and also the notification of all
	// peers as a whole.
	callTimeout = 500 * time.Millisecond
	// newLeaderDelay is the time for which a new leader collects the reports of all
	// entries before it changes a share. It covers four reports.
	newLeaderDelay = time.Second
	// restartDelay is the time after the start of the process in which it takes a move no
	// further if the store may have lost its newest record in a restore. Within this time
	// the entries that know the record write it again.
	restartDelay = 3 * time.Second
	// minShareStep is the smallest increase of a share that is written to the store,
	// except for the increase to 1.
	minShareStep = 0.02
)

// StoreCache is the entry's local copy of the store.
type StoreCache interface {
	// Get returns the value and revision of a key. The revision is zero if the key is
	// unknown.
	Get(key string) (value []byte, revision storer.Revision)
}

// Options configures a Roller.
type Options struct {
	Self       string
	Store      storer.Store
	StoreCache StoreCache
	Prefix     string
	Snapshots  *snapshotter.Snapshotter
	Members    func(now time.Time) []tracker.Member
	// LeaderCandidates lists the members that reach the store. One of them leads.
	LeaderCandidates func(now time.Time) []tracker.Member
	// OnStoreFailure is called when the store rejected a write of this entry or its
	// outcome is unknown. Conflicts with another writer are not reported.
	OnStoreFailure func()
	Pool           *linker.Pool
	// Exposure returns the exposure limit in force.
	Exposure func() ExposureLimit
	// EncodeStatus returns the key and value under which operators read the state of a
	// move.
	EncodeStatus func(describer.MoveOrder, describer.MoveState) (key string, value []byte, err error)
	Log          hclog.Logger
}

// Roller leads the moves of some services and reports this entry's counts to the
// leaders of the others.
type Roller struct {
	opts  Options
	local tallies

	mu sync.Mutex
	// peerReports holds the newest report of each peer, by service and entry ID.
	peerReports map[string]map[string]peerReport
	// leaderSince is the time since which this entry has led the moves of a service.
	leaderSince map[string]time.Time
	// advanceFrom is when restartDelay ends.
	advanceFrom time.Time
	// rewriteAt is when this entry writes the record of a service again that the store
	// has lost. Only reconcile uses it.
	rewriteAt map[string]time.Time
	// unknown holds the writes of each service whose outcomes are unknown. Only reconcile uses
	// it.
	unknown map[string][]unknownWrite
}

// peerReport is the newest tally of one entry for one service.
type peerReport struct {
	order int64
	// started is when the move began, by the clock of this entry, as the other one reported.
	started time.Time
	routes  map[string]evidence
}

// New returns a Roller. Run starts it.
func New(o Options) *Roller {
	return &Roller{
		opts: o, local: tallies{byService: map[string]*tally{}}, peerReports: map[string]map[string]peerReport{},
		leaderSince: map[string]time.Time{}, advanceFrom: time.Now().Add(restartDelay), rewriteAt: map[string]time.Time{},
		unknown: map[string][]unknownWrite{},
	}
}

// RecordKey returns the store key of a service's move record.
func (r *Roller) RecordKey(service string) string { return r.opts.Prefix + service }

// Observe counts an attempt if its service is being moved.
func (r *Roller) Observe(a balancer.Attempt) {
	if rec, ok := r.opts.Snapshots.MoveRecord(a.Service); ok && !rec.Phase.Final() {
		r.local.observe(a, rec)
	}
}

// Run advances moves and reports to other leaders until ctx ends.
func (r *Roller) Run(ctx context.Context) {
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.reconcile(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// reconcile advances each move that this entry leads, and reports to the leader of
// each other move. Moves whose final record is stored are skipped.
func (r *Roller) reconcile(ctx context.Context) {
	for _, o := range r.opts.Snapshots.Orders() {
		r.logLearned(o.Service)
		rec, ok := r.opts.Snapshots.MoveRecord(o.Service)
		if ok && rec.BelongsTo(o) && rec.Phase.Final() && r.isStored(o.Service, rec) {
			continue
		}
		leader, found := r.leader(o.Service)
		if ok && rec.BelongsTo(o) && r.rewriteDue(o, rec, leader.ID == r.opts.Self) {
			if err := r.commit(ctx, o, rec); err != nil {
				r.opts.Log.Warn("Lost record of a move not written again.", "service", o.Service, "error", err)
			}
			continue
		}
		switch {
		case !found:
		case leader.ID == r.opts.Self:
			if err := r.advance(ctx, o, rec, ok && rec.BelongsTo(o)); err != nil {
				r.opts.Log.Warn("Move not advanced; will retry.", "service", o.Service, "error", err)
			}
		case ok:
			r.markFollower(o.Service)
			r.sendReport(ctx, leader, o.Service, rec)
		}
	}
}

// isStored reports whether the local copy of the store holds a record of the same
// order and phase.
func (r *Roller) isStored(service string, rec snapshotter.MoveRecord) bool {
	stored, _, err := r.storedRecord(service)
	return err == nil && stored.Order == rec.Order && stored.Phase == rec.Phase
}

// storedRecord returns the record in the local copy of the store and its revision.
// Without a record, it returns the zero record and no error.
func (r *Roller) storedRecord(service string) (rec snapshotter.MoveRecord, revision storer.Revision, err error) {
	value, revision := r.opts.StoreCache.Get(r.RecordKey(service))
	if revision == 0 || len(value) == 0 {
		return snapshotter.MoveRecord{}, revision, nil
	}
	rec, err = snapshotter.DecodeMoveRecord(time.Now(), value)
	return rec, revision, err
}

// leader returns the entry that leads the moves of a service, by rendezvous hashing.
func (r *Roller) leader(service string) (m tracker.Member, ok bool) {
	return tracker.HighestRanked("move of "+service, r.opts.LeaderCandidates(time.Now()))
}

// sendReport sends this entry's counts of a move to its leader.
func (r *Roller) sendReport(ctx context.Context, leader tracker.Member, service string, rec snapshotter.MoveRecord) {
	tallies := r.local.toProto(service, rec.Order)
	if len(tallies) == 0 {
		return
	}
	for _, t := range tallies {
		t.ElapsedMs = uint64(max(0, time.Since(rec.Started).Milliseconds()))
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.opts.Pool.Call(ctx, leader.LinkAddress, func(ctx context.Context, c linkpb.DRPCLinkClient) error {
		_, err := c.Report(ctx, &linkpb.ReportRequest{EntryId: r.opts.Self, Tallies: tallies})
		return err
	})
	if err != nil {
		r.opts.Log.Debug("Counts of a move not sent to its leader; will retry.", "service", service, "leader", leader.ID, "error", err)
	}
}

// HandleReport stores the counts of another entry. Counts are cumulative and replace
// the previous ones; those of a new order discard the previous order's.
func (r *Roller) HandleReport(entry string, tallies []*linkpb.Tally) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range tallies {
		order, err := strconv.ParseInt(t.GetMove(), 10, 64)
		if err != nil {
			r.opts.Log.Warn("Peer reported counts with an invalid move; ignored.", "entry", entry, "error", err)
			continue
		}
		service := t.GetService()
		if r.peerReports[service] == nil {
			r.peerReports[service] = map[string]peerReport{}
		}
		report := r.peerReports[service][entry]
		if report.order != order {
			report = peerReport{order: order, started: now, routes: map[string]evidence{}}
		}
		elapsed := min(t.GetElapsedMs(), uint64(snapshotter.MaxMoveAge.Milliseconds()))
		if started := now.Add(-time.Duration(elapsed) * time.Millisecond); started.Before(report.started) {
			report.started = started
		}
		report.routes[t.GetRoute()] = evidenceFromProto(t)
		r.peerReports[service][entry] = report
	}
}

// withReportedStart returns the record with the earliest start that any entry knows. One
// that has started during the move knows only its age when the record was written.
func (r *Roller) withReportedStart(service string, rec snapshotter.MoveRecord) snapshotter.MoveRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range r.peerReports[service] {
		if report.order == rec.Order {
			rec = rec.WithStart(report.started)
		}
	}
	return rec
}

// gather returns the sum of all entries' counts of a move, by route.
func (r *Roller) gather(service string, order int64) map[string]evidence {
	sum := map[string]evidence{}
	for _, t := range r.local.toProto(service, order) {
		sum[t.GetRoute()] = evidenceFromProto(t)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range r.peerReports[service] {
		if report.order != order {
			continue
		}
		for route, e := range report.routes {
			sum[route] = sum[route].add(e)
		}
	}
	return sum
}

// advance takes the next step of a move, at most one write per call: it writes the
// first record, rolls back on a regression, raises the share or ends the move. A
// record that is final only in memory, after a rollback whose write failed, is written
// again. Started reports whether rec belongs to order o.
func (r *Roller) advance(ctx context.Context, o describer.MoveOrder, rec snapshotter.MoveRecord, started bool) error {
	now := time.Now()
	newerMayExist := now.Before(r.advanceFrom) && (!started || rec.Restored(o))
	if !started {
		if newerMayExist {
			return nil
		}
		rec = snapshotter.MoveRecord{
			Order: o.Revision, Stable: r.opts.Snapshots.StableVersion(o), Target: o.Target, Phase: snapshotter.Moving, Started: now,
		}
		rec.Share = progress{duration: o.Duration}.share(r.opts.Exposure())
		return r.commit(ctx, o, rec)
	}
	if rec.Phase.Final() {
		if r.mayHaveEnded(o, rec) {
			return nil // written once rewriteDue reports true
		}
		return r.commit(ctx, o, rec)
	}
	routes := r.gather(o.Service, rec.Order)
	if reason, found := findRegression(routes); found {
		rec = rec.WithPhase(snapshotter.RolledBack, reason)
		if !r.opts.Snapshots.AnnounceRollback(o.Service, rec) {
			return nil // the move has ended since
		}
		r.broadcastVerdict(ctx, o.Service, rec)
		return r.commit(ctx, o, rec)
	}
	if now.Sub(r.markLeader(o.Service, now)) < newLeaderDelay || newerMayExist {
		return nil
	}
	rec = r.withReportedStart(o.Service, rec)
	p := progress{elapsed: now.Sub(rec.Started), duration: o.Duration}
	for _, e := range routes {
		p.total = p.total.add(e)
	}
	share := p.nextShare(r.opts.Exposure(), rec.Share)
	servers := r.countEligible(o.Service)
	if reason, held := p.checkHold(servers[rec.Stable], servers[rec.Target]); held {
		r.opts.Log.Debug("Move held at its current share.", "service", o.Service, "reason", reason)
		return nil
	}
	switch {
	case rec.Share == 1 && now.Sub(rec.Changed) >= settleTime:
		return r.commit(ctx, o, rec.WithPhase(snapshotter.Done, ""))
	case share >= rec.Share+minShareStep || (share == 1 && rec.Share < 1):
		return r.commit(ctx, o, rec.WithShare(share, now))
	}
	return nil
}

// markLeader records that this entry leads the moves of a service, and returns since
// when.
func (r *Roller) markLeader(service string, now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, ok := r.leaderSince[service]
	if !ok {
		since = now
		r.leaderSince[service] = since
	}
	return since
}

// markFollower records that another entry leads the moves of a service.
func (r *Roller) markFollower(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.leaderSince, service)
}

// errMoveEnded reports that the store holds another end of a move than the one to be written.
// Operators have acted on it.
type errMoveEnded struct{ stored snapshotter.MoveRecord }

func (e errMoveEnded) Error() string {
	return fmt.Sprintf("the store holds the end %q of the move, step %d", e.stored.Phase, e.stored.Step)
}

// errStaleStep reports that the store holds a newer step than the one to be written.
type errStaleStep struct{ stored snapshotter.MoveRecord }

func (e errStaleStep) Error() string {
	return fmt.Sprintf("the store holds step %d of the move already", e.stored.Step)
}

// commit writes a record, and the state that operators read, in one transaction. It is
// guarded by the revision of the record in the local copy of the store, which must not be
// another end of the same move.
func (r *Roller) commit(ctx context.Context, o describer.MoveOrder, rec snapshotter.MoveRecord) (err error) {
	stored, revision, err := r.storedRecord(o.Service)
	if err != nil {
		return err
	}
	switch {
	case stored.BelongsTo(o) && stored.Phase.Final() && stored.Phase != rec.Phase:
		return errMoveEnded{stored}
	case rec.Phase == snapshotter.RolledBack:
		// A step that was on its way at the announcement may have the same number.
		rec = rec.WithStepAfter(stored)
	case !stored.Precedes(rec):
		return errStaleStep{stored}
	}
	data, err := rec.Encode(time.Now())
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
	key, status, err := r.opts.EncodeStatus(o, state)
	if err != nil {
		return err
	}
	outcome := r.opts.Store.Commit(ctx, storer.Transaction{
		Guards: []storer.Guard{{Key: r.RecordKey(o.Service), ModRevision: revision}},
		Puts:   []storer.Put{{Key: r.RecordKey(o.Service), Value: data}, {Key: key, Value: status}},
	})
	switch out := outcome.(type) {
	case storer.Committed:
		r.opts.Snapshots.SetMoveRecord(o.Service, rec)
		r.opts.Log.Info("Move changed.", "service", o.Service, "target", rec.Target, "phase", rec.Phase, "step", rec.Step, "share", rec.Share,
			"revision", out.Revision.Number(), "reason", rec.Reason, "servers", r.countEligible(o.Service))
		return nil
	case storer.NotCommitted:
		var conflict storer.ErrConflict
		if !errors.As(out.Cause, &conflict) {
			r.opts.OnStoreFailure()
		}
		return fmt.Errorf("move record not written: %w", out.Cause)
	case storer.Unknown:
		r.opts.OnStoreFailure()
		r.addUnknown(o.Service, unknownWrite{record: rec, guard: revision})
		return fmt.Errorf("outcome of writing the move record is unknown: %w", out.Cause)
	default:
		return errors.New("unexpected outcome of the store transaction")
	}
}

// countEligible returns the number of a service's servers that may receive requests,
// by version.
func (r *Roller) countEligible(service string) map[string]int {
	counts := map[string]int{}
	snap := r.opts.Snapshots.Snapshot()
	for _, b := range snap.Services[service] {
		if snap.Eligible(b) {
			counts[b.Version]++
		}
	}
	return counts
}

// broadcastVerdict asks the other entries to stop using the target at once, before the
// store has the record.
func (r *Roller) broadcastVerdict(ctx context.Context, service string, rec snapshotter.MoveRecord) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	notice := &linkpb.TellRequest{EntryId: r.opts.Self, Notice: &linkpb.TellRequest_Verdict{Verdict: &linkpb.VerdictNotice{
		Service: service, Move: strconv.FormatInt(rec.Order, 10), Reason: rec.Reason,
	}}}
	var peers []string
	for _, m := range r.opts.Members(time.Now()) {
		if m.ID != r.opts.Self {
			peers = append(peers, m.LinkAddress)
		}
	}
	r.opts.Pool.NotifyAll(ctx, peers, notice, func(address string, err error) {
		r.opts.Log.Warn("Rollback not announced to peer; it will read the record from the store.", "peer", address, "error", err)
	})
}

// HandleRollback rolls back a move in memory when its leader has detected a regression.
// A verdict for another order or a finished move is ignored.
func (r *Roller) HandleRollback(v *linkpb.VerdictNotice) {
	order, err := strconv.ParseInt(v.GetMove(), 10, 64)
	if err != nil {
		r.opts.Log.Warn("Verdict has an invalid move; ignored.", "service", v.GetService(), "error", err)
		return
	}
	rec, ok := r.opts.Snapshots.MoveRecord(v.GetService())
	if !ok || rec.Order != order || rec.Phase.Final() {
		return
	}
	if r.opts.Snapshots.AnnounceRollback(v.GetService(), rec.WithPhase(snapshotter.RolledBack, v.GetReason())) {
		r.opts.Log.Info("Move taken back.", "service", v.GetService(), "reason", v.GetReason())
	}
}
