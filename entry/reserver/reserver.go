// Package reserver bounds the bytes that peers make a process hold at the same time:
// request heads and bodies, and responses that callers read slowly. It handles peers that
// begin many messages and do not end them: when there is no room, the holds of peers that
// make no progress are evicted.
package reserver

import (
	"sync"
	"time"
)

const (
	// smallBytes is the size in bytes of the largest body that may use the last part of the
	// memory.
	smallBytes = 64 << 10
	// largeShare is the part of the memory that larger bodies may use, so that small
	// requests are not refused because of a few large ones.
	largeShare = 0.9
	// yieldShare is the part of the memory up to which holds that can do without are given.
	// The rest is for messages that would be refused.
	yieldShare = 0.25
	// stallTime is the time without progress after which a hold may be evicted. Links lose
	// packets; a retransmission takes 0.2 to 0.4 s.
	stallTime = time.Second
	// slowRate is the progress in bytes per second below which a hold may be evicted, so
	// that a peer cannot keep its hold with a byte now and then.
	slowRate = 8 << 10
)

// Reserver bounds the bytes of all holds together. It is safe for concurrent use. A nil
// Reserver has no bound.
type Reserver struct {
	max, maxLarge, maxLone int64

	mu sync.Mutex
	// used is the sum of all holds, and largeUsed that of those above smallBytes.
	used, largeUsed int64
	// lone is the hold that exceeds the bound, or nil.
	lone *Hold
	// evictable holds the holds that have a function to evict them.
	evictable map[*Hold]struct{}
	evicted   int64
}

// New returns a reserver of a number of bytes.
func New(bytes int64) *Reserver {
	return &Reserver{max: bytes, maxLarge: int64(largeShare * float64(bytes)), evictable: map[*Hold]struct{}{}}
}

// WithLone lets one hold exceed the bound, up to a number of bytes together with the
// others, which keep to the bound without it. So a large body that is allowed passes, but not
// several at once, and other requests are not refused because of it.
func (r *Reserver) WithLone(bytes int64) *Reserver {
	r.maxLone = bytes
	return r
}

// Used returns the bytes of all holds.
func (r *Reserver) Used() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.used
}

// Evicted returns the number of holds that were evicted.
func (r *Reserver) Evicted() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.evicted
}

// Hold returns a hold without bytes.
func (r *Reserver) Hold() *Hold { return &Hold{reserver: r} }

// HoldUntilEvicted returns a hold without bytes that may be evicted while its peer makes no
// progress. Evict is called without locks; it has to end what the hold is for soon.
func (r *Reserver) HoldUntilEvicted(now time.Time, evict func()) *Hold {
	h := &Hold{reserver: r, began: now, touched: now, evict: evict}
	if r != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.evictable[h] = struct{}{}
	}
	return h
}

// AllowEviction makes a hold one that may be evicted from now on, as of HoldUntilEvicted. One
// of a group no longer yields to others.
func (h *Hold) AllowEviction(now time.Time, evict func()) {
	r := h.reserver
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	h.began, h.touched, h.progress, h.evict = now, now, 0, evict
	h.yields = false
	if !h.evicted {
		r.evictable[h] = struct{}{}
	}
}

// Hold is the memory of one message. It is used by one goroutine at a time.
type Hold struct {
	reserver *Reserver
	bytes    int64
	evict    func()
	// began is when the hold began, touched when its peer made progress last, and
	// progress the bytes of it.
	began, touched time.Time
	progress       int64
	evicted        bool
	// yields is set while the hold gets bytes only up to yieldShare.
	yields bool
}

// Resize makes the hold one of n bytes. It reports false, and changes nothing, if there is no
// room. A smaller hold always has room.
func (h *Hold) Resize(n int64) bool {
	r := h.reserver
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resize(h, n)
}

// ResizeAt is Resize, but evicts holds without progress if there is no room.
func (h *Hold) ResizeAt(now time.Time, n int64) bool {
	r := h.reserver
	if r == nil {
		return true
	}
	r.mu.Lock()
	if r.resize(h, n) {
		r.mu.Unlock()
		return true
	}
	var victims []*Hold
	ok := false
	for !ok {
		victim := r.slowest(now, h)
		if victim == nil {
			break
		}
		victims = append(victims, victim)
		r.resize(victim, 0)
		victim.evicted = true
		r.evicted++
		delete(r.evictable, victim)
		ok = r.resize(h, n)
	}
	r.mu.Unlock()
	for _, victim := range victims {
		victim.evict()
	}
	return ok
}

// Progress records that the peer of the hold sent or read a number of bytes.
func (h *Hold) Progress(now time.Time, n int) {
	if h.reserver == nil {
		return
	}
	h.reserver.mu.Lock()
	defer h.reserver.mu.Unlock()
	h.touched = now
	h.progress += int64(n)
}

// Keep ends the time for which the hold may be evicted. It reports false if it has been.
func (h *Hold) Keep() bool {
	if h.reserver == nil {
		return true
	}
	h.reserver.mu.Lock()
	defer h.reserver.mu.Unlock()
	delete(h.reserver.evictable, h)
	return !h.evicted
}

// IsEvicted reports whether the hold was evicted.
func (h *Hold) IsEvicted() bool {
	if h.reserver == nil {
		return false
	}
	h.reserver.mu.Lock()
	defer h.reserver.mu.Unlock()
	return h.evicted
}

// Release gives all bytes back.
func (h *Hold) Release() {
	h.Resize(0)
	h.Keep()
}

// resize changes a hold if there is room. The caller holds r.mu.
func (r *Reserver) resize(h *Hold, n int64) bool {
	if h.evicted {
		return n == 0
	}
	used, othersUsed := r.used+n-h.bytes, r.largeUsed
	if h.bytes > smallBytes {
		othersUsed -= h.bytes
	}
	beside := used
	if r.lone != nil && r.lone != h {
		beside -= r.lone.bytes
	}
	isLone := n > smallBytes && beside > r.maxLarge && beside == used && used-n <= r.maxLarge
	var room bool
	switch {
	case h.yields:
		room = float64(used) <= yieldShare*float64(r.max)
	case isLone:
		room = used <= r.maxLone
	case n > smallBytes:
		room = beside <= r.maxLarge && used <= max(r.maxLarge, r.maxLone)
	default:
		// Holds above the bound leave the last part of the memory to small ones.
		room = (beside <= r.max && used <= max(r.max, r.maxLone)) || used-othersUsed <= r.max-r.maxLarge
	}
	if n > h.bytes && !room {
		return false
	}
	r.used, r.largeUsed = used, othersUsed
	if n > smallBytes {
		r.largeUsed += n
	}
	switch {
	case isLone:
		r.lone = h
	case r.lone == h:
		r.lone = nil
	}
	h.bytes = n
	return true
}

// slowest returns the hold that has made no progress for the longest time, of those that
// may be evicted for it, or nil. The caller holds r.mu.
func (r *Reserver) slowest(now time.Time, but *Hold) (slowest *Hold) {
	for h := range r.evictable {
		if h == but || h.bytes == 0 || !h.isSlow(now) {
			continue
		}
		if slowest == nil || h.touched.Before(slowest.touched) {
			slowest = h
		}
	}
	return slowest
}

func (h *Hold) isSlow(now time.Time) bool {
	age := now.Sub(h.began)
	return now.Sub(h.touched) >= stallTime || age >= stallTime && float64(h.progress) < slowRate*age.Seconds()
}
