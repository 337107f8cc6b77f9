// Package deduplicator stores the outcomes of requests with an idempotency key, so
// that a request that a caller sends again does not run twice. If the outcome of
// an earlier request is uncertain, it refuses the repeated one.
package deduplicator

import (
	"cmp"
	"container/list"
	"time"

	"github.com/google/uuid"

	"samphiremux/entry/refuser"
)

const (
	// maxSkew is the maximum difference allowed between a caller's clock and the
	// entry's.
	maxSkew = 2 * time.Second
	// maxFirstAge is the maximum age at which an unknown key may run. An older one
	// may have been sent before to an entry that still took itself for the key's
	// owner.
	maxFirstAge = 10 * time.Second
	// keyTTL is the time for which a key is stored after its request finished.
	keyTTL = 10 * time.Minute
	// defaultBytes bounds the memory of all stored responses and keys.
	defaultBytes = 32 << 20
	// maxResponseBytes is the largest body of a response that is stored.
	maxResponseBytes = 16 << 10
	// keyOverheadBytes is the memory that a key takes without its response.
	keyOverheadBytes = 256
	// fieldOverheadBytes is the memory that a field of a response's header takes beside its text.
	fieldOverheadBytes = 64
)

// Response is a stored response.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// bytes returns the memory that the response takes.
func (r *Response) bytes() (n int) {
	n = len(r.Body)
	for name, values := range r.Header {
		n += len(name) + fieldOverheadBytes
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Result is the decision of Begin: Run, Replay or Refused.
type Result interface{ result() }

// Run lets the request run. The caller must call KeyTable.Finish when it ends.
type Run struct{}

// Replay answers the request with the stored response.
type Replay struct{ Response Response }

// Refused rejects the request.
type Refused struct{ Refusal refuser.Refusal }

func (Run) result()     {}
func (Replay) result()  {}
func (Refused) result() {}

// record is the state of one key.
type record struct {
	key string
	// issued is the time at which the caller made the key.
	issued  time.Time
	expires time.Time
	// running is true while the request has not finished.
	running bool
	// response is nil while the outcome is unknown.
	response *Response
	bytes    int
}

// KeyTable holds the idempotency keys that one entry owns. It is not safe for
// concurrent use.
type KeyTable struct {
	byKey map[string]*list.Element
	// order holds the records, the one that expires first at the front.
	order *list.List
	// bytes is the memory of all records, up to maxBytes.
	bytes, maxBytes int
	// evictedUpTo is the newest issue time of a key that was evicted for lack of
	// memory. Keys issued no later than that may have been evicted too.
	evictedUpTo time.Time
}

// New returns an empty table that takes up to a number of bytes. Zero stands for 32 MiB.
func New(maxBytes int) *KeyTable {
	return &KeyTable{byKey: map[string]*list.Element{}, order: list.New(), maxBytes: cmp.Or(maxBytes, defaultBytes)}
}

// IssuedAt returns the timestamp of a UUIDv7 key. It reports false if the key is
// not a UUID of version 7.
func IssuedAt(key string) (at time.Time, ok bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	ms := int64(0)
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// Begin admits or refuses a request by its key. OwnerSince is when this entry
// became the owner of the key; an earlier owner may have run requests with older
// keys.
func (k *KeyTable) Begin(now time.Time, key string, ownerSince time.Time) Result {
	k.expire(now)
	if e, ok := k.byKey[key]; ok {
		return e.Value.(*record).duplicateResult()
	}
	issued, ok := IssuedAt(key)
	switch {
	case !ok:
		return Refused{refuser.NewNotRun(refuser.BadRequest).WithDetail("Idempotency-Key must be a UUID of version 7")}
	case issued.After(now.Add(maxSkew)):
		return Refused{refuser.NewNotRun(refuser.KeyFromFuture)}
	case issued.Before(ownerSince.Add(maxSkew)), now.Sub(issued) > maxFirstAge, !issued.After(k.evictedUpTo):
		return Refused{refuser.NewOutcomeUnknown(refuser.KeyNotKnown)}
	}
	k.add(&record{key: key, issued: issued, running: true, expires: now.Add(keyTTL), bytes: keyOverheadBytes})
	return Run{}
}

// duplicateResult returns the decision on a repeated request with the key.
func (r *record) duplicateResult() Result {
	switch {
	case r.running:
		return Refused{refuser.NewOutcomeUnknown(refuser.KeyOutcomeUnknown).WithDetail("the request is still running")}
	case r.response == nil:
		return Refused{refuser.NewOutcomeUnknown(refuser.KeyOutcomeUnknown)}
	default:
		return Replay{Response: *r.response}
	}
}

// add stores a record.
func (k *KeyTable) add(r *record) {
	k.byKey[r.key] = k.order.PushBack(r)
	k.bytes += r.bytes
	k.evict()
}

// evict removes the records that expire first while they exceed the memory.
func (k *KeyTable) evict() {
	for k.bytes > k.maxBytes && k.order.Len() > 1 {
		k.drop(k.order.Front(), true)
	}
}

// drop removes a record. Evicted is true if it was removed for lack of memory.
func (k *KeyTable) drop(e *list.Element, evicted bool) {
	r := e.Value.(*record)
	k.order.Remove(e)
	delete(k.byKey, r.key)
	k.bytes -= r.bytes
	if evicted && r.issued.After(k.evictedUpTo) {
		k.evictedUpTo = r.issued
	}
}

// Finish records the end of a request that Begin let run. A nil response means that
// the outcome is unknown. NotRun is true if the request did not run, so that the
// key may be used again.
func (k *KeyTable) Finish(now time.Time, key string, response *Response, notRun bool) {
	e, ok := k.byKey[key]
	if !ok {
		return
	}
	if notRun {
		k.drop(e, false)
		return
	}
	r := e.Value.(*record)
	r.running = false
	r.expires = now.Add(keyTTL)
	if response != nil && len(response.Body) <= maxResponseBytes {
		r.response = response
		n := response.bytes()
		r.bytes += n
		k.bytes += n
	}
	k.order.MoveToBack(e)
	k.evict()
}

// expire removes expired keys. They are older than maxFirstAge, so Begin still
// refuses them.
func (k *KeyTable) expire(now time.Time) {
	for e := k.order.Front(); e != nil; e = k.order.Front() {
		if now.Before(e.Value.(*record).expires) {
			return
		}
		k.drop(e, false)
	}
}

// Len returns the number of stored keys.
func (k *KeyTable) Len() int { return len(k.byKey) }
