package commander

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"samphiremux/entry/quarantiner"
	"samphiremux/entry/reflector"
	"samphiremux/pkg/linker"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
)

// notifySuspect notifies the other entries that a backend server crashed while it ran a
// request, so that they count it against the request's fingerprint.
func (e *entry) notifySuspect(service string, fingerprint quarantiner.Fingerprint, crashes int) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	notice := &linkpb.TellRequest{EntryId: e.id, Notice: &linkpb.TellRequest_Suspect{Suspect: &linkpb.SuspectNotice{
		Service: service, Fingerprint: uint64(fingerprint), Deaths: uint32(crashes),
	}}}
	e.pool.NotifyAll(ctx, e.enroller.PeerAddresses(time.Now()), notice, func(address string, err error) {
		e.log.Debug("Peer not notified of the suspect request.", "peer", address, "error", err)
	})
}

// fetchFromPeers asks other entries, in random order, for the changes above a revision
// until one of them has newer ones. If none has, it returns an empty batch and the
// error of the last call, which is nil if that entry answered.
func (e *entry) fetchFromPeers(ctx context.Context, above storer.Revision) (b reflector.Batch, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	peers := e.enroller.PeerAddresses(time.Now())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	err = errors.New("no other entry to fetch changes from")
	for _, address := range peers {
		err = e.pool.Call(ctx, address, func(ctx context.Context, c linkpb.DRPCLinkClient) error {
			resp, err := c.Fetch(ctx, &linkpb.FetchRequest{AboveRevision: uint64(above.Number()), Era: above.Era()})
			if err != nil {
				return err
			}
			b = reflector.Batch{
				Changes: resp.GetChanges(), Full: resp.GetWhole(),
				Revision: linker.DecodeRevision(resp.GetRevision(), resp.GetEra(), above.Era()),
			}
			return nil
		})
		if err == nil && b.Revision > above {
			return b, nil
		}
	}
	return reflector.Batch{}, err
}

// link serves the calls of other entries.
type link struct {
	linkpb.DRPCLinkUnimplementedServer
	entry *entry
}

// Beat implements linkpb.DRPCLinkServer.
func (l *link) Beat(_ context.Context, r *linkpb.BeatRequest) (*linkpb.BeatResponse, error) {
	return l.entry.enroller.HandleHeartbeat(r), nil
}

// Fetch implements linkpb.DRPCLinkServer.
func (l *link) Fetch(_ context.Context, r *linkpb.FetchRequest) (*linkpb.FetchResponse, error) {
	above := linker.DecodeRevision(r.GetAboveRevision(), r.GetEra(), l.entry.reflector.Revision().Era())
	b := l.entry.reflector.ChangesSince(above)
	return &linkpb.FetchResponse{
		Changes: b.Changes, Revision: uint64(b.Revision.Number()), Era: b.Revision.Era(), Whole: b.Full,
	}, nil
}

// Report implements linkpb.DRPCLinkServer.
func (l *link) Report(_ context.Context, r *linkpb.ReportRequest) (*linkpb.ReportResponse, error) {
	l.entry.roller.HandleReport(r.GetEntryId(), r.GetTallies())
	return &linkpb.ReportResponse{}, nil
}

// Tell implements linkpb.DRPCLinkServer.
func (l *link) Tell(_ context.Context, r *linkpb.TellRequest) (*linkpb.TellResponse, error) {
	switch n := r.GetNotice().(type) {
	case *linkpb.TellRequest_Verdict:
		l.entry.roller.HandleRollback(n.Verdict)
	case *linkpb.TellRequest_Suspect:
		s := n.Suspect
		l.entry.balancer.AddPeerSuspect(s.GetService(), quarantiner.Fingerprint(s.GetFingerprint()), r.GetEntryId(), int(s.GetDeaths()))
	}
	return &linkpb.TellResponse{}, nil
}
