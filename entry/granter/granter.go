// Package granter manages the backend servers that this entry owns. It adapts their
// limits to the reports of all holders, grants parts of the limits, and probes the
// servers within the probe budget.
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
	"samphiremux/pkg/describer"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/parser"
)

// ProbeCheckInterval is the time between two checks for servers that are due for a
// probe.
const ProbeCheckInterval = 250 * time.Millisecond

// probeTimeout bounds one probe.
const probeTimeout = time.Second

// ProbeResult is the result of one health probe.
type ProbeResult struct {
	Server    string
	Reachable bool
	// NoContact is true if the entry reaches no other server either, so
	// that the result says nothing about the server.
	NoContact bool
	Draining  bool
	// Paused is true if the server was not probed, since it asked for a pause or the entry
	// could open no more connections.
	Paused    bool
	RateLimit describer.RateLimit
}

// Probe asks a server for its health. The granter fills in the server's name.
type Probe func(ctx context.Context, address netip.AddrPort) ProbeResult

// Reaches checks for a service whether this entry reaches any server but one.
type Reaches func(ctx context.Context, sv *reconciler.Service, except netip.AddrPort) bool

// unseenLimit is the time without contact from which the entry does not know whether a
// server restarted, unless a holder has reported responses of it in that time.
const unseenLimit = 500 * time.Millisecond

// ownedServer is the state of one server that this entry owns.
type ownedServer struct {
	server  parser.Server
	service *reconciler.Service
	// completedAt is the time of the last report of a response.
	completedAt time.Time
	// lostAt is the time from which this entry has had no contact with the servers of
	// the service, or zero.
	lostAt time.Time
	// holders lists the ids of the holders in the order of their rank.
	holders  []string
	owner    *limiter.Owner
	schedule prober.Schedule
	// unreachable is true if the last probe got no response.
	unreachable bool
}

// Granter is the actor that manages the owned servers.
type Granter struct {
	node          *reconciler.Node
	log           hclog.Logger
	probe         Probe
	reaches       Reaches
	onProbeResult func(ProbeResult)
	// servers holds the owned servers by name.
	servers  map[string]*ownedServer
	snapshot *reconciler.Snapshot
	// rejoins is the node's count of rejoins for which the state is valid.
	rejoins uint64
	// evidence holds the latest tally of each holder by service.
	evidence map[string]map[string]tally
}

// tally is the latest evidence of one holder on the move of one service, by route.
type tally struct {
	move   string
	routes map[string]mover.Evidence
}

// New returns a granter. OnProbeResult must send the result of a probe to the actor
// as a message; it is called from the goroutine of the probe.
func New(n *reconciler.Node, p Probe, reaches Reaches, onProbeResult func(ProbeResult), log hclog.Logger) *Granter {
	return &Granter{
		node: n, log: log, probe: p, reaches: reaches, onProbeResult: onProbeResult, servers: map[string]*ownedServer{},
		evidence: map[string]map[string]tally{},
	}
}

// reportMessage carries a report and the channel for its reply.
type reportMessage struct {
	request *linkpb.ReportRequest
	reply   chan<- *linkpb.ReportResponse
}

// evidenceMessage requests the evidence on a move.
type evidenceMessage struct {
	service, move string
	reply         chan<- map[string]mover.Evidence
}

// Receive handles a message of the actor.
func (g *Granter) Receive(ctx context.Context, msg any) {
	g.syncServers()
	g.syncContact()
	switch m := msg.(type) {
	case reportMessage:
		m.reply <- g.report(m.request)
	case evidenceMessage:
		m.reply <- g.sumEvidence(m.service, m.move)
	case ProbeResult:
		g.handleProbeResult(m)
	case spawner.Tick:
		g.startDueProbes(ctx)
	}
}

// syncServers updates the owned servers to the current snapshot. An owner that was
// isolated starts with fresh state, since reports of drains and cold servers may
// not have reached it.
func (g *Granter) syncServers() {
	if rejoins := g.node.Rejoins(); rejoins != g.rejoins {
		g.rejoins = rejoins
		g.snapshot = nil
		g.servers = map[string]*ownedServer{}
	}
	snapshot := g.node.Snapshot()
	if snapshot == nil || snapshot == g.snapshot {
		return
	}
	g.snapshot = snapshot
	now := g.node.Now()
	next := map[string]*ownedServer{}
	for _, sv := range snapshot.Services {
		if !sv.InSubset {
			continue
		}
		for _, srv := range sv.Spec.Servers {
			holders := sv.Holders(srv.Name)
			if len(holders) == 0 || holders[0] != g.node.Self().ID {
				continue
			}
			o, ok := g.servers[srv.Name]
			if !ok || o.server.Slots != srv.Slots || o.server.Address != srv.Address {
				o = &ownedServer{
					owner:    limiter.NewOwner(now, srv.Slots),
					schedule: prober.New(now, srv.Slots, sv.Spec.ProbeBudget),
				}
			}
			o.server, o.service, o.holders = srv, sv, holders
			o.owner.Retain(now, holders)
			next[srv.Name] = o
		}
	}
	g.servers = next
}

