// Package reporter tells the owners of backend servers what this entry saw of
// them, and takes in the grants that come back.
package reporter

import (
	"context"
	"sync"
	"time"

	"samphiremux/entry/collector"
	"samphiremux/entry/dispatcher"
	"samphiremux/entry/granter"
	"samphiremux/entry/limiter"
	"samphiremux/entry/reconciler"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/linker"
	"samphiremux/pkg/linker/linkpb"
)

// reportLimit bounds one report.
const reportLimit = 500 * time.Millisecond

// Reporter is the actor that sends reports.
type Reporter struct {
	node  *reconciler.Node
	pool  *linker.Pool
	owner *granter.Client
}

// New returns a reporter. Owner answers for the servers that this entry owns.
func New(n *reconciler.Node, p *linker.Pool, owner *granter.Client) *Reporter {
	return &Reporter{node: n, pool: p, owner: owner}
}

// batch is what one owner hears in one report.
type batch struct {
	request     *linkpb.ReportRequest
	reports     map[string]dispatcher.OwnerReport
	dispatchers map[string]*dispatcher.Dispatcher
}

// Receive handles a message of the actor: it sends one report to each owner.
func (r *Reporter) Receive(ctx context.Context, _ any) {
	snapshot := r.node.Snapshot()
	if snapshot == nil {
		return
	}
	var all sync.WaitGroup
	for owner, b := range r.collect(snapshot) {
		all.Go(func() { r.send(ctx, owner, b) })
	}
	all.Wait()
}

func (r *Reporter) collect(snapshot *reconciler.Snapshot) map[string]batch {
	batches := map[string]batch{}
	get := func(owner string) batch {
		b, ok := batches[owner]
		if !ok {
			b = batch{
				request:     &linkpb.ReportRequest{EntryId: r.node.Self().ID},
				reports:     map[string]dispatcher.OwnerReport{},
				dispatchers: map[string]*dispatcher.Dispatcher{},
			}
			batches[owner] = b
		}
		return b
	}
	for name, sv := range snapshot.Services {
		if sv.Dispatcher == nil {
			continue
		}
		for _, o := range sv.Dispatcher.CollectReports() {
			b := get(o.Owner)
			b.request.Servers = append(b.request.Servers, encodeReport(o))
			b.reports[o.Server] = o
			b.dispatchers[o.Server] = sv.Dispatcher
		}
		if coordinator, ok := MoveCoordinator(name, sv); ok && sv.Declared.Move != nil {
			b := get(coordinator)
			b.request.Tallies = append(b.request.Tallies, r.tallies(name)...)
		}
		r.node.Metrics().Waiting.WithLabelValues(name).Set(float64(sv.Dispatcher.QueueLength()))
	}
	return batches
}

// MoveCoordinator returns the entry that coordinates the moves of a service.
func MoveCoordinator(service string, sv *reconciler.Service) (id string, ok bool) {
	first, ok := tracker.HighestRanked("move/"+service, sv.Subset)
	return first.ID, ok
}

func (r *Reporter) tallies(service string) (all []*linkpb.Tally) {
	move, tallies := r.node.Tallies(service)
	for route, e := range tallies {
		all = append(all, &linkpb.Tally{
			Service: service, Move: move, Route: route, OldAnswers: uint64(e.OldAnswers), NewAnswers: uint64(e.NewAnswers),
		})
	}
	return all
}

func encodeReport(o dispatcher.OwnerReport) *linkpb.ServerReport {
	return &linkpb.ServerReport{
		Server:   o.Server,
		InFlight: uint32(o.Report.InFlight), Demand: uint32(o.Report.Demand),
		Completed: uint32(o.Report.Completed), Refused: uint32(o.Report.Refused), Failed: uint32(o.Report.Failed),
		SuspectCold: o.Report.SuspectCold, Draining: o.Report.Draining, Slow: o.Report.Slow, Warm: o.Report.Warm,
		Released: o.Report.Released, Holding: uint32(o.Report.Holding),
	}
}

// send delivers one report and takes in its grants. Their deadlines count from
// before the sending, so that they end here no later than at the owner.
func (r *Reporter) send(ctx context.Context, owner string, b batch) {
	sent := r.node.Now()
	resp, err := r.call(ctx, owner, b.request)
	r.node.Metrics().Reports.WithLabelValues(collector.Result(err)).Inc()
	if err != nil {
		for server, o := range b.reports {
			b.dispatchers[server].RestoreReport(o)
		}
		return
	}
	for _, g := range resp.GetGrants() {
		d, ok := b.dispatchers[g.GetServer()]
		if !ok {
			continue
		}
		d.ApplyGrant(g.GetServer(), limiter.Grant{
			Slots: int(g.GetSlots()), Deadline: sent.Add(time.Duration(g.GetTtlMs()) * time.Millisecond),
			Cold: g.GetCold(), Draining: g.GetDraining(),
		})
	}
}

func (r *Reporter) call(ctx context.Context, owner string, request *linkpb.ReportRequest) (resp *linkpb.ReportResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	if owner == r.node.Self().ID {
		return r.owner.Report(ctx, request)
	}
	m, ok := r.node.Member(owner)
	if !ok {
		return nil, reconciler.ErrNoSuchMember{ID: owner}
	}
	err = r.pool.Call(ctx, m.LinkAddress, func(ctx context.Context, c linkpb.DRPCLinkClient) (err error) {
		resp, err = c.Report(ctx, request)
		return err
	})
	return resp, err
}
