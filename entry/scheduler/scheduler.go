// Package scheduler decides which requests of a service get capacity while its servers are
// full: bursts above the capacity, and the loss of a part of the servers. An entry sees a
// few requests a second, so the order of its own queue has little effect over all entries.
// Therefore requests of lower ranks stop at lower fill levels of the servers, by the
// servers' own reports, which leaves capacity to urgent requests of every entry without
// messages between them. A request that finds no capacity waits at its entry for as long
// as it can still be in time, and is refused at once otherwise.
//
// It has no clock and does no I/O. Its types are not safe for concurrent use.
package scheduler

import (
	"math"
	"time"

	"samphiremux/entry/refuser"
)

const (
	// guaranteedShare is the ratio of served to offered requests that a rank or a
	// workspace gets at least, relative to all requests of the service. A quarter is what
	// callers must get; the rest covers promoted requests that find no capacity either.
	guaranteedShare = 0.28
	// maxCredit bounds the guaranteed requests that a rank or a workspace can save up.
	maxCredit = 2.0
	// servedWindow is the number of requests over which the served ratio is averaged. With 32,
	// requests were still promoted by the ratio of calm times for 3 s of a burst.
	servedWindow = 10
	// lackTime is the time in which half of the tries of more urgent requests that found no
	// capacity are forgotten. An entry sees few urgent requests in a second.
	lackTime = 4 * time.Second
	// slotLack is the share of such tries from which less urgent requests leave a free slot
	// clear if no request may queue. With 0.5, the lowest rank was refused for good in 3 to 4
	// of 100 requests more than without scheduling at a load of 0.6 to 1.1.
	slotLack = 0.65
	// queueLack is the share of such tries from which less urgent requests leave all places in
	// the queues of the servers clear that their rank has to.
	queueLack = 0.6
	// shortPart is the part of these places that they leave clear while the service is short
	// of capacity. In a burst of 1.4 times the capacity, requests of the highest rank alone
	// notice the shortage too late at most entries.
	shortPart = 0.55
	// rankExponent makes the limits of ranks in between closer to that of the lowest rank.
	// Reports are up to two requests old, so a gap of one to the highest would not last.
	rankExponent = 1.5
	// blindRetries is the share of requests whose retries take from the retry budget as those
	// of the highest rank do. Without it, the lowest rank lost 4 of 100 requests while servers
	// refused 55 % at random.
	blindRetries = 0.6
	// shortageTime is how long the service counts as short of capacity after a request found
	// none. It spans several requests of an entry.
	shortageTime = time.Second
	// maxProbes is the number of servers that a request probes at most. While the service is
	// short of capacity, requests of the highest rank probe urgentProbes, others shortProbes,
	// late ones lateProbes. With each further try, a waiting request probes retryProbes, or
	// urgentProbes if it is of the highest rank. The balancer probes 3 servers at first, and
	// then 4 in each round.
	maxProbes, urgentProbes, shortProbes, lateProbes, retryProbes = 15, 11, 7, 3, 6
	// minRetryAfter and maxRetryAfter bound the Retry-After of refusals.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// minPause and maxPause bound the pause between two tries of a waiting request. With
	// 6 probes a try, or 11 while the first is of the highest rank, an entry sends at most 300
	// or 550 probes a second for a service while requests wait. In the tests with shared
	// servers it sends half of those without scheduling.
	minPause = 20 * time.Millisecond
	maxPause = 100 * time.Millisecond
)

// Request is a request of the service.
type Request struct {
	// Rank is the position of its rank among the Ranks ranks of the service, 0 the highest.
	Rank, Ranks int
	// Workspace is the name of the caller's workspace. It is empty if there are none.
	Workspace string
	Route     string
	// Target is the latency objective of the route. Zero means that there is none.
	Target time.Duration
	// RouteLimit is the time limit of the route, which callers can only shorten. Zero means
	// that it is not known.
	RouteLimit time.Duration
	// Limit is the time limit of the request when it arrived.
	Limit    time.Duration
	Arrived  time.Time
	Deadline time.Time
	// Work is the expected time on a server that has a free slot, and Slots the number of
	// slots of such a server.
	Work  time.Duration
	Slots int
}

// Server is what a backend server reported just before a request is sent.
type Server struct {
	// Busy is the number of requests that run or wait there.
	Busy  int
	Slots int
	// Full is the value of Busy from which a request of the highest rank does not go there.
	Full int
	// Work is the expected time of a request there without others, and Expected that of the
	// request there now.
	Work, Expected time.Duration
}

