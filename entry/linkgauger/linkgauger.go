// Package linkgauger estimates how busy the own link of an entry is, from the bytes that its
// connections send and receive, and extends timeouts of its peers by the time for which the
// link is saturated. It handles responses and bodies that fill a slow link for some hundred
// milliseconds: a peer that does not answer during that time may be healthy, since the answer or
// the question waits behind them. In the same way it handles a process that gets no processor
// time for some ten milliseconds, and finds its timers passed before it has read the answers.
package linkgauger

import (
	"sync"
	"time"
)

const (
	// minQueue is the time that the queued bytes need from which the link counts as
	// saturated. It is half of the shortest timeout of probes (10 ms).
	minQueue = 5 * time.Millisecond
	// receivedShare is the share of the link's rate from which receiving counts as
	// saturating it. The other end of the link holds the queue, which is not seen here. A
	// link may also be slower than stated.
	receivedShare = 0.5
	// maxReceived bounds the received bytes that count, by the time that they need. It is the
	// longest time for which the link counts as saturated after the last byte was received.
	maxReceived = 40 * time.Millisecond
	// maxBulkQueue is the queue up to which a piece of a large message is handed to the
	// kernel. It keeps the link busy between two pieces, while timers may be late by a few
	// milliseconds.
	maxBulkQueue = 10 * time.Millisecond
	// pieceTime is the time that a piece of a large message takes, and minPieceBytes the size
	// of the smallest. Smaller pieces cost more calls than they save time.
	pieceTime     = 5 * time.Millisecond
	minPieceBytes = 8 << 10
	// MaxExtension bounds the time by which a timeout is extended. A peer that is dead is to
	// be found within a second after the link is free.
	MaxExtension = time.Second
)

// Gauger gauges one link. A nil Gauger, or one without a rate, counts as never saturated. It
// is safe for concurrent use.
type Gauger struct {
	mu sync.Mutex
	// rate is in bytes per second, or zero if it is not known.
	rate float64
	// sentAt is when all bytes that were handed to the kernel will have been sent, and
	// reservedAt the same with those of large messages that wait for their turns.
	sentAt, reservedAt time.Time
	// received is the time that recently received bytes have needed, less receivedShare of
	// the time that has passed until receivedAt.
	received   time.Duration
	receivedAt time.Time
	// saturated is the total time for which the link is saturated until saturatedUntil, which
	// may be in the future.
	saturated      time.Duration
	saturatedUntil time.Time
	// stalled is the total time for which the process was stalled until stalledUntil, which
	// may be in the future.
	stalled      time.Duration
	stalledUntil time.Time
}

// New returns the gauger of a link with a rate in bytes per second. Zero means that the rate
// is not known.
func New(rate float64) *Gauger { return &Gauger{rate: rate} }

// SetRate sets the rate for bytes that follow.
func (g *Gauger) SetRate(rate float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rate = rate
}

// lock locks a gauger with a rate. It reports false, and locks nothing, if there is none.
func (g *Gauger) lock() bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	if g.rate <= 0 {
		g.mu.Unlock()
		return false
	}
	return true
}

// transferTime returns the time that n bytes need. The caller holds the lock.
func (g *Gauger) transferTime(n int) time.Duration {
	return time.Duration(float64(n) / g.rate * float64(time.Second))
}

// PieceBytes returns the size of the pieces in which a large message is to be sent, or zero if
// it need not be.
func (g *Gauger) PieceBytes() int {
	if !g.lock() {
		return 0
	}
	defer g.mu.Unlock()
	return max(minPieceBytes, int(g.rate*pieceTime.Seconds()))
}

// Reserve reserves the turn of a piece of a large message. It is to be handed to the kernel
// after a wait, so that what the kernel holds does not delay small messages for long. Pieces of
// several messages take turns, since each waits for those that were reserved before.
func (g *Gauger) Reserve(now time.Time, n int) (wait time.Duration) {
	if !g.lock() {
		return 0
	}
	defer g.mu.Unlock()
	return max(0, g.reserve(now, n)-maxBulkQueue)
}

// reserve returns the time that the bytes need which were reserved before. The caller holds
// the lock.
func (g *Gauger) reserve(now time.Time, n int) (queue time.Duration) {
	if g.reservedAt.Before(now) {
		g.reservedAt = now
	}
	queue = g.reservedAt.Sub(now)
	g.reservedAt = g.reservedAt.Add(g.transferTime(n))
	return queue
}

