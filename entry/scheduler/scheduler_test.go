package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/refuser"
	"samphiremux/entry/scheduler"
	"samphiremux/pkg/fixturereader"
)

// none is a draw with which no rank begins with a guaranteed request, and half one that leaves
// times in the middle of their range.
func none() float64 { return 0 }
func half() float64 { return 0.5 }

const target = 300 * time.Millisecond

// offer offers a request of a rank with the time that is left of 800 ms.
func offer(s *scheduler.Scheduler, now time.Time, rank, ranks int, left time.Duration) *scheduler.Ticket {
	return s.Offer(now, scheduler.Request{
		Rank: rank, Ranks: ranks, Route: "r", Target: target, Limit: left, Arrived: now, Deadline: now.Add(left), Work: work, Slots: slots,
	})
}

// TestOrder guards against a request that is served while a more urgent one of the same entry
// waits, or one of its rank that has been under way for longer, and against late requests
// that come before others.
func TestOrder(t *testing.T) {
	is := is.New(t)
	s, now := scheduler.New(none), time.Now()
	first := offer(s, now, 1, 2, timeLimit)
	retried := offer(s, now, 1, 2, timeLimit-100*time.Millisecond)
	urgent := offer(s, now, 0, 2, timeLimit)
	late := offer(s, now, 0, 2, timeLimit-400*time.Millisecond)
	is.True(late.Late() && !retried.Late())
	for _, ticket := range []*scheduler.Ticket{first, retried, urgent} {
		is.True(s.MayTry(ticket)) // nothing before it waits
		_, waits := s.Missed(now, ticket).(scheduler.Wait)
		is.True(waits)
	}
	is.Equal(s.Waiting(), 3)
	for _, ticket := range []*scheduler.Ticket{urgent, retried, first} {
		is.True(!s.MayTry(late))
		is.True(s.MayTry(ticket))
		s.Found(now, ticket)
	}
	is.True(s.MayTry(late))
	_, refused := s.Missed(now, late).(scheduler.Refuse)
	is.True(refused) // it could wait only for a response that is late
}

// lackUrgently makes a request of the highest rank of two find full servers five times.
func lackUrgently(s *scheduler.Scheduler, now time.Time) {
	ticket := offer(s, now, 0, 2, timeLimit)
	for range 5 {
		s.MayTry(ticket)
		s.Room(now, ticket, scheduler.Server{Busy: 8, Slots: slots, Full: 8, Work: work})
		s.Missed(now, ticket)
	}
	s.Done(ticket)
}

// TestLeavesCapacity guards against less urgent requests that leave capacity unused, and
// against those that take what urgent ones lack.
func TestLeavesCapacity(t *testing.T) {
	type server struct {
		Name         string
		Lacked, Room bool
		After        time.Duration
		Busy, Full   int
	}
	for _, c := range fixturereader.Read[[]server](t, "_fixtures/leaves_capacity.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			s, now := scheduler.New(none), time.Now()
			if c.Lacked {
				lackUrgently(s, now)
			}
			now = now.Add(c.After)
			srv := scheduler.Server{Busy: c.Busy, Slots: slots, Full: c.Full, Work: work}
			is.Equal(s.Room(now, offer(s, now, 1, 2, timeLimit), srv), c.Room)
			is.True(s.Room(now, offer(s, now, 0, 2, timeLimit), srv))
		})
	}
}

// TestObjectiveNearLatency guards against requests that count as late when they come, or wait
// although no server can respond in time, since the objective is near the usual latency.
func TestObjectiveNearLatency(t *testing.T) {
	for _, c := range []struct {
		target time.Duration
		room   bool
	}{{work * 12 / 10, true}, {work * 15 / 10, true}, {work * 4, false}} {
		t.Run(c.target.String(), func(t *testing.T) {
			is := is.New(t)
			s, now := scheduler.New(none), time.Now()
			limit := c.target * 5 / 2
			ticket := s.Offer(now, scheduler.Request{
				Ranks: 2, Route: "r", Target: c.target, Limit: limit, Arrived: now, Deadline: now.Add(limit), Work: work * 14 / 10, Slots: slots,
			})
			is.True(!ticket.Late())
			is.True(s.MayTry(ticket))
			is.Equal(s.Room(now, ticket, scheduler.Server{Slots: slots, Full: slots, Work: 7 * work, Expected: 7 * work}), c.room)
		})
	}
}

