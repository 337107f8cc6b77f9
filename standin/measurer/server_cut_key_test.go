package measurer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"samphiremux/entry/tracker"
	"samphiremux/standin/caller"
	"samphiremux/standin/generator"
	"samphiremux/standin/netemulator"
	"samphiremux/standin/simulator"
)

// TestRefusalKeptForKey guards against a key whose request can never run, since its owner was
// partitioned from all servers and another entry refused the request once as not run.
func TestRefusalKeptForKey(t *testing.T) {
	const service = "booking"
	d := simulator.Trust().WithOnlyService(service)
	doc := d.Document("production")
	s, _ := doc.Service(service)
	s.Entries = 4
	withCluster(t, simulator.Options{Deployment: d, Entries: 8}, doc.WithService(s), func(t *testing.T, cl testCluster) {
		owner := cl.memberHost(service)
		rng := rand.New(rand.NewPCG(1, 1))
		c := caller.NewDirect(func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			return cl.net.Dial(ctx, owner.Address, to)
		}, []netip.AddrPort{netip.AddrPortFrom(owner.Address, simulator.CallerPort)}, service, 1)
		defer c.Close()
		call := func(id, key string) caller.Result {
			return c.Do(cl.ctx, caller.Call{
				Service: service, Method: http.MethodPost, Path: "/bookings/1", ID: id, Key: key, Body: []byte("b"), Work: 12 * time.Millisecond,
			})
		}
		owner.SetServerPartition(cl.net, netemulator.Resetting)
		for i := range 20 {
			call(fmt.Sprintf("first-%d", i), "")
			time.Sleep(100 * time.Millisecond)
		}
		for _, b := range cl.Servers {
			b.ShedFor(3 * time.Second)
		}
		key := ownedKey(rng, owner, service, s.Entries)
		first := call("keyed", key)
		if r, ok := first.(caller.Refused); !ok || r.Kind != "not-run" || r.Reason == "no-such-route" {
			t.Fatalf("first send: %+v", first)
		}
		time.Sleep(5 * time.Second)
		second := call("keyed", key)
		if _, ok := second.(caller.Whole); !ok {
			t.Errorf("first send: %+v, second send: %+v, %d runs", first, second, cl.Executions.Runs("keyed"))
		}
	})
}

// memberHost returns an entry of a service's subset.
func (cl testCluster) memberHost(service string) *simulator.Host {
	subset := cl.Entries[0].Entry.Node().Snapshot().Services[service].Subset
	for _, h := range cl.Entries {
		if h.Entry.Node().Self().ID == subset[0].ID {
			return h
		}
	}
	return nil
}

// ownedKey returns a new idempotency key that an entry owns.
func ownedKey(rng *rand.Rand, owner *simulator.Host, service string, members int) (key string) {
	node := owner.Entry.Node()
	for owned := false; !owned; {
		key = generator.NewIdempotencyKey(rng, time.Now())
		node.WithTracker(func(_ time.Time, t *tracker.Tracker) bool {
			m, _, ok := t.KeyOwner(service, key, members)
			owned = ok && m.ID == node.Self().ID
			return false
		})
	}
	return key
}
