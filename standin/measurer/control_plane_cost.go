package measurer

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"samphiremux/entry/chooser"
	"samphiremux/entry/collector"
	"samphiremux/entry/dispatcher"
	"samphiremux/entry/limiter"
	"samphiremux/entry/reconciler"
	"samphiremux/entry/retrier"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/encoder"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/parser"
	"samphiremux/pkg/publisher"
)

// The size to design for.
const (
	targetServers  = 2700
	targetServices = 260
	targetEntries  = 160
	targetChanges  = 3800 // a day
	targetCalls    = 790_000
	daySeconds     = 86400
	// subsetSize is the number of entries that serve an average service.
	subsetSize = 2
	// callOverhead is the size of headers and framing of one call between
	// entries.
	callOverhead = 120

	processorTarget = 0.041
	memoryTarget    = 128 << 20
	trafficTarget   = 17_000
)

// line is y = base + slope*x through measured points.
type line struct{ base, slope float64 }

// fit returns the least squares line through points.
func fit(xs, ys []float64) line {
	var sx, sy, sxx, sxy float64
	n := float64(len(xs))
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return line{base: (sy - slope*sx) / n, slope: slope}
}

func (l line) at(x float64) float64 { return max(0, l.base+l.slope*x) }

// syntheticDocument has services with the given number of servers each.
func syntheticDocument(services, serversEach int) (doc parser.Document) {
	doc.Environment = "production"
	for i := range 8 {
		doc.Domains = append(doc.Domains, parser.Domain{Name: fmt.Sprintf("domain-%d", i), Region: fmt.Sprintf("region-%d", i/4)})
	}
	for i := range services {
		s := parser.Service{
			Name: fmt.Sprintf("service-%d", i), SheddingStatuses: []int{503}, RetryBudget: 0.1, ProbeBudget: 0.01,
			Versions: []parser.Version{{Name: "v1", Share: 100}},
			Routes: []parser.Route{
				{Name: "read", Method: "GET", PathPrefix: "/", Idempotent: true, TimeLimit: time.Second, Importance: 5},
				{Name: "write", Method: "POST", PathPrefix: "/", TimeLimit: time.Second, Importance: 9},
			},
		}
		for j := range serversEach {
			s.Servers = append(s.Servers, parser.Server{
				Name: fmt.Sprintf("service-%d-%d", i, j), Version: "v1", Slots: 4, ConnectionLimit: 260,
				Domain:  doc.Domains[j%8].Name,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i / 250), byte(i % 250), byte(1 + j)}), 8000),
			})
		}
		doc.Services = append(doc.Services, s)
	}
	return doc
}

func envelope(doc parser.Document, revision int) (e publisher.Envelope, err error) {
	data, err := encoder.Encode(doc)
	if err != nil {
		return e, err
	}
	return publisher.Envelope{
		Environment: doc.Environment, Revision: publisher.Revision(revision), ChangeID: fmt.Sprint(revision),
		Digest: publisher.Digest(data), Document: string(data),
	}, nil
}

func syntheticMembers(entries int) (members []tracker.Member) {
	for i := range entries {
		members = append(members, tracker.Member{
			ID: fmt.Sprintf("entry-%03d", i), Domain: fmt.Sprintf("domain-%d", i%8),
			Address: fmt.Sprintf("10.9.%d.%d:8080", i/250, i%250), LinkAddress: fmt.Sprintf("10.9.%d.%d:8081", i/250, i%250),
		})
	}
	return members
}

// newNode returns the state of the first of many entries.
func newNode(entries int) *reconciler.Node {
	members := syntheticMembers(entries)
	n := reconciler.New(reconciler.Options{
		Self: members[0], Policy: chooser.ExpectedCompletion{}, Seed: 1, Now: time.Now, Metrics: collector.New(),
	})
	n.WithTracker(func(now time.Time, t *tracker.Tracker) bool { return t.SetRegistered(now, members) })
	return n
}

