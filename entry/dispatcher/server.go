package dispatcher

import (
	"slices"
	"time"

	"samphiremux/entry/chooser"
	"samphiremux/entry/detector"
	"samphiremux/entry/estimator"
	"samphiremux/entry/limiter"
	"samphiremux/entry/retrier"
	"samphiremux/entry/throttler"
	"samphiremux/pkg/describer"
	"samphiremux/pkg/parser"
)

const (
	// ejectAfter is the number of consecutive failures from which a server is
	// ejected, that is, gets no requests for a while.
	ejectAfter = 3
	// firstEjection is the duration of a first ejection. It doubles with each
	// further ejection up to maxEjection.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 8 * time.Second
	// releaseAfter is the number of consecutive reports without work from which a
	// holder releases its floor to the others.
	releaseAfter = 5
	// suspectColdCap is the time for which a holder caps itself at a server that may
	// have turned cold. A capped holder uses CappedQuota: one request at most.
	suspectColdCap = time.Second
	// slowRatio is the slowness above which a server may have turned cold and its
	// quota is reduced.
	slowRatio = 1.4
	// slowReportRatio is the slowness above which a server is reported as slow, so that
	// its owner does not raise the limit.
	slowReportRatio = 2.5
	// crossDomainLatency is the latency that another failure domain adds to a request.
	crossDomainLatency = time.Millisecond
)

// Placement is a backend server as one entry uses it.
type Placement struct {
	Server parser.Server
	// DomainOut is true if the server's failure domain is out of service.
	DomainOut bool
	// SameDomain is true if the server is in the entry's failure domain.
	SameDomain bool
	// Holders is the number of entries that use the server.
	Holders int
	// Rank is the position of this entry among the holders, from 0.
	Rank int
	// Owner is the id of the entry that grants parts of the server's limit. It may
	// be empty.
	Owner string
}

// server is the state of one backend server at one entry.
type server struct {
	placement Placement
	allotment limiter.Allotment
	slowness  estimator.Slowness
	// starts holds the start times of the attempts in flight.
	starts []time.Time

	// sampleFrom is when the next attempt may be sampled for comparison with other
	// versions.
	sampleFrom time.Time

	// draining is true if the server itself or its owner announced that it is
	// leaving.
	draining bool
	// vmLeaving is true if the platform's list of VMs lists the server's VM as leaving.
	vmLeaving bool
	// failures counts consecutive failures; an ejection resets it.
	failures int
	// ejections counts the ejections since the last successful response, up to 10, so
	// that the shift of firstEjection cannot overflow.
	ejections    int
	ejectedUntil time.Time

	// idleReports counts consecutive reports without any work.
	idleReports int
	// peak is the maximum number of attempts in flight since the last report.
	// completed, refused and failed count the attempts that ended since then.
	peak      int
	completed int
	refused   int
	failed    int
	// suspectCold is true if the server may have turned cold since the last report.
	suspectCold bool
	// suspectedAt is the time of the first sign that it has.
	suspectedAt time.Time
	// drainUnreported is true if the server announced that it is leaving after the
	// last report. A grant does not overrule that.
	drainUnreported bool

	pause      *throttler.Pause
	rateLimit  describer.RateLimit
	rateTokens throttler.TokenBucket
	// rateLimitUnreported is true if a response after the last report stated a rate limit,
	// or was the first one to state none any more. A grant does not overrule that.
	rateLimitUnreported bool
}

// leaving reports whether the server must not get new requests.
func (s *server) leaving() bool {
	return s.placement.DomainOut || s.placement.Server.Leaving || s.draining || s.vmLeaving
}

// ejected reports whether the server is ejected as an outlier.
func (s *server) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// quota returns the number of requests that this entry may have in flight at the
// server now. After an ejection it is at most 1 until the next successful
// response.
func (s *server) quota(now time.Time, slowness float64) int {
	q := s.allotment.Quota(now, s.placement.Server.Slots, s.placement.Holders, s.placement.Rank)
	if slowness > slowRatio {
		q = min(q, limiter.SlowServerQuota(s.placement.Server.Slots, s.placement.Holders, s.placement.Rank, slowness))
	}
	if s.ejections > 0 {
		q = min(q, 1)
	}
	if !s.hasRateToken(now) {
		q = min(q, len(s.starts))
	}
	return q
}

// rateLimitHolders returns the number of entries that share the server's rate limit, and
// whether this entry is one of them.
func (s *server) rateLimitHolders() (holders int, isHolder bool) {
	holders = throttler.Holders(s.rateLimit.PerSecond, s.placement.Holders)
	return holders, s.placement.Rank < holders
}

// hasRateToken reports whether this entry may send a request now by the rate limit that
// the server states, if any.
func (s *server) hasRateToken(now time.Time) bool {
	if !s.rateLimit.Stated {
		return true
	}
	holders, isHolder := s.rateLimitHolders()
	return isHolder && s.rateTokens.Ready(now, s.rateLimit.PerSecond, holders)
}

