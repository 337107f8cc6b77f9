package subsetter

import (
	"math"
	"time"
)

// rateDecay is the time constant of the decay of earlier requests in a rate. At one request a
// second, below which the size falls, ten requests count, so that it does not vary by chance.
const rateDecay = 10 * time.Second

// Rate is the exponentially averaged rate of an entry's requests to one service. The zero
// value is ready to use. It is not safe for concurrent use.
type Rate struct {
	count float64
	at    time.Time
}

// Observe records a request.
func (r *Rate) Observe(now time.Time) {
	r.count = r.decayed(now) + 1
	r.at = now
}

// PerSecond returns the rate.
func (r *Rate) PerSecond(now time.Time) float64 { return r.decayed(now) / rateDecay.Seconds() }

func (r *Rate) decayed(now time.Time) float64 {
	return r.count * math.Exp(-float64(now.Sub(r.at))/float64(rateDecay))
}
