// Package subsetter chooses the backend servers of a service that one entry uses first. It
// handles services with many servers for the requests of each entry: if an entry spread its
// requests over all of them, most connections would expire between two requests, and each
// new connection costs a server work. It has no clock, and no state but Ranks, which the caller
// keeps.
//
// Each server ranks the entries by rendezvous hashing, and an entry takes the servers that
// rank it first, unless they have enough entries already. Every server is then used by nearly
// the same number of entries, and an entry or a server that comes or goes changes a few subsets
// by one or two servers each.
package subsetter

import (
	"cmp"
	"math"
	"slices"

	"samphiremux/pkg/placer"
)

const (
	// MaxWhole is the number of servers up to which a service has no subset: each entry
	// uses all of them.
	MaxWhole = 24
	// minSize bounds the risk that no server of the subset is good enough. If a server is slow
	// at 0.3 of the moments and full at 0.4 of the others, so not good enough at 0.58, all of
	// 8 are at 0.013 of them, and all of maxEvenSize at 0.0015. The shares are assumed.
	minSize     = 8
	maxEvenSize = 12
	// evenUsers is the mean number of entries that use a server from which the numbers are
	// even enough: with 9 the busiest server has at most 1.2 times the mean (TestEvenAndStable).
	evenUsers = 9.0
	// sizePerRate is the size for each request a second, so that connections are used again
	// before they expire. Each request probes 3 servers, connections may be idle for 8 s, and
	// a server should be probed 3 times in that time on average.
	sizePerRate = 8.0
	// maxServerRate is the rate of requests, per second, that a server of the subset gets
	// from the entry at most. Requests of 50 to 100 ms would otherwise find the connections
	// of many servers in use.
	maxServerRate = 2.0
	// leastUsers is the mean number of entries that use a server that is not gone below, so
	// that no server is left to one or two entries.
	leastUsers = 4.0
	// sizeSlack is the excess up to which a subset keeps its size, so that small changes of
	// the rate do not exchange servers.
	sizeSlack = 2
)

// EvenSize returns the size of the subsets for which the servers are assigned evenly to the
// entries.
func EvenSize(servers, entries int) int {
	serversPerEntry := float64(servers) / float64(max(1, entries))
	size := max(minSize, min(maxEvenSize, int(math.Ceil(evenUsers*serversPerEntry))))
	return min(servers, max(size, int(math.Ceil(leastUsers*serversPerEntry))))
}

// Size returns the size of the subset of an entry that sends a service a rate of requests,
// per second. Servers and entries are their numbers, and previous is the size so far, or 0.
func Size(previous int, rate float64, servers, entries int) (size int) {
	size = max(minSize, min(EvenSize(servers, entries), int(sizePerRate*rate)))
	size = max(size, int(math.Ceil(rate/maxServerRate)), int(math.Ceil(leastUsers*float64(servers)/float64(max(1, entries)))))
	if size < previous && previous <= size+sizeSlack {
		size = previous
	}
	return min(size, servers)
}

// Server is a backend server that may be in the subset.
type Server struct {
	ID     string
	Domain string
	// Slots is the number of requests that it runs at a time. Servers with more slots are in
	// more subsets.
	Slots int
}

// Fleet is the entries and the servers of one version of a service, as one entry knows
// them.
type Fleet struct {
	Self placer.Member
	// Others holds the other entries.
	Others  []placer.Member
	Servers []Server
}

// Order returns the ids of the servers in the order in which the entry takes them into its
// subset. Of the first ones, as many as EvenSize states, each server has nearly the same number
// of entries by its slots, provided that they know the same fleet. They are in the entry's own
// failure domain, unless this has fewer slots for its entries than the whole service: then a
// part of them is in the domains that have more. Ranks may hold what earlier orders determined.
func (f Fleet) Order(known *Ranks) (ids []string) {
	ids = make([]string, 0, len(f.Servers))
	d := f.domains()
	size := EvenSize(len(f.Servers), d.entries())
	share := float64(d[f.Self.Domain].entries) / float64(d.entries())
	var own, spare, rest []competed
	for _, s := range f.Servers {
		c := competed{Server: s, slots: float64(max(1, s.Slots))}
		switch {
		case s.Domain == f.Self.Domain:
			own = append(own, c)
		case d[s.Domain].entries == 0:
			// The entries of each domain use their part of it.
			c.slots *= share
			own = append(own, c)
		case d.supply(s.Domain) > 1:
			spare = append(spare, c)
		default:
			rest = append(rest, c)
		}
	}
	local := min(len(own), int(math.Ceil(float64(size)*min(1, d.supply(f.Self.Domain)))))
	ranks := newRankings(f, known)
	assigned, unassigned := f.assign(ranks, own, local)
	assignedSpare, unassignedSpare := f.assign(ranks, spare, size-local)
	assigned = byKey(append(assigned, assignedSpare...))
	for _, section := range [][]competed{assigned, unassigned, unassignedSpare, f.byWeight(rest)} {
		for _, c := range section {
			ids = append(ids, c.ID)
		}
	}
	return ids
}

