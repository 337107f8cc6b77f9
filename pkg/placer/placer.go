// Package placer decides which entries serve a service, which of them owns a
// backend server and which is home to an idempotency key. It uses rendezvous
// hashing, so that a member that comes or goes moves only its own share.
package placer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minEntries is the number of entries per service that keeps it served
	// when one fails.
	minEntries = 2
	// maxEntries bounds how many entries act on one backend server.
	maxEntries = 8
	// slotsPerEntry is the backend capacity that one entry serves.
	slotsPerEntry = 128
)

// Member is an entry as a candidate for work.
type Member struct {
	ID     string
	Domain string
}

// SubsetSize returns how many entries serve a service with the given slots.
// A declared number other than zero is used as it is.
func SubsetSize(slots, declared int) int {
	if declared > 0 {
		return declared
	}
	size := (slots + slotsPerEntry - 1) / slotsPerEntry
	return min(max(size, minEntries), maxEntries)
}

// Rank orders members by their rendezvous weight for a key, highest first.
func Rank(key string, members []Member) []Member {
	type weighted struct {
		member Member
		weight uint64
	}
	all := make([]weighted, len(members))
	for i, m := range members {
		all[i] = weighted{m, Weight(key, m.ID)}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member.ID, b.member.ID))
	})
	ranked := make([]Member, len(members))
	for i, w := range all {
		ranked[i] = w.member
	}
	return ranked
}

// Weight returns the rendezvous weight of a member for a key.
func Weight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// Subset returns the size members that serve a service, in rank order. It takes
// members of failure domains not yet used first, so that a lost domain leaves
// some.
func Subset(service string, members []Member, size int) []Member {
	ranked := Rank(service, members)
	size = min(size, len(ranked))
	chosen := make([]Member, 0, size)
	for len(chosen) < size {
		used := map[string]bool{}
		rest := ranked[:0:0]
		for _, m := range ranked {
			if used[m.Domain] || len(chosen) == size {
				rest = append(rest, m)
				continue
			}
			used[m.Domain] = true
			chosen = append(chosen, m)
		}
		ranked = rest
	}
	return chosen
}

// HighestRanked returns the member with the highest weight for a key.
func HighestRanked(key string, members []Member) (m Member, ok bool) {
	var best uint64
	for _, candidate := range members {
		w := Weight(key, candidate.ID)
		if !ok || w > best || (w == best && candidate.ID < m.ID) {
			best, m, ok = w, candidate, true
		}
	}
	return m, ok
}

// Position returns the rank of a member for a key, or -1 if it is absent.
func Position(key, id string, members []Member) int {
	return slices.IndexFunc(Rank(key, members), func(m Member) bool { return m.ID == id })
}
