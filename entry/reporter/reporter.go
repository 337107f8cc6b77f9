// Package reporter sends the owners of backend servers reports of what this entry
// saw of them, and applies the grants that they return.
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
	"samphiremux/pkg/describer"
	"samphiremux/pkg/linker"
	"samphiremux/pkg/linker/linkpb"
)

// reportTimeout bounds one report to one owner.
const reportTimeout = 500 * time.Millisecond

// Reporter is the actor that sends reports.
type Reporter struct {
	node  *reconciler.Node
	pool  *linker.Pool
	owner *granter.Client
	probe granter.Probe
}

// New returns a reporter. Owner handles the reports on servers that this entry
// owns itself. Probe sends the probes that other owners leave to this entry.
func New(n *reconciler.Node, p *linker.Pool, owner *granter.Client, probe granter.Probe) *Reporter {
	return &Reporter{node: n, pool: p, owner: owner, probe: probe}
}

// probeTimeout bounds the probe of a server for its owner.
const probeTimeout = time.Second

// batch is one report to one owner. The maps are keyed by the server's name.
type batch struct {
	request     *linkpb.ReportRequest
	reports     map[string]dispatcher.OwnerReport
	dispatchers map[string]*dispatcher.Dispatcher
}

// Receive handles a message of the actor: it sends one report to each owner and
// waits for all of them.
func (r *Reporter) Receive(ctx context.Context, _ any) {
	snapshot := r.node.Snapshot()
	if snapshot == nil {
		return
	}
	var wg sync.WaitGroup
	for owner, b := range r.collect(snapshot) {
		wg.Go(func() { r.send(ctx, owner, b) })
	}
	wg.Wait()
}

// collect gathers the reports and the evidence on moves by their recipient. It
// also updates the gauge of waiting requests.
func (r *Reporter) collect(snapshot *reconciler.Snapshot) map[string]batch {
	batches := map[string]batch{}
	batchFor := func(owner string) batch {
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
			b := batchFor(o.Owner)
			b.request.Servers = append(b.request.Servers, encodeReport(o))
			b.reports[o.Server] = o
			b.dispatchers[o.Server] = sv.Dispatcher
		}
		if coordinator, ok := MoveCoordinator(name, sv); ok && sv.Spec.Move != nil {
			b := batchFor(coordinator)
			b.request.Tallies = append(b.request.Tallies, r.tallies(name)...)
		}
		r.node.Metrics().WaitingRequests.WithLabelValues(name).Set(float64(sv.Dispatcher.QueueLength()))
	}
	return batches
}

// MoveCoordinator returns the id of the entry that coordinates the moves of a
// service, chosen by rendezvous hashing over its subset.
func MoveCoordinator(service string, sv *reconciler.Service) (id string, ok bool) {
	first, ok := tracker.HighestRanked("move/"+service, sv.Subset)
	return first.ID, ok
}

// tallies returns this entry's evidence on the current move of a service.
func (r *Reporter) tallies(service string) (result []*linkpb.Tally) {
	move, tallies := r.node.MoveEvidence(service)
	for route, e := range tallies {
		result = append(result, &linkpb.Tally{
			Service: service, Move: move, Route: route, OldAnswers: uint64(e.OldAnswers), NewAnswers: uint64(e.NewAnswers),
		})
	}
	return result
}

func encodeReport(o dispatcher.OwnerReport) *linkpb.ServerReport {
	return &linkpb.ServerReport{
		Server:   o.Server,
		InFlight: uint32(o.Report.InFlight), Demand: uint32(o.Report.Demand),
		Completed: uint32(o.Report.Completed), Refused: uint32(o.Report.Refused), Failed: uint32(o.Report.Failed),
		SuspectCold: o.Report.SuspectCold, Draining: o.Report.Draining, Slow: o.Report.Slow, Warm: o.Report.Warm,
		Released: o.Report.Released, Holding: uint32(o.Report.Holding),
		RateLimitKnown: o.Report.RateLimitKnown, RateLimited: o.Report.RateLimit.Stated, RateLimit: o.Report.RateLimit.PerSecond,
	}
}

// send delivers one report and applies its grants. The deadlines of the grants
// count from before the report was sent, so that they expire here no later than at
// the owner. If the report was not delivered, the next one
// repeats the suspicion that a server has turned cold.
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
			RateLimitKnown: g.GetRateLimitKnown(), RateLimit: describer.RateLimit{PerSecond: g.GetRateLimit(), Stated: g.GetRateLimited()},
		})
		if g.GetProbeDue() {
			go r.probeForOwner(ctx, g.GetServer(), d)
		}
	}
}

// probeForOwner sends a server the probe that its owner, which does not reach it, has left
// to this entry. The next report tells the owner what it found.
func (r *Reporter) probeForOwner(ctx context.Context, server string, d *dispatcher.Dispatcher) {
	address, ok := d.Address(server)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if result := r.probe(ctx, address); result.Reachable {
		d.ObserveProbe(server, result.Draining, result.RateLimit)
	}
}

// call sends a report over the link, or to the local granter if this entry is the
// owner.
func (r *Reporter) call(ctx context.Context, owner string, request *linkpb.ReportRequest) (resp *linkpb.ReportResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
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