// candidate returns the server as the chooser sees it.
func (s *server) candidate(now time.Time, index int, mean time.Duration) chooser.Candidate {
	slowness := s.slowness.Value(now, mean, s.starts)
	quota := s.quota(now, slowness)
	c := chooser.Candidate{
		Index:       index,
		InFlight:    len(s.starts),
		Quota:       quota,
		SlotShare:   float64(s.placement.Server.Slots*quota) / float64(limiter.MaxInFlight(s.placement.Server.Slots)),
		Slowness:    slowness,
		MeanLatency: mean,
	}
	if !s.placement.SameDomain {
		c.CrossDomainLatency = crossDomainLatency
	}
	return c
}

// begin counts an attempt as in flight.
func (s *server) begin(now time.Time) {
	if s.rateLimit.Stated {
		holders, _ := s.rateLimitHolders()
		s.rateTokens.Take(now, s.rateLimit.PerSecond, holders)
	}
	s.starts = append(s.starts, now)
	s.peak = max(s.peak, len(s.starts))
}

// end removes an attempt from those in flight.
func (s *server) end(start time.Time) {
	if i := slices.Index(s.starts, start); i >= 0 {
		s.starts = slices.Delete(s.starts, i, i+1)
	}
}

// recordOutcome updates the state of the server with the outcome of an attempt.
func (s *server) recordOutcome(now time.Time, start time.Time, o retrier.Outcome, failedResponse bool, mean time.Duration) {
	switch o.(type) {
	case retrier.Answered:
		s.completed++
		if failedResponse {
			s.slowness.AddFailure(now, mean)
			s.recordFailure(now)
			return
		}
		s.slowness.Add(now, now.Sub(start), mean)
		s.failures, s.ejections = 0, 0
	case retrier.Shed:
		s.refused++
		s.slowness.AddFailure(now, mean)
	case retrier.NotSent, retrier.ConnectionLost:
		s.markSuspectCold(now)
		s.slowness.AddFailure(now, mean)
		s.recordFailure(now)
	case retrier.TimedOut, retrier.Unconfirmed, retrier.Truncated, retrier.Mismatched:
		s.slowness.AddFailure(now, mean)
		s.recordFailure(now)
	case retrier.Oversized:
	}
}

// markSuspectCold handles a connection that failed or broke: the server may have
// restarted cold.
func (s *server) markSuspectCold(now time.Time) {
	if !s.suspectCold {
		s.suspectCold, s.suspectedAt = true, now
	}
	s.allotment = s.allotment.WithoutFloor().WithCap(now.Add(suspectColdCap))
}

// recordFailure counts a failure, and ejects the server if too many came in a row.
func (s *server) recordFailure(now time.Time) {
	s.failed++
	s.failures++
	if s.failures < ejectAfter {
		return
	}
	s.failures = 0
	s.ejectedUntil = now.Add(min(firstEjection<<s.ejections, maxEjection))
	s.ejections = min(s.ejections+1, 10)
}

// report returns what was seen since the last report, and resets the counters. A
// suspicion is kept back until a check has confirmed that it is not the entry that is cut
// off. An entry without contact gives up its floor while nothing of it is in flight; for open
// connections that still work it gets grants by its demand.
func (s *server) report(now time.Time, holder string, waiting int, mean time.Duration, contact *detector.Contact) limiter.Report {
	s.idleReports++
	switch {
	case contact.Lost() && len(s.starts) == 0:
		s.idleReports = releaseAfter
	case s.peak+waiting > 0:
		s.idleReports = 0
	}
	suspectCold := s.suspectCold && contact.ConfirmedSince(s.suspectedAt)
	if s.idleReports >= releaseAfter {
		s.allotment = s.allotment.WithFloorReleased(true)
	}
	r := limiter.Report{
		Holder:      holder,
		Holding:     s.allotment.Holding(now, s.placement.Server.Slots, s.placement.Holders, s.placement.Rank),
		InFlight:    len(s.starts),
		Demand:      s.peak + waiting,
		Completed:   s.completed,
		Refused:     s.refused,
		Failed:      s.failed,
		SuspectCold: suspectCold,
		Draining:    s.draining,
		Released:    s.idleReports >= releaseAfter,
		Warm:        s.allotment.Warm(now) && !s.suspectCold && !contact.Lost(),
		Slow:        s.slowness.Value(now, mean, s.starts) > slowReportRatio,

		RateLimitKnown: s.rateLimitUnreported,
		RateLimit:      s.rateLimit,
	}
	s.peak, s.completed, s.refused, s.failed = len(s.starts), 0, 0, 0
	s.suspectCold = s.suspectCold && !suspectCold
	s.drainUnreported, s.rateLimitUnreported = false, false
	return r
}
