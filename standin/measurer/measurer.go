// Package measurer benchmarks entries: the latency that one adds to calls and the
// time until documents are in force, both on real sockets, and the cost of the
// control plane. Its tests measure whole deployments in virtual time.
package measurer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"samphiremux/entry/chooser"
	"samphiremux/standin/caller"
	"samphiremux/standin/generator"
	"samphiremux/standin/loadtester"
	"samphiremux/standin/platformemulator"
	"samphiremux/standin/simulator"
)

const (
	// settleTime is the time between the start of the entries and the first load.
	settleTime = 4 * time.Second
	// callers is the number of callers of each load.
	callers = 4
	// smallWork is the work of each call. It is short, so that backend servers are
	// not the bottleneck.
	smallWork = 200 * time.Microsecond
)

// directFactory makes callers that call backend servers without an entry.
type directFactory struct {
	servers []netip.AddrPort
	service string
}

// NewCaller implements loadtester.CallerFactory.
func (f directFactory) NewCaller(index int) *caller.Caller {
	return caller.NewDirect(func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", to.String())
	}, f.servers, f.service, uint64(index))
}

// startLoopback starts a deployment on loopback sockets and waits settleTime.
func startLoopback(d simulator.Deployment, entries int, seed uint64) (cluster *simulator.Cluster, err error) {
	cluster, err = simulator.New(simulator.Options{
		Deployment: d, Network: simulator.Loopback{}, Entries: entries, Policy: chooser.ExpectedCompletion{}, Seed: seed,
	}, d.Document("trial"))
	if err != nil {
		return nil, err
	}
	if err := cluster.StartEntries(); err != nil {
		cluster.Close()
		return nil, err
	}
	time.Sleep(settleTime)
	return cluster, nil
}

// LatencyOverhead drives the same load through one entry and directly to the backend
// servers, at the same time, and prints both latencies and their difference.
func LatencyOverhead(ctx context.Context, perSecond float64, length time.Duration, seed uint64, out io.Writer) (err error) {
	d := simulator.Trust().WithOnlyService("catalogue").WithoutDelays()
	d.Slots = 8
	cluster, err := startLoopback(d, 1, seed)
	if err != nil {
		return err
	}
	defer cluster.Close()
	factory := directFactory{service: "catalogue"}
	for _, srv := range cluster.Document().Services[0].Servers {
		factory.servers = append(factory.servers, srv.Address)
	}
	scenario := loadtester.Scenario{
		Callers: callers, WarmUp: time.Second, Length: length, Seed: seed,
		Workloads: []loadtester.Workload{{
			Service: "catalogue", Path: "/catalogue/", Work: generator.Bimodal{Short: smallWork, Long: smallWork},
			Arrivals: generator.Arrivals{PerSecond: perSecond},
		}},
	}
	results := make(chan *loadtester.Summary, 1)
	go func() { results <- loadtester.Drive(ctx, factory, scenario) }()
	viaEntry := loadtester.Drive(ctx, cluster, scenario)
	withoutEntry := <-results
	for _, q := range []float64{50, 90, 99} {
		a, b := viaEntry.Quantile(q), withoutEntry.Quantile(q)
		_, _ = fmt.Fprintf(out, "p%-4v through the entry %8v  directly %8v  added %8v\n", q, a, b, a-b)
	}
	_, err = fmt.Fprintf(out, "through: %s\ndirectly: %s\n", viaEntry.Line(), withoutEntry.Line())
	return err
}

// processorTime returns the processor time that this process has used so far, or zero
// if the system does not report it.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// convergenceLimit bounds the time until a document has reached every entry.
const convergenceLimit = 3 * time.Second

// ConfigPropagation publishes documents and prints quantiles of the time until each
// has reached every entry. With outage, the store goes down right after each
// publication.
func ConfigPropagation(ctx context.Context, entries, applies int, outage bool, out io.Writer) (err error) {
	d := simulator.Trust().WithoutDelays()
	cluster, err := startLoopback(d, entries, 1)
	if err != nil {
		return err
	}
	defer cluster.Close()
	times := make([]time.Duration, 0, applies)
	for range applies {
		took, err := applyOnce(ctx, cluster, outage)
		if err != nil {
			return err
		}
		times = append(times, took)
	}
	slices.Sort(times)
	_, err = fmt.Fprintf(out, "%d applies on %d entries, outage %v: p50 %v, maximum %v; processor time of the whole process %v\n",
		applies, entries, outage, times[len(times)/2].Round(time.Microsecond), times[len(times)-1].Round(time.Microsecond),
		processorTime().Round(time.Millisecond))
	return err
}

// applyOnce publishes the document again and returns the time until the new revision
// has reached every entry. With outage, the store is down until then and recovers
// before the return.
func applyOnce(ctx context.Context, cluster *simulator.Cluster, outage bool) (took time.Duration, err error) {
	started := time.Now()
	if err := cluster.Publish(cluster.Document()); err != nil {
		return 0, err
	}
	if outage {
		cluster.Store.SetFaults(platformemulator.Faults{Down: true})
		defer func() {
			cluster.Store.SetFaults(platformemulator.Faults{})
			time.Sleep(2 * time.Second)
		}()
	}
	for !converged(cluster) {
		if time.Since(started) > convergenceLimit || ctx.Err() != nil {
			return 0, fmt.Errorf("revision %d is not in force on every entry after %v", cluster.Revision(), time.Since(started))
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(started), nil
}

// converged reports whether every entry has the current revision in force.
func converged(cluster *simulator.Cluster) bool {
	for _, h := range cluster.Entries {
		if h.Entry.Node().Envelope().Revision != cluster.Revision() {
			return false
		}
	}
	return true
}
