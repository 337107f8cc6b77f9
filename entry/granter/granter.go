// Package granter owns backend servers: it learns their limits from the reports
// of all holders, grants parts of them, and probes within the budget.
package granter

import (
	"context"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/limiter"
	"samphiremux/entry/mover"
	"samphiremux/entry/prober"
	"samphiremux/entry/reconciler"
	"samphiremux/entry/spawner"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/parser"
)

// ProbeCheckInterval is the time between two looks for servers to probe.
const ProbeCheckInterval = 250 * time.Millisecond

// probeLimit bounds one probe.
const probeLimit = time.Second

// ProbeResult is what a probe found.
type ProbeResult struct {
	Server    string
	Reachable bool
	Draining  bool
}

// Probe asks a server for its health.
type Probe func(ctx context.Context, address netip.AddrPort) ProbeResult

// owned is the state of one server that this entry owns.
type owned struct {
	server   parser.Server
	holders  []string
	owner    *limiter.Owner
	schedule prober.Schedule
	down     bool
}

// Granter is the actor that owns servers.
type Granter struct {
	node     *reconciler.Node
	log      hclog.Logger
	probe    Probe
	probed   func(ProbeResult)
	servers  map[string]*owned
	snapshot *reconciler.Snapshot
	returns  uint64
	evidence map[string]map[string]tally
}

// tally is the latest evidence of one holder on one service.
type tally struct {
	move   string
	routes map[string]mover.Evidence
}

// New returns a granter. Probed passes the result of a probe back to the actor.
func New(n *reconciler.Node, p Probe, probed func(ProbeResult), log hclog.Logger) *Granter {
	return &Granter{
		node: n, log: log, probe: p, probed: probed, servers: map[string]*owned{},
		evidence: map[string]map[string]tally{},
	}
}

// reportMessage is a report with the way back.
type reportMessage struct {
	request *linkpb.ReportRequest
	reply   chan<- *linkpb.ReportResponse
}

// evidenceMessage asks for the evidence on a move.
type evidenceMessage struct {
	service, move string
	reply         chan<- map[string]mover.Evidence
}

// Receive handles a message of the actor.
func (g *Granter) Receive(ctx context.Context, msg any) {
	g.follow()
	switch m := msg.(type) {
	case reportMessage:
		m.reply <- g.report(m.request)
	case evidenceMessage:
		m.reply <- g.sum(m.service, m.move)
	case ProbeResult:
		g.probeEnded(m)
	case spawner.Tick:
		g.probeDue(ctx)
	}
}

// follow takes over the servers that this entry owns by the current snapshot. An
// owner that was cut off begins anew, since holders may have told it of drains
// and cold servers in vain.
func (g *Granter) follow() {
	if returns := g.node.Rejoins(); returns != g.returns {
		g.returns = returns
		g.snapshot = nil
		g.servers = map[string]*owned{}
	}
	snapshot := g.node.Snapshot()
	if snapshot == nil || snapshot == g.snapshot {
		return
	}
	g.snapshot = snapshot
	now := g.node.Now()
	next := map[string]*owned{}
	for _, sv := range snapshot.Services {
		if !sv.InSubset {
			continue
		}
		for _, srv := range sv.Declared.Servers {
			holders := sv.Holders(srv.Name)
			if len(holders) == 0 || holders[0] != g.node.Self().ID {
				continue
			}
			o, ok := g.servers[srv.Name]
			if !ok || o.server.Slots != srv.Slots || o.server.Address != srv.Address {
				o = &owned{
					owner:    limiter.NewOwner(now, srv.Slots),
					schedule: prober.New(now, srv.Slots, sv.Declared.ProbeBudget),
				}
			}
			o.server, o.holders = srv, holders
			o.owner.Retain(now, holders)
			next[srv.Name] = o
		}
	}
	g.servers = next
}

func (g *Granter) report(r *linkpb.ReportRequest) *linkpb.ReportResponse {
	now := g.node.Now()
	resp := &linkpb.ReportResponse{}
	for _, sr := range r.GetServers() {
		o, ok := g.servers[sr.GetServer()]
		if !ok {
			continue
		}
		if sr.GetCompleted() > 0 {
			o.schedule = o.schedule.WithAnswer(now)
		}
		grant := o.owner.HandleReport(now, decodeReport(r.GetEntryId(), sr), o.holders)
		resp.Grants = append(resp.Grants, &linkpb.Grant{
			Server: sr.GetServer(), Slots: uint32(grant.Slots), TtlMs: uint32(limiter.GrantTTL.Milliseconds()),
			Cold: grant.Cold, Draining: grant.Draining,
		})
	}
	g.keepTallies(r)
	return resp
}

func decodeReport(holder string, sr *linkpb.ServerReport) limiter.Report {
	return limiter.Report{
		Holder: holder, InFlight: int(sr.GetInFlight()), Demand: int(sr.GetDemand()), Completed: int(sr.GetCompleted()),
		Refused: int(sr.GetRefused()), Failed: int(sr.GetFailed()), SuspectCold: sr.GetSuspectCold(),
		Draining: sr.GetDraining(), Warm: sr.GetWarm(), Slow: sr.GetSlow(),
		Released: sr.GetReleased(), Holding: int(sr.GetHolding()),
	}
}

func (g *Granter) keepTallies(r *linkpb.ReportRequest) {
	for _, t := range r.GetTallies() {
		byHolder, ok := g.evidence[t.GetService()]
		if !ok {
			byHolder = map[string]tally{}
			g.evidence[t.GetService()] = byHolder
		}
		have, ok := byHolder[r.GetEntryId()]
		if !ok || have.move != t.GetMove() {
			have = tally{move: t.GetMove(), routes: map[string]mover.Evidence{}}
			byHolder[r.GetEntryId()] = have
		}
		have.routes[t.GetRoute()] = mover.Evidence{OldAnswers: int(t.GetOldAnswers()), NewAnswers: int(t.GetNewAnswers())}
	}
}

func (g *Granter) sum(service, move string) map[string]mover.Evidence {
	total := map[string]mover.Evidence{}
	for _, t := range g.evidence[service] {
		if t.move != move {
			continue
		}
		for route, e := range t.routes {
			sum := total[route]
			sum.OldAnswers += e.OldAnswers
			sum.NewAnswers += e.NewAnswers
			total[route] = sum
		}
	}
	return total
}

func (g *Granter) probeDue(ctx context.Context) {
	now := g.node.Now()
	for name, o := range g.servers {
		troubled := o.down || o.owner.Cold() || o.owner.Draining()
		if !o.schedule.ShouldProbe(now, troubled) {
			continue
		}
		o.schedule = o.schedule.WithProbe(now)
		go func() {
			ctx, cancel := context.WithTimeout(ctx, probeLimit)
			defer cancel()
			result := g.probe(ctx, o.server.Address)
			result.Server = name
			g.probed(result)
		}()
	}
}

func (g *Granter) probeEnded(r ProbeResult) {
	result := "ok"
	switch {
	case !r.Reachable:
		result = "unreachable"
	case r.Draining:
		result = "draining"
	}
	g.node.Metrics().Probes.WithLabelValues(result).Inc()
	o, ok := g.servers[r.Server]
	if !ok {
		return
	}
	if !r.Reachable && !o.down {
		g.log.Warn("Backend server does not answer its probe.", "server", r.Server)
		o.owner.MarkCold(g.node.Now())
	}
	o.down = !r.Reachable
	if r.Reachable {
		o.owner.SetDraining(r.Draining)
	}
}
