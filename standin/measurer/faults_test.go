package measurer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"samphiremux/pkg/failurefilter"
	"samphiremux/pkg/parser"
	"samphiremux/standin/caller"
	"samphiremux/standin/generator"
	"samphiremux/standin/loadtester"
	"samphiremux/standin/platformemulator"
	"samphiremux/standin/simulator"
)

// Targets from the brief and from issues.
const (
	// outLimit bounds the time until a failure domain that was taken out gets no
	// new work.
	outLimit = 3 * time.Second
	// refusalLimit bounds the p99 latency of refusals, without network time.
	refusalLimit = 5 * time.Millisecond
	// goodputTarget is the minimum goodput under overload, as a fraction of capacity.
	goodputTarget = 0.9
	// probeTarget is the maximum fraction of a server's slot time that probes may use.
	probeTarget = 0.01
	// probeSlotTime is the slot time that one probe uses.
	probeSlotTime = 7 * time.Millisecond
	// domainP99Ratio bounds the p99 latency during and after the removal of a
	// failure domain, relative to the p99 before.
	domainP99Ratio = 1.5
)

// deployments lists the deployments under test, each with the service under load.
func deployments() []struct {
	d       simulator.Deployment
	service string
} {
	return []struct {
		d       simulator.Deployment
		service string
	}{{simulator.Trust(), "catalogue"}, {simulator.Association(), "stock"}}
}

// p99Between returns the p99 latency of whole answers to calls that began in a period,
// and the number of calls in it without a whole answer.
func p99Between(calls *samples, from, to time.Duration) (p99 time.Duration, notWhole int) {
	s := loadtester.NewSummary()
	for _, c := range calls.all {
		if c.At >= from && c.At < to {
			s.Add(c)
		}
	}
	return s.Quantile(99), s.Total() - s.Counts["whole"]
}

// TestDomainOutAndBack takes a failure domain out of service and back in at 60 % load.
// It fails when the domain gets new work later than outLimit after its removal, or when
// the p99 latency rises too far during or after the removal.
func TestDomainOutAndBack(t *testing.T) {
	for _, c := range deployments() {
		t.Run(c.service, func(t *testing.T) {
			t.Parallel()
			d := c.d.WithOnlyService(c.service)
			withCluster(t, simulator.Options{Deployment: d}, d.Document("production"), func(t *testing.T, cl testCluster) {
				domain := d.Domains[0]
				set := func(out bool) {
					_ = cl.Update(func(doc parser.Document) (parser.Document, bool) { return doc.WithDomainOut(domain, out), true })
				}
				var outAt, lastWork time.Time
				time.AfterFunc(8*time.Second, func() {
					set(true)
					outAt = time.Now()
				})
				time.AfterFunc(16*time.Second, func() {
					for _, b := range cl.Servers {
						if at := b.Stats().LastStart; b.Declared.Domain == domain && at.After(lastWork) {
							lastWork = at
						}
					}
					set(false)
				})
				var calls samples
				drive(cl, 1, 2*time.Second, 24*time.Second, calls.add, workload(cl, c.service, 0.6*capacity(cl, c.service, lognormal(), false), lognormal()))
				before, _ := p99Between(&calls, 0, 6*time.Second)
				during, notWholeDuring := p99Between(&calls, 6*time.Second, 14*time.Second)
				after, notWholeAfter := p99Between(&calls, 14*time.Second, 24*time.Second)
				lastWorkAfter := lastWork.Sub(outAt)
				printRow("domain %s no-new-work-after=%v p99 before=%.1f during=%.1f after=%.1f not-answered during=%d after=%d of %d", c.service,
					lastWorkAfter.Round(time.Millisecond), ms(before), ms(during), ms(after), notWholeDuring, notWholeAfter, len(calls.all))
				if lastWorkAfter > outLimit {
					t.Errorf("the failure domain got work %v after it was taken out", lastWorkAfter)
				}
				if limit := time.Duration(domainP99Ratio * float64(before)); during > limit || after > limit {
					failurefilter.Errorf(t, "p99 was %v before the failure domain was taken out, %v during and %v after", before, during, after)
				}
			})
		})
	}
}

