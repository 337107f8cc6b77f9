package snapshotter

import (
	"time"

	"samphiremux/pkg/describer"
)

// Changes is what this entry has observed of a server since a time.
type Changes struct {
	// Load is the last load report since then, unless HasLoad is false.
	Load    describer.Load
	HasLoad bool
	// Ejected reports whether the server is ejected now.
	Ejected bool
	// Lost reports whether its registration has ended since then, by its removal or by a newer
	// incarnation, or another server was found at its address.
	Lost bool
}

// Changed returns a channel that is closed by the next load report, ejection or loss of the
// server. It is to be taken before Changes is called, so that no change is missed.
func (s *ServerState) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Changes returns what this entry has observed of the server since a time.
func (s *ServerState) Changes(now, since time.Time) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Changes{Load: s.load, HasLoad: s.loadAt.After(since), Ejected: now.Before(s.ejectedUntil), Lost: s.lostAt.After(since)}
}

// notify ends the wait for a change. The caller holds the lock.
func (s *ServerState) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// endRegistration records that the registration has ended, and closes the idle connections.
func (s *ServerState) endRegistration(now time.Time) {
	s.setLost(now)
	s.Close()
}

// SetReplaced records that another server now has the address, so that this one gets no more
// requests.
func (s *ServerState) SetReplaced(now time.Time) {
	s.SetLeaving()
	s.setLost(now)
}

func (s *ServerState) setLost(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAt = now
	s.notify()
}
