// Package quarantiner finds requests that kill the servers that run them. A
// request whose server dies under it becomes a suspect by its fingerprint, and
// after two deaths over all entries it is refused until a deadline.
package quarantiner

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// QuarantineThreshold is the number of deaths from which a request is refused.
	QuarantineThreshold = 2
	// SuspectTTL is the time for which a single death is remembered.
	SuspectTTL = 30 * time.Second
	// QuarantineTTL is the time for which a request is refused.
	QuarantineTTL = 10 * time.Minute

	maxSuspects   = 4096
	recentSlots   = 4096
	recentSuccess = 10 * time.Second
)

// Fingerprint identifies requests that are the same to a server.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(service, method, uri string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{service, method, uri} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

type suspect struct {
	own      int
	heard    map[string]int // deaths by the entry that saw them
	deadline time.Time
	running  int
}

// deaths sums what all entries saw.
func (sp *suspect) deaths() (n int) {
	n = sp.own
	for _, d := range sp.heard {
		n += d
	}
	return n
}

type success struct {
	fingerprint Fingerprint
	at          time.Time
}

// Suspects is the state of one service at one entry. It is not safe for
// concurrent use.
type Suspects struct {
	all    map[Fingerprint]*suspect
	recent []success
}

// New returns an empty state.
func New() *Suspects {
	return &Suspects{all: map[Fingerprint]*suspect{}, recent: make([]success, recentSlots)}
}

func (s *Suspects) get(now time.Time, f Fingerprint) *suspect {
	sp, ok := s.all[f]
	if ok && !now.Before(sp.deadline) {
		delete(s.all, f)
		return nil
	}
	return sp
}

// Admit tells whether a new request may begin. Suspects run one at a time, and
// only at the entry that saw the death.
func (s *Suspects) Admit(now time.Time, f Fingerprint) bool {
	sp := s.get(now, f)
	return sp == nil || sp.mayRun()
}

// mayRun tells whether a trial may begin here. Another entry that saw a death
// runs its own.
func (sp *suspect) mayRun() bool {
	return sp.deaths() < QuarantineThreshold && len(sp.heard) == 0 && sp.running == 0
}

// Quarantined tells whether a request has killed so many servers that it is not
// sent to another one.
func (s *Suspects) Quarantined(now time.Time, f Fingerprint) bool {
	sp := s.get(now, f)
	return sp != nil && sp.deaths() >= QuarantineThreshold
}

// Begin tells whether a request that was admitted may be sent to a server now.
// It must be ended by End. Requests of the same kind may have been admitted
// before the first death.
func (s *Suspects) Begin(now time.Time, f Fingerprint) bool {
	sp := s.get(now, f)
	if sp == nil {
		return true
	}
	if !sp.mayRun() {
		return false
	}
	sp.running++
	return true
}

// End notes that an attempt has ended.
func (s *Suspects) End(now time.Time, f Fingerprint) {
	if sp := s.get(now, f); sp != nil && sp.running > 0 {
		sp.running--
	}
}

// RecordSuccess notes an answer. It reports true if that cleared a suspicion that
// other entries must hear of.
func (s *Suspects) RecordSuccess(now time.Time, f Fingerprint) (cleared bool) {
	s.recent[uint64(f)%recentSlots] = success{f, now}
	sp := s.get(now, f)
	if sp == nil || sp.deaths() >= QuarantineThreshold {
		return false
	}
	delete(s.all, f)
	return true
}

// RecordCrash notes that a server died while it ran a request, and returns the deaths
// that this entry saw. A request that succeeded a short time ago is not
// suspected: zero.
func (s *Suspects) RecordCrash(now time.Time, f Fingerprint) (deaths int) {
	last := s.recent[uint64(f)%recentSlots]
	if last.fingerprint == f && now.Sub(last.at) < recentSuccess {
		return 0
	}
	sp := s.getOrAdd(now, f)
	sp.own++
	sp.deadline = now.Add(TTL(sp.deaths()))
	return sp.own
}

func (s *Suspects) getOrAdd(now time.Time, f Fingerprint) *suspect {
	sp := s.get(now, f)
	if sp == nil {
		s.makeRoom(now)
		sp = &suspect{heard: map[string]int{}}
		s.all[f] = sp
	}
	return sp
}

// TTL returns how long a number of deaths is remembered.
func TTL(deaths int) time.Duration {
	if deaths >= QuarantineThreshold {
		return QuarantineTTL
	}
	return SuspectTTL
}

// RecordPeerCrashes takes in the deaths that another entry saw. Zero deaths clears the
// suspicion.
func (s *Suspects) RecordPeerCrashes(now time.Time, f Fingerprint, entry string, deaths int) {
	if deaths == 0 {
		if sp := s.get(now, f); sp != nil && sp.deaths() < QuarantineThreshold {
			delete(s.all, f)
		}
		return
	}
	sp := s.getOrAdd(now, f)
	sp.heard[entry] = max(sp.heard[entry], deaths)
	sp.deadline = now.Add(TTL(sp.deaths()))
}

// makeRoom keeps the state bounded. It forgets lapsed suspects first.
func (s *Suspects) makeRoom(now time.Time) {
	if len(s.all) < maxSuspects {
		return
	}
	var oldest Fingerprint
	var at time.Time
	for f, sp := range s.all {
		if !now.Before(sp.deadline) {
			delete(s.all, f)
			continue
		}
		if at.IsZero() || sp.deadline.Before(at) {
			oldest, at = f, sp.deadline
		}
	}
	if len(s.all) >= maxSuspects {
		delete(s.all, oldest)
	}
}

// Len returns the number of suspects.
func (s *Suspects) Len() int { return len(s.all) }
