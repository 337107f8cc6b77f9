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

// The size of deployment that the design is for, and what control may cost each
// entry at that size.
const (
	targetServers  = 2700
	targetServices = 260
	targetEntries  = 160
	targetChanges  = 3800    // changes of the document per day
	targetCalls    = 790_000 // calls per second, over all entries
	daySeconds     = 86400
	// subsetSize is the number of entries that serve an average service.
	subsetSize = 2
	// callOverhead is the size of headers and framing of one call between
	// entries, in bytes.
	callOverhead = 120

	processorTarget = 0.041     // of a core
	memoryTarget    = 128 << 20 // bytes
	trafficTarget   = 17_000    // bytes per second
)

// linearModel is the line y = base + slope*x.
type linearModel struct{ base, slope float64 }

// fitLine returns the least-squares line through points.
func fitLine(xs, ys []float64) linearModel {
	var sx, sy, sxx, sxy float64
	n := float64(len(xs))
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return linearModel{base: (sy - slope*sx) / n, slope: slope}
}

// predict returns the value at x, but at least zero.
func (l linearModel) predict(x float64) float64 { return max(0, l.base+l.slope*x) }

// syntheticDocument returns a document with services of serversEach servers each,
// spread over eight failure domains in two regions.
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

// envelope wraps a document as publisher.Publish does, but without author and time.
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

// syntheticMembers returns entries as members, spread over the failure domains of a
// synthetic document.
func syntheticMembers(entries int) (members []tracker.Member) {
	for i := range entries {
		members = append(members, tracker.Member{
			ID: fmt.Sprintf("entry-%03d", i), Domain: fmt.Sprintf("domain-%d", i%8),
			Address: fmt.Sprintf("10.9.%d.%d:8080", i/250, i%250), LinkAddress: fmt.Sprintf("10.9.%d.%d:8081", i/250, i%250),
		})
	}
	return members
}

// newNode returns the node state of the first entry, with all entries as members.
func newNode(entries int) *reconciler.Node {
	members := syntheticMembers(entries)
	n := reconciler.New(reconciler.Options{
		Self: members[0], Policy: chooser.ExpectedCompletion{}, Seed: 1, Now: time.Now, Metrics: collector.New(),
	})
	n.WithTracker(func(now time.Time, t *tracker.Tracker) bool { return t.SetRegistered(now, members) })
	return n
}

// acceptCost returns the processor time to decode a document and bring it into
// force, and its size in the store.
func acceptCost(services, serversEach, entries int) (seconds float64, bytes int, err error) {
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
			if _, err := n.ApplyDocument(e); err != nil {
				b.Fatal(err)
			}
		}
	})
	return float64(r.NsPerOp()) / 1e9, len(stored), nil
}

// reportCost returns the processor time of one report of servers, at the holder and
// at the owner together, and the size of the report with its answer.
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
			var decoded linkpb.ReportRequest
			_ = proto.Unmarshal(data, &decoded)
			for i := range decoded.GetServers() {
				owners[i].HandleReport(time.Now(), limiter.Report{Holder: "entry-001", Demand: 3, Completed: 60, Warm: true}, holders)
			}
			data, _ = proto.Marshal(response)
			var answer linkpb.ReportResponse
			_ = proto.Unmarshal(data, &answer)
		}
	})
	return float64(r.NsPerOp()) / 1e9, proto.Size(request) + proto.Size(response) + callOverhead
}

// chooseCost returns the processor time to acquire one of servers for a request and to
// end the attempt.
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

// stateBytes returns the heap memory of an entry's state for a document.
func stateBytes(services, serversEach, entries int) (bytes float64, err error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	e, err := envelope(syntheticDocument(services, serversEach), 1)
	if err != nil {
		return 0, err
	}
	n := newNode(entries)
	if _, err := n.ApplyDocument(e); err != nil {
		return 0, err
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(n)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc), nil
}

