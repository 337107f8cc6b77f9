package describer

import (
	"math"
	"strconv"
	"strings"
)

// RateLimit is the rate limit that a backend server states in its responses while it is
// overloaded. The zero value means that it states none.
type RateLimit struct {
	// PerSecond is the number of requests per second that the server accepts from all
	// entries together.
	PerSecond float64
	Stated    bool
}

// ParseRateLimit parses the value of a response header that states a rate limit. One that
// is not a finite number of at least zero states none.
func ParseRateLimit(value string) RateLimit {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsInf(perSecond, 0) || !(perSecond >= 0) {
		return RateLimit{}
	}
	return RateLimit{PerSecond: perSecond, Stated: true}
}
