package subsetter_test

import (
	"testing"

	"samphiremux/entry/subsetter"
)

// BenchmarkOrder shows what a change of the servers costs an entry of a large fleet: with 30 ms
// an entry of 0.16 cores was busy with it while the servers of a failure domain returned.
func BenchmarkOrder(b *testing.B) {
	f := fleet{EntryDomains: "abc", ServerDomains: "abc"}
	entries := f.entries(300)
	large := subsetter.Fleet{Self: entries[0], Others: entries[1:], Servers: f.servers(1800)}
	for b.Loop() {
		large.Order()
	}
}
