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
	settleTime = 4 * time.Second
	// healTime is the time after the last fault in which everything must work
	// again: a lapsed lease, a restarted server and its cold ramp.
	healTime = 14 * time.Second
	// rejoinTime is the time in which an entry that starts last takes its part,
	// and becomes the home of keys that are issued from then on.
	rejoinTime = 4 * time.Second
	// finalTime is the time of load after healing.
	finalTime  = 1500 * time.Millisecond
	callers    = 4
	resends    = 2
	writeShare = 0.5
)

// run is one script in work.
type run struct {
	script Script
	net    *netemulator.Network
	world  *simulator.Cluster
	oracle *oracle
	work   sync.WaitGroup
	began  time.Time

	firstEnvelope []byte
	restored      bool
	poisons       int
	// repeats is how often callers send what was refused again at once.
	repeats atomic.Int64
	starts  int
}

// deployment is the small cluster of scripts.
func deployment() simulator.Deployment {
	d := simulator.Trust()
	d.Domains = d.Domains[:3]
	d.Services = slices.Clone(d.Services[:2])
	for i := range d.Services {
		d.Services[i].Servers = 4
	}
	return d
}

// document adds a second version of the first service.
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

// OneWayDelay are the one-way times of a deployment on an in-memory network.
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

// Run runs a script and returns what the oracle found. It must be called within
// a synctest bubble.
func Run(s Script) (findings []Violation, err error) {
	d := deployment()
	r := &run{script: s, net: netemulator.New(OneWayDelay(d)), began: time.Now()}
	r.oracle = newOracle(r)
	options := simulator.Options{
		Deployment: d, Network: r.net, Entries: s.Entries, Policy: chooser.ExpectedCompletion{}, Seed: s.Seed,
		WarmUp: time.Second,
	}
	doc := document(d)
	doc, options = r.plant(doc, options)
	if r.world, err = simulator.New(options, doc); err != nil {
		return nil, err
	}
	defer time.Sleep(simulator.ShutdownGrace)
	defer r.world.Close()
	pair, err := r.world.Store.Get(context.Background(), publisher.DocumentKey(doc.Environment))
	if err != nil {
		return nil, err
	}
	r.firstEnvelope = pair.Value
	if err := r.world.StartEntries(); err != nil {
		return nil, err
	}
	r.play()
	return r.oracle.findings, nil
}

func (r *run) play() {
	time.Sleep(settleTime)
	watchCtx, stopWatch := context.WithCancel(context.Background())
	r.background(func() { r.oracle.watch(watchCtx) })
	r.background(func() { r.rogue(watchCtx) })
	people := make([]*caller.Caller, callers)
	for i := range people {
		people[i] = r.world.NewCaller(i)
		defer people[i].Close()
	}
	began := time.Now()
	r.began = began
	r.background(func() { r.load(people, r.script.Length, false) })
	steps := slices.Clone(r.script.Steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.Offset - b.Offset) })
	for _, st := range steps {
		time.Sleep(time.Until(began.Add(st.Offset)))
		verbs[st.Verb].run(r, st.Args)
	}
	time.Sleep(time.Until(began.Add(r.script.Length)))
	r.heal()
	time.Sleep(healTime)
	r.heal() // entries that were still stopping
	time.Sleep(rejoinTime)
	r.load(people, finalTime, true)
	stopWatch()
	r.work.Wait()
	r.oracle.finish()
}

// heal ends all faults and starts every entry.
func (r *run) heal() {
	r.setStoreFaults(noFaults)
	r.repeats.Store(0)
	for i, h := range r.world.Entries {
		r.net.Resume(h.Address)
		h.SetStorePartitioned(false)
		for _, other := range r.world.Entries[:i] {
			r.net.Heal(h.Address, other.Address)
		}
		r.start(h)
	}
	for _, b := range r.world.Servers {
		b.SetSlowdown(1)
		b.TruncateNext(0)
		b.SwapNext(0)
		b.SendExtraNext(0)
	}
}

// storeReached tells whether an entry that runs can reach the store.
func (r *run) storeReached() bool {
	return !r.world.Store.Faults().Down && slices.ContainsFunc(r.world.Entries, func(h *simulator.Host) bool {
		return h.Entry != nil && !h.StorePartitioned()
	})
}

// newest returns the newest revision that an entry has in force.
func (r *run) newest() (revision uint64) {
	for _, h := range r.world.Entries {
		if h.Entry != nil {
			revision = max(revision, uint64(h.Entry.Node().Envelope().Revision))
		}
	}
	return revision
}

// served tells whether the service's first version has any server left that is
// neither taken out by operators nor leaving by its own word.
func (r *run) served(service string) bool {
	doc := r.world.Document()
	s, _ := doc.Service(service)
	return slices.ContainsFunc(s.Servers, func(srv parser.Server) bool {
		d, _ := doc.Domain(srv.Domain)
		return srv.Version == s.Versions[0].Name && !srv.Leaving && !d.Out && !r.world.Servers[srv.Name].Draining()
	})
}

func (r *run) clock() time.Duration { return time.Since(r.began) }

func (r *run) background(f func()) { r.work.Go(f) }

// load calls both services until the time is over, and waits for the answers.
func (r *run) load(people []*caller.Caller, length time.Duration, final bool) {
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
		who := people[rng.IntN(len(people))]
		resend := people[rng.IntN(len(people))]
		all.Go(func() { r.oracle.called(c, final, r.do(who, resend, c)) })
	}
	all.Wait()
}

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

// do makes a call. Calls with a key are sent again, through another caller's
// connections, when their outcome is not known.
func (r *run) do(who, resend *caller.Caller, c caller.Call) (results []caller.Result) {
	result := who.Do(context.Background(), c)
	results = append(results, result)
	if c.Key == "" {
		r.again(who, c, result)
		return results
	}
	for range resends {
		if !outcomeUnknown(result) {
			return results
		}
		time.Sleep(100 * time.Millisecond)
		result = resend.Do(context.Background(), c)
		results = append(results, result)
	}
	return results
}

// again sends a call that was refused again at once, as calls of their own.
func (r *run) again(who *caller.Caller, c caller.Call, result caller.Result) {
	id := c.ID
	for n := range r.repeats.Load() {
		if _, refused := result.(caller.Refused); !refused {
			return
		}
		c.ID = fmt.Sprintf("%s-again-%d", id, n)
		result = who.Do(context.Background(), c)
		r.oracle.called(c, false, []caller.Result{result})
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

// poison sends a request that crashes each server that runs it, and sends it
// again through other callers.
func (r *run) poison(args []string) {
	service := args[0]
	path := map[string]string{"catalogue": "/catalogue/", "booking": "/bookings/"}[service]
	if path == "" {
		return
	}
	r.poisons++
	id := fmt.Sprintf("poison-%d", r.poisons)
	r.background(func() {
		for i := range callers {
			c := caller.Call{
				Service: service, Method: http.MethodGet, Path: path + id, ID: id, Poison: true, Header: http.Header{},
			}
			who := r.world.NewCaller(i)
			who.Do(context.Background(), c)
			who.Close()
			time.Sleep(50 * time.Millisecond)
		}
		r.oracle.poisoned(id)
	})
}

// Violation is a broken invariant.
type Violation struct {
	Invariant string
	Message   string
}

// FormatViolations returns all violations, one a line.
func FormatViolations(findings []Violation) string {
	var lines []string
	for _, f := range findings {
		lines = append(lines, f.Invariant+": "+f.Message)
	}
	return strings.Join(lines, "\n")
}
