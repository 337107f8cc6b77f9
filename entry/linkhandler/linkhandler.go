// Package linkhandler answers the calls of other entries. It translates between
// the link protocol and the actors.
package linkhandler

import (
	"context"
	"time"

	"samphiremux/entry/granter"
	"samphiremux/entry/heartbeater"
	"samphiremux/entry/quarantiner"
	"samphiremux/entry/reconciler"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/publisher"
)

// Handler implements the link's service.
type Handler struct {
	linkpb.DRPCLinkUnimplementedServer

	node  *reconciler.Node
	owner *granter.Client
	fetch func(linkAddress string)
}

// New returns a handler. Fetch asks a peer for its newer document.
func New(n *reconciler.Node, owner *granter.Client, fetch func(linkAddress string)) *Handler {
	return &Handler{node: n, owner: owner, fetch: fetch}
}

// Beat implements linkpb.DRPCLinkServer.
func (a *Handler) Beat(_ context.Context, r *linkpb.BeatRequest) (*linkpb.BeatResponse, error) {
	a.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		t.RecordHeartbeat(now, r.GetEntryId(), r.GetStoreReached(), r.GetStopping(), r.GetDocumentRevision())
		for _, id := range r.GetUnreachable() {
			t.RecordUnreachableReport(now, id)
		}
		return false
	})
	if r.GetDocumentRevision() > uint64(a.node.Envelope().Revision) {
		if m, ok := a.node.Member(r.GetEntryId()); ok {
			a.fetch(m.LinkAddress)
		}
	}
	own := heartbeater.Request(a.node)
	return &linkpb.BeatResponse{
		EntryId: own.GetEntryId(), DocumentRevision: own.GetDocumentRevision(),
		StoreReached: own.GetStoreReached(), Stopping: own.GetStopping(),
	}, nil
}

// Report implements linkpb.DRPCLinkServer.
func (a *Handler) Report(ctx context.Context, r *linkpb.ReportRequest) (*linkpb.ReportResponse, error) {
	return a.owner.Report(ctx, r)
}

// Tell implements linkpb.DRPCLinkServer.
func (a *Handler) Tell(_ context.Context, r *linkpb.TellRequest) (*linkpb.TellResponse, error) {
	switch n := r.GetNotice().(type) {
	case *linkpb.TellRequest_Suspect:
		a.suspect(r.GetEntryId(), n.Suspect)
	case *linkpb.TellRequest_Verdict:
		a.node.Rollback(n.Verdict.GetService(), n.Verdict.GetMove(), n.Verdict.GetReason())
	}
	return &linkpb.TellResponse{}, nil
}

func (a *Handler) suspect(entry string, n *linkpb.SuspectNotice) {
	snapshot := a.node.Snapshot()
	if snapshot == nil {
		return
	}
	sv, ok := snapshot.Services[n.GetService()]
	if !ok || sv.Dispatcher == nil {
		return
	}
	sv.Dispatcher.WithSuspects(func(now time.Time, s *quarantiner.Suspects) {
		s.RecordPeerCrashes(now, quarantiner.Fingerprint(n.GetFingerprint()), entry, int(n.GetDeaths()))
		a.node.Metrics().Suspects.WithLabelValues(n.GetService()).Set(float64(s.Len()))
	})
}

// Fetch implements linkpb.DRPCLinkServer.
func (a *Handler) Fetch(_ context.Context, r *linkpb.FetchRequest) (resp *linkpb.FetchResponse, err error) {
	resp = &linkpb.FetchResponse{}
	e := a.node.Envelope()
	if e.Revision > publisher.Revision(r.GetAboveRevision()) {
		resp.Envelope, err = e.Encode()
		if err != nil {
			return nil, err
		}
	}
	a.node.WithTracker(func(_ time.Time, t *tracker.Tracker) bool {
		for _, m := range t.Members() {
			resp.Members = append(resp.Members, &linkpb.Member{
				Id: m.ID, FailureDomain: m.Domain, Address: m.Address, LinkAddress: m.LinkAddress, Incarnation: m.Incarnation,
			})
		}
		return false
	})
	return resp, nil
}
