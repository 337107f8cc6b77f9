// Package notifier sends notices that must take effect at once to the other
// entries that serve a service.
package notifier

import (
	"context"
	"sync"
	"time"

	"samphiremux/entry/collector"
	"samphiremux/entry/quarantiner"
	"samphiremux/entry/reconciler"
	"samphiremux/pkg/linker"
	"samphiremux/pkg/linker/linkpb"
)

const (
	// tellTimeout bounds one attempt to send a notice to a peer.
	tellTimeout = 500 * time.Millisecond
	// tellAttempts bounds the attempts to send a notice to a peer.
	tellAttempts = 3
)

// Notifier is the actor that sends notices.
type Notifier struct {
	node *reconciler.Node
	pool *linker.Pool
	// Send puts a message into the mailbox of the notifier's own actor. It must
	// be set before the first notice.
	Send func(msg any)
}

// New returns a notifier without Send.
func New(n *reconciler.Node, p *linker.Pool) *Notifier { return &Notifier{node: n, pool: p} }

// notice is the message that carries a request to the other entries of a service.
type notice struct {
	service string
	request *linkpb.TellRequest
}

// NotifySuspect reports to the other entries of a service how many backend servers
// crashed while they ran the request with fingerprint f, and the attempt at the last of
// them. Zero clears the suspicion.
func (n *Notifier) NotifySuspect(service string, f quarantiner.Fingerprint, crashes int, last quarantiner.Attempt) {
	begun, ended := last.Ages(n.node.Now())
	n.Send(notice{service, &linkpb.TellRequest{
		EntryId: n.node.Self().ID,
		Notice: &linkpb.TellRequest_Suspect{Suspect: &linkpb.SuspectNotice{
			Service: service, Fingerprint: uint64(f), Deaths: uint32(crashes), BegunUs: begun, EndedUs: ended,
		}},
	}})
}

// NotifyRollback notifies the other entries of a service that a version move was
// rolled back.
func (n *Notifier) NotifyRollback(service, move, reason string) {
	n.Send(notice{service, &linkpb.TellRequest{
		EntryId: n.node.Self().ID,
		Notice:  &linkpb.TellRequest_Verdict{Verdict: &linkpb.VerdictNotice{Service: service, Move: move, Reason: reason}},
	}})
}

// Receive handles one message. It sends a notice to all other entries in the
// subset of the service in parallel, and returns when each has acknowledged it
// or its attempts are used up.
func (n *Notifier) Receive(ctx context.Context, msg any) {
	outgoing, ok := msg.(notice)
	if !ok {
		return
	}
	snapshot := n.node.Snapshot()
	if snapshot == nil || snapshot.Services[outgoing.service] == nil {
		return
	}
	var wg sync.WaitGroup
	for _, m := range snapshot.Services[outgoing.service].Subset {
		if m.ID != n.node.Self().ID {
			wg.Go(func() { n.notify(ctx, m.LinkAddress, outgoing.request) })
		}
	}
	wg.Wait()
}

// notify sends r to the peer at address, with immediate retries.
func (n *Notifier) notify(ctx context.Context, address string, r *linkpb.TellRequest) {
	for range tellAttempts {
		callCtx, cancel := context.WithTimeout(ctx, tellTimeout)
		err := n.pool.Notify(callCtx, address, r)
		cancel()
		n.node.Metrics().LinkCalls.WithLabelValues("tell", collector.Result(err)).Inc()
		if err == nil || ctx.Err() != nil {
			return
		}
	}
}
