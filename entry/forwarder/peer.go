package forwarder

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"samphiremux/entry/deduplicator"
	"samphiremux/entry/reconciler"
	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
	"samphiremux/entry/sender"
	"samphiremux/entry/tracker"
)

const (
	// peerConnections is the maximum number of connections to another entry.
	peerConnections = 256
	// ownerAttempts and ownerRetryInterval bound the search for the owner of an
	// idempotency key.
	ownerAttempts      = 4
	ownerRetryInterval = 100 * time.Millisecond
)

// usablePeers returns the members that can take a request for a service, without this
// entry, in the order given. Lost is true if a usable member is left out since it said
// that it reaches no server.
func (f *Forwarder) usablePeers(members []tracker.Member, service string) (peers []tracker.Member, lost bool) {
	f.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		for _, m := range members {
			switch {
			case m.ID == f.node.Self().ID || !t.Usable(now, m.ID):
			case f.lostPeers.has(now, m.ID, service):
				lost = true
			default:
				peers = append(peers, m)
			}
		}
		return false
	})
	return peers, lost
}

// sendToPeer forwards the request to one other entry.
func (f *Forwarder) sendToPeer(ctx context.Context, c *call, m tracker.Member) (*sender.Response, retrier.Outcome) {
	address, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		return nil, retrier.NotSent{Cause: err}
	}
	msg := f.newRequest(c, c.outerAttempt)
	msg.Header.Set(HopHeader, f.node.Self().ID)
	msg.Header.Set(CallerHeader, c.caller)
	msg.Header.Set(RevisionHeader, strconv.FormatUint(uint64(c.revision), 10))
	msg.Address = address
	msg.EchoRequired = true
	msg.MaxConnections = peerConnections
	return f.peers.Send(ctx, msg)
}

// serveKeyed runs a request with an idempotency key at the owner of the key.
// While the membership changes, entries may disagree on the owner for a short
// time. An entry that declines as misdirected has not run the request, so the
// owner is looked up and asked again.
func (f *Forwarder) serveKeyed(ctx context.Context, c *call) (response *sender.Response, refusal *refuser.Refusal) {
	for range ownerAttempts {
		response, refusal = f.serveAtOwner(ctx, c)
		if refusal != nil || !isMisdirected(response) {
			return response, refusal
		}
		select {
		case <-time.After(ownerRetryInterval):
		case <-ctx.Done():
			return nil, notRun(refuser.DeadlinePassed)
		}
	}
	return response, refusal
}

// serveAtOwner runs the request here if this entry owns the key, and otherwise
// forwards it to the owner. The owner remembers the outcome.
func (f *Forwarder) serveAtOwner(ctx context.Context, c *call) (response *sender.Response, refusal *refuser.Refusal) {
	var owner tracker.Member
	var since time.Time
	found, authority := false, false
	f.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		owner, since, found = t.KeyOwner(c.service.Spec.Name, c.idempotencyKey, reconciler.SubsetSize(c.service.Spec))
		authority = t.HasKeyAuthority(now)
		return false
	})
	switch {
	case !found:
		return nil, notRun(refuser.EntryUnreachable)
	case owner.ID != f.node.Self().ID && c.forwarder == owner.ID:
		// The owner, which remembers the outcome, passes on what it cannot run.
		return f.runForOwner(ctx, c)
	case owner.ID != f.node.Self().ID && c.forwarded():
		return nil, notRun(refuser.Misdirected)
	case owner.ID != f.node.Self().ID:
		return f.forwardToOwner(ctx, c, owner)
	case !authority:
		return nil, outcomeUnknown(refuser.KeyNotKnown)
	}
	var result deduplicator.Result
	f.node.WithKeys(func(now time.Time, k *deduplicator.KeyTable) { result = k.Begin(now, c.idempotencyKey, since) })
	switch r := result.(type) {
	case deduplicator.Replay:
		f.node.Metrics().KeysReplayed.Inc()
		return &sender.Response{Status: r.Response.Status, Header: r.Response.Header, Body: r.Response.Body}, nil
	case deduplicator.Refused:
		return nil, &r.Refusal
	}
	return f.runKeyed(ctx, c)
}

// runForOwner runs a request for the owner of its key.
func (f *Forwarder) runForOwner(ctx context.Context, c *call) (*sender.Response, *refuser.Refusal) {
	if c.service.Dispatcher == nil {
		return nil, notRun(refuser.Misdirected)
	}
	return f.run(ctx, c)
}

// keyedResult is the result of a request with a key.
type keyedResult struct {
	response *sender.Response
	refusal  *refuser.Refusal
}

// runKeyed runs the first request with a key. It continues after the caller
// disconnects, so that the outcome is known when the caller retries. If the entry
// ends first, the outcome is unknown. The response may be the refusal of another entry,
// which leaves the key unused.
func (f *Forwarder) runKeyed(ctx context.Context, c *call) (response *sender.Response, refusal *refuser.Refusal) {
	results := make(chan keyedResult, 1)
	go func() {
		response, refusal := f.runToEnd(ctx, c)
		results <- keyedResult{response, refusal}
	}()
	select {
	case r := <-results:
		return r.response, r.refusal
	case <-ctx.Done():
	}
	if ctx.Err() == context.DeadlineExceeded {
		// The run ends with the same deadline.
		r := <-results
		return r.response, r.refusal
	}
	held := c.takeHold()
	go func() {
		defer held.Release()
		if r := <-results; r.response != nil && r.response.Remainder != nil {
			_ = r.response.Remainder.Close()
		}
	}()
	return nil, outcomeUnknown(refuser.ResponseTimeout)
}

// runToEnd runs a request with a key until its deadline, and records the outcome.
func (f *Forwarder) runToEnd(ctx context.Context, c *call) (response *sender.Response, refusal *refuser.Refusal) {
	var stored *deduplicator.Response
	notRun := false
	defer func() {
		f.node.WithKeys(func(now time.Time, k *deduplicator.KeyTable) { k.Finish(now, c.idempotencyKey, stored, notRun) })
	}()
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.deadline.Sub(f.node.Now()))
	defer func() { cancelAfter(response, cancel) }()
	response, refusal = f.run(runCtx, c)
	switch {
	case refusal != nil:
		notRun = refusal.Kind == refuser.NotRun
	case isNotRun(response):
		notRun = true
	case response.Remainder == nil:
		stored = &deduplicator.Response{Status: response.Status, Header: response.Header, Body: response.Body}
	}
	return response, refusal
}

// forwardToOwner forwards the request to the owner of its key.
func (f *Forwarder) forwardToOwner(ctx context.Context, c *call, owner tracker.Member) (*sender.Response, *refuser.Refusal) {
	response, o := f.sendToPeer(ctx, c, owner)
	switch {
	case retrier.MayHaveRun(o) && !isAnswered(o):
		return nil, outcomeUnknown(refuser.PeerLost)
	case !isAnswered(o):
		return nil, notRun(refuser.EntryUnreachable)
	}
	return response, nil
}

func isAnswered(o retrier.Outcome) bool {
	_, ok := o.(retrier.Answered)
	return ok
}
