package roundtripper

import "sync/atomic"

// defaultBufferBytes bounds the response bodies that are being read by clients without
// shared Buffers.
const defaultBufferBytes = 16 << 20

// freeBytes is the size of a body that its hold does not count. Smaller ones fit in the buffers
// of a connection.
const freeBytes = 16 << 10

// Buffers bounds the memory of response bodies that are being read at the same time, over
// the clients that share it. A body that finds no room is streamed from there on, so that
// faulty servers whose bodies do not end cannot use up the memory of the process.
type Buffers struct {
	max  int64
	used atomic.Int64
}

// NewBuffers returns buffers of a number of bytes in all.
func NewBuffers(bytes int64) *Buffers { return &Buffers{max: bytes} }

// take takes n bytes, which the caller gives back. It reports false if there is no room.
func (b *Buffers) take(n int64) bool {
	if b.used.Add(n) <= b.max {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *Buffers) give(n int64) { b.used.Add(-n) }
