// Package generator draws the load of measurements: arrivals, work and noisy
// neighbours. It knows nothing of the policies that are measured.
package generator

import (
	"math"
	"math/rand/v2"
	"time"
)

// Distribution draws the work of calls.
type Distribution interface {
	Sample(rng *rand.Rand) time.Duration
	Mean() time.Duration
}

// Lognormal work has a mean and a 99th percentile.
type Lognormal struct{ mu, sigma float64 }

// z99 is the 99th percentile of the standard normal distribution.
const z99 = 2.3263478740408408

// NewLognormal returns work with a mean, of which 99 in 100 calls stay below p99.
func NewLognormal(mean, p99 time.Duration) Lognormal {
	l := math.Log(float64(p99) / float64(mean))
	sigma := z99 - math.Sqrt(z99*z99-2*l)
	return Lognormal{mu: math.Log(float64(mean)) - sigma*sigma/2, sigma: sigma}
}

// Sample implements Distribution.
func (w Lognormal) Sample(rng *rand.Rand) time.Duration {
	return time.Duration(math.Exp(w.mu + w.sigma*rng.NormFloat64()))
}

// Mean implements Distribution.
func (w Lognormal) Mean() time.Duration {
	return time.Duration(math.Exp(w.mu + w.sigma*w.sigma/2))
}

// Bimodal work is short, but for a share of long calls.
type Bimodal struct {
	Short, Long time.Duration
	LongShare   float64
}

// Sample implements Distribution.
func (w Bimodal) Sample(rng *rand.Rand) time.Duration {
	if rng.Float64() < w.LongShare {
		return w.Long
	}
	return w.Short
}

// Mean implements Distribution.
func (w Bimodal) Mean() time.Duration {
	return time.Duration(float64(w.Short)*(1-w.LongShare) + float64(w.Long)*w.LongShare)
}

// Arrivals draws the gaps between calls.
type Arrivals struct {
	// PerSecond is the mean rate.
	PerSecond float64
	// Burst is the factor of the rate in bursts. One means none.
	Burst float64
	// BurstPeriod and BurstLength place a burst at the start of each period.
	BurstPeriod, BurstLength time.Duration
}

// Interarrival draws the time to the next call from a time since the start.
func (a Arrivals) Interarrival(rng *rand.Rand, at time.Duration) time.Duration {
	rate := a.PerSecond
	if a.Burst > 1 && a.BurstPeriod > 0 {
		part := float64(a.BurstLength) / float64(a.BurstPeriod)
		base := rate / (1 + part*(a.Burst-1))
		rate = base
		if at%a.BurstPeriod < a.BurstLength {
			rate = base * a.Burst
		}
	}
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// NoisyNeighbours draws the slowdowns of one machine.
type NoisyNeighbours struct {
	MinFactor, MaxFactor float64
	MinLength, MaxLength time.Duration
	MeanGap              time.Duration
}

// DefaultNoisyNeighbours is the disturbance of servers that share machines with others.
func DefaultNoisyNeighbours() NoisyNeighbours {
	return NoisyNeighbours{
		MinFactor: 2, MaxFactor: 10, MinLength: 5 * time.Millisecond, MaxLength: 200 * time.Millisecond,
		MeanGap: 500 * time.Millisecond,
	}
}

// Next draws the time to the next slowdown, its length and its factor.
func (n NoisyNeighbours) Next(rng *rand.Rand) (gap, length time.Duration, factor float64) {
	gap = time.Duration(rng.ExpFloat64() * float64(n.MeanGap))
	length = n.MinLength + time.Duration(rng.Int64N(int64(n.MaxLength-n.MinLength)))
	factor = n.MinFactor + rng.Float64()*(n.MaxFactor-n.MinFactor)
	return gap, length, factor
}
