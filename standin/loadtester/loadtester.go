// Package loadtester drives open-loop load against a cluster and sums up what callers
// saw. Latency counts from the intended start of each call.
package loadtester

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"samphiremux/standin/caller"
	"samphiremux/standin/generator"
	"samphiremux/standin/simulator"
)

const (
	maxLatency = time.Minute
	figures    = 3
	// keyBody is the body of calls that must not run twice.
	keyBody = "one reservation"
)

// Workload is the load on one service.
type Workload struct {
	Service  string
	Arrivals generator.Arrivals
	Work     generator.Distribution
	// Path is the path of the calls.
	Path string
	// WriteShare is the share of calls that must not run twice.
	WriteShare float64
	// Keyed gives those calls idempotency keys.
	Keyed bool
}

// Scenario is one measured load.
type Scenario struct {
	Workloads []Workload
	Callers   int
	// WarmUp is the time at the start that is not measured.
	WarmUp time.Duration
	Length time.Duration
	Seed   uint64
	// OnSample is called for each measured call. Nil means not at all.
	OnSample func(Sample)
}

// Sample is one measured call.
type Sample struct {
	At      time.Duration
	Service string
	ID      string
	Write   bool
	Latency time.Duration
	Result  caller.Result
}

// Summary is what callers saw.
type Summary struct {
	mu sync.Mutex

	WholeLatency   *hdrhistogram.Histogram
	RefusedLatency *hdrhistogram.Histogram
	Counts         map[string]int
	Reasons        map[string]int
	Writes         map[string]caller.Result
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{
		WholeLatency:   hdrhistogram.New(1, maxLatency.Microseconds(), figures),
		RefusedLatency: hdrhistogram.New(1, maxLatency.Microseconds(), figures),
		Counts:         map[string]int{}, Reasons: map[string]int{}, Writes: map[string]caller.Result{},
	}
}

// ResultName names a result for counts.
func ResultName(r caller.Result) string {
	return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", r), "caller."))
}

// Add takes in a sample.
func (s *Summary) Add(x Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Counts[ResultName(x.Result)]++
	latency := min(max(x.Latency, time.Microsecond), maxLatency).Microseconds()
	switch r := x.Result.(type) {
	case caller.Whole:
		_ = s.WholeLatency.RecordValue(latency)
	case caller.Refused:
		_ = s.RefusedLatency.RecordValue(latency)
		s.Reasons[r.Kind+"/"+r.Reason]++
	case caller.Broken:
		s.Reasons["broken/"+short(r.Cause)]++
	case caller.NoEntry:
		s.Reasons["no-entry/"+short(r.Cause)]++
	case caller.Failed:
		s.Reasons[fmt.Sprintf("failed/%d", r.Status)]++
	}
	if x.Write {
		s.Writes[x.ID] = x.Result
	}
}

func short(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}
	return text
}

// Quantile returns a latency quantile of whole answers, in percent.
func (s *Summary) Quantile(q float64) time.Duration {
	return time.Duration(s.WholeLatency.ValueAtQuantile(q)) * time.Microsecond
}

// Total returns the number of calls.
func (s *Summary) Total() (n int) {
	for _, c := range s.Counts {
		n += c
	}
	return n
}

// Line returns counts in one line, in a fixed order.
func (s *Summary) Line() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(s.Counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, s.Counts[name]))
	}
	for _, reason := range slices.Sorted(maps.Keys(s.Reasons)) {
		parts = append(parts, fmt.Sprintf("%s=%d", reason, s.Reasons[reason]))
	}
	return strings.Join(parts, " ")
}

// CallerFactory makes callers. A simulator.Cluster is one.
type CallerFactory interface {
	NewCaller(index int) *caller.Caller
}

// Drive runs the load and returns when every call has ended.
func Drive(ctx context.Context, site CallerFactory, r Scenario) *Summary {
	s := NewSummary()
	callers := make([]*caller.Caller, r.Callers)
	for i := range callers {
		callers[i] = site.NewCaller(i)
		defer callers[i].Close()
	}
	var all sync.WaitGroup
	for i, p := range r.Workloads {
		rng := rand.New(rand.NewPCG(r.Seed, uint64(1000+i)))
		all.Go(func() { drivePlan(ctx, r, p, rng, callers, s, &all) })
	}
	all.Wait()
	return s
}

func drivePlan(ctx context.Context, r Scenario, p Workload, rng *rand.Rand, callers []*caller.Caller, s *Summary, all *sync.WaitGroup) {
	start := time.Now()
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += p.Arrivals.Interarrival(rng, at)
		if at >= r.WarmUp+r.Length {
			return
		}
		call := p.draw(rng, n)
		who := callers[rng.IntN(len(callers))]
		select {
		case <-time.After(time.Until(start.Add(at))):
		case <-ctx.Done():
			return
		}
		intended := start.Add(at)
		if call.Key != "" {
			call.Key = generator.NewIdempotencyKey(rng, intended)
		}
		measured := at >= r.WarmUp
		offset := at - r.WarmUp
		all.Go(func() {
			result := who.Do(ctx, call)
			if !measured {
				return
			}
			x := Sample{
				At: offset, Service: p.Service, ID: call.ID, Write: call.Method != http.MethodGet,
				Latency: time.Since(intended), Result: result,
			}
			s.Add(x)
			if r.OnSample != nil {
				r.OnSample(x)
			}
		})
	}
}

func (p Workload) draw(rng *rand.Rand, n int) (c caller.Call) {
	c = caller.Call{
		Service: p.Service, Method: http.MethodGet, Path: fmt.Sprintf("%s%d", p.Path, n%1000),
		ID: fmt.Sprintf("%s-%d-%08x", p.Service, n, rng.Uint32()), Work: p.Work.Sample(rng), Header: http.Header{},
	}
	if rng.Float64() < p.WriteShare {
		c.Method = http.MethodPost
		c.Body = []byte(keyBody)
		if p.Keyed {
			c.Key = "keyed"
		}
	}
	return c
}

// pairShare is the part of slowdowns that also hit the server on the same
// machine.
const pairShare = 0.25

// InjectSlowdowns makes servers slow at random until ctx ends. It returns at once.
func InjectSlowdowns(ctx context.Context, w *simulator.Cluster, n generator.NoisyNeighbours, seed uint64) {
	names := slices.Sorted(maps.Keys(w.Servers))
	for i, name := range names {
		rng := rand.New(rand.NewPCG(seed, uint64(5000+i)))
		partner := w.Servers[names[min(i^1, len(names)-1)]]
		go disturbOne(ctx, w.Servers[name], partner, n, rng)
	}
}

func disturbOne(ctx context.Context, b, partner *simulator.Backend, n generator.NoisyNeighbours, rng *rand.Rand) {
	for {
		gap, length, factor := n.Next(rng)
		both := rng.Float64() < pairShare
		if !pause(ctx, gap) {
			return
		}
		b.SetSlowdown(factor)
		if both {
			partner.SetSlowdown(factor)
		}
		ok := pause(ctx, length)
		b.SetSlowdown(1)
		if both {
			partner.SetSlowdown(1)
		}
		if !ok {
			return
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
