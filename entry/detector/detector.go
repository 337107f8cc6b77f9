// Package detector decides for a service whether an entry is cut off from all servers.
// Failed and unanswered attempts raise the doubt; checks that connect to several servers
// settle it, since one server that fails says nothing about the entry.
package detector

import "time"

const (
	// UnansweredLimit is the age of an attempt from which it raises a doubt, if no server
	// of the service has answered for as long.
	UnansweredLimit = 250 * time.Millisecond
	// minCheckGap is the minimum time between the starts of two checks.
	minCheckGap = 100 * time.Millisecond
	// answeringFor is the time after an answer for which more may come on open
	// connections.
	answeringFor = time.Second
)

// Contact is what an entry knows of its contact with servers, by the attempts of one
// service. It is not safe for concurrent use.
type Contact struct {
	// failedAt is the time of the last failure that raised a doubt.
	failedAt   time.Time
	lastAnswer time.Time
	// checkedAt is the start of the last check, reachedAt that of the last check that
	// reached a server.
	checkedAt time.Time
	reachedAt time.Time
	// lostAt is the time from which the entry counts as cut off, or zero.
	lostAt time.Time
	// regainedAt is the end of the last cut.
	regainedAt time.Time
	// silent is closed while the entry is cut off and no server answers on open
	// connections either.
	silent   chan struct{}
	isSilent bool
}

// New returns the state of an entry that is in contact.
func New(now time.Time) *Contact {
	return &Contact{reachedAt: now, lastAnswer: now, silent: make(chan struct{})}
}

// RecordAnswer records that a server answered.
func (c *Contact) RecordAnswer(now time.Time) { c.lastAnswer = now }

// RecordFailure records an attempt or a probe that failed, which may be due to the server
// or to the entry.
func (c *Contact) RecordFailure(now time.Time) { c.failedAt = now }

// CheckDue reports whether a check should begin now. Oldest is the start of the oldest
// unanswered attempt, or zero.
func (c *Contact) CheckDue(now, oldest time.Time) bool {
	gap := now.Sub(c.checkedAt)
	switch {
	case gap < minCheckGap:
		return false
	case c.Lost(), c.failedAt.After(c.checkedAt):
		return true
	}
	return gap >= UnansweredLimit && c.unanswered(now, oldest)
}

// unanswered reports whether an attempt has waited for UnansweredLimit, and no server has
// answered any for as long.
func (c *Contact) unanswered(now, oldest time.Time) bool {
	return !oldest.IsZero() && now.Sub(oldest) >= UnansweredLimit && now.Sub(c.lastAnswer) >= UnansweredLimit
}

// BeginCheck records the start of a check.
func (c *Contact) BeginCheck(now time.Time) { c.checkedAt = now }

// EndCheck records the result of a check that began at began. Oldest is the start of the
// oldest unanswered attempt, or zero. Changed is true if the contact was lost or regained
// by it.
func (c *Contact) EndCheck(now, began, oldest time.Time, reached bool) (changed bool) {
	wasLost := c.Lost()
	switch {
	case reached && began.After(c.reachedAt):
		c.reachedAt = began
	case !reached && began.Before(c.reachedAt):
		// A later check has reached a server.
		return false
	}
	if reached {
		if wasLost {
			c.lostAt, c.regainedAt = time.Time{}, now
			if c.isSilent {
				c.silent, c.isSilent = make(chan struct{}), false
			}
		}
		return wasLost
	}
	if !wasLost {
		c.lostAt = now
	}
	if !c.isSilent && c.unanswered(now, oldest) {
		c.isSilent = true
		close(c.silent)
	}
	return !wasLost
}

// Lost reports whether the entry is cut off.
func (c *Contact) Lost() bool { return !c.lostAt.IsZero() }

// LostAt returns the time from which the entry counts as cut off, or zero.
func (c *Contact) LostAt() time.Time { return c.lostAt }

// RegainedAt returns the end of the last cut, or zero.
func (c *Contact) RegainedAt() time.Time { return c.regainedAt }

// ConfirmedSince reports whether a check that began at or after a time has reached a
// server, so that a failure at that time is the failing server's own.
func (c *Contact) ConfirmedSince(at time.Time) bool { return !c.reachedAt.Before(at) }

// Answering reports whether servers still answer on open connections although the contact
// is lost.
func (c *Contact) Answering(now time.Time) bool {
	return c.Lost() && !c.isSilent && c.lastAnswer.After(c.lostAt) && now.Sub(c.lastAnswer) < answeringFor
}

// Silent returns a channel that is closed when the entry is cut off and no server
// answers on open connections either.
func (c *Contact) Silent() <-chan struct{} { return c.silent }
