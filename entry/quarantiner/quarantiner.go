// Package quarantiner detects requests that crash the servers that run them (poison
// requests). A request during which its server crashes becomes a suspect, identified
// by its fingerprint. After two crashes, counted over all entries, the request is
// quarantined: it is refused until the quarantine expires.
//
// A crash counts only if its attempt did not overlap with that of a counted one. Servers
// that crash together for another reason lose the attempts that run there at that moment,
// while a poison request crashes the next server after the last one. Until that is known, a
// request with several crashes of which one counts runs as a trial only, once at a time. A
// success clears a suspect, also one that has just been quarantined: a poison request never
// succeeds.
package quarantiner

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// QuarantineThreshold is the number of crashes from which a request is refused.
	QuarantineThreshold = 2
	// SuspectTTL is the time after its last recorded crash for which a suspect below
	// the threshold is remembered.
	SuspectTTL = 30 * time.Second
	// QuarantineTTL is the time after its last recorded crash for which a quarantined
	// request is refused, and one that needs a trial is remembered.
	QuarantineTTL = 10 * time.Minute

	// maxSuspects bounds the suspects of one service.
	maxSuspects = 4096
	// recentSize is the size of the hash table of recent successes.
	recentSize = 4096
	// successTTL is the time for which a success protects a request from suspicion.
	successTTL = 10 * time.Second
)

// Fingerprint is a hash that identifies requests with the same service, method, URI
// and body.
type Fingerprint uint64

// String returns the fingerprint in 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

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

// Quarantine is a quarantined request of a service.
type Quarantine struct {
	Service     string
	Fingerprint Fingerprint
}

// Attempt is the time during which a server that crashed ran a request.
type Attempt struct {
	Begun time.Time
	Ended time.Time
}

func (a Attempt) overlaps(b Attempt) bool { return a.Begun.Before(b.Ended) && b.Begun.Before(a.Ended) }

func (a Attempt) within(b Attempt) bool { return !a.Begun.Before(b.Begun) && !a.Ended.After(b.Ended) }

// maxAge bounds the age of an attempt that another entry reports.
const maxAge = time.Hour

// AttemptBefore returns the attempt that began and ended a number of microseconds before
// now, as another entry reports. Entries of earlier versions report zeros.
func AttemptBefore(now time.Time, begun, ended uint64) Attempt {
	age := func(us uint64) time.Duration {
		return time.Duration(min(us, uint64(maxAge.Microseconds()))) * time.Microsecond
	}
	return Attempt{Begun: now.Add(-age(begun)), Ended: now.Add(-age(min(ended, begun)))}
}

// Ages returns how many microseconds before now the attempt began and ended.
func (a Attempt) Ages(now time.Time) (begun, ended uint64) {
	return uint64(max(0, now.Sub(a.Begun)).Microseconds()), uint64(max(0, now.Sub(a.Ended)).Microseconds())
}

// suspect is a request during which servers crashed.
type suspect struct {
	ownCrashes int // crashes that this entry saw
	// peerCrashes holds the numbers of the crashes that other entries saw, by entry id. Their
	// notices may arrive in any order.
	peerCrashes map[string]map[int]bool
	// counted holds attempts of this and other entries that ended with crashes and do not
	// overlap.
	counted []Attempt
	expires time.Time // end of the time for which the crashes count
	running int       // attempts in flight at this entry
	// stored reports that the platform's store holds the request as quarantined.
	stored bool
}

// expired reports whether the suspect is to be forgotten.
func (sp *suspect) expired(now time.Time) bool { return !sp.stored && !now.Before(sp.expires) }

func (sp *suspect) quarantined() bool { return sp.stored || sp.crashes() >= QuarantineThreshold }

// crashes returns the number of crashes that count.
func (sp *suspect) crashes() int { return len(sp.counted) }

// seen returns the number of crashes that all entries saw, whether they count or not.
func (sp *suspect) seen() (n int) {
	n = sp.ownCrashes
	for _, numbers := range sp.peerCrashes {
		n += len(numbers)
	}
	return n
}

// needsTrial reports whether too many crashes were seen for the request to run freely, and
// too few of them count for a quarantine.
func (sp *suspect) needsTrial() bool { return !sp.quarantined() && sp.seen() >= QuarantineThreshold }

// count counts a crash unless its attempt overlaps with that of a counted one. The shorter
// of two tells better what came after it.
func (sp *suspect) count(a Attempt) {
	for i, counted := range sp.counted {
		if a.overlaps(counted) {
			if a.within(counted) {
				sp.counted[i] = a
			}
			return
		}
	}
	if len(sp.counted) < QuarantineThreshold {
		sp.counted = append(sp.counted, a)
	}
}

// success is the latest success of a request.
type success struct {
	fingerprint Fingerprint
	at          time.Time
}

// Suspects holds the suspects of one service at one entry. It is not safe for
// concurrent use.
type Suspects struct {
	suspects map[Fingerprint]*suspect
	recent   []success // indexed by fingerprint modulo recentSize
}

// New returns an empty set of suspects.
func New() *Suspects {
	return &Suspects{suspects: map[Fingerprint]*suspect{}, recent: make([]success, recentSize)}
}

// get returns a suspect, or nil if there is none or it has expired.
func (s *Suspects) get(now time.Time, f Fingerprint) *suspect {
	sp, ok := s.suspects[f]
	if ok && sp.expired(now) {
		delete(s.suspects, f)
		return nil
	}
	return sp
}

// Admit reports whether a new request may be admitted. A suspect runs once at a time,
// and only at the entry that saw the crash.
func (s *Suspects) Admit(now time.Time, f Fingerprint) bool {
	sp := s.get(now, f)
	return sp == nil || sp.mayRun()
}