// TestRetryAfter guards against callers that come back before a server can have room, and
// against a time that does not fall with the queues of the servers.
func TestRetryAfter(t *testing.T) {
	for _, c := range []struct {
		busy   int
		reason refuser.Reason
		after  time.Duration
	}{
		// The lowest rank has room below 3 of the 8 requests of the highest, the slots, since
		// urgent requests lack capacity.
		{7, refuser.RouteShed, 5 * work / slots},
		{13, refuser.DeadlineTooNear, 11 * work / slots},
		{400, refuser.DeadlineTooNear, time.Second},
	} {
		t.Run(fmt.Sprint(c.busy), func(t *testing.T) {
			is := is.New(t)
			s, now := scheduler.New(half), time.Now()
			lackUrgently(s, now)
			ticket := offer(s, now, 1, 2, timeLimit)
			is.True(s.MayTry(ticket))
			is.True(!s.Room(now, ticket, scheduler.Server{Busy: c.busy, Slots: slots, Full: 8, Work: work}))
			_, waits := s.Missed(now, ticket).(scheduler.Wait)
			is.True(waits)
			end := now.Add(target - work)
			refuse, ok := s.Defer(end, ticket).(scheduler.Refuse)
			is.True(ok)
			is.Equal(refuse.Reason, c.reason)
			is.Equal(refuse.RetryAt.Sub(end), c.after)
			is.Equal(s.Waiting(), 0)
		})
	}
}

// TestQueueFull guards against a queue without a bound, and against one in which requests of a
// low rank keep out urgent ones.
func TestQueueFull(t *testing.T) {
	is := is.New(t)
	s, now := scheduler.New(none), time.Now()
	var last *scheduler.Ticket
	for s.Waiting() < 64 {
		last = offer(s, now, 1+s.Waiting(), 99, timeLimit)
		s.Missed(now, last)
	}
	reasonOf := func(v scheduler.Verdict) refuser.Reason {
		refuse, _ := v.(scheduler.Refuse)
		return refuse.Reason
	}
	is.Equal(reasonOf(s.Missed(now, offer(s, now, 98, 99, timeLimit))), refuser.QueueFull)
	is.Equal(reasonOf(s.Missed(now, offer(s, now, 0, 99, timeLimit))), refuser.Reason(""))
	is.Equal(s.Waiting(), 64)
	<-last.Wake
	is.Equal(reasonOf(s.Defer(now, last)), refuser.QueueFull)
}

// TestShortenedLimit guards against requests that count as late retries after operators have
// shortened the time limit of their route.
func TestShortenedLimit(t *testing.T) {
	is := is.New(t)
	s, now := scheduler.New(none), time.Now()
	offerWithin := func(limit, stated time.Duration) *scheduler.Ticket {
		return s.Offer(now, scheduler.Request{
			Ranks: 2, Route: "r", Target: target, RouteLimit: limit, Limit: stated, Arrived: now, Deadline: now.Add(stated), Work: work, Slots: slots,
		})
	}
	is.True(!offerWithin(4*timeLimit, 4*timeLimit).Late())
	is.True(!offerWithin(timeLimit, timeLimit).Late())
	is.True(offerWithin(timeLimit, timeLimit/2).Late()) // a retry is still recognized
}

// TestLastTry guards against requests that are refused without a try behind others that wait
// for faster servers, although servers have free slots.
func TestLastTry(t *testing.T) {
	idle := scheduler.Server{Slots: slots, Full: slots, Work: work, Expected: 2 * target}
	for _, c := range []struct {
		name string
		left time.Duration
		// full reports that the first request found a full server.
		full, tries bool
	}{
		{"servers are slow", timeLimit, false, true},
		{"servers are slow, late on arrival", timeLimit - 400*time.Millisecond, false, true},
		{"servers are full", timeLimit, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, now := scheduler.New(none), time.Now()
			urgent := func(now time.Time) {
				ticket := offer(s, now, 0, 2, timeLimit)
				s.MayTry(ticket)
				found := idle
				if c.full {
					found.Busy = found.Full
				}
				is.True(!s.Room(now, ticket, found))
				_, waits := s.Missed(now, ticket).(scheduler.Wait)
				is.True(waits)
			}
			urgent(now)
			other := offer(s, now, 1, 2, c.left)
			is.True(!s.MayTry(other))
			verdict := s.Defer(now, other)
			if !other.Late() {
				_, waits := verdict.(scheduler.Wait)
				is.True(waits)
				now = now.Add(target - work)
				urgent(now)
				is.True(!s.MayTry(other))
				verdict = s.Defer(now, other)
			}
			_, waits := verdict.(scheduler.Wait)
			is.Equal(waits, c.tries)
			if !c.tries {
				return
			}
			is.True(s.MayTry(other))
			is.True(s.Room(now, other, idle))
			_, refused := s.Missed(now, other).(scheduler.Refuse)
			is.True(refused) // there is one last try
		})
	}
}

// TestEvictedWhileTrying guards against a request that is refused as queue-full when it is
// retried, because it had to leave the queue before it was sent.
func TestEvictedWhileTrying(t *testing.T) {
	is := is.New(t)
	s, now := scheduler.New(none), time.Now()
	last := offer(s, now, 98, 99, timeLimit)
	is.True(s.MayTry(last))
	s.Missed(now, last)
	is.True(s.MayTry(last))
	var others []*scheduler.Ticket
	for range 64 {
		others = append(others, offer(s, now, 1, 99, timeLimit))
		s.Missed(now, others[len(others)-1])
	}
	<-last.Wake // it had to leave the queue
	s.Found(now, last)
	for _, o := range others {
		s.Done(o)
	}
	is.True(s.MayTry(last))
	_, waits := s.Missed(now, last).(scheduler.Wait)
	is.True(waits)
}