// TestOverload offers twice the capacity of a service. It fails when goodput collapses
// under the overload, or when refusals are late.
func TestOverload(t *testing.T) {
	for _, c := range deployments() {
		t.Run(c.service, func(t *testing.T) {
			t.Parallel()
			d := c.d.WithOnlyService(c.service)
			withCluster(t, simulator.Options{Deployment: d}, d.Document("production"), func(t *testing.T, cl testCluster) {
				maxRate := capacity(cl, c.service, lognormal(), false)
				s := drive(cl, 1, 2*time.Second, 6*time.Second, nil, workload(cl, c.service, 2*maxRate, lognormal()))
				goodput := float64(s.Counts["whole"]) / 6 / maxRate
				roundTrip := 2 * d.CallerDelay
				refusalP99 := time.Duration(s.RefusedLatency.ValueAtQuantile(99))*time.Microsecond - roundTrip
				printRow("overload %s goodput=%.3f of capacity, p99 of whole=%.1f, p99 of refusals beyond the network=%.2f: %s", c.service,
					goodput, ms(s.Quantile(99)), ms(refusalP99), s.Line())
				if goodput < goodputTarget {
					t.Errorf("goodput is %.3f of capacity", goodput)
				}
				if refusalP99 > refusalLimit {
					t.Errorf("p99 of refusals is %v beyond the network", refusalP99)
				}
			})
		})
	}
}

// TestSilentConnections makes half of the open connections to servers lose all data,
// without a reset. It fails when a write runs twice, which a retry on another
// connection could cause.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	d := simulator.Trust().WithOnlyService("booking")
	withCluster(t, simulator.Options{Deployment: d}, d.Document("production"), func(t *testing.T, cl testCluster) {
		const silencedAt = 4 * time.Second
		time.AfterFunc(2*time.Second+silencedAt, func() {
			cl.net.Blackhole(func(local, remote netip.AddrPort) bool {
				return (remote.Port() == simulator.ServerPort && local.Port()%2 == 0) || (local.Port() == simulator.ServerPort && remote.Port()%2 == 0)
			})
		})
		wl := workload(cl, "booking", 0.5*capacity(cl, "booking", lognormal(), false), lognormal())
		wl.WriteShare = 0.5
		var calls samples
		s := drive(cl, 1, 2*time.Second, 10*time.Second, calls.add, wl)
		var lost int
		var lastLoss time.Duration
		for _, c := range calls.all {
			if _, ok := c.Result.(caller.Whole); !ok {
				lost++
				lastLoss = max(lastLoss, c.At-silencedAt)
			}
		}
		duplicates := 0
		for id := range s.Writes {
			if cl.Executions.Runs(id) > 1 {
				duplicates++
			}
		}
		printRow("silent booking calls=%d lost=%d doubled=%d last-lost-after=%v: %s", len(calls.all), lost, duplicates, lastLoss, s.Line())
		if duplicates > 0 {
			t.Errorf("%d bookings ran more than once", duplicates)
		}
	})
}

// TestColdServers makes warm servers cold under load, without notice to the entries,
// and crashes one more. It fails when a cold server gets more work than it can serve
// and crashes from overload.
func TestColdServers(t *testing.T) {
	t.Parallel()
	d := simulator.Trust().WithOnlyService("catalogue")
	withCluster(t, simulator.Options{Deployment: d}, d.Document("production"), func(t *testing.T, cl testCluster) {
		for i := range 6 {
			time.AfterFunc(time.Duration(3+2*i)*time.Second, func() { cl.Servers[fmt.Sprintf("catalogue-%d", i+1)].TurnCold() })
		}
		time.AfterFunc(5*time.Second, func() { cl.Servers["catalogue-10"].Crash() })
		s := drive(cl, 1, 2*time.Second, 16*time.Second, nil, workload(cl, "catalogue", 0.7*capacity(cl, "catalogue", lognormal(), false), lognormal()))
		crashes, maxOverload := 0, 0
		for _, b := range cl.Servers {
			crashes += b.Stats().OverloadCrashes
			maxOverload = max(maxOverload, b.Stats().MaxOverload)
		}
		printRow("cold catalogue falls=%d most-held-beyond-what-it-bore=%d p99=%.1f: %s", crashes, maxOverload, ms(s.Quantile(99)), s.Line())
		if crashes > 0 {
			failurefilter.Errorf(t, "cold servers crashed %d times from overload", crashes)
		}
	})
}

