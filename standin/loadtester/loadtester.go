// Package loadtester drives open-loop load against a cluster and sums up the results of
// the calls. Latency counts from the intended start of each call.
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
	// maxLatency is the upper end of the histograms. Longer latencies count as it.
	maxLatency = time.Minute
	// significantFigures is the precision of the histograms in decimal digits.
	significantFigures = 3
	// writeBody is the body of calls that must not be executed twice.
	writeBody = "one reservation"
)

// Workload is the load on one service.
type Workload struct {
	Service  string
	Arrivals generator.Arrivals
	Work     generator.Distribution
	// Path is the prefix of the paths of the calls. A number follows.
	Path string
	// WriteShare is the share of calls that must not be executed twice.
	WriteShare float64
	// Keyed gives those calls idempotency keys.
	Keyed bool
}

// Scenario is one measured load.
type Scenario struct {
	Workloads []Workload
	Callers   int
	// WarmUp is the time at the start whose calls are not measured.
	WarmUp time.Duration
	// Length is the measured time after the warm-up.
	Length time.Duration
	// Seed makes the random choices repeatable.
	Seed uint64
	// OnSample is called for each measured call, possibly concurrently. Nil means not
	// at all.
	OnSample func(Sample)
}

// Sample is one measured call.
type Sample struct {
	// At is the intended start, counted from the end of the warm-up.
	At      time.Duration
	Service string
	ID      string
	// Write reports whether the call must not be executed twice.
	Write bool
	// Latency counts from the intended start.
	Latency time.Duration
	Result  caller.Result
}

// Summary holds the results of the measured calls. Add may be called concurrently.
type Summary struct {
	mu sync.Mutex

	WholeLatency   *hdrhistogram.Histogram
	RefusedLatency *hdrhistogram.Histogram
	// Counts holds the number of calls by ResultName.
	Counts map[string]int
	// Reasons holds the number of calls by the reason why they got no complete
	// response: refused, broken, no entry or failed. Wrong responses have none.
	Reasons map[string]int
	// Writes holds the results of writes by request id.
	Writes map[string]caller.Result
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{
		WholeLatency:   hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures),
		RefusedLatency: hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures),
		Counts:         map[string]int{}, Reasons: map[string]int{}, Writes: map[string]caller.Result{},
	}
}

// ResultName returns the key of a result in Summary.Counts: the name of its type in
// lower case.
func ResultName(r caller.Result) string {
	return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", r), "caller."))
}

// Add adds a sample.
func (s *Summary) Add(sample Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Counts[ResultName(sample.Result)]++
	latency := min(max(sample.Latency, time.Microsecond), maxLatency).Microseconds()
	switch r := sample.Result.(type) {
	case caller.Whole:
		_ = s.WholeLatency.RecordValue(latency)
	case caller.Refused:
		_ = s.RefusedLatency.RecordValue(latency)
		s.Reasons[r.Kind+"/"+r.Reason]++
	case caller.Broken:
		s.Reasons["broken/"+innermost(r.Cause)]++
	case caller.NoEntry:
		s.Reasons["no-entry/"+innermost(r.Cause)]++
	case caller.Failed:
		s.Reasons[fmt.Sprintf("failed/%d", r.Status)]++
	}
	if sample.Write {
		s.Writes[sample.ID] = sample.Result
	}
}

// innermost returns the text of the innermost error: the part after the last ": ".
func innermost(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}
	return text
}

// Quantile returns the latency of complete responses at a quantile in percent.
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

// Line returns the counts and reasons in one line, each in alphabetical order.
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

// CallerFactory makes callers. simulator.Cluster implements it.
type CallerFactory interface {
	NewCaller(index int) *caller.Caller
}

