package subsetter_test

import (
	"testing"

	"samphiremux/entry/subsetter"
)

// BenchmarkOrder shows what a change of the servers or of the entries costs an entry of a large
// fleet: with 30 ms an entry of 0.16 cores was busy with it while the servers of a failure domain
// returned.
func BenchmarkOrder(b *testing.B) {
	f := fleet{EntryDomains: "abc", ServerDomains: "abc"}
	entries, servers := f.entries(300), f.servers(1800)
	for _, c := range []struct {
		name             string
		entries, servers int
	}{{"servers leave and return", 0, 30}, {"entries leave and return", 3, 0}} {
		b.Run(c.name, func(b *testing.B) {
			var known subsetter.Ranks
			for i := 0; b.Loop(); i++ {
				// The first servers or entries, of all domains, leave and return.
				large := subsetter.Fleet{Self: entries[0], Others: entries[1+i%2*c.entries:], Servers: servers[i%2*c.servers:]}
				large.Order(&known)
			}
		})
	}
}
