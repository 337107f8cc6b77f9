// Package subsetter chooses the backend servers of a service that one entry uses first. It
// handles services with many servers for the requests of each entry: if an entry spread its
// requests over all of them, most connections would expire between two requests, and each
// new connection costs a server work. It has no clock and no state of its own.
//
// Each server ranks the entries by rendezvous hashing, and an entry takes the servers that
// rank it first, unless they have enough entries already. Every server is then used by nearly
// the same number of entries, and an entry or a server that comes or goes changes a few subsets
// by one or two servers each.
package subsetter

import (
	"cmp"
	"iter"
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
// part of them is in the domains that have more.
func (f Fleet) Order() (ids []string) {
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
	assigned, unassigned := f.assign(own, local)
	assignedSpare, unassignedSpare := f.assign(spare, size-local)
	assigned = append(assigned, assignedSpare...)
	sortByKey(assigned)
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

func sortByKey(servers []competed) {
	slices.SortStableFunc(servers, func(x, y competed) int { return cmp.Compare(x.key, y.key) })
}

// assign assigns servers to the entries of the domain, a number to each entry. It goes through
// all pairs by rank, and leaves out a server that has its part of the entries. It returns the
// servers of this entry, and the others in the order of its keys.
func (f Fleet) assign(servers []competed, number int) (assigned, others []competed) {
	if number == 0 {
		return nil, f.byWeight(servers)
	}
	entries := []placer.Member{f.Self}
	for _, e := range f.Others {
		if e.Domain == f.Self.Domain {
			entries = append(entries, e)
		}
	}
	slots := 0.0
	ranked := make([]weighted, len(entries))
	// rankings holds the entries at each server, as indices, in the order of their ranks.
	rankings := make([]uint16, 0, len(entries)*len(servers))
	for i := range servers {
		for j, e := range entries {
			ranked[j] = weighted{placer.Weight(servers[i].ID, e.ID), uint16(j)}
		}
		slices.SortFunc(ranked, func(x, y weighted) int { return cmp.Compare(y.weight, x.weight) })
		for rank, w := range ranked {
			rankings = append(rankings, w.entry)
			if w.entry == 0 {
				servers[i].key = rankKey(rank, servers[i].slots)
			}
		}
		slots += servers[i].slots
	}
	users, has := make([]int, len(servers)), make([]int, len(entries))
	mine := make([]bool, len(servers))
	lacking := len(entries)
	for place := range places(servers, len(entries)) {
		entry := rankings[place.server*len(entries)+place.rank]
		part := math.Ceil(float64(number*len(entries)) * servers[place.server].slots / slots)
		if has[entry] >= number || float64(users[place.server]) >= part {
			continue
		}
		has[entry]++
		users[place.server]++
		mine[place.server] = mine[place.server] || entry == 0
		if has[entry] == number {
			lacking--
		}
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
	sortByKey(others)
	return assigned, others
}

// rankKey returns the rank of an entry at a server, for each slot.
func rankKey(rank int, slots float64) float64 { return (float64(rank) + 0.5) / slots }

// place is a rank at a server, which is given as an index.
type place struct{ server, rank int }

// places iterates over all ranks at all servers, by rankKey and then by the id of the server.
// Servers have few different numbers of slots, so this needs no sorting of all places, which
// would take tens of milliseconds with a hundred entries and several hundred servers.
func places(servers []competed, ranks int) iter.Seq[place] {
	byID := make([]int, len(servers))
	rankAt := map[float64]map[float32]int{}
	var keys []float32
	for i, s := range servers {
		byID[i] = i
		if rankAt[s.slots] != nil {
			continue
		}
		rankAt[s.slots] = map[float32]int{}
		for rank := range ranks {
			key := float32(rankKey(rank, s.slots))
			rankAt[s.slots][key] = rank
			keys = append(keys, key)
		}
	}
	slices.SortFunc(byID, func(x, y int) int { return cmp.Compare(servers[x].ID, servers[y].ID) })
	slices.Sort(keys)
	keys = slices.Compact(keys)
	return func(yield func(place) bool) {
		for _, key := range keys {
			for _, i := range byID {
				if rank, ok := rankAt[servers[i].slots][key]; ok && !yield(place{i, rank}) {
					return
				}
			}
		}
	}
}

// byWeight sorts servers for which the entries do not compete.
func (f Fleet) byWeight(servers []competed) []competed {
	for i, s := range servers {
		servers[i].key = -float64(placer.Weight(s.ID, f.Self.ID)) * s.slots
	}
	sortByKey(servers)
	return servers
}

// weighted is an entry, as an index, with its rendezvous weight for a server.
type weighted struct {
	weight uint64
	entry  uint16
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
