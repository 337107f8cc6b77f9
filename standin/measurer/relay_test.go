package measurer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"samphiremux/entry/enroller"
	"samphiremux/entry/reflector"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/linker"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
	"samphiremux/standin/netemulator"
	"samphiremux/standin/platformemulator"
)

const (
	// slowLink is the bandwidth of the slowest VMs in bytes per second: 10 Mbit/s.
	slowLink = 10e6 / 8
	// largeValue is the size in bytes of a configuration with 1,400 routes.
	largeValue = 245_000
)

// copyFleet is a fleet of entries reduced to their copies of the store.
type copyFleet struct {
	network *netemulator.Network
	store   *platformemulator.Store
	entries []*copyEntry
	cancel  context.CancelFunc
}

// copyEntry is an entry that keeps a copy of the store.
type copyEntry struct {
	linkpb.DRPCLinkUnimplementedServer
	host      netip.Addr
	reflector *reflector.Reflector
	enroller  *enroller.Enroller
}

// Beat implements linkpb.DRPCLinkServer.
func (e *copyEntry) Beat(_ context.Context, r *linkpb.BeatRequest) (*linkpb.BeatResponse, error) {
	return e.enroller.HandleHeartbeat(r), nil
}

// newCopyFleet starts entries in one failure domain, whose links have a bandwidth in bytes
// per second.
func newCopyFleet(t *testing.T, size int, bandwidth float64) *copyFleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f := &copyFleet{
		network: netemulator.New(func(string, string) time.Duration { return 500 * time.Microsecond }),
		store:   platformemulator.NewStore(), cancel: cancel,
	}
	for i := range size {
		host := netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)})
		f.network.SetBandwidth(host, bandwidth)
		address := netip.AddrPortFrom(host, 7000)
		l, err := f.network.Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		e := &copyEntry{host: host}
		e.reflector = reflector.New(reflector.Options{
			Store: f.store, Log: hclog.NewNullLogger(),
			FetchFromPeers: func(context.Context, storer.Revision) (reflector.Batch, error) {
				return reflector.Batch{}, nil
			},
			IsRelay:  func() bool { return e.enroller.IsRelay() },
			HasRelay: func() bool { return e.enroller.HasRelay() },
			HoldTime: func(string, bool) time.Duration { return 0 },
			OnChange: func() { e.enroller.HeartbeatNow() },
			Sink: func(now time.Time, c reflector.Change) {
				e.enroller.ApplyChange(now, c.Key, c.Value, c.Deleted)
			},
		})
		e.enroller = enroller.New(time.Now(), enroller.Options{
			Self: tracker.Member{
				ID: fmt.Sprintf("entry-%02d", i), Domain: "a", Address: host.String(), LinkAddress: address.String(),
			},
			Store: f.store, Prefix: "entries/", StoreCache: e.reflector, Log: hclog.NewNullLogger(),
			Seeds: func() []string { return nil },
			Pool: linker.NewPool(func(ctx context.Context, to string) (net.Conn, error) {
				return f.network.Dial(ctx, host, netip.MustParseAddrPort(to))
			}),
		})
		f.entries = append(f.entries, e)
		go func() { _ = linker.Serve(ctx, l, e) }()
		go e.reflector.Run(ctx)
		go e.reflector.RunPeerSync(ctx)
		go e.enroller.RunRegistration(ctx)
		go e.enroller.RunHeartbeats(ctx)
	}
	return f
}

func (f *copyFleet) close() {
	f.cancel()
	for _, e := range f.entries {
		f.network.Crash(e.host)
	}
	time.Sleep(10 * time.Second)
	synctest.Wait()
}

// relay returns the entry that watches the store for the others.
func (f *copyFleet) relay() *copyEntry {
	for _, e := range f.entries {
		if e.enroller.IsRelay() {
			return e
		}
	}
	return nil
}

// knowing returns the number of entries that know a value of a key.
func (f *copyFleet) knowing(key string, value []byte) (n int) {
	for _, e := range f.entries {
		if v, _ := e.reflector.Get(key); bytes.Equal(v, value) {
			n++
		}
	}
	return n
}

// worstSendTime sends 1 KB from a host every 50 ms for a time, and returns the longest time
// until it arrived.
func (f *copyFleet) worstSendTime(t *testing.T, from netip.Addr, lasts time.Duration) (worst time.Duration) {
	t.Helper()
	to := netip.MustParseAddrPort("10.9.9.9:80")
	l, err := f.network.Listen(to)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	own, err := f.network.Dial(context.Background(), from, to)
	if err != nil {
		t.Fatal(err)
	}
	other, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer own.Close()
	data := make([]byte, 1<<10)
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		sent := time.Now()
		_, _ = own.Write(data)
		_, _ = io.ReadFull(other, data)
		worst = max(worst, time.Since(sent))
	}
	return worst
}

// TestRelayFillsItsLink guards against a relay that sends a large configuration to every
// entry of its failure domain, again and again, and answers nothing else meanwhile.
func TestRelayFillsItsLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCopyFleet(t, 22, slowLink)
		time.Sleep(5 * time.Second)
		relay := f.relay()
		is.True(relay != nil)
		value := bytes.Repeat([]byte("r"), largeValue)
		f.store.PutUnguarded("op/config", value)
		worst := f.worstSendTime(t, relay.host, 2*time.Second)
		known := f.knowing("op/config", value)
		worst = max(worst, f.worstSendTime(t, relay.host, 8*time.Second))
		if worst > 200*time.Millisecond || known < len(f.entries) {
			t.Errorf("1 KB took up to %s on the link of the relay, %d of %d entries knew the configuration after 2 s, %d bytes forwarded",
				worst, known, len(f.entries), relay.enroller.ForwardedBytes())
		}
		f.close()
	})
}