// followCost returns the time to bring a document into force and its size in the
// store.
func followCost(services, serversEach, entries int) (seconds float64, bytes int, err error) {
	doc := syntheticDocument(services, serversEach)
	first, err := envelope(doc, 1)
	if err != nil {
		return 0, 0, err
	}
	stored, err := first.Encode()
	if err != nil {
		return 0, 0, err
	}
	n := newNode(entries)
	revision := 1
	r := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			e, err := publisher.Decode(stored)
			if err != nil {
				b.Fatal(err)
			}
			e.Revision = publisher.Revision(revision)
			revision++
			if _, err := n.Accept(e); err != nil {
				b.Fatal(err)
			}
		}
	})
	return float64(r.NsPerOp()) / 1e9, len(stored), nil
}

// reportCost returns the processor time of one report of servers at the holder
// and at the owner, and its size with the answer.
func reportCost(servers int) (seconds float64, bytes int) {
	now := time.Now()
	owners := make([]*limiter.Owner, servers)
	for i := range owners {
		owners[i] = limiter.NewOwner(now, 4)
	}
	request := &linkpb.ReportRequest{EntryId: "entry-001"}
	response := &linkpb.ReportResponse{}
	for i := range servers {
		name := fmt.Sprintf("service-100-%d", i)
		request.Servers = append(request.Servers, &linkpb.ServerReport{Server: name, InFlight: 2, Demand: 3, Completed: 60, Warm: true})
		response.Grants = append(response.Grants, &linkpb.Grant{Server: name, Slots: 3, TtlMs: 1000})
	}
	holders := []string{"entry-000", "entry-001"}
	r := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			data, _ := proto.Marshal(request)
			var got linkpb.ReportRequest
			_ = proto.Unmarshal(data, &got)
			for i := range got.GetServers() {
				owners[i].HandleReport(time.Now(), limiter.Report{Holder: "entry-001", Demand: 3, Completed: 60, Warm: true}, holders)
			}
			data, _ = proto.Marshal(response)
			var answer linkpb.ReportResponse
			_ = proto.Unmarshal(data, &answer)
		}
	})
	return float64(r.NsPerOp()) / 1e9, proto.Size(request) + proto.Size(response) + callOverhead
}

// chooseCost returns the processor time to choose a server and end the attempt.
func chooseCost(servers int) (seconds float64) {
	d := dispatcher.New("entry-000", chooser.ExpectedCompletion{}, rand.New(rand.NewPCG(1, 1)), time.Now, nil)
	p := dispatcher.Plan{Versions: []dispatcher.VersionWeight{{Version: "v1", Weight: 1}}, RetryBudget: 0.1}
	for _, srv := range syntheticDocument(1, servers).Services[0].Servers {
		p.Placements = append(p.Placements, dispatcher.Placement{Server: srv, Holders: 2, Owner: "entry-000"})
	}
	d.Update(p)
	for _, srv := range p.Placements {
		d.ApplyGrant(srv.Server.Name, limiter.Grant{Slots: 3, Deadline: time.Now().Add(time.Hour)})
	}
	r := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			t, _ := d.Acquire(b.Context(), dispatcher.Request{Importance: 5, Deadline: time.Now().Add(time.Second)})
			t.Done(retrier.Answered{}, false)
		}
	})
	return float64(r.NsPerOp()) / 1e9
}

// stateBytes returns the memory of an entry's state for a document.
func stateBytes(services, serversEach, entries int) (bytes float64, err error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	e, err := envelope(syntheticDocument(services, serversEach), 1)
	if err != nil {
		return 0, err
	}
	n := newNode(entries)
	if _, err := n.Accept(e); err != nil {
		return 0, err
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(n)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc), nil
}

