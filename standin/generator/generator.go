// Package generator generates random load for measurements: arrivals of calls, their
// service times, noisy neighbours and idempotency keys. It does not depend on the
// balancing policies that are measured.
package generator

import (
	"math"
	"math/rand/v2"
	"time"
)

// Distribution is a random distribution of service times.
type Distribution interface {
	Sample(rng *rand.Rand) time.Duration
	Mean() time.Duration
}

// Lognormal is a log-normal distribution.
type Lognormal struct{ mu, sigma float64 }

// z99 is the 99th percentile of the standard normal distribution.
const z99 = 2.3263478740408408

// NewLognormal returns the log-normal distribution with the given mean and 99th
// percentile.
func NewLognormal(mean, p99 time.Duration) Lognormal {
	l := math.Log(float64(p99) / float64(mean))
	sigma := z99 - math.Sqrt(z99*z99-2*l)
	return Lognormal{mu: math.Log(float64(mean)) - sigma*sigma/2, sigma: sigma}
}

// Sample implements Distribution.
func (l Lognormal) Sample(rng *rand.Rand) time.Duration {
	return time.Duration(math.Exp(l.mu + l.sigma*rng.NormFloat64()))
}

// Mean implements Distribution.
func (l Lognormal) Mean() time.Duration {
	return time.Duration(math.Exp(l.mu + l.sigma*l.sigma/2))
}

// Bimodal is a distribution of two values: Long for the share LongShare of the calls, and
// Short for the others.
type Bimodal struct {
	Short, Long time.Duration
	LongShare   float64
}

// Sample implements Distribution.
func (b Bimodal) Sample(rng *rand.Rand) time.Duration {
	if rng.Float64() < b.LongShare {
		return b.Long
	}
	return b.Short
}

// Mean implements Distribution.
func (b Bimodal) Mean() time.Duration {
	return time.Duration(float64(b.Short)*(1-b.LongShare) + float64(b.Long)*b.LongShare)
}

// Arrivals is a Poisson process of calls, optionally with periodic bursts.
type Arrivals struct {
	// PerSecond is the mean rate over time, bursts included.
	PerSecond float64
	// Burst is the factor by which the rate is higher during bursts than between
	// them. One or less means no bursts.
	Burst float64
	// BurstPeriod and BurstLength set a burst of BurstLength at the start of each
	// BurstPeriod.
	BurstPeriod, BurstLength time.Duration
}

// Interarrival returns a random time from at, which counts from the start of the load,
// to the next call.
func (a Arrivals) Interarrival(rng *rand.Rand, at time.Duration) time.Duration {
	rate := a.PerSecond
	if a.Burst > 1 && a.BurstPeriod > 0 {
		burstShare := float64(a.BurstLength) / float64(a.BurstPeriod)
		baseRate := rate / (1 + burstShare*(a.Burst-1))
		rate = baseRate
		if at%a.BurstPeriod < a.BurstLength {
			rate = baseRate * a.Burst
		}
	}
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// NoisyNeighbours describes the random slowdowns that other tenants of a machine cause.
type NoisyNeighbours struct {
	MinFactor, MaxFactor float64
	MinLength, MaxLength time.Duration
	MeanGap              time.Duration
}

// DefaultNoisyNeighbours returns the slowdowns of servers that share their machines with
// other tenants.
func DefaultNoisyNeighbours() NoisyNeighbours {
	return NoisyNeighbours{
		MinFactor: 2, MaxFactor: 10, MinLength: 5 * time.Millisecond, MaxLength: 200 * time.Millisecond,
		MeanGap: 500 * time.Millisecond,
	}
}

// Next returns a random time to the next slowdown, its length and its factor.
func (n NoisyNeighbours) Next(rng *rand.Rand) (gap, length time.Duration, factor float64) {
	gap = time.Duration(rng.ExpFloat64() * float64(n.MeanGap))
	length = n.MinLength + time.Duration(rng.Int64N(int64(n.MaxLength-n.MinLength)))
	factor = n.MinFactor + rng.Float64()*(n.MaxFactor-n.MinFactor)
	return gap, length, factor
}
