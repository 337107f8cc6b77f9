package balancer

import (
	"maps"
	"slices"
	"sync"
	"time"

	"samphiremux/entry/snapshotter"
	"samphiremux/entry/subsetter"
	"samphiremux/pkg/placer"
)

const (
	// subsetInterval is the time for which a subset holds. A server that is registered or
	// returns is to get requests within 4 s.
	subsetInterval = 500 * time.Millisecond
	// orderInterval is the least time between two computations of an order of servers, which
	// take 3 ms of a core with 100 entries and 600 servers in the failure domain if its entries
	// have changed, and 1 ms if only servers have. Servers of a domain that return one after the
	// other would otherwise keep a small VM busy with them.
	orderInterval = time.Second
	// memberAge is the time since the last response of a member from which it is probed
	// first. Connections expire after 8 s without use, so that they stay open.
	memberAge = 3 * time.Second
	// urgentAge is the same for servers that this entry has not sent a request yet, and for
	// those that only some entries may use: cold servers get requests only if they are probed.
	urgentAge = 500 * time.Millisecond
	// firstUsers is the number of holders that prefer a cold server until they have sent it a
	// request. The others send it requests only if no warm one is as good, which may take
	// longer than the 4 s within which a new server is to get some.
	firstUsers = 5
	// maxAgeDiscount is the largest part by which the prior cost of a member is reduced the
	// longer it has not responded, up to discountedAge, so that its connection is used
	// before it expires. It exceeds the random part of the cost. Servers close connections
	// after 10 s, which is 8 s here.
	maxAgeDiscount = 0.5
	discountedAge  = 8 * time.Second
	// tierCost is the difference of the prior costs of two tiers. It exceeds any expected
	// latency, and all tiers together are below the cost of an ejected server.
	tierCost = float64(time.Minute)
	// dueFactor is the factor of the cost of a server that was probed because it was due, so
	// that of equal servers it gets the request. Otherwise a new server could stay unused for
	// long, since each request prefers the servers that reported a low load just before.
	dueFactor = 0.8
)

// tier is the order in which candidates of a service with a subset are probed.
type tier int

const (
	// tierDue is for the member, or returning one, that has not responded for the longest time.
	tierDue tier = iota
	// tierIdle is for members with an idle connection.
	tierIdle
	// tierIdleBeyond is for servers outside the subset with an idle connection, as after
	// requests went beyond it. A connection that is opened costs a server more than its probe.
	tierIdleBeyond
	// tierUnconnected is for members to which a connection would have to be opened.
	tierUnconnected
	// tierBad is for members that were slow or full by a recent report, or did not answer.
	tierBad
	// tierBeyond is for other servers outside the subset. They are ordered in the same way.
	tierBeyond
)

// subset is the part of a service's servers that this entry uses first. It is immutable.
type subset struct {
	// members holds since when the servers of the subset, of all versions, are members.
	members map[string]time.Time
	// holders holds the ids of further servers: those that are cold or state a rate limit,
	// if this entry holds a part of the rate.
	holders map[string]bool
	// returning is the id of one of the servers that would be members if they had answered
	// since they were ejected, or had stated no rate limit since, or empty. It is probed first
	// once, and is a member again if it answers so. More of them at a time would delay each request while a failure domain is lost.
	returning string
}

// has reports whether a server is probed before servers outside the subset.
func (s *subset) has(id string) bool {
	_, isMember := s.members[id]
	return isMember || s.holders[id]
}

// prefers reports whether a server is a candidate in any case: a member, or the returning one.
func (s *subset) prefers(id string) bool { return s.has(id) || s.returning == id }

// serviceSubset is the subset of a service with the state that it follows from.
type serviceSubset struct {
	rate subsetter.Rate
	// size is the size for each version.
	size int
	// current is nil before the first choice, and while the service has no subset.
	current     *subset
	chosenUntil time.Time
	orders      orders
}

