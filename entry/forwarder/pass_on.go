package forwarder

import (
	"context"
	"slices"
	"sync"
	"time"

	"samphiremux/entry/reconciler"
	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
	"samphiremux/entry/sender"
	"samphiremux/entry/tracker"
)

// lostPeerTTL is the time for which a peer that reaches no server gets no requests for
// the service.
const lostPeerTTL = 300 * time.Millisecond

// peerService is a service at another entry.
type peerService struct{ peer, service string }

// lostPeers holds which peers said that they reach no server of a service. It is safe for
// concurrent use.
type lostPeers struct {
	mu    sync.Mutex
	until map[peerService]time.Time
}

func (p *lostPeers) record(now time.Time, peer, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until[peerService{peer, service}] = now.Add(lostPeerTTL)
}

func (p *lostPeers) has(now time.Time, peer, service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := peerService{peer, service}
	until, ok := p.until[key]
	if ok && !now.Before(until) {
		delete(p.until, key)
		return false
	}
	return ok
}

// passOn passes a request that this entry cannot run, since it reaches no server, to another member of the subset. State holds the attempts so far; a request
// that may have run and must not be repeated is not passed on. A request that another
// entry forwarded is refused, so that the entry tries another one.
func (f *Forwarder) passOn(ctx context.Context, c *call, state retrier.Request, attempt int) (response *sender.Response, refusal *refuser.Refusal) {
	r := state.Refusal(refuser.UnreachableServers)
	mayPass := !c.forwarded() || c.idempotencyKey != "" && c.forwarder != f.keyOwner(c)
	if !mayPass || (state.MayHaveRun() && !c.route.Idempotent) {
		return nil, &r
	}
	// The start differs from request to request, so that one peer does not get all.
	first := int(f.attempts.Add(1) % uint64(len(c.service.Subset)))
	members := slices.Concat(c.service.Subset[first:], c.service.Subset[:first])
	passed := *c
	if state.MayHaveRun() {
		passed.outerAttempt = attempt
	}
	response, refusal = f.forwardFrom(ctx, &passed, members, state)
	if refusal != nil && foundNoPeer(refusal.Reason) {
		return nil, &r
	}
	return response, refusal
}

// keyOwner returns the id of the owner of the call's key, or an empty one.
func (f *Forwarder) keyOwner(c *call) (id string) {
	f.node.WithTracker(func(_ time.Time, t *tracker.Tracker) bool {
		if owner, _, ok := t.KeyOwner(c.service.Spec.Name, c.idempotencyKey, reconciler.SubsetSize(c.service.Spec)); ok {
			id = owner.ID
		}
		return false
	})
	return id
}
