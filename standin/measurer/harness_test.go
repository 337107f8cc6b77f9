package measurer_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"samphiremux/entry/chooser"
	"samphiremux/pkg/parser"
	"samphiremux/standin/fuzzer"
	"samphiremux/standin/generator"
	"samphiremux/standin/loadtester"
	"samphiremux/standin/netemulator"
	"samphiremux/standin/responder"
	"samphiremux/standin/simulator"
)

var (
	tables    = flag.Bool("tables", false, "run the long measurements")
	seeds     = flag.Int("seeds", 5, "number of seeds of the long measurements")
	runLength = flag.Duration("length", 10*time.Second, "measured time of each run")
)

const (
	// settleTime is the time between the start of the entries and the first load.
	settleTime  = 5 * time.Second
	callerCount = 30
	entryCount  = 16
)

// lognormal is work with a mean of 12 ms and a 99th percentile of 60 ms.
func lognormal() generator.Distribution {
	return generator.NewLognormal(12*time.Millisecond, 60*time.Millisecond)
}

// testCluster is a deployment in virtual time. Its context ends with the test.
type testCluster struct {
	*simulator.Cluster
	net *netemulator.Network
	ctx context.Context
}

// withCluster starts a deployment in a synctest bubble, waits settleTime and runs f.
// Options that are not set get defaults.
func withCluster(t *testing.T, o simulator.Options, doc parser.Document, f func(t *testing.T, cl testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		net := netemulator.New(fuzzer.OneWayDelay(o.Deployment))
		o.Network = net
		if o.Entries == 0 {
			o.Entries = entryCount
		}
		if o.Policy == nil {
			o.Policy = chooser.ExpectedCompletion{}
		}
		if o.WarmUp == 0 {
			o.WarmUp = 3 * time.Second
		}
		if o.Seed == 0 {
			o.Seed = 1
		}
		cl, err := simulator.New(o, doc)
		if err != nil {
			t.Fatal(err)
		}
		defer time.Sleep(simulator.ShutdownGrace)
		defer cl.Close()
		if err := cl.StartEntries(); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		time.Sleep(settleTime)
		f(t, testCluster{cl, net, ctx})
	})
}

// noisyCapacity is the part of the slot time that servers with noisy neighbours keep.
// Under generator.DefaultNoisyNeighbours a server is slowed down for 17 % of the time
// by its own slowdowns and for 4 % by those of its partner, and does a fifth of its
// work in that time.
const noisyCapacity = 0.83

// capacity returns the calls per second that the slots of a service can serve.
func capacity(cl testCluster, service string, work generator.Distribution, noisy bool) float64 {
	s, _ := cl.Document().Service(service)
	calls := float64(s.Slots()) / work.Mean().Seconds()
	if noisy {
		calls *= noisyCapacity
	}
	return calls
}

// workload returns steady load on the first route of a service.
func workload(cl testCluster, service string, perSecond float64, work generator.Distribution) loadtester.Workload {
	s, _ := cl.Document().Service(service)
	return loadtester.Workload{
		Service: service, Path: s.Routes[0].PathPrefix, Work: work, Arrivals: generator.Arrivals{PerSecond: perSecond},
	}
}

// drive runs load against the cluster and returns the callers' summary. The first
// warmUp of the load is not measured.
func drive(cl testCluster, seed uint64, warmUp, length time.Duration, onSample func(loadtester.Sample), workloads ...loadtester.Workload) *loadtester.Summary {
	return loadtester.Drive(cl.ctx, cl, loadtester.Scenario{
		Workloads: workloads, Callers: callerCount, WarmUp: warmUp, Length: length, Seed: seed, OnSample: onSample,
	})
}

// samples collects calls. It is safe for concurrent use.
type samples struct {
	mu  sync.Mutex
	all []loadtester.Sample
}

func (s *samples) add(c loadtester.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, c)
}

var printMu sync.Mutex

// printRow prints one line of a results table.
func printRow(format string, args ...any) {
	printMu.Lock()
	defer printMu.Unlock()
	_, _ = fmt.Fprintf(os.Stdout, format+"\n", args...)
}

// withVersions adds a version v2 of a service with as many servers as it has, adds the
// given number of routes and sets the move.
func withVersions(d simulator.Deployment, doc parser.Document, service string, move *parser.Move, routes int) parser.Document {
	s, _ := doc.Service(service)
	s.Versions = append(s.Versions, parser.Version{Name: "v2"})
	serviceIndex := 0
	for i := range doc.Services {
		if doc.Services[i].Name == service {
			serviceIndex = i
		}
	}
	for i, srv := range s.Servers {
		srv.Name = fmt.Sprintf("%s-new-%d", service, i+1)
		srv.Address = d.ServerAddress(serviceIndex, 100+i)
		srv.Version = "v2"
		s.Servers = append(s.Servers, srv)
	}
	prefix := s.Routes[0].PathPrefix
	for i := range routes {
		r := s.Routes[0]
		r.Name = fmt.Sprintf("route-%d", i)
		r.PathPrefix = fmt.Sprintf("%s%d", prefix, i)
		s.Routes = append(s.Routes, r)
	}
	s.Move = move
	return doc.WithService(s)
}

// faultOnV2 injects the faults of f into the servers of version v2.
func faultOnV2(f func(r *http.Request, load float64) responder.Fault) func(parser.Server) func(*http.Request, float64) responder.Fault {
	return func(srv parser.Server) func(*http.Request, float64) responder.Fault {
		if srv.Version != "v2" {
			return nil
		}
		return f
	}
}
