// Package reserver bounds the bytes of request bodies that are held in memory at the same
// time.
package reserver

import "sync/atomic"

const (
	// smallBytes is the size in bytes of the largest body that may use the last part of the
	// memory.
	smallBytes = 64 << 10
	// largeShare is the part of the memory that larger bodies may use, so that small
	// requests are not refused because of a few large ones.
	largeShare = 0.9
)

// Reserver bounds the bytes of all bodies together. It is safe for concurrent use. A nil
// Reserver has no bound.
type Reserver struct {
	max, maxLarge int64
	used          atomic.Int64
}

// New returns a reserver of a number of bytes.
func New(bytes int64) *Reserver {
	return &Reserver{max: bytes, maxLarge: int64(largeShare * float64(bytes))}
}

// Hold returns a hold without bytes.
func (r *Reserver) Hold() *Hold { return &Hold{reserver: r} }

// Hold is the memory of one body. It is used by one goroutine at a time.
type Hold struct {
	reserver *Reserver
	bytes    int64
}

// Resize makes the hold one of n bytes. It reports false, and changes nothing, if there is no
// room. A smaller hold always has room.
func (h *Hold) Resize(n int64) bool {
	r := h.reserver
	if r == nil {
		return true
	}
	limit := r.max
	if n > smallBytes {
		limit = r.maxLarge
	}
	if grows := n - h.bytes; r.used.Add(grows) > limit && grows > 0 {
		r.used.Add(-grows)
		return false
	}
	h.bytes = n
	return true
}

// Release gives all bytes back.
func (h *Hold) Release() { h.Resize(0) }
