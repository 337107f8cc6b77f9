// Package measurer measures entries on real sockets: the latency that one adds,
// and how soon documents are in force.
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
	settleTime = 4 * time.Second
	callers    = 4
	// smallWork keeps backend servers from being the bottleneck.
	smallWork = 200 * time.Microsecond
)

// directSite makes callers that use backend servers without an entry.
type directSite struct {
	servers []netip.AddrPort
	service string
}

// NewCaller implements loadtester.CallerFactory.
func (s directSite) NewCaller(index int) *caller.Caller {
	return caller.NewDirect(func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", to.String())
	}, s.servers, s.service, uint64(index))
}

// startLoopback starts a deployment on real sockets and lets it settle.
func startLoopback(d simulator.Deployment, entries int, seed uint64) (w *simulator.Cluster, err error) {
	w, err = simulator.New(simulator.Options{
		Deployment: d, Network: simulator.Loopback{}, Entries: entries, Policy: chooser.ExpectedCompletion{}, Seed: seed,
	}, d.Document("trial"))
	if err != nil {
		return nil, err
	}
	if err := w.StartEntries(); err != nil {
		w.Close()
		return nil, err
	}
	time.Sleep(settleTime)
	return w, nil
}

// LatencyOverhead prints the latency of calls through one entry beside that of the same
// load without it, at the same time.
func LatencyOverhead(ctx context.Context, perSecond float64, length time.Duration, seed uint64, out io.Writer) (err error) {
	d := simulator.Trust().WithOnlyService("catalogue").WithLoopback()
	d.Slots = 8
	w, err := startLoopback(d, 1, seed)
	if err != nil {
		return err
	}
	defer w.Close()
	direct := directSite{service: "catalogue"}
	for _, srv := range w.Document().Services[0].Servers {
		direct.servers = append(direct.servers, srv.Address)
	}
	run := loadtester.Scenario{
		Callers: callers, WarmUp: time.Second, Length: length, Seed: seed,
		Workloads: []loadtester.Workload{{
			Service: "catalogue", Path: "/catalogue/", Work: generator.Bimodal{Short: smallWork, Long: smallWork},
			Arrivals: generator.Arrivals{PerSecond: perSecond},
		}},
	}
	results := make(chan *loadtester.Summary, 1)
	go func() { results <- loadtester.Drive(ctx, direct, run) }()
	through := loadtester.Drive(ctx, w, run)
	without := <-results
	for _, q := range []float64{50, 90, 99} {
		a, b := through.Quantile(q), without.Quantile(q)
		_, _ = fmt.Fprintf(out, "p%-4v through the entry %8v  directly %8v  added %8v\n", q, a, b, a-b)
	}
	_, err = fmt.Fprintf(out, "through: %s\ndirectly: %s\n", through.Line(), without.Line())
	return err
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// inForceLimit is the target for a document to be in force on every entry.
const inForceLimit = 3 * time.Second

// ConfigPropagation applies documents and prints how soon each is in force on every entry.
func ConfigPropagation(ctx context.Context, entries, applies int, outage bool, out io.Writer) (err error) {
	d := simulator.Trust().WithLoopback()
	w, err := startLoopback(d, entries, 1)
	if err != nil {
		return err
	}
	defer w.Close()
	times := make([]time.Duration, 0, applies)
	for range applies {
		took, err := applyOnce(ctx, w, outage)
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

func applyOnce(ctx context.Context, w *simulator.Cluster, outage bool) (took time.Duration, err error) {
	started := time.Now()
	if err := w.Publish(w.Document()); err != nil {
		return 0, err
	}
	if outage {
		w.Store.SetFaults(platformemulator.Faults{Down: true})
		defer func() {
			w.Store.SetFaults(platformemulator.Faults{})
			time.Sleep(2 * time.Second)
		}()
	}
	for !everywhere(w) {
		if time.Since(started) > inForceLimit || ctx.Err() != nil {
			return 0, fmt.Errorf("revision %d is not in force on every entry after %v", w.Revision(), time.Since(started))
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(started), nil
}

func everywhere(w *simulator.Cluster) bool {
	for _, h := range w.Entries {
		if h.Entry.Node().Envelope().Revision != w.Revision() {
			return false
		}
	}
	return true
}