// subsetOf returns the subset of a service, or nil if this entry uses all servers alike. It
// counts a request.
func (b *Balancer) subsetOf(now time.Time, view *snapshotter.Snapshot, service string) *subset {
	servers := view.Services[service]
	if len(servers) <= subsetter.MaxWhole || b.opts.Entries == nil {
		return nil
	}
	b.mu.Lock()
	s, ok := b.subsets[service]
	if !ok {
		s = &serviceSubset{orders: orders{byVersion: map[string]order{}}}
		b.subsets[service] = s
	}
	s.rate.Observe(now)
	if now.Before(s.chosenUntil) {
		defer b.mu.Unlock()
		return s.current
	}
	s.chosenUntil = now.Add(subsetInterval)
	size, rate := s.size, s.rate.PerSecond(now)
	b.mu.Unlock()
	entries := b.opts.Entries()
	size = subsetter.Size(size, rate, len(servers), len(entries))
	chosen := b.chooseSubset(now, view, servers, entries, size, &s.orders)
	b.mu.Lock()
	defer b.mu.Unlock()
	chosen.keepSince(s.current)
	s.current, s.size = chosen, size
	return chosen
}

// chooseSubset chooses the members for each version of a service, and the further servers that
// this entry holds a part of the rate of. It returns nil if the subset would be all servers.
func (b *Balancer) chooseSubset(now time.Time, view *snapshotter.Snapshot, servers []snapshotter.Backend, entries []placer.Member, size int, o *orders) *subset {
	if size >= len(servers) {
		return nil
	}
	chosen := &subset{members: map[string]time.Time{}, holders: map[string]bool{}}
	byVersion := map[string][]subsetter.Server{}
	states := map[string]memberState{}
	for _, srv := range servers {
		if !view.Eligible(srv) {
			continue
		}
		byVersion[srv.Version] = append(byVersion[srv.Version], subsetter.Server{ID: srv.ID, Domain: srv.Domain, Slots: srv.Slots})
		state := srv.State.Snapshot(now)
		switch {
		case state.Leaving || state.Paused:
			states[srv.ID] = memberUnusable
		case b.isHolder(view, srv, state):
			chosen.holders[srv.ID] = true
			states[srv.ID] = memberUnusable
		case state.Cold || state.Ejected || (state.RateLimit.Stated && state.RateLimitFresh):
			states[srv.ID] = memberUnusable
		case state.Unanswered || state.RateLimit.Stated:
			states[srv.ID] = memberReturning
		}
	}
	fleet := subsetter.Fleet{Self: placer.Member{ID: b.opts.Self, Domain: b.opts.Domain}}
	for _, e := range entries {
		if e.ID != b.opts.Self {
			fleet.Others = append(fleet.Others, e)
		}
	}
	o.retain(byVersion)
	var returning []string
	for version := range byVersion {
		fleet.Servers = byVersion[version]
		returning = append(returning, chosen.addMembers(now, o.of(now, version, fleet), states, size)...)
	}
	if len(returning) > 0 {
		b.mu.Lock()
		chosen.returning = returning[b.rng.IntN(len(returning))]
		b.mu.Unlock()
	}
	return chosen
}

// keepSince takes over since when servers are members from the subset before. Both may be nil.
func (s *subset) keepSince(before *subset) {
	if s == nil || before == nil {
		return
	}
	for id := range s.members {
		if since, ok := before.members[id]; ok {
			s.members[id] = since
		}
	}
}

// memberState is why a server is no member, though it may be by the order of the servers.
type memberState int

const (
	memberUsable memberState = iota
	memberUnusable
	// memberReturning is for servers whose ejection is over, but that have not answered, and
	// for those that may have ceased to state a rate limit.
	memberReturning
)