// Ticket is the place of one request in the schedule of its service.
type Ticket struct {
	// Wake receives a value when the request should try again.
	Wake chan struct{}

	request Request
	// work is the time before the objective by which the request must be sent.
	work time.Duration
	// objective is the time by which the response is in time.
	objective time.Time
	// standing is from 0, for the most urgent, to 1.
	standing float64
	// promotedBy is the account whose guaranteed share makes the request as urgent as those
	// of the highest rank, or nil.
	promotedBy *account
	// blindRetry reports that a retry of the request counts as one of the highest rank.
	blindRetry bool
	late       bool
	overShare  bool
	served     bool
	// shed reports that a server had room for the highest rank only.
	shed    bool
	evicted bool
	// lastTry reports that the request was tried as late. MayPass reports that it may be,
	// although others wait before it.
	lastTry bool
	mayPass bool
	// waitsSince is zero while the request does not wait.
	waitsSince time.Time
	miss       miss
}

// miss is what the last try of a request found.
type miss struct {
	// drain is the shortest time until a server that was probed has room.
	drain time.Duration
	// full reports that a server had no room.
	full bool
	// slow reports that a server had room but is too slow.
	slow bool
}

// Late reports whether the request cannot be served within its objective any more.
func (t *Ticket) Late() bool { return t.late }

// Objective returns the time by which the response is in time.
func (t *Ticket) Objective() time.Time { return t.objective }

// Standing returns the urgency of the request, from 0, the highest, to 1.
func (t *Ticket) Standing() float64 { return t.standing }

// RetryClass returns the class of the request's retries among a number of them, 0 the most
// urgent.
func (t *Ticket) RetryClass(classes int) int {
	if t.blindRetry {
		return 0
	}
	return int(math.Ceil(t.standing * float64(classes-1)))
}

// MaxProbes returns the number of servers that the request probes for a try at most, after a
// number of tries. While the service is short of capacity, most servers are full, and a
// request that can wait tries again.
func (t *Ticket) MaxProbes(short bool, tries int) int {
	switch {
	case tries > 0 && t.standing == 0:
		return urgentProbes
	case tries > 0:
		return retryProbes
	case short && t.late:
		return lateProbes
	case short && t.standing == 0:
		return urgentProbes
	case short:
		return shortProbes
	}
	return maxProbes
}

// MetFull reports whether the last try found a server without room for the request, or too
// slow for it to be in time.
func (t *Ticket) MetFull() bool { return t.miss.full || t.miss.slow }

// FoundFull reports whether the last try found a server without room for the request.
func (t *Ticket) FoundFull() bool { return t.miss.full }

// latestStart returns the time at which the request must be sent to be in time.
func (t *Ticket) latestStart() time.Time { return t.objective.Add(-t.work) }

// before reports whether a request comes before another one.
func (t *Ticket) before(o *Ticket) bool {
	switch {
	case t.late != o.late:
		return o.late
	case t.standing != o.standing:
		return t.standing < o.standing
	}
	return t.request.Deadline.Before(o.request.Deadline)
}

// Verdict is what a request does that has found no capacity: Wait or Refuse.
type Verdict interface{ verdict() }

// Wait means that the request tries again when it is woken, or at Until.
type Wait struct {
	Until time.Time
	// Position is the number of waiting requests before it.
	Position int
}

// Refuse means that the request is refused.
type Refuse struct {
	Reason  refuser.Reason
	RetryAt time.Time
}

func (Wait) verdict()   {}
func (Refuse) verdict() {}

// Scheduler schedules the requests of one service at one entry.
type Scheduler struct {
	draw  func() float64
	queue []*Ticket
	// servedRatio is the mean share of requests that were served.
	servedRatio float64
	ranks       map[int]*account
	workspaces  map[string]*account
	limits      map[string]*usualLimit
	hits        [hitLevels]hitRate
	// lacks is the share of tries that found no capacity, by level of urgency.
	lacks [hitLevels - 1]hitRate
	// shortUntil is the end of the time in which the service counts as short of capacity.
	shortUntil time.Time
}

// New returns the scheduler of a service that draws random numbers in [0, 1) with draw.
func New(draw func() float64) *Scheduler {
	return &Scheduler{
		draw: draw, servedRatio: 1, ranks: map[int]*account{}, workspaces: map[string]*account{}, limits: map[string]*usualLimit{},
	}
}

