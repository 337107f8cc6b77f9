// Package estimator estimates the current latency of backend servers from the requests
// of this entry. Their weights decay exponentially with age, since load shifts within
// milliseconds. Load reports are not used, since they lag behind.
package estimator

import (
	"math"
	"time"
)

const (
	// sampleDecay is the time constant of the decay: the time in which the weight of
	// a sample falls to 1/e.
	sampleDecay = 100 * time.Millisecond
	// priorWeight is the weight, in samples, of the prior assumption that a server
	// is as fast as the mean of its service.
	priorWeight = 3.0
	// maxRatio caps the ratio of latency to mean latency of one sample, and thereby
	// its effect on the estimate.
	maxRatio = 12.0
	// meanSamples is the number of samples over which the mean latency of a service
	// is averaged. Once there are that many, the average is exponential.
	meanSamples = 500.0
	// initialMean is the assumed latency of a service before its first response.
	initialMean = 20 * time.Millisecond
	// overdueRatio is the age of an unanswered request, in mean latencies, beyond
	// which it counts as evidence of slowness.
	overdueRatio = 2.0
)

// MeanLatency is the moving average of the latency of a service. The zero value is
// ready to use. It is not safe for concurrent use.
type MeanLatency struct {
	value float64 // nanoseconds
	count float64
}

// Value returns the mean latency, or an assumed one before the first sample.
func (m *MeanLatency) Value() time.Duration {
	if m.count == 0 {
		return initialMean
	}
	return time.Duration(m.value)
}

// Add adds the latency of one response.
func (m *MeanLatency) Add(latency time.Duration) {
	m.count = min(m.count+1, meanSamples)
	m.value += (float64(latency) - m.value) / m.count
}

// Slowness estimates the latency of one server relative to the mean of its service.
// The zero value is ready to use. It is not safe for concurrent use.
type Slowness struct {
	sum       float64 // decayed sum of the ratios of latency to mean latency
	weight    float64 // decayed number of samples
	decayedAt time.Time
	worst     time.Duration // highest latency since the start
}

// decay reduces the weight of earlier samples to that at the given time.
func (s *Slowness) decay(now time.Time) {
	if age := now.Sub(s.decayedAt); age > 0 {
		factor := math.Exp(-float64(age) / float64(sampleDecay))
		s.sum *= factor
		s.weight *= factor
		s.decayedAt = now
	}
}

// Add adds the latency of one response. Mean is the mean latency of the service.
func (s *Slowness) Add(now time.Time, latency, mean time.Duration) {
	s.decay(now)
	s.worst = max(s.worst, latency)
	s.sum += min(float64(latency)/float64(mean), maxRatio)
	s.weight++
}

// AddFailure adds a failed request as a sample with the highest latency seen, and at
// least maxRatio times the mean, so that a server that fails fast does not appear
// fast.
func (s *Slowness) AddFailure(now time.Time, mean time.Duration) {
	s.Add(now, max(s.worst, time.Duration(maxRatio)*mean), mean)
}

// Value returns the slowness: 1 means as fast as the service, 2 twice as slow. The
// unanswered requests, given by their start times, count as samples of their present
// age once they are overdue.
func (s *Slowness) Value(now time.Time, mean time.Duration, unanswered []time.Time) float64 {
	s.decay(now)
	sum, weight := s.sum+priorWeight, s.weight+priorWeight
	for _, start := range unanswered {
		ratio := float64(now.Sub(start)) / float64(mean)
		if ratio > overdueRatio {
			sum += min(ratio, maxRatio)
			weight++
		}
	}
	return sum / weight
}
