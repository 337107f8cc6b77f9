// Package queuer holds requests while every quota is used. The queue is short
// and ordered by importance and deadline, and it admits only what can still be
// answered in time.
package queuer

import (
	"container/heap"
	"time"

	"samphiremux/entry/refuser"
)

const (
	// maxWait bounds the expected time in the queue of the most important
	// requests.
	maxWait = 250 * time.Millisecond
	// maxImportance is the importance that may use the whole queue.
	maxImportance = 10
	// fairFraction is the fill of the queue from which callers are held to
	// equal shares.
	fairFraction = 0.5
)

// Item is a waiting request.
type Item struct {
	Caller     string
	Importance int
	Deadline   time.Time
	// OnReady is called with the lock of the queue's owner held.
	OnReady func()

	seq   uint64
	index int
}

// Queue is a bounded priority queue. It is not safe for concurrent use.
type Queue struct {
	items   itemHeap
	callers map[string]int
	seq     uint64
}

// New returns an empty queue.
func New() *Queue { return &Queue{callers: map[string]int{}} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Load is the state of the servers that the queue waits for.
type Load struct {
	// Capacity is the number of requests that run at a time.
	Capacity int
	// MeanServiceTime is the mean time that one of them takes.
	MeanServiceTime time.Duration
}

// wait returns the expected wait behind n requests.
func (l Load) wait(n int) time.Duration {
	if l.Capacity <= 0 {
		return 0
	}
	return time.Duration(n) * l.MeanServiceTime / time.Duration(l.Capacity)
}

// bound returns the number of requests that wait for at most d.
func (l Load) bound(d time.Duration) int {
	if l.MeanServiceTime <= 0 {
		return 0
	}
	return max(1, int(int64(d)*int64(max(1, l.Capacity))/int64(l.MeanServiceTime)))
}

// Push admits a request, or returns the reason to refuse it.
func (q *Queue) Push(now time.Time, it *Item, load Load) (reason refuser.Reason, ok bool) {
	if wait := load.wait(len(q.items)); now.Add(wait + load.MeanServiceTime).After(it.Deadline) {
		return refuser.DeadlineTooNear, false
	}
	full := load.bound(maxWait)
	own := full * it.Importance / maxImportance
	switch {
	case len(q.items) >= full:
		return refuser.QueueFull, false
	case len(q.items) >= max(1, own):
		return refuser.RouteShed, false
	case q.overShare(it.Caller, full):
		return refuser.CallerOverShare, false
	}
	q.seq++
	it.seq = q.seq
	q.callers[it.Caller]++
	heap.Push(&q.items, it)
	return "", true
}

// overShare tells whether a caller has its equal share of a queue that is
// filling up.
func (q *Queue) overShare(caller string, full int) bool {
	if float64(len(q.items)) < fairFraction*float64(full) {
		return false
	}
	others := len(q.callers)
	if q.callers[caller] == 0 {
		others++
	}
	return others > 1 && q.callers[caller] >= max(1, full/others)
}

// Pop removes the next request. Requests past their deadline are passed to
// expired.
func (q *Queue) Pop(now time.Time, expired func(*Item)) *Item {
	for len(q.items) > 0 {
		it := heap.Pop(&q.items).(*Item)
		q.left(it)
		if now.Before(it.Deadline) {
			return it
		}
		expired(it)
	}
	return nil
}

// Remove takes a request out of the queue. It reports false if the request was
// not waiting.
func (q *Queue) Remove(it *Item) bool {
	if it.index < 0 || it.index >= len(q.items) || q.items[it.index] != it {
		return false
	}
	heap.Remove(&q.items, it.index)
	q.left(it)
	return true
}

func (q *Queue) left(it *Item) {
	q.callers[it.Caller]--
	if q.callers[it.Caller] == 0 {
		delete(q.callers, it.Caller)
	}
}

// itemHeap orders by importance, then deadline, then arrival.
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
