package coordinator_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"samphiremux/entry/chooser"
	"samphiremux/entry/collector"
	"samphiremux/entry/coordinator"
	"samphiremux/entry/granter"
	"samphiremux/entry/mover"
	"samphiremux/entry/reconciler"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/encoder"
	"samphiremux/pkg/parser"
	"samphiremux/pkg/publisher"
	"samphiremux/pkg/storer"
)

// recordStore holds one record.
type recordStore struct {
	storer.Store
	value    []byte
	revision storer.Revision
}

func (s *recordStore) Get(context.Context, string) (storer.KeyValue, error) {
	return storer.KeyValue{Value: s.value, ModRevision: s.revision}, nil
}

func (s *recordStore) Commit(_ context.Context, t storer.Transaction) storer.Outcome {
	if t.Guards[0].ModRevision != s.revision {
		return storer.NotCommitted{Cause: storer.ErrConflict{Key: t.Guards[0].Key}}
	}
	s.value, s.revision = t.Puts[0].Value, s.revision+1
	return storer.Committed{Revision: s.revision}
}

// newNode returns the only entry, with a document that moves a service.
func newNode(t *testing.T, m parser.Move) *reconciler.Node {
	t.Helper()
	is := is.New(t)
	doc := parser.Document{Environment: "production", Domains: []parser.Domain{{Name: "a", Region: "r"}}, Services: []parser.Service{{
		Name: "stock", SheddingStatuses: []int{503}, RetryBudget: 0.1, ProbeBudget: 0.01, Move: &m,
		Versions: []parser.Version{{Name: m.From, Share: 100}, {Name: m.To}},
		Routes:   []parser.Route{{Name: "read", Method: "GET", PathPrefix: "/", Idempotent: true, TimeLimit: time.Second, Importance: 5}},
	}}}
	for i, version := range []string{m.From, m.To} {
		doc.Services[0].Servers = append(doc.Services[0].Servers, parser.Server{
			Name: "stock-" + version, Version: version, Slots: 4, ConnectionLimit: 260, Domain: "a",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(1 + i)}), 8000),
		})
	}
	data, err := encoder.Encode(doc)
	is.NoErr(err)
	self := tracker.Member{ID: "e0", Domain: "a"}
	n := reconciler.New(reconciler.Options{Self: self, Policy: chooser.ExpectedCompletion{}, Seed: 1, Now: time.Now, Metrics: collector.New()})
	n.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		t.RecordRenewal(now)
		return t.SetRegistered(now, []tracker.Member{self})
	})
	_, err = n.ApplyDocument(publisher.Envelope{
		Environment: "production", Revision: 1, ChangeID: "1", Digest: publisher.Digest(data), Document: string(data),
	})
	is.NoErr(err)
	return n
}

// TestDoneMoveRolledBack guards against a move that is recorded as done and then rolled back,
// since its coordinator found a regression while the write of done had no response.
func TestDoneMoveRolledBack(t *testing.T) {
	for _, c := range []struct {
		stored, end mover.Phase
	}{{mover.Moving, mover.RolledBack}, {mover.Done, mover.Done}, {mover.RolledBack, mover.RolledBack}} {
		t.Run(string(c.stored), func(t *testing.T) {
			is := is.New(t)
			move := parser.Move{From: "v1", To: "v2", Deadline: time.Now().Add(time.Hour)}
			n := newNode(t, move)
			doc := n.Snapshot().Document
			service, _ := doc.Service("stock")
			moving := mover.NewRecord(*service.Move, time.Now(), "e0").WithStep(3, time.Now())
			n.SetMoveRecord("stock", moving)
			is.True(n.Rollback("stock", moving.Move, "fails"))
			stored := moving
			switch c.stored {
			case mover.Done:
				stored.Phase, stored.Share = mover.Done, 1
			case mover.RolledBack:
				stored = moving.WithRollback("fails", time.Now())
			}
			value, err := stored.Encode()
			is.NoErr(err)
			store := &recordStore{value: value, revision: 7}
			n.SetMoveRecord("stock", stored) // as the watch tells it
			var ends []mover.Phase
			hook := func(_ context.Context, a coordinator.Announcement) error {
				ends = append(ends, a.Phase)
				return nil
			}
			client := &granter.Client{Send: func(any) bool { return false }}
			co := coordinator.New(n, store, client, "production", hook, hclog.NewNullLogger())
			for range 4 {
				co.Receive(context.Background(), nil)
			}
			r, err := mover.DecodeRecord(store.value)
			is.NoErr(err)
			is.Equal(r.Phase, c.end)
			is.Equal(ends, []mover.Phase{c.end})
			known, _ := n.MoveRecord("stock")
			is.Equal(known.Phase, c.end)
		})
	}
}
