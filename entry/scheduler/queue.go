package scheduler

import (
	"slices"
	"time"
)

// maxWaiting bounds the waiting requests of a service. An entry with 20 requests a second
// that each wait for half a second has 10; callers that retry at once may have more.
const maxWaiting = 64

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int { return len(s.queue) }

// Freed wakes the first waiting request, since capacity may have become free.
func (s *Scheduler) Freed() {
	if len(s.queue) > 0 {
		s.queue[0].wake()
	}
}

// Waited returns how long a request has waited. Ok is false if it does not wait.
func (t *Ticket) Waited(now time.Time) (d time.Duration, ok bool) {
	return now.Sub(t.waitsSince), !t.waitsSince.IsZero()
}

func (t *Ticket) wake() {
	select {
	case t.Wake <- struct{}{}:
	default:
	}
}

// ahead returns the number of waiting requests before a request.
func (s *Scheduler) ahead(t *Ticket) (n int) {
	for _, o := range s.queue {
		if o == t || !o.before(t) {
			break
		}
		n++
	}
	return n
}

// join adds a request to the queue. If the queue is full, the last request has to leave it;
// that is the new one if join reports false.
func (s *Scheduler) join(now time.Time, t *Ticket) bool {
	at := s.ahead(t)
	if len(s.queue) >= maxWaiting {
		if at == len(s.queue) {
			return false
		}
		last := s.queue[len(s.queue)-1]
		last.evicted = true
		last.wake()
		s.queue = s.queue[:len(s.queue)-1]
	}
	t.waitsSince = now
	s.queue = slices.Insert(s.queue, at, t)
	return true
}

// Leave removes a request from the queue, and wakes the next one if it was the first.
func (s *Scheduler) Leave(t *Ticket) {
	t.waitsSince = time.Time{}
	i := slices.Index(s.queue, t)
	if i < 0 {
		return
	}
	s.queue = slices.Delete(s.queue, i, i+1)
	if i == 0 {
		s.Freed()
	}
}
