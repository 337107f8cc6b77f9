package fuzzer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"samphiremux/entry/chooser"
	"samphiremux/pkg/parser"
	"samphiremux/pkg/publisher"
	"samphiremux/standin/caller"
	"samphiremux/standin/generator"
	"samphiremux/standin/netemulator"
	"samphiremux/standin/simulator"
)

const (
	// settleTime is the time between the start of the entries and the first call.
	settleTime = 4 * time.Second
	// recoveryTime is the time after the last fault within which everything must work
	// again. It covers an expired lease, the restart of a backend server and its slow
	// start.
	recoveryTime = 14 * time.Second
	// rejoinTime is the time within which an entry that starts last joins the others
	// and becomes the owner of keys that are issued from then on.
	rejoinTime = 4 * time.Second
	// finalLoadTime is the length of the load after all faults have ended.
	finalLoadTime = 1500 * time.Millisecond
	callerCount   = 4
	resends       = 2
	writeShare    = 0.5
)

// run is one execution of a script.
type run struct {
	script  Script
	net     *netemulator.Network
	cluster *simulator.Cluster
	oracle  *oracle
	wg      sync.WaitGroup
	began   time.Time

	// firstEnvelope is the envelope of the document that the cluster starts with.
	firstEnvelope []byte
	// restored reports whether firstEnvelope was written back to the store.
	restored    bool
	poisonCount int
	// immediateRetries is the number of times that callers send a refused call again
	// without backoff.
	immediateRetries atomic.Int64
	// copies holds copies of the store in the order in which they were taken.
	copiesMu sync.Mutex
	copies   []storeCopy
	// entryStarts counts the attempts to start an entry after the first start.
	entryStarts int
}

// deployment returns the small deployment that scripts run on.
func deployment() simulator.Deployment {
	d := simulator.Trust()
	d.Domains = d.Domains[:3]
	d.Services = slices.Clone(d.Services[:2])
	for i := range d.Services {
		d.Services[i].Servers = 4
	}
	return d
}

// document returns the document of a deployment, with a second version of its first
// service.
func document(d simulator.Deployment) parser.Document {
	doc := d.Document("production")
	s := doc.Services[0]
	s.Versions = append(s.Versions, parser.Version{Name: "v2"})
	for i := range s.Servers[:2] {
		srv := s.Servers[i]
		srv.Name = fmt.Sprintf("%s-new-%d", s.Name, i+1)
		srv.Address = d.ServerAddress(0, 100+i)
		srv.Version = "v2"
		s.Servers = append(s.Servers, srv)
	}
	return doc.WithService(s)
}

// OneWayDelay returns the one-way delays of a deployment between the locations of an
// in-memory network.
func OneWayDelay(d simulator.Deployment) func(from, to string) time.Duration {
	const sameDomain = 50 * time.Microsecond
	return func(from, to string) time.Duration {
		switch {
		case from == "callers" || to == "callers":
			return d.CallerDelay
		case from == to:
			return sameDomain
		default:
			return d.DomainDelay
		}
	}
}

// Run executes a script and returns the violations that the oracle found. It must be
// called within a synctest bubble.
func Run(s Script) (violations []Violation, err error) {
	d := deployment()
	r := &run{script: s, net: netemulator.New(OneWayDelay(d)), began: time.Now()}
	r.oracle = newOracle(r)
	options := simulator.Options{
		Deployment: d, Network: r.net, Entries: s.Entries, Policy: chooser.ExpectedCompletion{}, Seed: s.Seed,
		WarmUp: time.Second,
	}
	doc := document(d)
	doc, options = r.injectBug(doc, options)
	if r.cluster, err = simulator.New(options, doc); err != nil {
		return nil, err
	}
	defer time.Sleep(simulator.ShutdownGrace)
	defer r.cluster.Close()
	pair, err := r.cluster.Store.Get(context.Background(), publisher.DocumentKey(doc.Environment))
	if err != nil {
		return nil, err
	}
	r.firstEnvelope = pair.Value
	if err := r.cluster.StartEntries(); err != nil {
		return nil, err
	}
	r.execute()
	return r.oracle.violations, nil
}

