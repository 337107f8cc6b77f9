package measurer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"samphiremux/entry/enroller"
	"samphiremux/entry/reflector"
	"samphiremux/entry/throttler"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/failurefilter"
	"samphiremux/pkg/linker"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
	"samphiremux/platform/storeadapter"
	"samphiremux/standin/netemulator"
	"samphiremux/standin/platformemulator"
)

const (
	// slowLink is the bandwidth of the slowest VMs in bytes per second: 10 Mbit/s.
	slowLink = 10e6 / 8
	// largeValue is the size in bytes of a configuration with 1,400 routes.
	largeValue = 245_000
)

// copyDomain is a failure domain of a copyFleet. The bandwidth of its entries' links is in
// bytes per second, in each direction.
type copyDomain struct {
	size      int
	bandwidth float64
}

// copyFleet is a fleet of entries reduced to their copies of the store, which they reach
// over their links.
type copyFleet struct {
	network *netemulator.Network
	store   *platformemulator.Store
	server  *http.Server
	entries []*copyEntry
	ctx     context.Context
	cancel  context.CancelFunc

	mu sync.Mutex
	// unanswered holds the hosts that get no response of the store.
	unanswered map[string]bool
	// outages counts the beginnings and the ends of outages in which no host gets a
	// response: the number is odd during one.
	outages int
}

// ServeHTTP implements http.Handler. It is the store as the entries see it.
func (f *copyFleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	if f.isUnanswered(host) {
		<-r.Context().Done()
		return
	}
	before := f.outageCount()
	response := httptest.NewRecorder()
	if before%2 == 0 {
		storeadapter.Handler(f.store).ServeHTTP(response, r)
	}
	if before%2 != 0 || f.outageCount() != before {
		<-r.Context().Done()
		return
	}
	maps.Copy(w.Header(), response.Header())
	w.WriteHeader(response.Code)
	_, _ = response.Body.WriteTo(w)
}

func (f *copyFleet) outageCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outages
}

// silenceStore leaves all calls of the store without a response for a time, also those that
// wait for changes as it begins.
func (f *copyFleet) silenceStore(lasts time.Duration) {
	f.toggleOutage()
	time.Sleep(lasts)
	f.toggleOutage()
}

func (f *copyFleet) toggleOutage() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outages++
}

func (f *copyFleet) isUnanswered(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unanswered[host]
}

// stopAnswering makes the store leave the calls of entries without a response.
func (f *copyFleet) stopAnswering(entries ...*copyEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range entries {
		f.unanswered[e.host.String()] = true
	}
}

// copyEntry is an entry that keeps a copy of the store.
type copyEntry struct {
	linkpb.DRPCLinkUnimplementedServer
	host      netip.Addr
	domain    string
	bandwidth float64
	reflector *reflector.Reflector
	enroller  *enroller.Enroller
	pool      *linker.Pool
	uplink    throttler.ByteBudget
	// end ends the process of the entry.
	end context.CancelFunc
	// earlier reports that the entry reads heartbeats as the version before did.
	earlier bool
}

// Beat implements linkpb.DRPCLinkServer. An earlier version knows no omitted values, and takes
// changes from relays only.
func (e *copyEntry) Beat(_ context.Context, r *linkpb.BeatRequest) (*linkpb.BeatResponse, error) {
	if e.earlier {
		r.Omitted, r.CoveredRevision, r.AboveRevision = nil, 0, 0
		if !r.GetScout() {
			r.Changes = nil
		}
	}
	return e.enroller.HandleHeartbeat(r), nil
}

// Fetch implements linkpb.DRPCLinkServer. Large batches take half of the link.
func (e *copyEntry) Fetch(_ context.Context, r *linkpb.FetchRequest) (*linkpb.FetchResponse, error) {
	b := e.reflector.ChangesSince(storer.NewRevision(r.GetEra(), int64(r.GetAboveRevision())), 0)
	if !e.uplink.Take(time.Now(), b.Size(), e.bandwidth/2) {
		return &linkpb.FetchResponse{}, nil
	}
	return &linkpb.FetchResponse{Changes: b.Changes, Revision: uint64(b.Revision.Number()), Era: b.Revision.Era(), Whole: b.Full}, nil
}

// fetch asks other entries, in random order, for the changes above a revision.
func (e *copyEntry) fetch(ctx context.Context, above storer.Revision) (b reflector.Batch, err error) {
	peers := e.enroller.PeerAddresses(time.Now())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, address := range peers {
		peerCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		err = e.pool.Call(peerCtx, address, func(ctx context.Context, c linkpb.DRPCLinkClient) error {
			resp, err := c.Fetch(ctx, &linkpb.FetchRequest{AboveRevision: uint64(above.Number()), Era: above.Era()})
			b = reflector.Batch{
				Changes: resp.GetChanges(), Revision: storer.NewRevision(resp.GetEra(), int64(resp.GetRevision())), Full: resp.GetWhole(),
			}
			return err
		})
		cancel()
		if err == nil && b.Revision > above {
			return b, nil
		}
	}
	return reflector.Batch{}, err
}

// storeAddress is the address of the store in the emulated network.
const storeAddress = "10.9.0.1:2379"

