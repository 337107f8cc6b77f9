package granter

import (
	"context"
	"errors"

	"samphiremux/entry/mover"
	"samphiremux/pkg/linker/linkpb"
)

// errBusy reports that the mailbox of the granter actor is full.
var errBusy = errors.New("the owner duty is busy")

// Client sends requests to the granter actor from other goroutines.
type Client struct {
	// Send passes a message to the actor. It reports false if the mailbox is full.
	Send func(msg any) bool
}

// Report passes a holder's report to the actor and returns the grants.
func (c *Client) Report(ctx context.Context, r *linkpb.ReportRequest) (resp *linkpb.ReportResponse, err error) {
	reply := make(chan *linkpb.ReportResponse, 1)
	if !c.Send(reportMessage{request: r, reply: reply}) {
		return nil, errBusy
	}
	return await(ctx, reply)
}

// Evidence returns the evidence of all holders on a move, by route.
func (c *Client) Evidence(ctx context.Context, service, move string) (evidence map[string]mover.Evidence, err error) {
	reply := make(chan map[string]mover.Evidence, 1)
	if !c.Send(evidenceMessage{service: service, move: move, reply: reply}) {
		return nil, errBusy
	}
	return await(ctx, reply)
}

// await returns the reply of the actor, or the error of ctx if that ends first.
func await[T any](ctx context.Context, reply <-chan T) (v T, err error) {
	select {
	case v = <-reply:
		return v, nil
	case <-ctx.Done():
		return v, ctx.Err()
	}
}