// ControlPlaneCost benchmarks the control duties of an entry at several sizes, and
// prints the results and, from least-squares lines through them, the cost for one
// entry at the target size.
func ControlPlaneCost(out io.Writer) (err error) {
	p := &printer{out: out}
	var serverCounts, acceptSeconds, documentBytes []float64
	for _, services := range []int{32, 65, 130, 260} {
		seconds, bytes, err := acceptCost(services, 10, targetEntries)
		if err != nil {
			return err
		}
		p.printf("document of %4d services, %4d servers: in force after %7.2f ms of processor time, %6d bytes stored", services, services*10, 1e3*seconds, bytes)
		serverCounts, acceptSeconds, documentBytes = append(serverCounts, float64(services*10)), append(acceptSeconds, seconds), append(documentBytes, float64(bytes))
	}
	for _, entries := range []int{20, 40, 80, 160} {
		seconds, _, err := acceptCost(targetServices, 10, entries)
		if err != nil {
			return err
		}
		p.printf("same document with %4d entries: %7.2f ms", entries, 1e3*seconds)
	}
	var reportServers, reportSeconds, reportBytes []float64
	for _, servers := range []int{5, 10, 20, 40} {
		seconds, bytes := reportCost(servers)
		p.printf("report of %3d servers with its answer: %6.1f us, %5d bytes", servers, 1e6*seconds, bytes)
		reportServers, reportSeconds, reportBytes = append(reportServers, float64(servers)), append(reportSeconds, seconds), append(reportBytes, float64(bytes))
	}
	for _, servers := range []int{6, 12, 24, 48} {
		p.printf("choosing among %3d servers: %5.2f us a request", servers, 1e6*chooseCost(servers))
	}
	for _, services := range []int{32, 65, 130, 260} {
		bytes, err := stateBytes(services, 10, targetEntries)
		if err != nil {
			return err
		}
		p.printf("state for %4d services: %6.2f MB", services, bytes/1e6)
	}
	memory, err := stateBytes(targetServices, targetServers/targetServices+1, targetEntries)
	if err != nil {
		return err
	}
	p.summarize(fitLine(serverCounts, acceptSeconds), fitLine(serverCounts, documentBytes),
		fitLine(reportServers, reportSeconds), fitLine(reportServers, reportBytes), memory)
	return p.err
}

// printer prints lines to out and keeps the first error.
type printer struct {
	out io.Writer
	err error
}

// printf prints one line.
func (p *printer) printf(format string, args ...any) {
	if _, err := fmt.Fprintf(p.out, format+"\n", args...); p.err == nil {
		p.err = err
	}
}

// summarize prints the cost of each control duty of one entry at the target size, and
// their sum beside the targets.
func (p *printer) summarize(acceptSeconds, documentBytes, reportSeconds, reportBytes linearModel, memory float64) {
	changesPerSecond := float64(targetChanges) / daySeconds
	servers := float64(targetServers)
	servicesPerEntry := float64(targetServices*subsetSize) / targetEntries
	serversPerService := servers / targetServices
	reportsPerSecond := 1 / limiter.ReportInterval.Seconds()
	// For each service, a holder reports half of its servers to itself and half to
	// one peer, and receives as many reports.
	serversPerReport := serversPerService / subsetSize
	reportLoad := 2 * servicesPerEntry * reportsPerSecond * reportSeconds.predict(serversPerReport)
	reportTraffic := 2 * servicesPerEntry * reportsPerSecond * reportBytes.predict(serversPerReport)
	heartbeatsPerSecond := 2 * float64(tracker.HeartbeatFanOut) / tracker.HeartbeatInterval.Seconds()
	// Each heartbeat is a request and an answer of 40 bytes each, and takes 30 us of
	// processor time.
	const heartbeatBytes, heartbeatSeconds = 2*40 + callOverhead, 30e-6
	p.printf("")
	p.printf("%-34s %12s %12s", "role, at the target size", "core %", "bytes/s")
	// The store sends values in base64, which takes 4/3 of their size.
	rows := []struct {
		name           string
		seconds, bytes float64
	}{
		{"following the configuration", changesPerSecond * acceptSeconds.predict(servers), changesPerSecond * documentBytes.predict(servers) * 4 / 3},
		{"holding and owning (reports)", reportLoad, reportTraffic},
		{"membership (heartbeats)", heartbeatsPerSecond * heartbeatSeconds, heartbeatsPerSecond * heartbeatBytes},
	}
	var seconds, bytes float64
	for _, r := range rows {
		p.printf("%-34s %12.3f %12.0f", r.name, 100*r.seconds, r.bytes)
		seconds += r.seconds
		bytes += r.bytes
	}
	p.printf("%-34s %12.3f %12.0f", "sum", 100*seconds, bytes)
	p.printf("%-34s %12.3f %12.0f", "target", 100*processorTarget, float64(trafficTarget))
	p.printf("state %.1f MB of %d MB; calls for each entry %.0f/s", memory/1e6, memoryTarget>>20, float64(targetCalls)/targetEntries)
	p.printf("store: %.0f renewals/s, %.2f changes/s, %d waiting watches", targetEntries/tracker.RenewInterval.Seconds(), changesPerSecond, targetEntries)
}
