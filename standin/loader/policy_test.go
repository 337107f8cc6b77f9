package loader_test

import (
	"context"
	"flag"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/chooser"
	"samphiremux/standin/generator"
	"samphiremux/standin/hoster"
	"samphiremux/standin/loader"
	"samphiremux/standin/networker"
)

var (
	smokeLoad   = flag.Float64("load", 0.7, "load as a part of capacity")
	smokePolicy = flag.String("policy", "expected-completion", "policy")
	smokeSeed   = flag.Uint64("seed", 1, "seed")
	smokeLog    = flag.Bool("log", false, "log to the terminal")
	smokeLength = flag.Duration("length", 10*time.Second, "length of the measured time")
	smokeNoise  = flag.Bool("noise", true, "disturb servers")
)

func TestSmoke(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := hoster.Trust().WithOnly("catalogue")
		policy, err := chooser.ParsePolicy(*smokePolicy)
		if err != nil {
			t.Fatal(err)
		}
		net := networker.New(func(from, to string) time.Duration {
			switch {
			case from == "callers" || to == "callers":
				return d.CallerDelay
			case from == to:
				return 50 * time.Microsecond
			}
			return d.DomainDelay
		})
		o := hoster.Options{Deployment: d, Ground: net, Entries: 16, Policy: policy, Seed: *smokeSeed, WarmUp: 3 * time.Second}
		if *smokeLog {
			o.Log = hclog.New(&hclog.LoggerOptions{Level: hclog.Debug})
		}
		w, err := hoster.New(o, d.Document("production"))
		if err != nil {
			t.Fatal(err)
		}
		defer w.Close()
		if err := w.StartEntries(); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		if *smokeNoise {
			loader.Disturb(ctx, w, generator.Noisy(), *smokeSeed)
		}
		time.Sleep(5 * time.Second)
		work := generator.NewLognormal(12*time.Millisecond, 60*time.Millisecond)
		capacity := float64(20*2) / work.Mean().Seconds()
		start := time.Now()
		_ = start
		s := loader.Drive(ctx, w, loader.Run{
			Plans:   []loader.Plan{{Service: "catalogue", Path: "/catalogue/", Work: work, Arrivals: generator.Arrivals{PerSecond: *smokeLoad * capacity}}},
			Callers: 30, Warm: 2 * time.Second, Length: *smokeLength, Seed: *smokeSeed,
		})
		fmt.Println(s.Line())
		for _, q := range []float64{50, 90, 99, 99.9} {
			fmt.Printf("p%v=%v ", q, s.Quantile(q))
		}
		runs, reqs := w.Ledger.Total()
		fmt.Printf("runs/requests=%.3f mean=%v\n", float64(runs)/math.Max(1, float64(reqs)), work.Mean())
	})
}
