// Package notifier passes notices that must act at once to the other entries of a
// service.
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
	tellLimit = 500 * time.Millisecond
	tellTries = 3
)

// Notifier is the actor that sends notices.
type Notifier struct {
	node *reconciler.Node
	pool *linker.Pool
	// Send passes a message to the actor.
	Send func(msg any)
}

// New returns a notifier.
func New(n *reconciler.Node, p *linker.Pool) *Notifier { return &Notifier{node: n, pool: p} }

// notice is a request for the other entries of a service.
type notice struct {
	service string
	request *linkpb.TellRequest
}

// NotifySuspect passes on how many servers died under a request.
func (t *Notifier) NotifySuspect(service string, f quarantiner.Fingerprint, deaths int) {
	t.Send(notice{service, &linkpb.TellRequest{
		EntryId: t.node.Self().ID,
		Notice: &linkpb.TellRequest_Suspect{Suspect: &linkpb.SuspectNotice{
			Service: service, Fingerprint: uint64(f), Deaths: uint32(deaths),
		}},
	}})
}

// NotifyRollback passes on that a move was taken back.
func (t *Notifier) NotifyRollback(service, move, reason string) {
	t.Send(notice{service, &linkpb.TellRequest{
		EntryId: t.node.Self().ID,
		Notice:  &linkpb.TellRequest_Verdict{Verdict: &linkpb.VerdictNotice{Service: service, Move: move, Reason: reason}},
	}})
}

// Receive handles a message of the actor.
func (t *Notifier) Receive(ctx context.Context, msg any) {
	n, ok := msg.(notice)
	if !ok {
		return
	}
	snapshot := t.node.Snapshot()
	if snapshot == nil || snapshot.Services[n.service] == nil {
		return
	}
	var all sync.WaitGroup
	for _, m := range snapshot.Services[n.service].Subset {
		if m.ID != t.node.Self().ID {
			all.Go(func() { t.tell(ctx, m.LinkAddress, n.request) })
		}
	}
	all.Wait()
}

func (t *Notifier) tell(ctx context.Context, address string, r *linkpb.TellRequest) {
	for range tellTries {
		callCtx, cancel := context.WithTimeout(ctx, tellLimit)
		err := t.pool.Notify(callCtx, address, r)
		cancel()
		t.node.Metrics().LinkCalls.WithLabelValues("tell", collector.Result(err)).Inc()
		if err == nil || ctx.Err() != nil {
			return
		}
	}
}