// execute runs the steps of the script under load, ends all faults, and runs the final
// load.
func (r *run) execute() {
	time.Sleep(settleTime)
	backgroundCtx, stopBackground := context.WithCancel(context.Background())
	r.background(func() { r.oracle.poll(backgroundCtx) })
	r.background(func() { r.sendBypassRequests(backgroundCtx) })
	r.addCopy()
	r.background(func() { r.copyStore(backgroundCtx) })
	callers := make([]*caller.Caller, callerCount)
	for i := range callers {
		callers[i] = r.cluster.NewCaller(i)
		defer callers[i].Close()
	}
	began := time.Now()
	r.began = began
	r.background(func() { r.generateLoad(callers, r.script.Length, false) })
	steps := slices.Clone(r.script.Steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.Offset - b.Offset) })
	for _, st := range steps {
		time.Sleep(time.Until(began.Add(st.Offset)))
		r.oracle.recordStep(st)
		verbs[st.Verb].run(r, st.Args)
	}
	time.Sleep(time.Until(began.Add(r.script.Length)))
	r.heal()
	time.Sleep(recoveryTime)
	r.heal() // starts the entries that were still stopping
	time.Sleep(rejoinTime)
	r.generateLoad(callers, finalLoadTime, true)
	stopBackground()
	r.wg.Wait()
	r.oracle.finish()
}

// heal ends all faults and starts every entry.
func (r *run) heal() {
	r.setStoreFaults(noFaults)
	r.immediateRetries.Store(0)
	for i, h := range r.cluster.Entries {
		r.net.Resume(h.Address)
		h.SetStorePartitioned(false)
		r.mendServers(h)
		for _, other := range r.cluster.Entries[:i] {
			r.net.Heal(h.Address, other.Address)
		}
		r.start(h)
	}
	r.oracle.checkRateLimits()
	for _, b := range r.cluster.Servers {
		b.ClearRateLimit()
		b.ClearPause()
		b.SetSlowdown(1)
		b.TruncateNext(0)
		b.SwapNext(0)
		b.SendExtraNext(0)
		b.RepeatRefusalNext(0)
		b.StopInHeadNext(0)
	}
}

// storeReachable reports whether any running entry can reach the store.
func (r *run) storeReachable() bool {
	return !r.cluster.Store.Faults().Down && slices.ContainsFunc(r.cluster.Entries, func(h *simulator.Host) bool {
		return h.Entry != nil && !h.StorePartitioned()
	})
}

// newestRevision returns the newest revision that any running entry has in force.
func (r *run) newestRevision() (revision uint64) {
	for _, h := range r.cluster.Entries {
		if h.Entry != nil {
			revision = max(revision, uint64(h.Entry.Node().Envelope().Revision))
		}
	}
	return revision
}

// hasAvailableServer reports whether the service's first version has a server that is
// neither taken out of service by operators nor draining.
func (r *run) hasAvailableServer(service string) bool {
	doc := r.cluster.Document()
	s, _ := doc.Service(service)
	return slices.ContainsFunc(s.Servers, func(srv parser.Server) bool {
		d, _ := doc.Domain(srv.Domain)
		return srv.Version == s.Versions[0].Name && !srv.Leaving && !d.Out && !r.cluster.Servers[srv.Name].Draining()
	})
}

func (r *run) sinceStart() time.Duration { return time.Since(r.began) }

func (r *run) background(f func()) { r.wg.Go(f) }