// addMembers adds the first usable servers of an order, up to a number, as members from now on.
// It returns those that would be among the first and are returning.
func (s *subset) addMembers(now time.Time, order []string, states map[string]memberState, size int) (returning []string) {
	added := 0
	for i, id := range order {
		switch {
		case added >= size:
			return returning
		case states[id] == memberUsable:
			s.members[id] = now
			added++
		case states[id] == memberReturning && i < size:
			returning = append(returning, id)
		}
	}
	return returning
}

// orders holds the order of the servers of each version, since it takes long to determine
// and rarely changes.
type orders struct {
	mu        sync.Mutex
	byVersion map[string]order
}

// order is an order of servers, the hash of what it follows from, and the time until which it
// holds also if that changes.
type order struct {
	inputs uint64
	ids    []string
	until  time.Time
	// ranks holds what the next order may take over.
	ranks *subsetter.Ranks
}

// retain forgets the versions that no server has any more.
func (o *orders) retain(byVersion map[string][]subsetter.Server) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.byVersion, func(version string, _ order) bool { return byVersion[version] == nil })
}

// of returns the order of the servers of a version, which may be orderInterval old.
func (o *orders) of(now time.Time, version string, fleet subsetter.Fleet) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	inputs := fleet.Inputs()
	known, ok := o.byVersion[version]
	switch {
	case ok && known.inputs == inputs:
		return known.ids
	case ok && now.Before(known.until):
		return withoutGone(known.ids, fleet.Servers)
	}
	if !ok {
		known.ranks = &subsetter.Ranks{}
	}
	ids := fleet.Order(known.ranks)
	o.byVersion[version] = order{inputs, ids, now.Add(orderInterval), known.ranks}
	return ids
}

// withoutGone returns the ids of those servers of an order that are still there.
func withoutGone(ids []string, servers []subsetter.Server) (left []string) {
	there := make(map[string]bool, len(servers))
	for _, s := range servers {
		there[s.ID] = true
	}
	for _, id := range ids {
		if there[id] {
			left = append(left, id)
		}
	}
	return left
}

// isHolder reports whether a server is cold or states a rate limit, and this entry holds a
// part of the rate.
func (b *Balancer) isHolder(view *snapshotter.Snapshot, srv snapshotter.Backend, state snapshotter.StateSnapshot) bool {
	if state.Cold && !b.coldPartOf(view, srv).isHolder() {
		return false
	}
	if !state.RateLimit.Stated {
		return state.Cold
	}
	_, isHolder := b.rateLimitHolders(srv.ID, state.RateLimit)
	return isHolder
}

// eligibleBySubset returns the servers that may run the request: those of the subset, and a
// sample of the others, as many as in eligible together.
func (b *Balancer) eligibleBySubset(now time.Time, c *call, view *snapshotter.Snapshot, s *subset) (candidates []candidate) {
	servers := view.Services[c.service]
	b.mu.Lock()
	start := b.rng.IntN(len(servers))
	b.mu.Unlock()
	for _, part := range []struct {
		limit int
		match func(snapshotter.Backend) bool
	}{
		{maxLocalCandidates, func(srv snapshotter.Backend) bool { return s.prefers(srv.ID) }},
		{maxLocalCandidates, func(srv snapshotter.Backend) bool { return !s.prefers(srv.ID) && srv.Domain == b.opts.Domain }},
		{maxCandidates, func(srv snapshotter.Backend) bool { return !s.prefers(srv.ID) && srv.Domain != b.opts.Domain }},
	} {
		for _, section := range [][]snapshotter.Backend{servers[start:], servers[:start]} {
			candidates = c.collect(candidates, now, view, section, part.limit, part.match)
		}
	}
	for i := range candidates {
		candidates[i].subset = s
	}
	return candidates
}

