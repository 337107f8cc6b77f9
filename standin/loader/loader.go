// Package loader drives open-loop load against a world and sums up what callers
// saw. Latency counts from the intended start of each call.
package loader

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
	"samphiremux/standin/hoster"
)

const (
	maxLatency = time.Minute
	figures    = 3
	// keyBody is the body of calls that must not run twice.
	keyBody = "one reservation"
)

// Plan is the load on one service.
type Plan struct {
	Service  string
	Arrivals generator.Arrivals
	Work     generator.Work
	// Path is the path of the calls.
	Path string
	// Writes is the share of calls that must not run twice.
	Writes float64
	// Keyed gives those calls idempotency keys.
	Keyed bool
}

// Run is one measured load.
type Run struct {
	Plans   []Plan
	Callers int
	// Warm is the time at the start that is not measured.
	Warm   time.Duration
	Length time.Duration
	Seed   uint64
	// Each is called for each measured call. Nil means not at all.
	Each func(Sample)
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

	Whole   *hdrhistogram.Histogram
	Refused *hdrhistogram.Histogram
	Counts  map[string]int
	Reasons map[string]int
	Writes  map[string]caller.Result
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{
		Whole:   hdrhistogram.New(1, maxLatency.Microseconds(), figures),
		Refused: hdrhistogram.New(1, maxLatency.Microseconds(), figures),
		Counts:  map[string]int{}, Reasons: map[string]int{}, Writes: map[string]caller.Result{},
	}
}

// Name names a result for counts.
func Name(r caller.Result) string {
	return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", r), "caller."))
}

// Add takes in a sample.
func (s *Summary) Add(x Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Counts[Name(x.Result)]++
	latency := min(max(x.Latency, time.Microsecond), maxLatency).Microseconds()
	switch r := x.Result.(type) {
	case caller.Whole:
		_ = s.Whole.RecordValue(latency)
	case caller.Refused:
		_ = s.Refused.RecordValue(latency)
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
	return time.Duration(s.Whole.ValueAtQuantile(q)) * time.Microsecond
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

// Site makes callers. A hoster.World is one.
type Site interface {
	NewCaller(index int) *caller.Caller
}

// Drive runs the load and returns when every call has ended.
func Drive(ctx context.Context, site Site, r Run) *Summary {
	s := NewSummary()
	callers := make([]*caller.Caller, r.Callers)
	for i := range callers {
		callers[i] = site.NewCaller(i)
		defer callers[i].Close()
	}
	var all sync.WaitGroup
	for i, p := range r.Plans {
		rng := rand.New(rand.NewPCG(r.Seed, uint64(1000+i)))
		all.Go(func() { drivePlan(ctx, r, p, rng, callers, s, &all) })
	}
	all.Wait()
	return s
}

func drivePlan(ctx context.Context, r Run, p Plan, rng *rand.Rand, callers []*caller.Caller, s *Summary, all *sync.WaitGroup) {
	start := time.Now()
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += p.Arrivals.Gap(rng, at)
		if at >= r.Warm+r.Length {
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
			call.Key = generator.NewKey(rng, intended)
		}
		measured := at >= r.Warm
		offset := at - r.Warm
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
			if r.Each != nil {
				r.Each(x)
			}
		})
	}
}

func (p Plan) draw(rng *rand.Rand, n int) (c caller.Call) {
	c = caller.Call{
		Service: p.Service, Method: http.MethodGet, Path: fmt.Sprintf("%s%d", p.Path, n%1000),
		ID: fmt.Sprintf("%s-%d-%08x", p.Service, n, rng.Uint32()), Work: p.Work.Draw(rng), Header: http.Header{},
	}
	if rng.Float64() < p.Writes {
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

// Disturb makes servers slow at random until ctx ends. It returns at once.
func Disturb(ctx context.Context, w *hoster.World, n generator.Neighbours, seed uint64) {
	names := slices.Sorted(maps.Keys(w.Servers))
	for i, name := range names {
		rng := rand.New(rand.NewPCG(seed, uint64(5000+i)))
		partner := w.Servers[names[min(i^1, len(names)-1)]]
		go disturbOne(ctx, w.Servers[name], partner, n, rng)
	}
}

func disturbOne(ctx context.Context, b, partner *hoster.Backend, n generator.Neighbours, rng *rand.Rand) {
	for {
		gap, length, factor := n.Next(rng)
		both := rng.Float64() < pairShare
		if !pause(ctx, gap) {
			return
		}
		b.SetSlow(factor)
		if both {
			partner.SetSlow(factor)
		}
		ok := pause(ctx, length)
		b.SetSlow(1)
		if both {
			partner.SetSlow(1)
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
