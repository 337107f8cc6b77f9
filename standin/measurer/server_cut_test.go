package measurer_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"samphiremux/standin/caller"
	"samphiremux/standin/loadtester"
	"samphiremux/standin/netemulator"
	"samphiremux/standin/simulator"
)

const (
	// cutNotice is the time after an entry was partitioned from all servers from which its
	// callers must be served.
	cutNotice = 3 * time.Second
	// cutServedRatio is the minimum rate of served first tries at partitioned entries,
	// relative to that at the others.
	cutServedRatio = 2.0 / 3
	// cutOthersServed is the minimum rate of served first tries at the others, and at all
	// entries from cutReturn after the end of the partition.
	cutOthersServed = 0.97
	cutReturn       = time.Second
)

// entryOf returns the entry of a first try.
func entryOf(result caller.Result) netip.Addr {
	switch r := result.(type) {
	case caller.Whole:
		return r.Entry.Addr()
	case caller.Failed:
		return r.Entry.Addr()
	case caller.Refused:
		return r.Entry.Addr()
	case caller.Broken:
		return r.Entry.Addr()
	default:
		return netip.Addr{}
	}
}

// served counts first tries and those that were served.
type served struct{ all, whole int }

func (s *served) add(result caller.Result) {
	s.all++
	if _, ok := result.(caller.Whole); ok {
		s.whole++
	}
}

func (s *served) rate() float64 { return float64(s.whole) / float64(max(1, s.all)) }

// TestEntriesCutFromServers partitions one or most entries of a service from all servers at
// 60 % load. It fails when their callers are served far worse than those of the others, or
// when the others suffer, then or after the partition has ended.
func TestEntriesCutFromServers(t *testing.T) {
	const service, members = "booking", 4
	partitions := map[string]netemulator.Partition{
		"dropping": netemulator.Dropping, "resetting": netemulator.Resetting, "refusing": netemulator.Refusing,
	}
	for name, partition := range partitions {
		for _, cut := range []int{1, members - 1} {
			t.Run(fmt.Sprintf("%s/%d", name, cut), func(t *testing.T) {
				t.Parallel()
				d := simulator.Trust().WithOnlyService(service)
				doc := d.Document("production")
				s, _ := doc.Service(service)
				s.Entries = members
				withCluster(t, simulator.Options{Deployment: d, Entries: 8}, doc.WithService(s), func(t *testing.T, cl testCluster) {
					var cutHosts []netip.Addr
					set := func(p netemulator.Partition) {
						subset := cl.Entries[0].Entry.Node().Snapshot().Services[service].Subset
						for _, m := range subset[:cut] {
							for _, h := range cl.Entries {
								if h.Entry.Node().Self().ID == m.ID {
									h.SetServerPartition(cl.net, p)
									cutHosts = append(cutHosts, h.Address)
								}
							}
						}
					}
					time.AfterFunc(6*time.Second, func() { set(partition) })
					time.AfterFunc(14*time.Second, func() { set(netemulator.Connected) })
					var calls samples
					w := workload(cl, service, 0.6*capacity(cl, service, lognormal(), false), lognormal())
					w.WriteShare = 0.5
					drive(cl, 1, 2*time.Second, 18*time.Second, calls.add, w)
					var atCut, others, othersFirst, after served
					failures := loadtester.NewSummary()
					for _, c := range calls.all {
						isCut := slices.Contains(cutHosts, entryOf(c.Result))
						switch {
						case c.At >= 4*time.Second+cutNotice && c.At < 12*time.Second && isCut:
							atCut.add(c.Result)
							failures.Add(c)
						case c.At >= 4*time.Second+cutNotice && c.At < 12*time.Second:
							others.add(c.Result)
						case c.At >= 4*time.Second && c.At < 4*time.Second+cutNotice && !isCut:
							othersFirst.add(c.Result)
						case c.At >= 12*time.Second+cutReturn:
							after.add(c.Result)
						}
					}
					printRow("cut from servers %s, %d of %d entries: served at them %.3f of %d, at the others %.3f of %d (%.3f at first), after %.3f of %d: %s", name, cut,
						members, atCut.rate(), atCut.all, others.rate(), others.all, othersFirst.rate(), after.rate(), after.all, failures.Line())
					if atCut.rate() < cutServedRatio*others.rate() {
						t.Errorf("%.3f of the first tries were served at the partitioned entries, %.3f at the others", atCut.rate(), others.rate())
					}
					if others.rate() < cutOthersServed || after.rate() < cutOthersServed {
						t.Errorf("%.3f of the first tries were served at the others, %.3f at all after the partition", others.rate(), after.rate())
					}
				})
			})
		}
	}
}