// TestProbeCost fails when probes use more than probeTarget of a server's slot time,
// with few or with many entries.
func TestProbeCost(t *testing.T) {
	for _, entries := range []int{4, 18} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			t.Parallel()
			d := simulator.Trust()
			withCluster(t, simulator.Options{Deployment: d, Entries: entries}, d.Document("production"), func(t *testing.T, cl testCluster) {
				const length = 20 * time.Second
				drive(cl, 1, 0, length, nil, workload(cl, "catalogue", 200, lognormal()))
				maxShare := 0.0
				for _, b := range cl.Servers {
					used := float64(b.Stats().Probes) * float64(probeSlotTime)
					maxShare = max(maxShare, used/(float64(b.Declared.Slots)*float64(length+settleTime)))
				}
				printRow("probes entries=%d most-of-slot-time=%.4f", entries, maxShare)
				if maxShare > probeTarget {
					t.Errorf("probes use %.4f of a server's slot time", maxShare)
				}
			})
		})
	}
}

// TestSlowServer makes one server after another ten times slower, for 200 ms each, and
// prints the latency tail of the calls.
func TestSlowServer(t *testing.T) {
	t.Parallel()
	d := simulator.Trust().WithOnlyService("catalogue")
	withCluster(t, simulator.Options{Deployment: d}, d.Document("production"), func(t *testing.T, cl testCluster) {
		var calls samples
		for i := range 10 {
			b := cl.Servers[fmt.Sprintf("catalogue-%d", i+1)]
			time.AfterFunc(time.Duration(3+i)*time.Second, func() {
				b.SetSlowdown(10)
				time.AfterFunc(200*time.Millisecond, func() { b.SetSlowdown(1) })
			})
		}
		s := drive(cl, 1, 2*time.Second, 12*time.Second, calls.add, workload(cl, "catalogue", 0.6*capacity(cl, "catalogue", lognormal(), false), lognormal()))
		printRow("slow-server calls=%d p99=%.1f p99.9=%.1f", s.Total(), ms(s.Quantile(99)), ms(s.Quantile(99.9)))
	})
}

// TestStoreOutage keeps the store down while three entries are killed and restarted.
// It fails when an entry does not have the revision that was in force, or when fewer
// than 99 % of the calls are answered.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	d := simulator.Trust().WithOnlyService("catalogue")
	length := 40 * time.Second
	if *tables {
		length = 10 * time.Minute
	}
	withCluster(t, simulator.Options{Deployment: d, Entries: 8}, d.Document("production"), func(t *testing.T, cl testCluster) {
		revision := cl.Revision()
		cl.Store.SetFaults(platformemulator.Faults{Down: true})
		for i := range 3 {
			time.AfterFunc(length*time.Duration(i+1)/5, func() {
				h := cl.Entries[i]
				h.Entry.Kill()
				time.Sleep(2 * time.Second)
				_ = cl.StartEntry(i)
			})
		}
		s := drive(cl, 1, 0, length, nil, workload(cl, "catalogue", 60, generator.Bimodal{Short: 10 * time.Millisecond, Long: 10 * time.Millisecond}))
		for _, h := range cl.Entries {
			if got := h.Entry.Node().Envelope().Revision; got != revision {
				t.Errorf("%s has revision %d in force; %d was in force before the outage", h.Entry.Node().Self().ID, got, revision)
			}
		}
		printRow("store-out %v calls=%d: %s", length, s.Total(), s.Line())
		if answered := float64(s.Counts["whole"]) / float64(s.Total()); answered < 0.99 {
			t.Errorf("a share of %.4f of the calls was answered", answered)
		}
	})
}
