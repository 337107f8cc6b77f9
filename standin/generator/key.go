package generator

import (
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
)

// NewIdempotencyKey returns a random idempotency key that holds the time of its issue: a
// UUID of version 7.
func NewIdempotencyKey(rng *rand.Rand, at time.Time) string {
	var id uuid.UUID
	for i := range id {
		id[i] = byte(rng.Uint32())
	}
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6] = 0x70 | id[6]&0x0f
	id[8] = 0x80 | id[8]&0x3f
	return id.String()
}
