package forwarder

import (
	"context"
	"net/netip"
	"time"

	"samphiremux/entry/deduplicator"
	"samphiremux/entry/reconciler"
	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
	"samphiremux/entry/sender"
	"samphiremux/entry/tracker"
)

const (
	// peerConnections bounds the connections to another entry.
	peerConnections = 256
	// homeTries and homePause bound the search for a key's home.
	homeTries = 4
	homePause = 100 * time.Millisecond
)

// usable orders the members that may take a request, without this entry.
func (f *Forwarder) usable(members []tracker.Member) (ok []tracker.Member) {
	f.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		for _, m := range members {
			if m.ID != f.node.Self().ID && t.Usable(now, m.ID) {
				ok = append(ok, m)
			}
		}
		return false
	})
	return ok
}

func (f *Forwarder) sendToPeer(ctx context.Context, c *call, m tracker.Member) (*sender.Response, retrier.Outcome) {
	address, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		return nil, retrier.NotSent{Cause: err}
	}
	msg := f.message(c, c.outer)
	msg.Header.Set(HopHeader, f.node.Self().ID)
	msg.Address = address
	msg.EchoRequired = true
	msg.MaxConnections = peerConnections
	return f.peers.Send(ctx, msg)
}

// serveKeyed runs a request with an idempotency key at the key's home. While the
// list of members changes, entries may differ on the home for a moment: a home
// that declines has not run the request, so it is asked again.
func (f *Forwarder) serveKeyed(ctx context.Context, c *call) (answer *sender.Response, refusal *refuser.Refusal) {
	for range homeTries {
		answer, refusal = f.serveAtHome(ctx, c)
		if refusal != nil || !isMisdirected(answer) {
			return answer, refusal
		}
		select {
		case <-time.After(homePause):
		case <-ctx.Done():
			return nil, notRun(refuser.DeadlinePassed)
		}
	}
	return answer, refusal
}

// serveAtHome runs the request here, or at the key's home, which remembers its
// outcome.
func (f *Forwarder) serveAtHome(ctx context.Context, c *call) (answer *sender.Response, refusal *refuser.Refusal) {
	var home tracker.Member
	var since time.Time
	found, authority := false, false
	f.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		home, since, found = t.KeyOwner(c.service.Declared.Name, c.key, reconciler.SubsetSize(c.service.Declared))
		authority = t.HasKeyAuthority(now)
		return false
	})
	switch {
	case !found:
		return nil, notRun(refuser.EntryUnreachable)
	case home.ID != f.node.Self().ID && c.hop:
		return nil, notRun(refuser.Misdirected)
	case home.ID != f.node.Self().ID:
		return f.passToHome(ctx, c, home)
	case !authority:
		return nil, unknown(refuser.KeyNotKnown)
	}
	var result deduplicator.Result
	f.node.WithKeys(func(now time.Time, k *deduplicator.KeyTable) { result = k.Begin(now, c.key, since) })
	switch r := result.(type) {
	case deduplicator.Replay:
		f.node.Metrics().KeysReplayed.Inc()
		return &sender.Response{Status: r.Response.Status, Header: r.Response.Header, Body: r.Response.Body}, nil
	case deduplicator.Refused:
		return nil, &r.Refusal
	}
	return f.runKeyed(ctx, c)
}

// runKeyed runs the first request with a key. It goes on when the caller leaves,
// so that the outcome is known when the caller sends it again.
func (f *Forwarder) runKeyed(ctx context.Context, c *call) (answer *sender.Response, refusal *refuser.Refusal) {
	var remembered *deduplicator.Response
	notRun := false
	defer func() {
		f.node.WithKeys(func(now time.Time, k *deduplicator.KeyTable) { k.Finish(now, c.key, remembered, notRun) })
	}()
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.deadline.Sub(f.node.Now()))
	defer cancel()
	answer, refusal = f.run(runCtx, c)
	switch {
	case refusal != nil:
		notRun = refusal.Kind == refuser.NotRun
	case answer.Remainder == nil:
		remembered = &deduplicator.Response{Status: answer.Status, Header: answer.Header, Body: answer.Body}
	}
	return answer, refusal
}

func (f *Forwarder) passToHome(ctx context.Context, c *call, home tracker.Member) (*sender.Response, *refuser.Refusal) {
	answer, o := f.sendToPeer(ctx, c, home)
	switch {
	case retrier.MayHaveRun(o) && !isAnswered(o):
		return nil, unknown(refuser.PeerLost)
	case !isAnswered(o):
		return nil, notRun(refuser.EntryUnreachable)
	}
	return answer, nil
}

func isAnswered(o retrier.Outcome) bool {
	_, ok := o.(retrier.Answered)
	return ok
}
