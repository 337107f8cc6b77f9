package balancer

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"samphiremux/entry/chooser"
	"samphiremux/entry/refuser"
	"samphiremux/entry/scheduler"
	"samphiremux/pkg/describer"
)

const (
	// maxServerQueue bounds the queue of a server that is taken into account.
	maxServerQueue = 64
	// maxRankLabel bounds the values of the label "rank". Lower ranks share the last one.
	maxRankLabel = 9
)

// shortage holds the schedulers of the services whose requests differ in urgency.
type shortage struct {
	mu         sync.Mutex
	schedulers map[string]*scheduler.Scheduler
	// mixes holds the mix of ranks of each service without workspaces.
	mixes map[string]*scheduler.Mix
	// ranks holds the ranks of each service in the table.
	table *describer.RouteTable
	ranks map[string][]describer.Rank
}

// turn is the place of a request in the schedule of its service.
type turn struct {
	scheduler *scheduler.Scheduler
	ticket    *scheduler.Ticket
	// rank is the position of the request's rank in its service, 0 the highest.
	rank int
	// queues reports that the request leaves room for more urgent ones and waits for capacity.
	// Otherwise its standing counts in the retry budget only.
	queues bool
	// short reports that the service was short of capacity when the request came.
	short bool
	// tries is the number of times that the request looked for capacity since it was last
	// sent.
	tries  int
	waited time.Duration
	// retryAt is when a caller that is refused may be served.
	retryAt time.Time
}

// ranksOf returns the ranks of a service. Scheduling is enabled if there is more than one or
// if there are workspaces.
func (s *shortage) ranksOf(t *describer.RouteTable, service string) (ranks []describer.Rank, enabled bool) {
	if s.table != t {
		s.table, s.ranks = t, map[string][]describer.Rank{}
	}
	ranks, ok := s.ranks[service]
	if !ok {
		ranks = t.Ranks(service)
		s.ranks[service] = ranks
	}
	return ranks, len(ranks) > 1 || t.HasWorkspaces()
}

// differ counts a request of a rank, and reports whether the requests of the service differ
// in rank.
func (s *shortage) differ(now time.Time, service string, rank, ranks int) bool {
	m, ok := s.mixes[service]
	if !ok {
		if s.mixes == nil {
			s.mixes = map[string]*scheduler.Mix{}
		}
		m = &scheduler.Mix{}
		s.mixes[service] = m
	}
	m.Observe(now, rank, ranks)
	return m.Differs()
}

// EnableQueueing makes requests of lower ranks leave room at full servers for more urgent ones,
// and requests wait for capacity while they can be in time. It must be called before the
// first request.
func (b *Balancer) EnableQueueing() { b.queueing = true }

// queues reports whether the request leaves room for more urgent ones and waits for capacity.
func (c *call) queues() bool { return c.turn != nil && c.turn.queues }

// waiting returns the number of waiting requests of all services.
func (s *shortage) waiting() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sched := range s.schedulers {
		n += sched.Waiting()
	}
	return n
}

// takeTurn gives a request a place in the schedule of its service, if that is enabled. The
// function that it returns ends it.
func (b *Balancer) takeTurn(c *call) (end func()) {
	if !chooser.Coordinated(b.opts.Policy) {
		return func() {}
	}
	est := b.estimate(c.route.Name)
	s := &b.shortage
	s.mu.Lock()
	defer s.mu.Unlock()
	ranks, enabled := s.ranksOf(c.view.Table, c.service)
	if !enabled {
		return func() {}
	}
	now := time.Now()
	rank, _ := slices.BinarySearchFunc(ranks, c.view.Table.Rank(c.route, c.workspace), describer.Rank.Compare)
	if !c.view.Table.HasWorkspaces() && !s.differ(now, c.service, rank, len(ranks)) {
		return func() {}
	}
	sched, ok := s.schedulers[c.service]
	if !ok {
		sched = scheduler.New(b.drawUniform)
		if s.schedulers == nil {
			s.schedulers = map[string]*scheduler.Scheduler{}
		}
		s.schedulers[c.service] = sched
	}
	slots := 1
	if servers := c.view.Services[c.service]; len(servers) > 0 {
		slots = servers[0].Slots
	}
	c.turn = &turn{scheduler: sched, rank: rank, queues: b.queueing, short: sched.Short(now)}
	c.turn.ticket = sched.Offer(now, scheduler.Request{
		Rank: rank, Ranks: len(ranks), Workspace: c.workspace.Name, Route: c.route.Name, Target: c.route.TargetLatency,
		RouteLimit: c.route.TimeLimit, Limit: c.deadline.Sub(c.arrived), Arrived: c.arrived, Deadline: c.deadline,
		Work: time.Duration((1 + loadWeight) * float64(est.latency)), Slots: slots,
	})
	return func() { b.endTurn(c) }
}

// drawUniform returns a random number in [0, 1).
func (b *Balancer) drawUniform() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rng.Float64()
}

// endTurn ends the place of a request in the schedule.
func (b *Balancer) endTurn(c *call) {
	b.shortage.mu.Lock()
	defer b.shortage.mu.Unlock()
	c.turn.scheduler.Done(c.turn.ticket)
}

// capacityFreed wakes a waiting request of the service after an attempt has ended.
func (b *Balancer) capacityFreed(service string) {
	b.shortage.mu.Lock()
	defer b.shortage.mu.Unlock()
	if sched, ok := b.shortage.schedulers[service]; ok {
		sched.Freed()
	}
}

