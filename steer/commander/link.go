package commander

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"samphiremux/entry/quarantiner"
	"samphiremux/entry/reflector"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
)

// tellSuspect tells the other entries that a server died under a request.
func (e *entry) tellSuspect(service string, print quarantiner.Fingerprint, deaths int) {
	ctx, cancel := context.WithTimeout(context.Background(), dialLimit)
	defer cancel()
	notice := &linkpb.TellRequest{EntryId: e.id, Notice: &linkpb.TellRequest_Suspect{Suspect: &linkpb.SuspectNotice{
		Service: service, Fingerprint: uint64(print), Deaths: uint32(deaths),
	}}}
	e.pool.NotifyAll(ctx, e.enroll.PeerAddresses(time.Now()), notice, func(address string, err error) {
		e.log.Debug("Suspect not told.", "peer", address, "error", err)
	})
}

// ask asks other entries for the changes above a revision, in a random order.
func (e *entry) ask(ctx context.Context, above storer.Revision) (b reflector.Batch, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	peers := e.enroll.PeerAddresses(time.Now())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	err = errors.New("no other entry is known")
	for _, address := range peers {
		err = e.pool.Call(ctx, address, func(ctx context.Context, c linkpb.DRPCLinkClient) error {
			resp, err := c.Fetch(ctx, &linkpb.FetchRequest{AboveRevision: uint64(above)})
			if err != nil {
				return err
			}
			b = reflector.Batch{
				Changes: resp.GetChanges(), Revision: storer.Revision(resp.GetRevision()), Full: resp.GetWhole(),
			}
			return nil
		})
		if err == nil && b.Revision > above {
			return b, nil
		}
	}
	return reflector.Batch{}, err
}

// link answers the calls of other entries.
type link struct {
	linkpb.DRPCLinkUnimplementedServer
	entry *entry
}

// Beat implements linkpb.DRPCLinkServer.
func (l *link) Beat(_ context.Context, r *linkpb.BeatRequest) (*linkpb.BeatResponse, error) {
	return l.entry.enroll.HandleHeartbeat(r), nil
}

// Fetch implements linkpb.DRPCLinkServer.
func (l *link) Fetch(_ context.Context, r *linkpb.FetchRequest) (*linkpb.FetchResponse, error) {
	b := l.entry.feed.ChangesSince(storer.Revision(r.GetAboveRevision()))
	return &linkpb.FetchResponse{Changes: b.Changes, Revision: uint64(b.Revision), Whole: b.Full}, nil
}

// Report implements linkpb.DRPCLinkServer.
func (l *link) Report(_ context.Context, r *linkpb.ReportRequest) (*linkpb.ReportResponse, error) {
	l.entry.roll.HandleReport(r.GetEntryId(), r.GetTallies())
	return &linkpb.ReportResponse{}, nil
}

// Tell implements linkpb.DRPCLinkServer.
func (l *link) Tell(_ context.Context, r *linkpb.TellRequest) (*linkpb.TellResponse, error) {
	switch n := r.GetNotice().(type) {
	case *linkpb.TellRequest_Verdict:
		l.entry.roll.HandleVerdict(n.Verdict)
	case *linkpb.TellRequest_Suspect:
		s := n.Suspect
		l.entry.steer.AddPeerSuspect(s.GetService(), quarantiner.Fingerprint(s.GetFingerprint()), r.GetEntryId(), int(s.GetDeaths()))
	}
	return &linkpb.TellResponse{}, nil
}
