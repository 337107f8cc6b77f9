package enroller

import "time"

// minStoreTimeout is the time after which a response of the store is overdue, unless the
// store has been slow.
const minStoreTimeout = 250 * time.Millisecond

// storeContact is what an entry knows of whether the store answers it. It is immutable but
// for failed.
type storeContact struct {
	// failed reports that the store refused this entry's last call, or that the response is
	// overdue.
	failed bool
	// confirmedUntil is the time until which the last response shows that the store answers.
	confirmedUntil time.Time
	// responseTime is how long the last response took.
	responseTime time.Duration
}

// timeout returns the time after which a response is overdue.
func (c storeContact) timeout() time.Duration { return max(minStoreTimeout, 2*c.responseTime) }

// withResponse returns the contact after the store has answered a renewal, when the next one
// of a relay is due at a time.
func (c storeContact) withResponse(sent, received, next time.Time) storeContact {
	c.failed = false
	c.responseTime = received.Sub(sent)
	// Until then the next renewal has been answered, or sent twice in vain.
	c.confirmedUntil = next.Add(checkInterval + 2*c.timeout())
	return c
}

// confirmed reports whether the store has answered lately.
func (c storeContact) confirmed(now time.Time) bool {
	return !c.failed && now.Before(c.confirmedUntil)
}