// pickInTurn is pick for a request that has a place in the schedule: if no server has room
// for it, it waits for as long as it can be in time.
func (b *Balancer) pickInTurn(ctx context.Context, c *call) (p *picked, reason refuser.Reason) {
	if !c.queues() {
		return b.pick(ctx, c)
	}
	c.turn.waited = 0
	for done := false; !done; {
		p, reason, done = b.tryInTurn(ctx, c)
	}
	c.turn.tries = 0
	if p == nil {
		// Those behind it need not wait while it is passed on to another entry.
		b.leaveQueue(c)
	}
	if c.turn.waited > 0 {
		b.metrics.waits.With(c.service, c.turn.rankLabel(), waitResult(p != nil)).Observe(c.turn.waited)
	}
	return p, reason
}

// tryInTurn looks for a server unless others come first, and waits if there is none. It reports
// done if the request need not try again.
func (b *Balancer) tryInTurn(ctx context.Context, c *call) (p *picked, reason refuser.Reason, done bool) {
	tried := b.mayTry(c)
	if tried {
		p, reason = b.pick(ctx, c)
		c.turn.tries++
		switch {
		case p != nil:
			b.found(c)
			return p, "", true
		case !c.turn.ticket.MetFull() || b.mayDelegate(c, reason):
			return nil, reason, true
		}
	}
	switch v := b.judge(c, tried).(type) {
	case scheduler.Refuse:
		c.turn.retryAt = v.RetryAt
		b.metrics.refusalsByRank.With(c.service, c.turn.rankLabel(), string(v.Reason)).Inc()
		return nil, v.Reason, true
	case scheduler.Wait:
		reason = b.await(ctx, c, v)
	}
	return nil, reason, reason != ""
}

// waitResult returns the label value of the histogram of waits.
func waitResult(found bool) string {
	if found {
		return "sent"
	}
	return "refused"
}

func (t *turn) rankLabel() string { return strconv.Itoa(min(t.rank, maxRankLabel)) }

func (b *Balancer) leaveQueue(c *call) {
	b.shortage.mu.Lock()
	defer b.shortage.mu.Unlock()
	c.turn.scheduler.Leave(c.turn.ticket)
}

func (b *Balancer) mayTry(c *call) bool {
	b.shortage.mu.Lock()
	defer b.shortage.mu.Unlock()
	return c.turn.scheduler.MayTry(c.turn.ticket)
}

func (b *Balancer) found(c *call) {
	b.shortage.mu.Lock()
	defer b.shortage.mu.Unlock()
	c.turn.scheduler.Found(time.Now(), c.turn.ticket)
}

// judge returns what a request does next that has found no server, or must not look for one
// yet.
func (b *Balancer) judge(c *call, tried bool) scheduler.Verdict {
	b.shortage.mu.Lock()
	defer b.shortage.mu.Unlock()
	if tried {
		return c.turn.scheduler.Missed(time.Now(), c.turn.ticket)
	}
	return c.turn.scheduler.Defer(time.Now(), c.turn.ticket)
}

// await waits until the request may try again. It returns the reason for a refusal if the
// request ends before.
func (b *Balancer) await(ctx context.Context, c *call, w scheduler.Wait) refuser.Reason {
	if c.turn.waited == 0 {
		c.trace.add(Waiting, "rank", c.turn.rank, "queue-position", w.Position, "reason", c.turn.cause())
	}
	b.observeShortage(c.service, refuser.DeadlineTooNear)
	begun := time.Now()
	timer := time.NewTimer(time.Until(w.Until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return refuser.DeadlinePassed
	case <-c.turn.ticket.Wake:
	case <-timer.C:
	}
	c.turn.waited += max(1, time.Since(begun))
	if !b.opts.MayTake(c.deadline) {
		return refuser.Stopping
	}
	id := c.identity
	if refusal := b.authorize(&id, b.opts.Snapshot().Table, c.route); refusal != nil {
		return refusal.Reason
	}
	return ""
}

// cause returns why the request waits, as log lines have it.
func (t *turn) cause() string {
	switch {
	case t.tries == 0:
		return "behind-others"
	case !t.ticket.FoundFull():
		return "servers-slow"
	}
	return "servers-full"
}

// hasRoom reports whether a server that was probed has room for the request by its rank, and
// is fast enough for a request that can still wait.
func (b *Balancer) hasRoom(c *call, est routeEstimate, p *picked) bool {
	if !c.queues() {
		return true
	}
	now := time.Now()
	limit := b.maxQueueLatency(c)
	if !c.turn.ticket.Late() {
		limit = min(limit, c.turn.ticket.Objective().Sub(now))
	}
	alone := p.slowness * float64(est.latency)
	full := p.Slots
	for full < p.Slots+maxServerQueue && time.Duration(alone*loadFactor(full, p.Slots)) <= limit {
		full++
	}
	b.shortage.mu.Lock()
	defer b.shortage.mu.Unlock()
	return c.turn.scheduler.Room(now, c.turn.ticket, scheduler.Server{
		Busy: p.busy, Slots: p.Slots, Full: full, Work: time.Duration(alone), Expected: p.expected,
	})
}

// maxProbes returns the number of servers that are probed for the next attempt at most.
func (c *call) maxProbes() int {
	if !c.queues() {
		return maxProbes
	}
	return min(maxProbes, c.turn.ticket.MaxProbes(c.turn.short, c.turn.tries))
}

// withCapacityTime adds the time at which capacity is expected to a refusal for lack of it.
func (c *call) withCapacityTime(r refuser.Refusal) refuser.Refusal {
	if c.turn == nil || c.turn.retryAt.IsZero() {
		return r
	}
	return r.WithRetryAt(c.turn.retryAt)
}
