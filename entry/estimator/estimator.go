// Package estimator learns how fast a backend server is now. It weighs the
// timings of own requests by their age, since load shifts in milliseconds and
// reports lag.
package estimator

import (
	"math"
	"time"
)

const (
	// sampleLife is the time in which a sample loses all but 1/e of its weight.
	sampleLife = 100 * time.Millisecond
	// priorWeight is the weight of the assumption that a server is as fast as
	// its service.
	priorWeight = 3.0
	// maxRatio bounds the weight of one sample in the estimate.
	maxRatio = 12.0
	// meanLife is the number of samples that the mean of a service covers.
	meanLife = 500.0
	// initialMean is the assumed latency of a service before its first answer.
	initialMean = 20 * time.Millisecond
	// overdueRatio is the age of an unanswered request, in mean latencies, from
	// which it counts as evidence of slowness.
	overdueRatio = 2.0
)

// MeanLatency is the mean latency of a service over its recent answers.
type MeanLatency struct {
	value float64 // nanoseconds
	count float64
}

// Value returns the mean latency.
func (m *MeanLatency) Value() time.Duration {
	if m.count == 0 {
		return initialMean
	}
	return time.Duration(m.value)
}

// Add takes in the latency of one answer.
func (m *MeanLatency) Add(latency time.Duration) {
	m.count = min(m.count+1, meanLife)
	m.value += (float64(latency) - m.value) / m.count
}

// Slowness is the slowness of one server relative to its service.
type Slowness struct {
	sum    float64
	weight float64
	at     time.Time
	worst  time.Duration
}

func (s *Slowness) decay(now time.Time) {
	if age := now.Sub(s.at); age > 0 {
		f := math.Exp(-float64(age) / float64(sampleLife))
		s.sum *= f
		s.weight *= f
		s.at = now
	}
}

// Add takes in the latency of one answer.
func (s *Slowness) Add(now time.Time, latency, mean time.Duration) {
	s.decay(now)
	s.worst = max(s.worst, latency)
	s.sum += min(float64(latency)/float64(mean), maxRatio)
	s.weight++
}

// AddFailure takes in a failed request as one with the worst latency seen, so that
// a server that fails fast does not look fast.
func (s *Slowness) AddFailure(now time.Time, mean time.Duration) {
	s.Add(now, max(s.worst, time.Duration(maxRatio)*mean), mean)
}

// Value returns the slowness: 1 is as fast as the service. The start times of
// unanswered requests count as evidence once they are overdue.
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
