// Package linkhandler serves the link protocol: it handles the calls of other
// entries and passes their content to the entry's state and actors.
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

// Handler implements the server side of the link protocol.
type Handler struct {
	linkpb.DRPCLinkUnimplementedServer

	node  *reconciler.Node
	owner *granter.Client
	fetch func(linkAddress string)
}

// New returns a handler for n. Reports go to owner. Fetch starts a fetch of the
// document from the peer at linkAddress and must not block.
func New(n *reconciler.Node, owner *granter.Client, fetch func(linkAddress string)) *Handler {
	return &Handler{node: n, owner: owner, fetch: fetch}
}

// Beat implements linkpb.DRPCLinkServer. It records the heartbeat of a peer and
// responds with this entry's own state. If the peer has a newer document, Beat
// starts a fetch.
func (h *Handler) Beat(_ context.Context, r *linkpb.BeatRequest) (*linkpb.BeatResponse, error) {
	h.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		t.RecordHeartbeat(now, r.GetEntryId(), r.GetStoreReached(), r.GetStopping(), r.GetDocumentRevision())
		t.RecordUnreachableReports(now, r.GetEntryId(), r.GetUnreachable())
		return false
	})
	h.node.ObservePeerRevision(publisher.Revision(r.GetDocumentRevision()))
	if r.GetDocumentRevision() > uint64(h.node.Envelope().Revision) {
		if m, ok := h.node.Member(r.GetEntryId()); ok {
			h.fetch(m.LinkAddress)
		}
	}
	own := heartbeater.NewHeartbeat(h.node)
	return &linkpb.BeatResponse{
		EntryId: own.GetEntryId(), DocumentRevision: own.GetDocumentRevision(),
		StoreReached: own.GetStoreReached(), Stopping: own.GetStopping(),
	}, nil
}

// Report implements linkpb.DRPCLinkServer. It passes the report to the granter
// and returns the grants for the reporting entry.
func (h *Handler) Report(ctx context.Context, r *linkpb.ReportRequest) (*linkpb.ReportResponse, error) {
	return h.owner.Report(ctx, r)
}

// Tell implements linkpb.DRPCLinkServer. It applies a notice about a suspect
// request or about the rollback of a version move.
func (h *Handler) Tell(_ context.Context, r *linkpb.TellRequest) (*linkpb.TellResponse, error) {
	switch n := r.GetNotice().(type) {
	case *linkpb.TellRequest_Suspect:
		h.recordSuspect(r.GetEntryId(), n.Suspect)
	case *linkpb.TellRequest_Verdict:
		h.node.Rollback(n.Verdict.GetService(), n.Verdict.GetMove(), n.Verdict.GetReason())
	}
	return &linkpb.TellResponse{}, nil
}

// recordSuspect records how many backend servers crashed while they ran one request
// that a peer had sent to them. It ignores services that this entry does not know or
// does not dispatch to.
func (h *Handler) recordSuspect(entry string, n *linkpb.SuspectNotice) {
	snapshot := h.node.Snapshot()
	if snapshot == nil {
		return
	}
	sv, ok := snapshot.Services[n.GetService()]
	if !ok || sv.Dispatcher == nil {
		return
	}
	sv.Dispatcher.WithSuspects(func(now time.Time, s *quarantiner.Suspects) {
		last := quarantiner.AttemptBefore(now, n.GetBegunUs(), n.GetEndedUs())
		s.RecordPeerCrash(now, quarantiner.Fingerprint(n.GetFingerprint()), entry, int(n.GetDeaths()), last)
		h.node.Metrics().Suspects.WithLabelValues(n.GetService()).Set(float64(s.Len()))
	})
}

// Fetch implements linkpb.DRPCLinkServer. It returns the members, and the document
// if it is newer than the revision that the peer has.
func (h *Handler) Fetch(_ context.Context, r *linkpb.FetchRequest) (resp *linkpb.FetchResponse, err error) {
	resp = &linkpb.FetchResponse{}
	e := h.node.Envelope()
	if e.Revision > publisher.Revision(r.GetAboveRevision()) {
		resp.Envelope, err = e.Encode()
		if err != nil {
			return nil, err
		}
	}
	h.node.WithTracker(func(_ time.Time, t *tracker.Tracker) bool {
		for _, m := range t.Members() {
			resp.Members = append(resp.Members, &linkpb.Member{
				Id: m.ID, FailureDomain: m.Domain, Address: m.Address, LinkAddress: m.LinkAddress, Incarnation: m.Incarnation,
			})
		}
		return false
	})
	return resp, nil
}
