// Package demonstrator shows the main job: both deployments at today's size in
// one process, with callers that check every answer.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/chooser"
	"samphiremux/standin/caller"
	"samphiremux/standin/generator"
	"samphiremux/standin/loadtester"
	"samphiremux/standin/simulator"
)

const (
	callers    = 8
	settleTime = 4 * time.Second
	rate       = 150 // calls per second to each service
	writes     = 0.3
)

// Options describe a demonstration.
type Options struct {
	Entries int
	Length  time.Duration
	Seed    uint64
	Log     hclog.Logger
}

// Result is what a demonstration found.
type Result struct {
	Calls     int
	Whole     int
	Refused   int
	Wrong     int
	Truncated int
	Repeated  int
}

// OK tells whether no answer was wrong, cut or doubled.
func (v Result) OK() bool { return v.Calls > 0 && v.Wrong == 0 && v.Truncated == 0 && v.Repeated == 0 }

// Run shows both deployments one after the other and prints what callers saw.
func Run(ctx context.Context, o Options, out io.Writer) (total Result, err error) {
	for _, d := range []simulator.Deployment{simulator.Trust(), simulator.Association()} {
		v, err := runOne(ctx, o, d.WithLoopback(), out)
		if err != nil {
			return total, err
		}
		total = Result{
			total.Calls + v.Calls, total.Whole + v.Whole, total.Refused + v.Refused, total.Wrong + v.Wrong,
			total.Truncated + v.Truncated, total.Repeated + v.Repeated,
		}
	}
	_, _ = fmt.Fprintf(out, "calls %d, whole answers %d, refused %d, wrong %d, cut %d, doubled %d\n",
		total.Calls, total.Whole, total.Refused, total.Wrong, total.Truncated, total.Repeated)
	return total, nil
}

func runOne(ctx context.Context, o Options, d simulator.Deployment, out io.Writer) (v Result, err error) {
	w, err := simulator.New(simulator.Options{
		Deployment: d, Network: simulator.Loopback{}, Entries: o.Entries, Policy: chooser.ExpectedCompletion{},
		Seed: o.Seed, WarmUp: time.Second, Log: o.Log,
	}, d.Document("trial"))
	if err != nil {
		return v, err
	}
	defer w.Close()
	if err := w.StartEntries(); err != nil {
		return v, err
	}
	select {
	case <-time.After(settleTime):
	case <-ctx.Done():
		return v, ctx.Err()
	}
	run := loadtester.Scenario{Callers: callers, Length: o.Length, Seed: o.Seed}
	for _, s := range d.Services {
		p := loadtester.Workload{
			Service: s.Name, Path: s.Routes[0].PathPrefix, Keyed: true, Arrivals: generator.Arrivals{PerSecond: rate},
			Work: generator.NewLognormal(12*time.Millisecond, 60*time.Millisecond),
		}
		if len(s.Routes) > 1 {
			p.WriteShare = writes
		}
		run.Workloads = append(run.Workloads, p)
	}
	summary := loadtester.Drive(ctx, w, run)
	v = Check(w, summary)
	_, err = fmt.Fprintf(out, "%s: %d backend servers, %d entries: %s; p50 %v, p99 %v\n",
		d.Name, len(w.Servers), o.Entries, summary.Line(), summary.Quantile(50), summary.Quantile(99))
	return v, err
}

// Check holds what callers saw against what backend servers ran.
func Check(w *simulator.Cluster, s *loadtester.Summary) (v Result) {
	v.Calls = s.Total()
	v.Whole = s.Counts[loadtester.ResultName(caller.Whole{})]
	v.Refused = s.Counts[loadtester.ResultName(caller.Refused{})]
	v.Wrong = s.Counts[loadtester.ResultName(caller.Wrong{})]
	v.Truncated = s.Counts[loadtester.ResultName(caller.Broken{})]
	for id := range s.Writes {
		if w.Executions.Runs(id) > 1 {
			v.Repeated++
		}
	}
	return v
}