// ControlPlaneCost measures slopes and prints what control costs a node at the target
// size.
func ControlPlaneCost(out io.Writer) (err error) {
	p := &printer{out: out}
	var xs, follow, size []float64
	for _, services := range []int{32, 65, 130, 260} {
		seconds, bytes, err := followCost(services, 10, targetEntries)
		if err != nil {
			return err
		}
		p.line("document of %4d services, %4d servers: in force after %7.2f ms of processor time, %6d bytes stored", services, services*10, 1e3*seconds, bytes)
		xs, follow, size = append(xs, float64(services*10)), append(follow, seconds), append(size, float64(bytes))
	}
	for _, entries := range []int{20, 40, 80, 160} {
		seconds, _, err := followCost(targetServices, 10, entries)
		if err != nil {
			return err
		}
		p.line("same document with %4d entries: %7.2f ms", entries, 1e3*seconds)
	}
	var rx, rt, rb []float64
	for _, servers := range []int{5, 10, 20, 40} {
		seconds, bytes := reportCost(servers)
		p.line("report of %3d servers with its answer: %6.1f us, %5d bytes", servers, 1e6*seconds, bytes)
		rx, rt, rb = append(rx, float64(servers)), append(rt, seconds), append(rb, float64(bytes))
	}
	for _, servers := range []int{6, 12, 24, 48} {
		p.line("choosing among %3d servers: %5.2f us a request", servers, 1e6*chooseCost(servers))
	}
	for _, services := range []int{32, 65, 130, 260} {
		bytes, err := stateBytes(services, 10, targetEntries)
		if err != nil {
			return err
		}
		p.line("state for %4d services: %6.2f MB", services, bytes/1e6)
	}
	memory, err := stateBytes(targetServices, targetServers/targetServices+1, targetEntries)
	if err != nil {
		return err
	}
	p.sum(fit(xs, follow), fit(xs, size), fit(rx, rt), fit(rx, rb), memory)
	return p.err
}

// printer prints lines and keeps the first error.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if _, err := fmt.Fprintf(p.out, format+"\n", args...); p.err == nil {
		p.err = err
	}
}

// sum adds up the roles of one node.
func (p *printer) sum(follow, size, reportTime, reportBytes line, memory float64) {
	changes := float64(targetChanges) / daySeconds
	servers := float64(targetServers)
	servicesEach := float64(targetServices*subsetSize) / targetEntries
	serversEach := servers / targetServices
	reports := 1 / limiter.ReportInterval.Seconds()
	// A holder reports half of its servers to itself and half to one peer for
	// each service, and hears as much.
	perService := serversEach / subsetSize
	reportLoad := 2 * servicesEach * reports * reportTime.at(perService)
	reportTraffic := 2 * servicesEach * reports * reportBytes.at(perService)
	beats := 2 * float64(tracker.HeartbeatFanOut) / tracker.HeartbeatInterval.Seconds()
	const beatBytes, beatSeconds = 2*40 + callOverhead, 30e-6
	p.line("")
	p.line("%-34s %12s %12s", "role, at the target size", "core %", "bytes/s")
	rows := []struct {
		name           string
		seconds, bytes float64
	}{
		{"following the configuration", changes * follow.at(servers), changes * size.at(servers) * 4 / 3},
		{"holding and owning (reports)", reportLoad, reportTraffic},
		{"membership (heartbeats)", beats * beatSeconds, beats * beatBytes},
	}
	var seconds, bytes float64
	for _, r := range rows {
		p.line("%-34s %12.3f %12.0f", r.name, 100*r.seconds, r.bytes)
		seconds += r.seconds
		bytes += r.bytes
	}
	p.line("%-34s %12.3f %12.0f", "sum", 100*seconds, bytes)
	p.line("%-34s %12.3f %12.0f", "target", 100*processorTarget, float64(trafficTarget))
	p.line("state %.1f MB of %d MB; calls for each entry %.0f/s", memory/1e6, memoryTarget>>20, float64(targetCalls)/targetEntries)
	p.line("store: %.0f renewals/s, %.2f changes/s, %d waiting watches", targetEntries/tracker.RenewInterval.Seconds(), changes, targetEntries)
}