// addTierCosts raises the prior costs of candidates by their tiers, if the service has a
// subset.
func addTierCosts(now time.Time, candidates []candidate) {
	due := -1
	for i := range candidates {
		cand := &candidates[i]
		if cand.subset == nil {
			return
		}
		t := cand.tier(now)
		if t == tierIdle && !cand.state.LoadFresh {
			cand.cost *= 1 - maxAgeDiscount*min(1, float64(now.Sub(cand.state.HeardAt))/float64(discountedAge))
		}
		cand.cost += tierCost * float64(t)
		cand.connected = t == tierIdle || t == tierIdleBeyond
		if cand.isDue(now) && (due < 0 || cand.state.HeardAt.Before(candidates[due].state.HeardAt)) {
			due = i
		}
	}
	if due >= 0 {
		candidates[due].cost -= tierCost * float64(candidates[due].tier(now)-tierDue)
		candidates[due].due, candidates[due].connected = true, true
	}
}

// tier returns the tier of a candidate that is not due.
func (cand *candidate) tier(now time.Time) tier {
	t := cand.connectionTier(now)
	switch {
	case cand.subset.has(cand.ID):
		return t
	case t == tierIdle:
		return tierIdleBeyond
	default:
		return tierBeyond + t
	}
}

// connectionTier returns the tier of a member, by its connections and its last report.
func (cand *candidate) connectionTier(now time.Time) tier {
	switch {
	case cand.state.Unanswered:
		return tierBad
	case cand.state.LoadFresh && (cand.state.Load.Slowness > goodSlowness || cand.state.Load.Running+cand.state.Load.Waiting >= cand.Slots):
		return tierBad
	case cand.State.HasIdle(now):
		return tierIdle
	default:
		return tierUnconnected
	}
}

// isDue reports whether a server has not responded for so long that it is probed first: since
// it became a member, or for some time if it is new, returning, or has an open connection to be
// kept. A connection that has expired is not opened again only for that, since an entry with
// few requests could not keep all of them open.
func (cand *candidate) isDue(now time.Time) bool {
	silent := now.Sub(cand.state.HeardAt)
	switch {
	case cand.state.Ejected:
		return false
	case cand.subset.holders[cand.ID], !cand.state.Used && cand.subset.prefers(cand.ID):
		return silent >= urgentAge
	case cand.subset.returning == cand.ID:
		return silent >= memberAge
	}
	since, isMember := cand.subset.members[cand.ID]
	return isMember && silent >= memberAge && (cand.state.HeardAt.Before(since) || cand.State.HasIdle(now))
}

// minConnectedProbes is the number of servers with idle connections from which a round of
// probes does not open one for a further server. With 1 fewer were opened, but p99 rose by
// 0.4 ms in trials.
const minConnectedProbes = 2

// withoutOpening returns the candidates of a round up to the first to which a connection would
// have to be opened, if enough are left. One of them is good enough nearly always, since members
// that were not by a recent report come later, and the next round probes the others.
func withoutOpening(batch []candidate) []candidate {
	i := slices.IndexFunc(batch, func(cand candidate) bool { return !cand.connected })
	if i < minConnectedProbes {
		return batch
	}
	return batch[:i]
}

// costFactor returns the factor of the cost of a server that was probed.
func (b *Balancer) costFactor(view *snapshotter.Snapshot, cand candidate, isCold bool) float64 {
	switch {
	case !cand.due && isCold, isCold && cand.state.Used, isCold && b.coldPartOf(view, cand.Backend).rank >= firstUsers:
		return coldSlowness
	case cand.due:
		return dueFactor
	default:
		return 1
	}
}

// isBeyond reports whether the server is outside the subset of its service.
func (cand *candidate) isBeyond() bool { return cand.subset != nil && !cand.subset.has(cand.ID) }

// SubsetSizes returns the number of servers in the subset of each service that has one.
func (b *Balancer) SubsetSizes() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	sizes := map[string]float64{}
	for service, s := range b.subsets {
		if s.current != nil {
			sizes[service] = float64(len(s.current.members) + len(s.current.holders))
		}
	}
	return sizes
}
