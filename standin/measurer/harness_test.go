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
	tables  = flag.Bool("tables", false, "run the long measurements")
	seeds   = flag.Int("seeds", 5, "seeds of the long measurements")
	lengthF = flag.Duration("length", 10*time.Second, "measured time of each run")
)

const (
	settleTime   = 5 * time.Second
	callersCount = 30
	entriesCount = 16
)

func lognormal() generator.Distribution {
	return generator.NewLognormal(12*time.Millisecond, 60*time.Millisecond)
}

// world is a deployment in virtual time.
type world struct {
	*simulator.Cluster
	net *netemulator.Network
	ctx context.Context
}

// withWorld runs f with a settled deployment in a bubble.
func withWorld(t *testing.T, o simulator.Options, doc parser.Document, f func(t *testing.T, w world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		net := netemulator.New(fuzzer.OneWayDelay(o.Deployment))
		o.Network = net
		if o.Entries == 0 {
			o.Entries = entriesCount
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
		w, err := simulator.New(o, doc)
		if err != nil {
			t.Fatal(err)
		}
		defer time.Sleep(simulator.ShutdownGrace)
		defer w.Close()
		if err := w.StartEntries(); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		time.Sleep(settleTime)
		f(t, world{w, net, ctx})
	})
}

// disturbedPart is the part of the slot time that disturbed servers keep: the
// slowdowns of generator.DefaultNoisyNeighbours take a server's own 17 % and its partner's 4 % of
// the time, in which it does a fifth of its work.
const disturbedPart = 0.83

// capacity returns the calls per second that a service bears.
func capacity(w world, service string, work generator.Distribution, disturbed bool) float64 {
	s, _ := w.Document().Service(service)
	calls := float64(s.Slots()) / work.Mean().Seconds()
	if disturbed {
		calls *= disturbedPart
	}
	return calls
}

// plan is load on one service of a world.
func plan(w world, service string, perSecond float64, work generator.Distribution) loadtester.Workload {
	s, _ := w.Document().Service(service)
	return loadtester.Workload{
		Service: service, Path: s.Routes[0].PathPrefix, Work: work, Arrivals: generator.Arrivals{PerSecond: perSecond},
	}
}

func drive(w world, seed uint64, warm, length time.Duration, each func(loadtester.Sample), plans ...loadtester.Workload) *loadtester.Summary {
	return loadtester.Drive(w.ctx, w, loadtester.Scenario{
		Workloads: plans, Callers: callersCount, WarmUp: warm, Length: length, Seed: seed, OnSample: each,
	})
}

// samples collects calls.
type samples struct {
	mu  sync.Mutex
	all []loadtester.Sample
}

func (s *samples) add(x loadtester.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, x)
}

var printMu sync.Mutex

// row prints one line of a table.
func row(format string, args ...any) {
	printMu.Lock()
	defer printMu.Unlock()
	_, _ = fmt.Fprintf(os.Stdout, format+"\n", args...)
}

// withVersions adds a second version of a service with as many servers.
func withVersions(d simulator.Deployment, doc parser.Document, service string, move *parser.Move, routes int) parser.Document {
	s, _ := doc.Service(service)
	s.Versions = append(s.Versions, parser.Version{Name: "v2"})
	si := 0
	for i := range doc.Services {
		if doc.Services[i].Name == service {
			si = i
		}
	}
	for i, srv := range s.Servers {
		srv.Name = fmt.Sprintf("%s-new-%d", service, i+1)
		srv.Address = d.ServerAddress(si, 100+i)
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

// fault makes the servers of version v2 misbehave.
func fault(f func(r *http.Request, load float64) responder.Fault) func(parser.Server) func(*http.Request, float64) responder.Fault {
	return func(srv parser.Server) func(*http.Request, float64) responder.Fault {
		if srv.Version != "v2" {
			return nil
		}
		return f
	}
}
