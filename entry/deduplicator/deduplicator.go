// Package deduplicator keeps the outcomes of requests with an idempotency key, so
// that a resent request does not run twice. In doubt it refuses.
package deduplicator

import (
	"container/list"
	"time"

	"github.com/google/uuid"

	"samphiremux/entry/refuser"
)

const (
	// maxSkew is the most by which a caller's clock may differ.
	maxSkew = 2 * time.Second
	// maxFirstAge is the age from which a key that is not remembered may have
	// been sent before to an entry that still believed to be its home.
	maxFirstAge = 10 * time.Second
	// keyLife is the time for which a finished key is remembered.
	keyLife = 10 * time.Minute
	// maxBytes bounds the memory of all remembered answers.
	maxBytes = 32 << 20
	// maxAnswerBytes is the largest answer that is kept whole.
	maxAnswerBytes = 16 << 10
	// keyBytes is the memory of a key without its answer.
	keyBytes = 256
)

// Response is a remembered answer.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Result is what Begin says: Run, Replay or Refused.
type Result interface{ result() }

// Run lets the request run. It must be ended by Finish.
type Run struct{}

// Replay repeats the remembered answer.
type Replay struct{ Response Response }

// Refused ends the request.
type Refused struct{ Refusal refuser.Refusal }

func (Run) result()     {}
func (Replay) result()  {}
func (Refused) result() {}

type record struct {
	key      string
	issued   time.Time
	deadline time.Time
	running  bool
	answer   *Response
	bytes    int
}

// KeyTable is the state of one entry. It is not safe for concurrent use.
type KeyTable struct {
	byKey map[string]*list.Element
	order *list.List // oldest first
	bytes int
	// forgotten is the newest issue time of a key that was dropped for lack of
	// room. Older keys are no longer known.
	forgotten time.Time
}

// New returns an empty state.
func New() *KeyTable { return &KeyTable{byKey: map[string]*list.Element{}, order: list.New()} }

// IssuedAt returns the time in a UUIDv7 key.
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

// Begin admits a request by its key. Since is when this entry became the key's
// home; an earlier home may have run older keys.
func (k *KeyTable) Begin(now time.Time, key string, since time.Time) Result {
	k.expire(now)
	if e, ok := k.byKey[key]; ok {
		return e.Value.(*record).resend()
	}
	issued, ok := IssuedAt(key)
	switch {
	case !ok:
		return Refused{refuser.NewNotRun(refuser.BadRequest).WithDetail("Idempotency-Key must be a UUID of version 7")}
	case issued.After(now.Add(maxSkew)):
		return Refused{refuser.NewNotRun(refuser.KeyFromFuture)}
	case issued.Before(since.Add(maxSkew)), now.Sub(issued) > maxFirstAge, !issued.After(k.forgotten):
		return Refused{refuser.NewOutcomeUnknown(refuser.KeyNotKnown)}
	}
	k.add(&record{key: key, issued: issued, running: true, deadline: now.Add(keyLife), bytes: keyBytes})
	return Run{}
}

func (r *record) resend() Result {
	switch {
	case r.running:
		return Refused{refuser.NewOutcomeUnknown(refuser.KeyOutcomeUnknown).WithDetail("the request is still running")}
	case r.answer == nil:
		return Refused{refuser.NewOutcomeUnknown(refuser.KeyOutcomeUnknown)}
	default:
		return Replay{Response: *r.answer}
	}
}

func (k *KeyTable) add(r *record) {
	k.byKey[r.key] = k.order.PushBack(r)
	k.bytes += r.bytes
	for k.bytes > maxBytes && k.order.Len() > 1 {
		k.drop(k.order.Front(), true)
	}
}

func (k *KeyTable) drop(e *list.Element, early bool) {
	r := e.Value.(*record)
	k.order.Remove(e)
	delete(k.byKey, r.key)
	k.bytes -= r.bytes
	if early && r.issued.After(k.forgotten) {
		k.forgotten = r.issued
	}
}

// Finish notes the end of an admitted request. A nil answer means that its
// outcome is unknown. NotRun lets the key be used again.
func (k *KeyTable) Finish(now time.Time, key string, answer *Response, notRun bool) {
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
	r.deadline = now.Add(keyLife)
	if answer != nil && len(answer.Body) <= maxAnswerBytes {
		r.answer = answer
		r.bytes += len(answer.Body)
		k.bytes += len(answer.Body)
	}
	k.order.MoveToBack(e)
}

// expire drops keys past their deadline. They are older than maxFirstAge, so
// they stay refused.
func (k *KeyTable) expire(now time.Time) {
	for e := k.order.Front(); e != nil; e = k.order.Front() {
		if now.Before(e.Value.(*record).deadline) {
			return
		}
		k.drop(e, false)
	}
}

// Len returns the number of remembered keys.
func (k *KeyTable) Len() int { return len(k.byKey) }