// Drive runs the load until its end or that of ctx, and returns when every call has
// ended.
func Drive(ctx context.Context, factory CallerFactory, scenario Scenario) *Summary {
	s := NewSummary()
	callers := make([]*caller.Caller, scenario.Callers)
	for i := range callers {
		callers[i] = factory.NewCaller(i)
		defer callers[i].Close()
	}
	var inFlight sync.WaitGroup
	for i, workload := range scenario.Workloads {
		rng := rand.New(rand.NewPCG(scenario.Seed, uint64(1000+i)))
		inFlight.Go(func() { driveWorkload(ctx, scenario, workload, rng, callers, s, &inFlight) })
	}
	inFlight.Wait()
	return s
}

// driveWorkload starts the calls of one workload at their intended times. It does not
// wait for their ends.
func driveWorkload(ctx context.Context, scenario Scenario, workload Workload, rng *rand.Rand, callers []*caller.Caller, s *Summary, inFlight *sync.WaitGroup) {
	start := time.Now()
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += workload.Arrivals.Interarrival(rng, at)
		if at >= scenario.WarmUp+scenario.Length {
			return
		}
		call := workload.draw(rng, n)
		chosen := callers[rng.IntN(len(callers))]
		select {
		case <-time.After(time.Until(start.Add(at))):
		case <-ctx.Done():
			return
		}
		intended := start.Add(at)
		if call.Key != "" {
			call.Key = generator.NewIdempotencyKey(rng, intended)
		}
		measured := at >= scenario.WarmUp
		offset := at - scenario.WarmUp
		inFlight.Go(func() {
			result := chosen.Do(ctx, call)
			if !measured {
				return
			}
			sample := Sample{
				At: offset, Service: workload.Service, ID: call.ID, Write: call.Method != http.MethodGet,
				Latency: time.Since(intended), Result: result,
			}
			s.Add(sample)
			if scenario.OnSample != nil {
				scenario.OnSample(sample)
			}
		})
	}
}

// draw returns the nth call. The caller replaces the placeholder of its idempotency key,
// which holds the time of the call.
func (w Workload) draw(rng *rand.Rand, n int) (call caller.Call) {
	call = caller.Call{
		Service: w.Service, Method: http.MethodGet, Path: fmt.Sprintf("%s%d", w.Path, n%1000),
		ID: fmt.Sprintf("%s-%d-%08x", w.Service, n, rng.Uint32()), Work: w.Work.Sample(rng), Header: http.Header{},
	}
	if rng.Float64() < w.WriteShare {
		call.Method = http.MethodPost
		call.Body = []byte(writeBody)
		if w.Keyed {
			call.Key = "keyed"
		}
	}
	return call
}

// correlatedShare is the share of slowdowns that also affect the other server on the
// same machine.
const correlatedShare = 0.25

// InjectSlowdowns starts to make servers slow at random times until ctx ends. It returns
// at once.
func InjectSlowdowns(ctx context.Context, cluster *simulator.Cluster, neighbours generator.NoisyNeighbours, seed uint64) {
	names := slices.Sorted(maps.Keys(cluster.Servers))
	for i, name := range names {
		rng := rand.New(rand.NewPCG(seed, uint64(5000+i)))
		partner := cluster.Servers[names[min(i^1, len(names)-1)]]
		go injectServerSlowdowns(ctx, cluster.Servers[name], partner, neighbours, rng)
	}
}

// injectServerSlowdowns makes one server slow at random times, sometimes together with the
// other server on the same machine, until ctx ends.
func injectServerSlowdowns(ctx context.Context, backend, partner *simulator.Backend, neighbours generator.NoisyNeighbours, rng *rand.Rand) {
	for {
		gap, length, factor := neighbours.Next(rng)
		correlated := rng.Float64() < correlatedShare
		if !sleep(ctx, gap) {
			return
		}
		backend.SetSlowdown(factor)
		if correlated {
			partner.SetSlowdown(factor)
		}
		ok := sleep(ctx, length)
		backend.SetSlowdown(1)
		if correlated {
			partner.SetSlowdown(1)
		}
		if !ok {
			return
		}
	}
}

// sleep waits for d. It reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