// syncContact treats servers as cold that may have restarted unseen: while this entry had
// no contact with them, and no holder reported a response.
func (g *Granter) syncContact() {
	for name, o := range g.servers {
		lostAt := o.service.Dispatcher.ContactLostAt()
		if lostAt.IsZero() && !o.lostAt.IsZero() && g.node.Now().Sub(o.lostAt) >= unseenLimit && o.completedAt.Before(o.lostAt) {
			g.log.Info("Backend server was used by no entry while this one was cut off; treating it as cold.", "server", name)
			o.owner.MarkCold(g.node.Now())
		}
		o.lostAt = lostAt
	}
}

// report applies a holder's report and returns the grants for the servers in it
// that this entry owns.
func (g *Granter) report(r *linkpb.ReportRequest) *linkpb.ReportResponse {
	now := g.node.Now()
	resp := &linkpb.ReportResponse{}
	for _, sr := range r.GetServers() {
		o, ok := g.servers[sr.GetServer()]
		if !ok {
			continue
		}
		if sr.GetCompleted() > 0 {
			o.schedule = o.schedule.WithResponse(now)
			o.completedAt = now
		}
		grant := o.owner.HandleReport(now, decodeReport(r.GetEntryId(), sr), o.holders)
		resp.Grants = append(resp.Grants, &linkpb.Grant{
			Server: sr.GetServer(), Slots: uint32(grant.Slots), TtlMs: uint32(limiter.GrantTTL.Milliseconds()),
			Cold: grant.Cold, Draining: grant.Draining,
			RateLimitKnown: grant.RateLimitKnown, RateLimited: grant.RateLimit.Stated, RateLimit: grant.RateLimit.PerSecond,
			ProbeDue: r.GetEntryId() != g.node.Self().ID && o.leaveProbe(now),
		})
	}
	g.storeTallies(r)
	return resp
}

func decodeReport(holder string, sr *linkpb.ServerReport) limiter.Report {
	return limiter.Report{
		Holder: holder, InFlight: int(sr.GetInFlight()), Demand: int(sr.GetDemand()), Completed: int(sr.GetCompleted()),
		Refused: int(sr.GetRefused()), Failed: int(sr.GetFailed()), SuspectCold: sr.GetSuspectCold(),
		Draining: sr.GetDraining(), Warm: sr.GetWarm(), Slow: sr.GetSlow(),
		Released: sr.GetReleased(), Holding: int(sr.GetHolding()),
		RateLimitKnown: sr.GetRateLimitKnown(), RateLimit: describer.RateLimit{PerSecond: sr.GetRateLimit(), Stated: sr.GetRateLimited()},
	}
}

// storeTallies stores the holder's evidence on each route in its report. Evidence
// on an earlier move is dropped.
func (g *Granter) storeTallies(r *linkpb.ReportRequest) {
	for _, t := range r.GetTallies() {
		byHolder, ok := g.evidence[t.GetService()]
		if !ok {
			byHolder = map[string]tally{}
			g.evidence[t.GetService()] = byHolder
		}
		current, ok := byHolder[r.GetEntryId()]
		if !ok || current.move != t.GetMove() {
			current = tally{move: t.GetMove(), routes: map[string]mover.Evidence{}}
			byHolder[r.GetEntryId()] = current
		}
		current.routes[t.GetRoute()] = mover.Evidence{OldAnswers: int(t.GetOldAnswers()), NewAnswers: int(t.GetNewAnswers())}
	}
}

// sumEvidence adds up the evidence of all holders on a move, by route.
func (g *Granter) sumEvidence(service, move string) map[string]mover.Evidence {
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

// leaveProbe reports whether a probe is due that this entry cannot send itself, since it
// reaches no server of the service. A holder that sends it reports what it finds.
func (o *ownedServer) leaveProbe(now time.Time) bool {
	if o.lostAt.IsZero() || !o.schedule.ShouldProbe(now, o.isUnhealthy()) {
		return false
	}
	o.schedule = o.schedule.WithProbe(now)
	return true
}

func (o *ownedServer) isUnhealthy() bool {
	return o.unreachable || o.owner.Cold() || o.owner.Draining() || o.owner.RateLimit().Stated
}

// startDueProbes starts a goroutine for each probe that is due. Those of services without
// contact are left to the holders.
func (g *Granter) startDueProbes(entryCtx context.Context) {
	now := g.node.Now()
	for name, o := range g.servers {
		if !o.lostAt.IsZero() || !o.schedule.ShouldProbe(now, o.isUnhealthy()) {
			continue
		}
		o.schedule = o.schedule.WithProbe(now)
		sv := o.service
		go func() {
			ctx, cancel := context.WithTimeout(entryCtx, probeTimeout)
			defer cancel()
			result := g.probe(ctx, o.server.Address)
			result.Server = name
			result.NoContact = !result.Reachable && !g.reaches(entryCtx, sv, o.server.Address)
			g.onProbeResult(result)
		}()
	}
}

// handleProbeResult counts a probe and applies its result. A server that becomes
// unreachable is treated as cold.
func (g *Granter) handleProbeResult(r ProbeResult) {
	if r.Paused {
		return
	}
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
	if r.NoContact {
		return
	}
	if !r.Reachable && !o.unreachable {
		g.log.Warn("Backend server did not answer its probe; treating it as cold.", "server", r.Server)
		o.owner.MarkCold(g.node.Now())
	}
	o.unreachable = !r.Reachable
	if r.Reachable {
		o.owner.SetDraining(r.Draining)
		o.owner.SetRateLimit(r.RateLimit)
	}
}
