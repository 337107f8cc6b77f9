// Package subsetter chooses the backend servers of a service that one entry uses first. It
// handles services with many servers for the requests of each entry: if an entry spread its
// requests over all of them, most connections would expire between two requests, and each
// new connection costs a server work. It has no clock and no state of its own.
//
// Each server ranks the entries by rendezvous hashing, and an entry takes the servers that
// rank it first. Every server is then used by nearly the same number of entries, and an entry
// or a server that comes or goes changes a few subsets by one server each.
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
	// minSize bounds the risk that no server of the subset is good enough. A server is slow
	// or full at up to 0.58 of the moments; then all of 8 are at 0.013 of them, and all of
	// maxEvenSize at 0.0015.
	minSize     = 8
	maxEvenSize = 12
	// evenUsers is the mean number of entries that use a server from which the numbers are
	// even enough: with 9 the busiest server has at most 1.5 times the mean.
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

// Size returns the size of the subset of an entry that sends a service a rate of requests,
// per second. Servers and entries are their numbers, and previous is the size so far, or 0.
func Size(previous int, rate float64, servers, entries int) (size int) {
	serversPerEntry := float64(servers) / float64(max(1, entries))
	size = max(minSize, min(maxEvenSize, int(sizePerRate*rate), int(math.Ceil(evenUsers*serversPerEntry))))
	size = max(size, int(math.Ceil(rate/maxServerRate)), int(math.Ceil(leastUsers*serversPerEntry)))
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

// Choose returns the servers of the subset of the entry, up to a size. It takes those of the
// entry's own failure domain, unless this has fewer servers for its entries than the whole
// service: then a part of the subset is in the domains that have more.
func (f Fleet) Choose(size int) (chosen []Server) {
	if size >= len(f.Servers) {
		return slices.Clone(f.Servers)
	}
	d := f.domains()
	var own, spare, rest []preference
	for _, s := range f.Servers {
		switch {
		case s.Domain == f.Self.Domain:
			own = append(own, f.preference(s, f.isPeer))
		case d[s.Domain].entries == 0:
			own = append(own, f.preference(s, func(placer.Member) bool { return true }))
		case d.supply(s.Domain) > 1:
			spare = append(spare, f.preference(s, f.isPeer))
		default:
			rest = append(rest, preference{Server: s, weight: placer.Weight(s.ID, f.Self.ID)})
		}
	}
	local := min(len(own), int(math.Ceil(float64(size)*min(1, d.supply(f.Self.Domain)))))
	for _, section := range [][]preference{first(own, local), spare, rest, own[local:]} {
		for _, p := range first(section, size-len(chosen)) {
			chosen = append(chosen, p.Server)
		}
	}
	return chosen
}

// isPeer reports whether an entry is in the same failure domain.
func (f Fleet) isPeer(entry placer.Member) bool { return entry.Domain == f.Self.Domain }

// preference is a server and how far it prefers other entries.
type preference struct {
	Server
	// rank is the number of entries that the server prefers to this one, for each slot.
	rank   float64
	weight uint64
}

// preference returns the rank of this entry among those entries that compete with it for a
// server.
func (f Fleet) preference(s Server, competes func(placer.Member) bool) preference {
	weight := placer.Weight(s.ID, f.Self.ID)
	rank := 0.5
	for _, e := range f.Others {
		if !competes(e) {
			continue
		}
		if w := placer.Weight(s.ID, e.ID); w > weight || (w == weight && e.ID < f.Self.ID) {
			rank++
		}
	}
	return preference{Server: s, rank: rank / float64(max(1, s.Slots)), weight: weight}
}

// first sorts servers by preference and returns the first n, or all if there are fewer.
func first(all []preference, n int) []preference {
	slices.SortFunc(all, func(x, y preference) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(y.weight, x.weight), cmp.Compare(x.ID, y.ID))
	})
	return all[:min(n, len(all))]
}

// domain is the numbers of entries and of slots of a failure domain.
type domain struct{ entries, slots int }

// domains holds the failure domains by name.
type domains map[string]domain

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
	entries, slots, shared := 0, 0, 0
	for _, of := range d {
		entries += of.entries
		slots += of.slots
		if of.entries == 0 {
			shared += of.slots
		}
	}
	share := float64(d[name].entries) / float64(entries)
	return (float64(d[name].slots) + share*float64(shared)) / (share * float64(slots))
}
