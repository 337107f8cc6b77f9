package measurer_test

import (
	"fmt"
	"testing"
	"time"

	"samphiremux/entry/chooser"
	"samphiremux/standin/failurefilter"
	"samphiremux/standin/generator"
	"samphiremux/standin/loadtester"
	"samphiremux/standin/simulator"
)

// shape is a shape of load.
type shape struct {
	name  string
	work  generator.Distribution
	burst float64
	noisy bool
}

func shapes() []shape {
	return []shape{
		{"disturbed", lognormal(), 1, true},
		{"quiet", lognormal(), 1, false},
		{"bimodal", generator.Bimodal{Short: 5 * time.Millisecond, Long: 75 * time.Millisecond, LongShare: 0.1}, 1, true},
		{"bursts", lognormal(), 2, true},
	}
}

// measurePolicy returns what callers saw under one policy.
func measurePolicy(t *testing.T, d simulator.Deployment, service string, p chooser.Policy, sh shape, load float64, seed uint64, length time.Duration) (s *loadtester.Summary) {
	t.Helper()
	d = d.WithOnlyService(service)
	withWorld(t, simulator.Options{Deployment: d, Policy: p, Seed: seed}, d.Document("production"), func(t *testing.T, w world) {
		if sh.noisy {
			loadtester.InjectSlowdowns(w.ctx, w.Cluster, generator.DefaultNoisyNeighbours(), seed)
		}
		pl := plan(w, service, load*capacity(w, service, sh.work, sh.noisy), sh.work)
		pl.Arrivals.Burst, pl.Arrivals.BurstPeriod, pl.Arrivals.BurstLength = sh.burst, 2*time.Second, 200*time.Millisecond
		s = drive(w, seed, 2*time.Second, length, nil, pl)
	})
	return s
}

func TestPolicyTable(t *testing.T) {
	if !*tables {
		t.Skip("run with -tables")
	}
	cases := []struct {
		d       simulator.Deployment
		service string
	}{{simulator.Trust(), "catalogue"}, {simulator.Association(), "stock"}}
	for _, c := range cases {
		for _, sh := range shapes() {
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
							s := measurePolicy(t, c.d, c.service, p, sh, load, uint64(seed), *lengthF)
							row("policy %s %s %.2f %s seed=%d calls=%d whole=%d p50=%.1f p99=%.1f p99.9=%.1f", c.service, sh.name, load, p, seed,
								s.Total(), s.Counts["whole"], ms(s.Quantile(50)), ms(s.Quantile(99)), ms(s.Quantile(99.9)))
						})
					}
				}
			}
		}
	}
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// TestTailAgainstBaselines holds one short run against the targets, which the
// long table shows over seeds, loads and deployments.
func TestTailAgainstBaselines(t *testing.T) {
	t.Parallel()
	d := simulator.Trust()
	p99 := map[string]time.Duration{}
	for _, p := range []chooser.Policy{chooser.ExpectedCompletion{}, chooser.LeastInFlight{}, chooser.RoundRobin{}} {
		p99[p.String()] = measurePolicy(t, d, "catalogue", p, shapes()[0], 0.7, 2, 5*time.Second).Quantile(99)
	}
	own := p99["expected-completion"]
	if own > p99["least-in-flight"]/2 || own > p99["round-robin"]/3 {
		failurefilter.Errorf(t, "p99 is %v; least in flight has %v, round robin %v", own, p99["least-in-flight"], p99["round-robin"])
	}
}
