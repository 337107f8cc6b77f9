package describer

import (
	"strconv"
	"strings"
	"time"
)

// MaxPause is the longest time for which a backend server may pause an entry with one
// response. Longer ones are cut to it.
const MaxPause = 10 * time.Minute

// Pause is a backend server's statement that it wants no requests from an entry for some
// time. The zero value means that it states none.
type Pause struct {
	// Until is the end of the time. It is zero if none is stated.
	Until time.Time
	// Rejected is the value of the header if it does not hold as stated: it was not a
	// number of seconds of at least zero and counts as none, or it exceeded MaxPause.
	Rejected string
}

// ParsePause parses the value of a response header that was received at now and that
// states a number of seconds, with or without a fraction.
func ParsePause(now time.Time, value string) Pause {
	value = strings.TrimSpace(value)
	if value == "" {
		return Pause{}
	}
	seconds, err := strconv.ParseFloat(value, 64)
	switch {
	case seconds > MaxPause.Seconds():
		return Pause{Until: now.Add(MaxPause), Rejected: value}
	case err != nil || !(seconds >= 0):
		return Pause{Rejected: value}
	case seconds == 0:
		return Pause{}
	}
	return Pause{Until: now.Add(time.Duration(seconds * float64(time.Second)))}
}