// generateLoad calls both services for the given length and waits for the answers.
func (r *run) generateLoad(callers []*caller.Caller, length time.Duration, final bool) {
	rng := rand.New(rand.NewPCG(r.script.Seed, uint64(length)))
	work := generator.NewLognormal(12*time.Millisecond, 60*time.Millisecond)
	arrivals := generator.Arrivals{PerSecond: float64(2 * r.script.CallsPerSecond)}
	start := time.Now()
	var all sync.WaitGroup
	for n := 0; ; n++ {
		time.Sleep(arrivals.Interarrival(rng, time.Since(start)))
		if time.Since(start) >= length {
			break
		}
		c := r.drawCall(rng, n, final, work)
		sender := callers[rng.IntN(len(callers))]
		resender := callers[rng.IntN(len(callers))]
		all.Go(func() {
			began := time.Now()
			results := r.do(sender, resender, c)
			r.oracle.checkCall(c, final, results)
			r.oracle.countFirstTry(began, c.Service, results[0])
		})
	}
	all.Wait()
}

// drawCall draws a call to either service. Calls to the second may be writes, with or
// without an idempotency key.
func (r *run) drawCall(rng *rand.Rand, n int, final bool, work generator.Distribution) caller.Call {
	c := caller.Call{
		Service: "catalogue", Method: http.MethodGet, Path: fmt.Sprintf("/catalogue/%d", n),
		ID: fmt.Sprintf("call-%d-%v", n, final), Work: work.Sample(rng), Header: http.Header{},
	}
	if rng.IntN(2) == 0 {
		c.Service, c.Path = "booking", fmt.Sprintf("/bookings/%d", n)
		if rng.Float64() < writeShare {
			c.Method, c.Body = http.MethodPost, []byte("reserve")
			if rng.IntN(2) == 0 {
				c.Key = generator.NewIdempotencyKey(rng, time.Now())
			}
		}
	}
	return c
}

// do makes a call. A call with an idempotency key is sent again, through another
// caller's connections, while its outcome is unknown. A refused call without a key is
// retried as separate calls.
func (r *run) do(sender, resender *caller.Caller, c caller.Call) (results []caller.Result) {
	result := sender.Do(context.Background(), c)
	results = append(results, result)
	if c.Key == "" {
		r.retryRefused(sender, c, result)
		return results
	}
	for range resends {
		if !outcomeUnknown(result) {
			return results
		}
		time.Sleep(100 * time.Millisecond)
		result = resender.Do(context.Background(), c)
		results = append(results, result)
	}
	return results
}

// retryRefused sends a refused call again without backoff, at most immediateRetries
// times, each time as a call with an id of its own.
func (r *run) retryRefused(sender *caller.Caller, c caller.Call, result caller.Result) {
	id := c.ID
	for n := range r.immediateRetries.Load() {
		if _, refused := result.(caller.Refused); !refused {
			return
		}
		c.ID = fmt.Sprintf("%s-again-%d", id, n)
		result = sender.Do(context.Background(), c)
		r.oracle.checkCall(c, false, []caller.Result{result})
	}
}

func outcomeUnknown(result caller.Result) bool {
	switch r := result.(type) {
	case caller.Broken:
		return true
	case caller.Refused:
		return r.Kind == "outcome-unknown"
	default:
		return false
	}
}

// poison sends a request that crashes each backend server that runs it, and sends it
// again through other callers.
func (r *run) poison(args []string) {
	service := args[0]
	path := map[string]string{"catalogue": "/catalogue/", "booking": "/bookings/"}[service]
	if path == "" {
		return
	}
	r.poisonCount++
	id := fmt.Sprintf("poison-%d", r.poisonCount)
	r.background(func() {
		for i := range callerCount {
			c := caller.Call{
				Service: service, Method: http.MethodGet, Path: path + id, ID: id, Poison: true, Header: http.Header{},
			}
			sender := r.cluster.NewCaller(i)
			sender.Do(context.Background(), c)
			sender.Close()
			time.Sleep(50 * time.Millisecond)
		}
		r.oracle.checkPoison(id)
	})
}

// Violation is a broken invariant.
type Violation struct {
	Invariant string
	Message   string
}

// FormatViolations returns all violations, one per line.
func FormatViolations(violations []Violation) string {
	var lines []string
	for _, f := range violations {
		lines = append(lines, f.Invariant+": "+f.Message)
	}
	return strings.Join(lines, "\n")
}
