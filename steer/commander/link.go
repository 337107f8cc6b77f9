package commander

import (
	"context"
	"errors"
	"time"

	"samphiremux/entry/quarantiner"
	"samphiremux/entry/reflector"
	"samphiremux/pkg/linker"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
)

const (
	// fetchTimeout bounds a fetch of changes from other entries, and peerFetchTimeout the
	// call of one of them. The largest value takes 0.8 s on a link of 10 Mbit/s.
	fetchTimeout     = 4 * time.Second
	peerFetchTimeout = 2 * time.Second
	// uplinkShare is the part of the link that large batches for other entries may use.
	uplinkShare = 0.5
)

// notifySuspect notifies the other entries that a backend server crashed during an attempt,
// so that they count it against the request's fingerprint, or that the request is cleared.
func (e *entry) notifySuspect(service string, fingerprint quarantiner.Fingerprint, crashes int, last quarantiner.Attempt) {
	begun, ended := last.Ages(time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	notice := &linkpb.TellRequest{EntryId: e.id, Notice: &linkpb.TellRequest_Suspect{Suspect: &linkpb.SuspectNotice{
		Service: service, Fingerprint: uint64(fingerprint), Deaths: uint32(crashes), BegunUs: begun, EndedUs: ended,
	}}}
	e.pool.NotifyAll(ctx, e.enroller.PeerAddresses(time.Now()), notice, func(address string, err error) {
		e.log.Debug("Peer not notified of the suspect request.", "peer", address, "error", err)
	})
}

// fetchFromPeers asks other entries for the changes above a revision until one of them has
// newer ones, those last from which no heartbeat has arrived lately. If none has, it returns an empty batch and the
// error of the last call, which is nil if that entry answered.
func (e *entry) fetchFromPeers(ctx context.Context, above storer.Revision) (b reflector.Batch, err error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	peers := e.enroller.PeerAddresses(time.Now())
	err = errors.New("no other entry to fetch changes from")
	for _, address := range peers {
		peerCtx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
		err = e.pool.Call(peerCtx, address, func(ctx context.Context, c linkpb.DRPCLinkClient) error {
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
		cancel()
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
	b := l.entry.changesFor(time.Now(), above)
	return &linkpb.FetchResponse{
		Changes: b.Changes, Revision: uint64(b.CompleteRevision().Number()), Era: b.CompleteRevision().Era(), Whole: b.Full,
	}, nil
}

// maxFreeBytes is the size of a batch that is sent to another entry without regard to what
// was sent before.
const maxFreeBytes = 8 << 10

// changesFor returns the changes above a revision for another entry that asks for them. A
// large batch is cut short while earlier ones may still be on the link, so that each is
// received before its timeout; the entry then asks others for the rest.
func (e *entry) changesFor(now time.Time, above storer.Revision) reflector.Batch {
	b := e.reflector.ChangesSince(above, 0)
	if b.Size() <= maxFreeBytes || e.uplink.Take(now, b.Size(), e.settings.Load().LinkRate*uplinkShare) {
		return b
	}
	return e.reflector.ChangesSince(above, maxFreeBytes)
}

// Report implements linkpb.DRPCLinkServer.
func (l *link) Report(_ context.Context, r *linkpb.ReportRequest) (*linkpb.ReportResponse, error) {
	l.entry.roller.HandleReport(r.GetEntryId(), r.GetTallies())
	return &linkpb.ReportResponse{}, l.entry.usage.Merge(r.GetUsage())
}

// Tell implements linkpb.DRPCLinkServer.
func (l *link) Tell(_ context.Context, r *linkpb.TellRequest) (*linkpb.TellResponse, error) {
	switch n := r.GetNotice().(type) {
	case *linkpb.TellRequest_Verdict:
		l.entry.roller.HandleRollback(n.Verdict)
	case *linkpb.TellRequest_Suspect:
		s := n.Suspect
		last := quarantiner.AttemptBefore(time.Now(), s.GetBegunUs(), s.GetEndedUs())
		l.entry.balancer.AddPeerSuspect(s.GetService(), quarantiner.Fingerprint(s.GetFingerprint()), r.GetEntryId(), int(s.GetDeaths()), last)
	}
	return &linkpb.TellResponse{}, nil
}
