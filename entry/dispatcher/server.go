package dispatcher

import (
	"slices"
	"time"

	"samphiremux/entry/chooser"
	"samphiremux/entry/estimator"
	"samphiremux/entry/limiter"
	"samphiremux/entry/retrier"
	"samphiremux/pkg/parser"
)

const (
	// ejectAfter is the number of failures in a row from which a server gets
	// no work for a while.
	ejectAfter = 3
	// firstEjection is the length of a first ejection. It doubles each time up
	// to maxEjection.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 8 * time.Second
	// releaseAfter is the number of reports without work from which a holder
	// gives its floor to others.
	releaseAfter = 5
	// doubtCap is the time for which a holder uses one request at most at a
	// server that may have turned cold.
	doubtCap = time.Second
	// slowRatio is the slowness from which a server may have turned cold and gets
	// less work.
	slowRatio = 1.4
	// slowReport is the slowness from which an owner does not raise a limit.
	slowReport = 2.5
	// crossDomain is the time that another failure domain adds to a request.
	crossDomain = time.Millisecond
)

// Placement is a backend server as one entry uses it.
type Placement struct {
	Server parser.Server
	// DomainOut tells that the server's failure domain is out.
	DomainOut bool
	// SameDomain tells that the server is in the entry's failure domain.
	SameDomain bool
	// Holders is the number of entries that share the server.
	Holders int
	// Rank is the place of this entry among the holders.
	Rank int
	// Owner is the id of the entry that grants parts of the server's limit.
	Owner string
}

// server is the state of one backend server at one entry.
type server struct {
	place     Placement
	allotment limiter.Allotment
	speed     estimator.Slowness
	starts    []time.Time

	// sampleFrom is when the next attempt is compared with other versions.
	sampleFrom time.Time

	draining     bool // said by the server itself or its owner
	listLeaving  bool // said by the platform's list of VMs
	failures     int
	ejections    int
	ejectedUntil time.Time

	// idleReports counts the reports in a row without any work.
	idleReports int
	peak        int
	completed   int
	refused     int
	failed      int
	coldSign    bool
	drainSign   bool
}

func (s *server) leaving() bool {
	return s.place.DomainOut || s.place.Server.Leaving || s.draining || s.listLeaving
}

func (s *server) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// quota returns the requests that this entry may have at the server now.
func (s *server) quota(now time.Time, slowness float64) int {
	q := s.allotment.Quota(now, s.place.Server.Slots, s.place.Holders, s.place.Rank)
	if slowness > slowRatio {
		q = min(q, limiter.SlowServerQuota(s.place.Server.Slots, s.place.Holders, s.place.Rank, slowness))
	}
	if s.ejections > 0 {
		q = min(q, 1)
	}
	return q
}

func (s *server) candidate(now time.Time, index int, mean time.Duration) chooser.Candidate {
	slowness := s.speed.Value(now, mean, s.starts)
	quota := s.quota(now, slowness)
	c := chooser.Candidate{
		Index:       index,
		InFlight:    len(s.starts),
		Quota:       quota,
		SlotShare:   float64(s.place.Server.Slots*quota) / float64(limiter.MaxInFlight(s.place.Server.Slots)),
		Slowness:    slowness,
		MeanLatency: mean,
	}
	if !s.place.SameDomain {
		c.CrossDomainLatency = crossDomain
	}
	return c
}

func (s *server) begin(now time.Time) {
	s.starts = append(s.starts, now)
	s.peak = max(s.peak, len(s.starts))
}

func (s *server) end(start time.Time) {
	if i := slices.Index(s.starts, start); i >= 0 {
		s.starts = slices.Delete(s.starts, i, i+1)
	}
}

// learn takes in how an attempt ended.
func (s *server) learn(now time.Time, start time.Time, o retrier.Outcome, failedAnswer bool, mean time.Duration) {
	switch o.(type) {
	case retrier.Answered:
		s.completed++
		if failedAnswer {
			s.speed.AddFailure(now, mean)
			s.fail(now)
			return
		}
		s.speed.Add(now, now.Sub(start), mean)
		s.failures, s.ejections = 0, 0
	case retrier.Shed:
		s.refused++
		s.speed.AddFailure(now, mean)
	case retrier.NotSent, retrier.ConnectionLost:
		s.doubt(now)
		s.speed.AddFailure(now, mean)
		s.fail(now)
	case retrier.TimedOut, retrier.Unconfirmed, retrier.Truncated, retrier.Mismatched:
		s.speed.AddFailure(now, mean)
		s.fail(now)
	case retrier.Oversized:
	}
}

// doubt reacts to a broken connection: the server may have restarted cold.
func (s *server) doubt(now time.Time) {
	s.coldSign = true
	s.allotment = s.allotment.WithoutFloor().WithCap(now.Add(doubtCap))
}

func (s *server) fail(now time.Time) {
	s.failed++
	s.failures++
	if s.failures < ejectAfter {
		return
	}
	s.failures = 0
	s.ejectedUntil = now.Add(min(firstEjection<<s.ejections, maxEjection))
	s.ejections = min(s.ejections+1, 10)
}

// report returns what was seen since the last report, and starts anew.
func (s *server) report(now time.Time, holder string, waiting int, mean time.Duration) limiter.Report {
	s.idleReports++
	if s.peak+waiting > 0 {
		s.idleReports = 0
	}
	if s.idleReports >= releaseAfter {
		s.allotment = s.allotment.WithFloorReleased(true)
	}
	r := limiter.Report{
		Holder:      holder,
		Holding:     s.allotment.Holding(now, s.place.Server.Slots, s.place.Holders, s.place.Rank),
		InFlight:    len(s.starts),
		Demand:      s.peak + waiting,
		Completed:   s.completed,
		Refused:     s.refused,
		Failed:      s.failed,
		SuspectCold: s.coldSign,
		Draining:    s.draining,
		Released:    s.idleReports >= releaseAfter,
		Warm:        s.allotment.Warm(now) && !s.coldSign,
		Slow:        s.speed.Value(now, mean, s.starts) > slowReport,
	}
	s.peak, s.completed, s.refused, s.failed = len(s.starts), 0, 0, 0
	s.coldSign, s.drainSign = false, false
	return r
}
