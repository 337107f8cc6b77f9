package measurer_test

import (
	"fmt"
	"testing"
	"time"

	"samphiremux/entry/chooser"
	"samphiremux/pkg/failurefilter"
	"samphiremux/standin/generator"
	"samphiremux/standin/loadtester"
	"samphiremux/standin/simulator"
)

// loadShape is a distribution of work with optional bursts and noisy neighbours.
type loadShape struct {
	name string
	work generator.Distribution
	// burst is the factor of the arrival rate in bursts. One means none.
	burst float64
	// noisy injects the slowdowns of noisy neighbours.
	noisy bool
}

func loadShapes() []loadShape {
	return []loadShape{
		{"disturbed", lognormal(), 1, true},
		{"quiet", lognormal(), 1, false},
		{"bimodal", generator.Bimodal{Short: 5 * time.Millisecond, Long: 75 * time.Millisecond, LongShare: 0.1}, 1, true},
		{"bursts", lognormal(), 2, true},
	}
}

// measurePolicy drives load, as a fraction of capacity, at one service under one policy
// and returns the callers' summary.
func measurePolicy(t *testing.T, d simulator.Deployment, service string, p chooser.Policy, sh loadShape, load float64, seed uint64, length time.Duration) (s *loadtester.Summary) {
	t.Helper()
	d = d.WithOnlyService(service)
	withCluster(t, simulator.Options{Deployment: d, Policy: p, Seed: seed}, d.Document("production"), func(t *testing.T, cl testCluster) {
		if sh.noisy {
			loadtester.InjectSlowdowns(cl.ctx, cl.Cluster, generator.DefaultNoisyNeighbours(), seed)
		}
		wl := workload(cl, service, load*capacity(cl, service, sh.work, sh.noisy), sh.work)
		wl.Arrivals.Burst, wl.Arrivals.BurstPeriod, wl.Arrivals.BurstLength = sh.burst, 2*time.Second, 200*time.Millisecond
		s = drive(cl, seed, 2*time.Second, length, nil, wl)
	})
	return s
}

// TestPolicyTable prints the latencies under each policy, over deployments, shapes,
// loads and seeds.
func TestPolicyTable(t *testing.T) {
	if !*tables {
		t.Skip("run with -tables")
	}
	cases := []struct {
		d       simulator.Deployment
		service string
	}{{simulator.Trust(), "catalogue"}, {simulator.Association(), "stock"}}
	for _, c := range cases {
		for _, sh := range loadShapes() {
			loads := []float64{0.5, 0.7, 0.85}
			if sh.name != "disturbed" && sh.name != "quiet" {
				loads = []float64{0.7}
			}
			for _, load := range loads {
				for _, p := range chooser.Policies() {
					for seed := 1; seed <= *seeds+1; seed++ {
						name := fmt.Sprintf("%s/%s/%v/%s/%d", c.service, sh.name, load, p, seed)
						t.Run(name, func(t *testing.T) {
							t.Parallel()
							s := measurePolicy(t, c.d, c.service, p, sh, load, uint64(seed), *runLength)
							printRow("policy %s %s %.2f %s seed=%d calls=%d whole=%d p50=%.1f p99=%.1f p99.9=%.1f", c.service, sh.name, load, p, seed,
								s.Total(), s.Counts["whole"], ms(s.Quantile(50)), ms(s.Quantile(99)), ms(s.Quantile(99.9)))
						})
					}
				}
			}
		}
	}
}

// ms returns a duration in milliseconds.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// TestTailAgainstBaselines fails when the p99 latency of the entry's own policy exceeds
// half of that of least in flight or a third of that of round robin, with noisy
// neighbours at 70 % load. It is one short run; TestPolicyTable covers seeds, loads and
// deployments.
func TestTailAgainstBaselines(t *testing.T) {
	t.Parallel()
	d := simulator.Trust()
	p99 := map[string]time.Duration{}
	for _, p := range []chooser.Policy{chooser.ExpectedCompletion{}, chooser.LeastInFlight{}, chooser.RoundRobin{}} {
		p99[p.String()] = measurePolicy(t, d, "catalogue", p, loadShapes()[0], 0.7, 2, 5*time.Second).Quantile(99)
	}
	own := p99["expected-completion"]
	if own > p99["least-in-flight"]/2 || own > p99["round-robin"]/3 {
		failurefilter.Errorf(t, "p99 is %v under expected completion, %v under least in flight and %v under round robin", own, p99["least-in-flight"], p99["round-robin"])
	}
}