// competed is a server for which the entries of a failure domain compete.
type competed struct {
	Server
	// slots is the number of slots that count for the domain.
	slots float64
	// key orders the servers of an entry: it is the rank of the entry at the server, for each
	// slot.
	key float64
}

// byKey returns servers in the order of their keys, and of their places if keys are equal. It
// sorts places, since servers are large.
func byKey(servers []competed) (sorted []competed) {
	type keyed struct {
		key   float64
		place int
	}
	places := make([]keyed, len(servers))
	for i, s := range servers {
		places[i] = keyed{s.key, i}
	}
	slices.SortFunc(places, func(x, y keyed) int { return cmp.Or(cmp.Compare(x.key, y.key), cmp.Compare(x.place, y.place)) })
	sorted = make([]competed, 0, len(servers))
	for _, p := range places {
		sorted = append(sorted, servers[p.place])
	}
	return sorted
}

// assign assigns servers to the entries of the domain, a number to each entry. It goes through
// all pairs by rank, and leaves out a server that has its part of the entries. It returns the
// servers of this entry, and the others in the order of its keys.
func (f Fleet) assign(ranks rankings, servers []competed, number int) (assigned, others []competed) {
	if number == 0 {
		return nil, f.byWeight(servers)
	}
	entries, slots := len(ranks.entries), 0.0
	first := make([][firstRanks]uint16, len(servers))
	for i := range servers {
		at := ranks.of(servers[i].ID)
		first[i], servers[i].key = at.first, rankKey(int(at.own), servers[i].slots)
		slots += servers[i].slots
	}
	users, has := make([]int, len(servers)), make([]int, entries)
	mine := make([]bool, len(servers))
	// open holds the servers that do not have their part of the entries yet.
	open, classes := byID(servers), slotClasses(servers)
	lacking := entries
	for _, ranksAt := range steps(classes, entries) {
		open = slices.DeleteFunc(open, func(i int) bool {
			rank, part := ranksAt[classes.of[i]], math.Ceil(float64(number*entries)*servers[i].slots/slots)
			if rank < 0 {
				return false
			}
			if entry := ranks.entryAt(servers[i].ID, &first[i], rank); has[entry] < number {
				has[entry]++
				users[i]++
				mine[i] = mine[i] || entry == 0
				if has[entry] == number {
					lacking--
				}
			}
			return float64(users[i]) >= part
		})
		if lacking == 0 {
			break
		}
	}
	for i, s := range servers {
		if mine[i] {
			assigned = append(assigned, s)
		} else {
			others = append(others, s)
		}
	}
	return assigned, byKey(others)
}

// rankKey returns the rank of an entry at a server, for each slot.
func rankKey(rank int, slots float64) float64 { return (float64(rank) + 0.5) / slots }

// byWeight sorts servers for which the entries do not compete.
func (f Fleet) byWeight(servers []competed) []competed {
	for i, s := range servers {
		servers[i].key = -float64(placer.Weight(s.ID, f.Self.ID)) * s.slots
	}
	return byKey(servers)
}

// Inputs returns a hash of all that Order depends on. The order of entries and servers does
// not matter.
func (f Fleet) Inputs() (sum uint64) {
	for _, e := range f.Others {
		sum += placer.Weight("entry "+e.Domain, e.ID)
	}
	for _, s := range f.Servers {
		sum += placer.Weight("server "+s.Domain, s.ID) * uint64(1+2*s.Slots)
	}
	return sum
}

// domain is the numbers of entries and of slots of a failure domain.
type domain struct{ entries, slots int }

// domains holds the failure domains by name.
type domains map[string]domain

// entries returns the number of entries in all domains.
func (d domains) entries() (n int) {
	for _, of := range d {
		n += of.entries
	}
	return n
}

func (f Fleet) domains() domains {
	d := domains{f.Self.Domain: {entries: 1}}
	for _, e := range f.Others {
		of := d[e.Domain]
		of.entries++
		d[e.Domain] = of
	}
	for _, s := range f.Servers {
		of := d[s.Domain]
		of.slots += max(1, s.Slots)
		d[s.Domain] = of
	}
	return d
}

// supply returns the slots for each entry of a failure domain, relative to the mean of all. A
// domain without entries counts for all domains, in proportion to their entries.
func (d domains) supply(name string) float64 {
	slots, shared := 0, 0
	for _, of := range d {
		slots += of.slots
		if of.entries == 0 {
			shared += of.slots
		}
	}
	share := float64(d[name].entries) / float64(d.entries())
	return (float64(d[name].slots) + share*float64(shared)) / (share * float64(slots))
}