// newCopyFleet starts a store with a link of 1 Gbit/s, and entries in failure domains a, b
// and so on.
func newCopyFleet(t *testing.T, domains ...copyDomain) *copyFleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f := &copyFleet{
		network: netemulator.New(func(string, string) time.Duration { return 500 * time.Microsecond }),
		store:   platformemulator.NewStore(), ctx: ctx, cancel: cancel, unanswered: map[string]bool{},
	}
	address := netip.MustParseAddrPort(storeAddress)
	f.network.SetBandwidth(address.Addr(), 1e9/8)
	l, err := f.network.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	f.server = &http.Server{Handler: f}
	go func() { _ = f.server.Serve(l) }()
	for i, d := range domains {
		f.startDomain(t, i, d)
	}
	return f
}

// startDomain starts the entries of the failure domain with an index.
func (f *copyFleet) startDomain(t *testing.T, index int, d copyDomain) {
	t.Helper()
	for i := range d.size {
		f.start(t, &copyEntry{
			host: netip.AddrFrom4([4]byte{10, 0, byte(index), byte(i + 1)}), domain: string(rune('a' + index)), bandwidth: d.bandwidth,
		})
	}
}

// start starts an entry with a host, domain and bandwidth.
func (f *copyFleet) start(t *testing.T, e *copyEntry) {
	t.Helper()
	ctx, end := context.WithCancel(f.ctx)
	e.end = end
	f.network.SetBandwidth(e.host, e.bandwidth)
	address := netip.AddrPortFrom(e.host, 7000)
	l, err := f.network.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	store := storeadapter.New(func(ctx context.Context, _, to string) (net.Conn, error) {
		return f.network.Dial(ctx, e.host, netip.MustParseAddrPort(to))
	}, "http://"+storeAddress)
	e.pool = linker.NewPool(func(ctx context.Context, to string) (net.Conn, error) {
		return f.network.Dial(ctx, e.host, netip.MustParseAddrPort(to))
	})
	e.reflector = reflector.New(reflector.Options{
		Store: store, Log: hclog.NewNullLogger(), FetchFromPeers: e.fetch,
		IsRelay:        func() bool { return e.enroller.IsRelay() },
		HasRelay:       func() bool { return e.enroller.HasRelay() },
		AwaitsRelay:    func() bool { return e.enroller.AwaitsRelay() },
		MayBecomeRelay: func() bool { return e.enroller.MayBecomeRelay() },
		HoldTime:       func(string, bool) time.Duration { return 0 },
		OnChange:       func() { e.enroller.HeartbeatNow() },
		Sink: func(now time.Time, c reflector.Change) {
			e.enroller.ApplyChange(now, c.Key, c.Value, c.Deleted)
		},
	})
	e.enroller = enroller.New(time.Now(), enroller.Options{
		Self: tracker.Member{
			ID: fmt.Sprintf("entry-%s-%02d", e.domain, e.host.As4()[3]), Domain: e.domain, Address: e.host.String(), LinkAddress: address.String(), LinkRate: e.bandwidth,
			Incarnation: time.Now().String(),
		},
		Store: store, Prefix: "entries/", StoreCache: e.reflector, Log: hclog.NewNullLogger(),
		Seeds: func() []string { return nil }, Pool: e.pool,
	})
	f.entries = append(f.entries, e)
	go func() { _ = linker.Serve(ctx, l, e) }()
	go e.reflector.Run(ctx)
	go e.reflector.RunPeerSync(ctx)
	go e.enroller.RunRegistration(ctx)
	go e.enroller.RunHeartbeats(ctx)
}

func (f *copyFleet) close() {
	f.cancel()
	_ = f.server.Close()
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

// expectKnown waits until all entries know a value of a key, and reports an error if that is
// later than a deadline.
func (f *copyFleet) expectKnown(t *testing.T, key string, value []byte, deadline time.Time) {
	t.Helper()
	for f.knowing(key, value) < len(f.entries) && time.Since(deadline) < 10*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	if late := time.Since(deadline); late > 0 {
		failurefilter.Errorf(t, "%d of %d entries knew %s %s after the deadline", f.knowing(key, value), len(f.entries), key, late)
	}
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
// entry of its failure domain, again and again, and answers nothing else until it is done.
func TestRelayFillsItsLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCopyFleet(t, copyDomain{22, slowLink})
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

// configurationDeadline is the time after which the users expect a configuration to be in
// force at large sites.
const configurationDeadline = 2500 * time.Millisecond

// TestRelayRestartsItsWatch guards against a relay with a slow link that begins its watch
// anew while a large configuration is on the way, since other entries know it already.
func TestRelayRestartsItsWatch(t *testing.T) {
	for _, size := range []int{250_000, 800_000, 1 << 20} {
		for _, moment := range []time.Duration{0, 700 * time.Millisecond, 1950 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes after %s", size, moment), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newCopyFleet(t, copyDomain{22, slowLink}, copyDomain{22, 20 * slowLink})
					time.Sleep(5*time.Second + moment)
					value := bytes.Repeat([]byte("r"), size)
					f.store.PutUnguarded("op/config", value)
					start := time.Now()
					f.expectKnown(t, "op/config", value, start.Add(configurationDeadline))
					f.close()
				})
			})
		}
	}
}