// mayRun reports whether an attempt may begin at this entry. It may not if another
// entry saw a crash, since that entry makes attempts of its own, but for a trial after
// crashes that several entries saw.
func (sp *suspect) mayRun() bool {
	sawCrash := len(sp.peerCrashes) == 0 || (sp.needsTrial() && sp.ownCrashes > 0)
	return !sp.quarantined() && sawCrash && sp.running == 0
}

// NeedsTrial reports whether the request may run only as a trial.
func (s *Suspects) NeedsTrial(now time.Time, f Fingerprint) bool {
	sp := s.get(now, f)
	return sp != nil && sp.needsTrial()
}

// BeginTrial reports whether a trial may begin at this entry, at which no other one runs. If
// it reports true, End must follow.
func (s *Suspects) BeginTrial(now time.Time, f Fingerprint) bool {
	sp := s.get(now, f)
	if sp == nil || !sp.needsTrial() || sp.running > 0 {
		return false
	}
	sp.running++
	return true
}

// Quarantined reports whether a request has crashed so many servers that it must not
// be sent to another one.
func (s *Suspects) Quarantined(now time.Time, f Fingerprint) bool {
	sp := s.get(now, f)
	return sp != nil && sp.quarantined()
}

// Fingerprints returns the fingerprints of the quarantined requests.
func (s *Suspects) Fingerprints(now time.Time) (quarantined []Fingerprint) {
	for f, sp := range s.suspects {
		if !sp.expired(now) && sp.quarantined() {
			quarantined = append(quarantined, f)
		}
	}
	return quarantined
}

// SetStored records whether the store holds a request as quarantined. One that the store
// ceases to hold stays in quarantine for the crashes that are known here.
func (s *Suspects) SetStored(now time.Time, f Fingerprint, stored bool) {
	if stored {
		sp := s.getOrAdd(now, f)
		sp.stored = true
		if sp.expires.IsZero() {
			sp.expires = now.Add(QuarantineTTL)
		}
		return
	}
	if sp := s.get(now, f); sp != nil {
		sp.stored = false
	}
}

// Begin reports whether an admitted request may be sent to a server now. Admit is not
// enough, since requests with the same fingerprint may have been admitted before the
// first crash. If Begin reports true, End must follow.
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

// End records the end of an attempt that Begin allowed.
func (s *Suspects) End(now time.Time, f Fingerprint) {
	if sp := s.get(now, f); sp != nil && sp.running > 0 {
		sp.running--
	}
}

// RecordSuccess records a successful response. It reports true if that cleared a
// suspect, of which the other entries must be notified. One that the store holds as
// quarantined is not cleared.
func (s *Suspects) RecordSuccess(now time.Time, f Fingerprint) (cleared bool) {
	s.recent[uint64(f)%recentSize] = success{f, now}
	return s.clear(now, f)
}

// clear removes a suspect unless the store holds it, and reports whether there was one.
func (s *Suspects) clear(now time.Time, f Fingerprint) (cleared bool) {
	sp := s.get(now, f)
	if sp == nil || sp.stored {
		return false
	}
	delete(s.suspects, f)
	return true
}

// RecordCrash records that a server crashed during an attempt, and returns the number of
// crashes that this entry saw. It returns zero for a request that has succeeded recently,
// which does not become a suspect.
func (s *Suspects) RecordCrash(now time.Time, f Fingerprint, a Attempt) (crashes int) {
	last := s.recent[uint64(f)%recentSize]
	if last.fingerprint == f && now.Sub(last.at) < successTTL {
		return 0
	}
	sp := s.getOrAdd(now, f)
	sp.ownCrashes++
	sp.count(a)
	sp.expires = now.Add(TTLFor(sp.seen()))
	return sp.ownCrashes
}

// getOrAdd returns a suspect, which it adds if there is none.
func (s *Suspects) getOrAdd(now time.Time, f Fingerprint) *suspect {
	sp := s.get(now, f)
	if sp == nil {
		s.evict(now)
		sp = &suspect{peerCrashes: map[string]map[int]bool{}}
		s.suspects[f] = sp
	}
	return sp
}

// TTLFor returns the time for which a request is remembered for which a number of crashes
// were seen.
func TTLFor(crashes int) time.Duration {
	if crashes >= QuarantineThreshold {
		return QuarantineTTL
	}
	return SuspectTTL
}

// RecordPeerCrash records the crash that another entry saw as its nth for the request, from
// 1. Zero clears the suspect unless the store holds it.
func (s *Suspects) RecordPeerCrash(now time.Time, f Fingerprint, entry string, n int, a Attempt) {
	if n == 0 {
		s.clear(now, f)
		return
	}
	sp := s.getOrAdd(now, f)
	if sp.peerCrashes[entry] == nil {
		sp.peerCrashes[entry] = map[int]bool{}
	}
	if !sp.peerCrashes[entry][n] {
		sp.peerCrashes[entry][n] = true
		sp.count(a)
	}
	sp.expires = now.Add(TTLFor(sp.seen()))
}

// evict makes room for one more suspect. If the set is full, it removes the expired
// suspects, or, if there are none, the one that expires first.
func (s *Suspects) evict(now time.Time) {
	if len(s.suspects) < maxSuspects {
		return
	}
	var first Fingerprint
	var firstExpiry time.Time
	for f, sp := range s.suspects {
		if sp.expired(now) {
			delete(s.suspects, f)
			continue
		}
		if firstExpiry.IsZero() || sp.expires.Before(firstExpiry) {
			first, firstExpiry = f, sp.expires
		}
	}
	if len(s.suspects) >= maxSuspects {
		delete(s.suspects, first)
	}
}

// Len returns the number of suspects, including quarantined and expired ones that are
// not removed yet.
func (s *Suspects) Len() int { return len(s.suspects) }