// Offer adds a request. Done must be called when it has ended.
func (s *Scheduler) Offer(now time.Time, r Request) *Ticket {
	t := &Ticket{Wake: make(chan struct{}, 1), request: r, work: r.Work, objective: r.Deadline, blindRetry: s.draw() < blindRetries}
	age := s.usualLimitOf(r.Route).age(r.Limit, r.RouteLimit)
	if r.Target > 0 {
		t.objective = r.Arrived.Add(r.Target - age)
		// The expected time rises with the queues at the servers. A request that has just
		// come is not late because of that.
		t.work = min(r.Work, r.Target/2)
	}
	t.late = now.After(t.latestStart())
	levels := float64(r.Ranks - 1)
	place := float64(r.Rank)
	if age > 0 && r.Rank > 0 {
		place -= 0.5
	}
	rank := accountOf(now, s.ranks, r.Rank, s.draw)
	rank.offer(s.servedRatio * guaranteedShare)
	t.promotedBy = rank.promote()
	if r.Workspace != "" {
		workspace := accountOf(now, s.workspaces, r.Workspace, s.draw)
		t.overShare = s.isOverShare(now, workspace)
		if !t.overShare {
			workspace.offer(s.servedRatio * guaranteedShare)
		}
		if t.promotedBy == nil && !t.overShare {
			t.promotedBy = workspace.promote()
		}
		levels += 0.5
		if t.overShare {
			place += 0.5
		}
	}
	if levels > 0 && t.promotedBy == nil {
		t.standing = min(1, place/levels)
	}
	return t
}

// MayTry reports whether the request may look for capacity now. It must not while a waiting
// request comes before it, except for the last try that Defer allows.
func (s *Scheduler) MayTry(t *Ticket) bool {
	if t.evicted || (s.ahead(t) > 0 && !t.mayPass) {
		return false
	}
	t.miss, t.mayPass = miss{}, false
	t.lastTry = t.lastTry || t.late
	return true
}

// Room reports whether a server has room for the request.
func (s *Scheduler) Room(now time.Time, t *Ticket, srv Server) bool {
	limit := s.limit(now, t, srv)
	if float64(srv.Busy) < limit {
		t.miss.slow = t.miss.slow || t.awaitsFaster(now, srv)
		return !t.awaitsFaster(now, srv)
	}
	excess := float64(srv.Busy) - math.Ceil(limit) + 1
	drain := time.Duration(excess * float64(srv.Work) / float64(max(1, srv.Slots)))
	if !t.miss.full || drain < t.miss.drain {
		t.miss.drain = drain
	}
	t.miss.full = true
	t.shed = t.shed || (srv.Busy < srv.Full && !t.late)
	return false
}

// awaitsFaster reports whether a request rather waits than goes to a server that has room: it
// would be late there, would be in time at a usual server after a pause, and could still be
// served there before its deadline. The expected time is a mean, so the expected work is left
// as a margin.
func (t *Ticket) awaitsFaster(now time.Time, srv Server) bool {
	if t.request.Target == 0 || t.late || t.served || !now.Add(srv.Expected).After(t.objective) ||
		now.Add(t.pause()+t.request.Work).After(t.objective) {
		return false
	}
	left := t.request.Deadline.Sub(now)
	return srv.Expected > left || srv.Expected+t.work+2*t.pause() <= left
}

// limit returns how many requests may run or wait at a server before one more.
func (s *Scheduler) limit(now time.Time, t *Ticket, srv Server) float64 {
	full, slots := float64(srv.Full), float64(srv.Slots)
	lack, lowest := s.lackAbove(now, t), slots
	part := min(1, lack/queueLack)
	if s.Short(now) {
		part = max(part, shortPart)
	}
	if srv.Full <= srv.Slots {
		// No request may queue, so free slots are all that urgent requests can find.
		if lack < slotLack || srv.Slots == 1 {
			return slots
		}
		lowest, part = slots-1, 1
	}
	if !t.late {
		lowest += math.Pow(1-t.standing, rankExponent) * (full - lowest)
	}
	return full - part*(full-lowest)
}

// lackAbove returns the share of tries of more urgent requests that found no capacity lately,
// of the level of urgency that lacks it most.
func (s *Scheduler) lackAbove(now time.Time, t *Ticket) (lack float64) {
	for _, l := range s.lacks[:t.level()] {
		lack = max(lack, l.missedAt(now, lackTime))
	}
	return lack
}

