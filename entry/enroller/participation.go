package enroller

import "time"

// settleTime is the time from the registration of an entry until it takes part in limits that
// all entries share. Within it the others learn of the registration.
const settleTime = 3 * time.Second

// participation is the time in which an entry takes part in limits that all entries share.
// Entries that do not count one another would exceed them together, so it begins when the
// entry is registered, and knows those that registered before it.
type participation struct {
	// from is when it begins. It is zero if the entry has not been registered.
	from time.Time
	// until is when it ends. It is zero while the entry is registered.
	until time.Time
	// resumed is set while the registration of the previous process is kept.
	resumed bool
}

// includes reports whether the entry takes part at a time.
func (p participation) includes(now time.Time) bool {
	return !p.from.IsZero() && !now.Before(p.from) && (p.until.IsZero() || now.Before(p.until))
}

// withRegistration returns the participation of an entry that is registered. One that was
// registered until lately takes part as before.
func (p participation) withRegistration(now time.Time) participation {
	switch {
	case p.from.IsZero(), !p.until.IsZero() && !now.Before(p.until):
		return participation{from: now.Add(settleTime)}
	default:
		return participation{from: p.from, resumed: p.resumed}
	}
}

// withResumption returns the participation of an entry whose registration was kept.
func (p participation) withResumption() participation {
	p.resumed = !p.from.IsZero() && p.until.IsZero()
	return p
}

// withoutRegistration returns the participation of an entry whose registration was removed.
// It ends before the others cease to count the entry.
func (p participation) withoutRegistration(now time.Time) participation {
	if p.from.IsZero() || !p.until.IsZero() {
		return p
	}
	return participation{from: p.from, until: now.Add(departedMemory / 2)}
}