// Sent counts bytes of small messages that are handed to the kernel.
func (g *Gauger) Sent(now time.Time, n int) { g.send(now, n, false) }

// SentReserved counts a piece that was reserved as handed to the kernel.
func (g *Gauger) SentReserved(now time.Time, n int) { g.send(now, n, true) }

func (g *Gauger) send(now time.Time, n int, reserved bool) {
	if !g.lock() {
		return
	}
	defer g.mu.Unlock()
	if !reserved {
		g.reserve(now, n)
	}
	if g.sentAt.Before(now) {
		g.sentAt = now
	}
	g.sentAt = g.sentAt.Add(g.transferTime(n))
	if g.sentAt.Sub(now) >= minQueue {
		g.saturate(now, g.sentAt)
	}
}

// Received counts bytes that have arrived.
func (g *Gauger) Received(now time.Time, n int) {
	if !g.lock() {
		return
	}
	defer g.mu.Unlock()
	needed := g.transferTime(n)
	passed := time.Duration(receivedShare * float64(now.Sub(g.receivedAt)))
	g.received = min(maxReceived, max(0, g.received-passed)+needed)
	g.receivedAt = now
	if g.received >= minQueue {
		// The bytes were on the link before they arrived, and as many may follow.
		g.saturate(now.Add(-min(needed, maxReceived)), now.Add(g.received))
	}
}

// saturate counts the link as saturated from a time that has come to another one. The caller
// holds the lock.
func (g *Gauger) saturate(from, to time.Time) {
	if from.Before(g.saturatedUntil) {
		from = g.saturatedUntil
	}
	if to.After(from) {
		g.saturated += to.Sub(from)
		g.saturatedUntil = to
	}
}

// Delay returns the time for which the link remains saturated, as far as that is known.
func (g *Gauger) Delay(now time.Time) time.Duration {
	if g == nil {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(0, g.saturatedUntil.Sub(now))
}

// SaturatedTime returns the total time for which the link has been saturated.
func (g *Gauger) SaturatedTime(now time.Time) time.Duration {
	if g == nil {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.saturated - max(0, g.saturatedUntil.Sub(now))
}

// Timeout is a timeout that runs only while the link is not saturated and the process is not
// stalled. It is immutable.
type Timeout struct {
	gauger   *Gauger
	begun    time.Time
	duration time.Duration
	// limit is the time until which it may be extended.
	limit time.Time
	// saturated is the saturated time of the link at the begin, and stalled the time for which
	// the process had been stalled until then.
	saturated, stalled time.Duration
}

// Start returns a timeout that begins now.
func (g *Gauger) Start(now time.Time, d time.Duration) Timeout {
	stalled, _ := g.stalledTime(now)
	return Timeout{gauger: g, begun: now, duration: d, limit: now.Add(d + MaxExtension), saturated: g.SaturatedTime(now), stalled: stalled}
}

// WithLimit returns a copy that is not extended beyond a time.
func (t Timeout) WithLimit(limit time.Time) Timeout {
	if limit.Before(t.limit) {
		t.limit = limit
	}
	return t
}

// SaturatedTime returns for how long the link has been saturated since the begin.
func (t Timeout) SaturatedTime(now time.Time) time.Duration {
	return min(now.Sub(t.begun), max(0, t.gauger.SaturatedTime(now)-t.saturated))
}

// Remaining returns the time until the timeout passes, as far as it is known. Zero means that
// it has passed.
func (t Timeout) Remaining(now time.Time) time.Duration {
	_, stalled := t.gauger.stalledTime(now)
	end := t.begun.Add(t.duration + t.SaturatedTime(now) + t.stalledTime(now) + max(t.gauger.Delay(now), stalled))
	if plain := t.begun.Add(t.duration); end.After(plain) && end.After(t.limit) {
		end = plain
		if t.limit.After(plain) {
			end = t.limit
		}
	}
	return max(0, end.Sub(now))
}

// IsInconclusive reports whether a peer that has not answered until now may be healthy: the
// link was saturated, and free for less than the timeout.
func (t Timeout) IsInconclusive(now time.Time) bool {
	saturated := t.SaturatedTime(now)
	return saturated > 0 && now.Sub(t.begun)-saturated < t.duration
}