// observe records a try that found a part of 0 or 1 of the capacity that it needs.
func (s *Scheduler) observe(now time.Time, t *Ticket, found float64) {
	s.hits[t.level()].add(now, found, hitRecovery)
	if !t.late && t.promotedBy == nil {
		s.lacks[t.level()].add(now, found, lackTime)
	}
}

// Found records that a server has room for the request, which no longer waits.
func (s *Scheduler) Found(now time.Time, t *Ticket) {
	s.observe(now, t, 1)
	s.Leave(t)
	t.evicted, t.lastTry = false, false
	if t.served {
		return
	}
	t.served = true
	s.servedRatio += (1 - s.servedRatio) / servedWindow
	s.serve(now, t, accountOf(now, s.ranks, t.request.Rank, s.draw))
	if t.request.Workspace != "" {
		s.serve(now, t, accountOf(now, s.workspaces, t.request.Workspace, s.draw))
	}
}

// serve counts a served request in an account.
func (s *Scheduler) serve(now time.Time, t *Ticket, a *account) {
	a.served = a.recentlyServed(now) + 1
	a.servedAt = now
	if t.promotedBy != a {
		a.credit = max(0, a.credit-1)
	}
}

// Short reports whether the servers of the service were full lately.
func (s *Scheduler) Short(now time.Time) bool { return now.Before(s.shortUntil) }

// Missed decides what a request does that has found no capacity.
func (s *Scheduler) Missed(now time.Time, t *Ticket) Verdict {
	if !t.miss.full {
		return s.Defer(now, t)
	}
	s.observe(now, t, 0)
	s.shortUntil = now.Add(shortageTime)
	return s.Defer(now, t)
}

// Defer decides what a request does that must not look for capacity yet.
func (s *Scheduler) Defer(now time.Time, t *Ticket) Verdict {
	ahead := s.ahead(t)
	pause := t.pause()
	wait := time.Duration(float64(pause) * float64(ahead+1) / s.hits[t.level()].value(now))
	left := t.latestStart().Sub(now)
	switch {
	case t.evicted:
		return s.refuse(now, t, refuser.QueueFull, wait)
	case !t.lastTry && (t.late || left < pause/2) && (t.miss.slow || !s.Short(now)):
		// Others may wait for faster servers while there are free slots.
		s.Leave(t)
		t.late, t.mayPass = true, true
		return Wait{Until: now, Position: ahead}
	case t.late || left < pause/2:
		// Refusing others by an estimate of their wait would reward callers that retry at
		// once: they would ask again until the estimate is lower.
		return s.refuse(now, t, t.reason(), wait)
	case t.waitsSince.IsZero() && !s.join(now, t):
		return s.refuse(now, t, refuser.QueueFull, wait)
	}
	// Entries that miss at the same time should not try at the same time again.
	until := now.Add(time.Duration((0.75 + 0.5*s.draw()) * float64(pause)))
	if latest := t.latestStart(); latest.Before(until) {
		until = latest
	}
	return Wait{Until: until, Position: ahead}
}

// pause returns the time between two tries: a server with the expected slots frees one of
// them this often.
func (t *Ticket) pause() time.Duration {
	return min(maxPause, max(minPause, t.work/time.Duration(max(1, t.request.Slots))))
}

// reason returns why a request is refused that cannot wait.
func (t *Ticket) reason() refuser.Reason {
	switch {
	case t.overShare:
		return refuser.CallerOverShare
	case t.shed && !t.late:
		return refuser.RouteShed
	}
	return refuser.DeadlineTooNear
}

// refuse refuses a request. Retry-After is the time until a server that was probed has room
// or, if that is longer, until a try is expected to find one.
func (s *Scheduler) refuse(now time.Time, t *Ticket, reason refuser.Reason, wait time.Duration) Verdict {
	s.Leave(t)
	after := min(maxRetryAfter, max(minRetryAfter, wait, t.miss.drain))
	return Refuse{Reason: reason, RetryAt: now.Add(time.Duration((0.75 + 0.5*s.draw()) * float64(after)))}
}

// Done ends a request.
func (s *Scheduler) Done(t *Ticket) {
	s.Leave(t)
	if !t.served {
		s.servedRatio -= s.servedRatio / servedWindow
		if t.promotedBy != nil {
			t.promotedBy.offer(1)
		}
	}
}
