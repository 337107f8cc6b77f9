// Package queuer implements admission control and the queue of the requests that wait
// while every quota is used up. The queue is short and ordered by importance and
// deadline, and it admits only requests that can still complete before their deadline.
package queuer

import (
	"container/heap"
	"time"

	"samphiremux/entry/refuser"
)

const (
	// maxWait bounds the expected time in the queue, and thereby the length of the
	// queue, for requests of the highest importance.
	maxWait = 250 * time.Millisecond
	// maxImportance is the highest importance, which may use the whole queue. Lower
	// ones may use a proportional part.
	maxImportance = 10
	// fairnessThreshold is the fill level of the queue, as a fraction, from which
	// callers are limited to equal shares.
	fairnessThreshold = 0.5
)

// Item is a waiting request.
type Item struct {
	Caller     string
	Importance int
	Deadline   time.Time
	// OnReady is called when the request may run, with the lock of the queue's owner
	// held.
	OnReady func()

	seq   uint64 // order of arrival
	index int    // index in the heap, or -1 after removal
}

// Queue is a bounded priority queue. It is not safe for concurrent use.
type Queue struct {
	items   itemHeap
	callers map[string]int // number of waiting requests by caller
	seq     uint64
}

// New returns an empty queue.
func New() *Queue { return &Queue{callers: map[string]int{}} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Load describes the servers that run the queued requests.
type Load struct {
	// Capacity is the number of requests that can run concurrently.
	Capacity int
	// MeanServiceTime is the mean time for which one request runs.
	MeanServiceTime time.Duration
}

// wait returns the expected time in the queue behind n requests. It is zero if there is
// no capacity.
func (l Load) wait(n int) time.Duration {
	if l.Capacity <= 0 {
		return 0
	}
	return time.Duration(n) * l.MeanServiceTime / time.Duration(l.Capacity)
}

// maxLen returns the length of a queue whose requests are expected to wait for at most
// d.
func (l Load) maxLen(d time.Duration) int {
	if l.MeanServiceTime <= 0 {
		return 0
	}
	return max(1, int(int64(d)*int64(max(1, l.Capacity))/int64(l.MeanServiceTime)))
}

// Push adds a request to the queue, or returns the reason to refuse it: its deadline is
// too near, the queue is full, the part of the queue for its importance is full, or the
// caller has used up its share.
func (q *Queue) Push(now time.Time, it *Item, load Load) (reason refuser.Reason, ok bool) {
	if wait := load.wait(len(q.items)); now.Add(wait + load.MeanServiceTime).After(it.Deadline) {
		return refuser.DeadlineTooNear, false
	}
	limit := load.maxLen(maxWait)
	routeLimit := limit * it.Importance / maxImportance
	switch {
	case len(q.items) >= limit:
		return refuser.QueueFull, false
	case len(q.items) >= max(1, routeLimit):
		return refuser.RouteShed, false
	case q.overShare(it.Caller, limit):
		return refuser.CallerOverShare, false
	}
	q.seq++
	it.seq = q.seq
	q.callers[it.Caller]++
	heap.Push(&q.items, it)
	return "", true
}

// overShare reports whether a caller already has its equal share of the queue. It is
// false below the fairness threshold and for the only caller.
func (q *Queue) overShare(caller string, limit int) bool {
	if float64(len(q.items)) < fairnessThreshold*float64(limit) {
		return false
	}
	callers := len(q.callers)
	if q.callers[caller] == 0 {
		callers++
	}
	return callers > 1 && q.callers[caller] >= max(1, limit/callers)
}

// Pop removes and returns the next request, or nil if there is none. Requests past
// their deadline are removed and passed to expired.
func (q *Queue) Pop(now time.Time, expired func(*Item)) *Item {
	for len(q.items) > 0 {
		it := heap.Pop(&q.items).(*Item)
		q.releaseShare(it)
		if now.Before(it.Deadline) {
			return it
		}
		expired(it)
	}
	return nil
}

// Remove removes a request from the queue. It reports false if the request was not
// in the queue.
func (q *Queue) Remove(it *Item) bool {
	if it.index < 0 || it.index >= len(q.items) || q.items[it.index] != it {
		return false
	}
	heap.Remove(&q.items, it.index)
	q.releaseShare(it)
	return true
}

// releaseShare subtracts a removed request from the requests of its caller.
func (q *Queue) releaseShare(it *Item) {
	q.callers[it.Caller]--
	if q.callers[it.Caller] == 0 {
		delete(q.callers, it.Caller)
	}
}

// itemHeap implements heap.Interface. The order is by importance, highest first, then
// deadline, then arrival.
type itemHeap []*Item

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	switch {
	case a.Importance != b.Importance:
		return a.Importance > b.Importance
	case !a.Deadline.Equal(b.Deadline):
		return a.Deadline.Before(b.Deadline)
	default:
		return a.seq < b.seq
	}
}

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *itemHeap) Push(x any) {
	it := x.(*Item)
	it.index = len(*h)
	*h = append(*h, it)
}

func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.index = -1
	return it
}
