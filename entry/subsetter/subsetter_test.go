package subsetter_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/matryer/is"

	"samphiremux/entry/subsetter"
	"samphiremux/pkg/placer"
)

// fleet is the entries and servers of a service, spread over failure domains.
type fleet struct {
	Name             string
	Entries, Servers int
	// EntryDomains and ServerDomains give the failure domains in turn.
	EntryDomains  string `yaml:"entry-domains"`
	ServerDomains string `yaml:"server-domains"`
	// Rate is the rate of requests of each entry, per second.
	Rate float64
	Size int
	// MaxToMean bounds the load of the busiest server by its slots, relative to the mean.
	MaxToMean float64 `yaml:"max-to-mean"`
	// Changed bounds the share of subsets that change when a server or an entry joins.
	Changed float64
	// Kept is the least share of its subset that an entry has in its own domain.
	Kept float64
}

func fleets(t *testing.T) (all []fleet) {
	data, err := os.ReadFile("_fixtures/fleets.yaml")
	if err == nil {
		err = yaml.UnmarshalWithOptions(data, &all, yaml.Strict())
	}
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func (f fleet) entries(n int) (all []placer.Member) {
	for i := range n {
		all = append(all, placer.Member{ID: fmt.Sprintf("e%d", i), Domain: f.EntryDomains[i%len(f.EntryDomains):][:1]})
	}
	return all
}

func (f fleet) servers(n int) (all []subsetter.Server) {
	for i := range n {
		all = append(all, subsetter.Server{ID: fmt.Sprintf("stock-%d", i), Domain: f.ServerDomains[i%len(f.ServerDomains):][:1], Slots: 2 + 2*(i/7%2)})
	}
	return all
}

// subsets returns the ids of the subset of each entry.
func subsets(entries []placer.Member, servers []subsetter.Server, size int) map[string][]string {
	all := map[string][]string{}
	for i, e := range entries {
		others := slices.Delete(slices.Clone(entries), i, i+1)
		all[e.ID] = (subsetter.Fleet{Self: e, Others: others, Servers: servers}).Order(&subsetter.Ranks{})[:size]
		slices.Sort(all[e.ID])
	}
	return all
}

// changed returns the share of subsets that differ.
func changed(before, after map[string][]string) float64 {
	n := 0
	for id, subset := range before {
		if !slices.Equal(subset, after[id]) {
			n++
		}
	}
	return float64(n) / float64(len(before))
}

// TestEvenAndStable guards against servers that many more entries use than others or that
// none uses, against subsets that grow with the fleet or leave the own failure domain for no
// reason, against changes of most subsets when one server or entry joins, and against ranks that
// are kept after the entries have changed.
func TestEvenAndStable(t *testing.T) {
	for _, f := range fleets(t) {
		t.Run(f.Name, func(t *testing.T) {
			is := is.New(t)
			entries, servers := f.entries(f.Entries), f.servers(f.Servers)
			size := subsetter.Size(0, f.Rate, f.Servers, f.Entries)
			is.Equal(size, f.Size)
			chosen := subsets(entries, servers, size)
			load, busiest, slots := map[string]float64{}, 0.0, 0
			kept := 1.0
			for _, e := range entries {
				own := 0
				for _, id := range chosen[e.ID] {
					load[id] += 1 / float64(len(chosen[e.ID]))
					if i := slices.IndexFunc(servers, func(s subsetter.Server) bool { return s.ID == id }); servers[i].Domain == e.Domain {
						own++
					}
				}
				is.Equal(len(chosen[e.ID]), size)
				kept = min(kept, float64(own)/float64(size))
			}
			for _, s := range servers {
				is.True(load[s.ID] > 0) // each server is in a subset
				slots += s.Slots
				busiest = max(busiest, load[s.ID]/float64(s.Slots))
			}
			ratio := busiest / (float64(f.Entries) / float64(slots))
			server := changed(chosen, subsets(entries, f.servers(f.Servers+1), size))
			entry := changed(chosen, subsets(f.entries(f.Entries+1), servers, size))
			t.Logf("busiest to mean %.2f, changed by a server %.2f, by an entry %.2f, own domain %.2f", ratio, server, entry, kept)
			is.True(ratio <= f.MaxToMean)
			is.True(server <= f.Changed)
			is.True(entry <= f.Changed)
			is.True(kept >= f.Kept)
			var known subsetter.Ranks
			for _, changed := range []subsetter.Fleet{
				{Self: entries[0], Others: entries[1:], Servers: servers},
				{Self: entries[0], Others: entries[1:], Servers: f.servers(f.Servers + 1)},
				{Self: entries[0], Others: f.entries(f.Entries + 1)[1:], Servers: servers},
				{Self: entries[0], Others: entries[3:], Servers: servers[len(servers)/2:]},
			} {
				is.Equal(changed.Order(&known), changed.Order(&subsetter.Ranks{})) // with what is known from before
			}
		})
	}
}

// TestDomainLost guards against entries that have no servers, or all the same ones, when the
// servers of their failure domain are excluded.
func TestDomainLost(t *testing.T) {
	is := is.New(t)
	f := fleet{EntryDomains: "abc", ServerDomains: "abc"}
	servers := slices.DeleteFunc(f.servers(109), func(s subsetter.Server) bool { return s.Domain == "a" })
	users := map[string]int{}
	for _, subset := range subsets(f.entries(101), servers, 10) {
		is.Equal(len(subset), 10)
		for _, id := range subset {
			users[id]++
		}
	}
	for _, s := range servers {
		is.True(users[s.ID] > 0)
		is.True(users[s.ID] <= 2*1010*s.Slots/(3*len(servers))) // at most twice its part; servers have 3 slots on average
	}
}

// TestSizeFollowsRate guards against subsets that are so large that connections expire between
// two requests, so small that none of the servers may be fast, or that change with each change
// of the rate, and against a rate that does not fall when requests cease.
func TestSizeFollowsRate(t *testing.T) {
	is := is.New(t)
	var r subsetter.Rate
	now := time.Now()
	for range 400 {
		now = now.Add(time.Second / 8)
		r.Observe(now)
	}
	is.True(r.PerSecond(now) > 7.5 && r.PerSecond(now) < 8.5)
	is.True(r.PerSecond(now.Add(time.Minute)) < 0.1)
	is.Equal(subsetter.Size(0, 0.1, 109, 101), 8)
	is.Equal(subsetter.Size(0, 8, 109, 101), 10)
	is.Equal(subsetter.Size(0, 8, 198, 144), 12)
	is.Equal(subsetter.Size(0, 40, 109, 101), 20)
	is.Equal(subsetter.Size(20, 37, 109, 101), 20) // a small change of the rate
	is.Equal(subsetter.Size(20, 8, 109, 101), 10)
	is.Equal(subsetter.Size(0, 1000, 109, 101), 109)
	is.Equal(subsetter.Size(0, 8, 70, 1), 70) // an entry that knows no others uses all servers
}
