package commander

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/chooser"
	"samphiremux/entry/reflector"
	"samphiremux/pkg/storer"
)

// TestFetchWaitsForSilentEntries guards against an entry without the store that learns of
// changes late, since it asks entries that are cut off before one that answers.
func TestFetchWaitsForSilentEntries(t *testing.T) {
	const reachable = 3
	for range 10 {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet()
			defer f.stop()
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				if address != fleetSettings(reachable).LinkAddress {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return f.network.dialer("late")(ctx, network, address)
			}
			late := newEntry(fleetSettings(fleetSize), chooser.ExpectedCompletion{}, dial, hclog.NewNullLogger())
			f.register(late)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go late.enroller.RunHeartbeats(ctx)
			f.entries[reachable].reflector.ApplyBatch(time.Now(), reflector.Batch{Full: true, Revision: 12})
			late.reflector.ApplyBatch(time.Now(), reflector.Batch{Full: true, Revision: 9})
			time.Sleep(1500 * time.Millisecond)
			start := time.Now()
			b, err := late.fetchFromPeers(ctx, 9)
			if took := time.Since(start); err != nil || b.Revision != storer.Revision(12) || took > 100*time.Millisecond {
				t.Errorf("fetched up to revision %d after %v, error %v", b.Revision, took, err)
			}
		})
	}
}
