// Package demonstrator runs both deployments at their present size in one process, with
// callers that check every response.
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
	callers = 8
	// settleTime is the time that entries get to reach a steady state before the load.
	settleTime     = 4 * time.Second
	callsPerSecond = 150 // calls per second and service
	// writeShare is the share of calls that must not be executed twice, at services
	// that have more than one route.
	writeShare = 0.3
)

// Options configure a demonstration.
type Options struct {
	// Entries is the number of entries per deployment.
	Entries int
	// Length is the duration of the load per deployment.
	Length time.Duration
	Seed   uint64
	Log    hclog.Logger
}

// Result counts the calls of a demonstration by outcome.
type Result struct {
	Calls   int
	Whole   int
	Refused int
	Wrong   int
	// Truncated counts the calls whose connection failed before the response was
	// complete.
	Truncated int
	// Repeated counts the writes that were executed more than once.
	Repeated int
}

// OK reports whether there were calls, no response was wrong or truncated, and no write was
// executed more than once.
func (r Result) OK() bool { return r.Calls > 0 && r.Wrong == 0 && r.Truncated == 0 && r.Repeated == 0 }

// Run runs both deployments one after the other and prints the results of the calls.
func Run(ctx context.Context, o Options, out io.Writer) (total Result, err error) {
	for _, d := range []simulator.Deployment{simulator.Trust(), simulator.Association()} {
		result, err := runOne(ctx, o, d.WithoutDelays(), out)
		if err != nil {
			return total, err
		}
		total = Result{
			total.Calls + result.Calls, total.Whole + result.Whole, total.Refused + result.Refused, total.Wrong + result.Wrong,
			total.Truncated + result.Truncated, total.Repeated + result.Repeated,
		}
	}
	_, _ = fmt.Fprintf(out, "calls %d, whole answers %d, refused %d, wrong %d, cut %d, doubled %d\n",
		total.Calls, total.Whole, total.Refused, total.Wrong, total.Truncated, total.Repeated)
	return total, nil
}

func runOne(ctx context.Context, o Options, d simulator.Deployment, out io.Writer) (result Result, err error) {
	cluster, err := simulator.New(simulator.Options{
		Deployment: d, Network: simulator.Loopback{}, Entries: o.Entries, Policy: chooser.ExpectedCompletion{},
		Seed: o.Seed, WarmUp: time.Second, Log: o.Log,
	}, d.Document("trial"))
	if err != nil {
		return result, err
	}
	defer cluster.Close()
	if err := cluster.StartEntries(); err != nil {
		return result, err
	}
	select {
	case <-time.After(settleTime):
	case <-ctx.Done():
		return result, ctx.Err()
	}
	scenario := loadtester.Scenario{Callers: callers, Length: o.Length, Seed: o.Seed}
	for _, s := range d.Services {
		workload := loadtester.Workload{
			Service: s.Name, Path: s.Routes[0].PathPrefix, Keyed: true, Arrivals: generator.Arrivals{PerSecond: callsPerSecond},
			Work: generator.NewLognormal(12*time.Millisecond, 60*time.Millisecond),
		}
		if len(s.Routes) > 1 {
			workload.WriteShare = writeShare
		}
		scenario.Workloads = append(scenario.Workloads, workload)
	}
	summary := loadtester.Drive(ctx, cluster, scenario)
	result = Check(cluster, summary)
	_, err = fmt.Fprintf(out, "%s: %d backend servers, %d entries: %s; p50 %v, p99 %v\n",
		d.Name, len(cluster.Servers), o.Entries, summary.Line(), summary.Quantile(50), summary.Quantile(99))
	return result, err
}

// Check compares the results of the calls with the executions at the backend servers.
func Check(cluster *simulator.Cluster, summary *loadtester.Summary) (result Result) {
	result.Calls = summary.Total()
	result.Whole = summary.Counts[loadtester.ResultName(caller.Whole{})]
	result.Refused = summary.Counts[loadtester.ResultName(caller.Refused{})]
	result.Wrong = summary.Counts[loadtester.ResultName(caller.Wrong{})]
	result.Truncated = summary.Counts[loadtester.ResultName(caller.Broken{})]
	for id := range summary.Writes {
		if cluster.Executions.Runs(id) > 1 {
			result.Repeated++
		}
	}
	return result
}
