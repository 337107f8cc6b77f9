package commander

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/balancer"
	"samphiremux/entry/chooser"
	"samphiremux/entry/drainer"
	"samphiremux/entry/enroller"
	"samphiremux/entry/expirer"
	"samphiremux/entry/meter"
	"samphiremux/entry/reflector"
	"samphiremux/entry/roller"
	"samphiremux/entry/roundtripper"
	"samphiremux/entry/snapshotter"
	"samphiremux/entry/throttler"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/describer"
	"samphiremux/pkg/linker"
	"samphiremux/platform/storeadapter"
	"samphiremux/platform/translator"
)

const (
	// headerTimeout and idleTimeout apply to connections for which the configuration
	// has no timeout, such as those of the platform's checks, and to all connections
	// while the configuration is not loaded yet.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds the header bytes read before the configuration's limit
	// applies, and must not be lower than that. It is the default of net/http.
	maxHeaderBytes = 1 << 20
	// dialTimeout bounds the opening of a connection, and also a notification of peers
	// as a whole.
	dialTimeout = time.Second
	// unacknowledgedTimeout is the time after which a connection fails if its peer
	// acknowledges no data (TCP_USER_TIMEOUT).
	unacknowledgedTimeout = 3 * time.Second
	// keepAliveIdle is the idle time after which TCP keep-alive probes are sent, to
	// find idle connections whose peer is gone.
	keepAliveIdle = 2 * time.Second
	// expireInterval is the time between two checks for expired connections.
	expireInterval = time.Second
	// stopMargin is the part of the grace period that is reserved for the exit of the
	// process.
	stopMargin = 200 * time.Millisecond
	// maxLocateTTL is the time for which callers may cache the list of entries, unless
	// the settings allow less.
	maxLocateTTL = 2 * time.Second
)

// entry holds the components of a running entry.
type entry struct {
	id                string
	settings          atomic.Pointer[translator.Settings]
	log               hclog.Logger
	pool              *linker.Pool
	snapshots         *snapshotter.Snapshotter
	reflector         *reflector.Reflector
	enroller          *enroller.Enroller
	balancer          *balancer.Balancer
	expirer           *expirer.Expirer
	connectionsClosed *meter.CounterVec
	roller            *roller.Roller
	metrics           *meter.Registry
	uplink            throttler.ByteBudget
	stopping          chan struct{}
	drainer           *drainer.Drainer
}

// movePrefix is the key prefix of move records.
const movePrefix = translator.ProjectKeyPrefix + "moves/"

func newEntry(s translator.Settings, policy chooser.Policy, log hclog.Logger) *entry {
	d := dialer()
	e := &entry{
		id: s.ID, log: log, metrics: meter.New(), expirer: expirer.New(time.Now), stopping: make(chan struct{}), drainer: drainer.New(),
		pool: linker.NewPool(func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}),
	}
	e.settings.Store(&s)
	headers := roundtripper.Headers{
		RequestID: translator.HeaderRequestID, Instance: translator.HeaderInstance, NotExecuted: translator.HeaderNotExecuted,
		Signature: translator.HeaderSignature, ReadLoad: translator.Load, ReadRateLimit: translator.RateLimit, ReadColdRemaining: translator.ColdLeft,
	}
	e.snapshots = snapshotter.New(func(server describer.Server) *snapshotter.ServerState {
		address := server.Address.String()
		return snapshotter.NewServerState(roundtripper.New(server.ID, address, func(ctx context.Context) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}, headers))
	})
	store := storeadapter.New(d.DialContext, "http://"+s.StoreAddress)
	e.reflector = reflector.New(reflector.Options{
		Store: store, FetchFromPeers: e.fetchFromPeers, HoldTime: e.holdTime, Sink: e.applyChange, Log: log.Named("feeder"),
		IsRelay:  func() bool { return e.enroller.IsRelay() },
		HasRelay: func() bool { return e.enroller.HasRelay() },
		OnChange: func() { e.enroller.HeartbeatNow() },
	})
	e.enroller = enroller.New(time.Now(), enroller.Options{
		Self: tracker.Member{
			ID: s.ID, Domain: s.Domain, Address: s.CallerAddress, LinkAddress: s.LinkAddress,
			Incarnation: strconv.FormatUint(rand.Uint64(), 36),
		},
		Store: store, Prefix: translator.ProjectKeyPrefix + "entries/", Pool: e.pool, Seeds: func() []string { return e.settings.Load().Peers }, Log: log.Named("enroller"),
		StoreCache: e.reflector,
	})
	e.roller = roller.New(roller.Options{
		Self: s.ID, Store: store, StoreCache: e.reflector, Prefix: movePrefix, Snapshots: e.snapshots, Members: e.enroller.UsableMembers,
		LeaderCandidates: e.enroller.MembersReachingStore, OnStoreFailure: e.enroller.ReportStoreFailure,
		Pool: e.pool, Exposure: e.exposureLimit,
		EncodeStatus: translator.EncodeMoveStatus, Log: log.Named("roller"),
	})
	e.balancer = balancer.New(balancer.Options{
		Domain: s.Domain, Policy: policy, Snapshot: e.snapshots.Snapshot, EntryCount: e.enroller.MemberCount, Rank: e.enroller.Rank, Log: log.Named("steerer"),
		OnAttempt: e.roller.Observe, MayTake: e.drainer.MayTake,
		Headers: balancer.Headers{
			RequestID: translator.HeaderRequestID, Instance: translator.HeaderExpectInstance, ReadDeadline: translator.ReadDeadline,
			SetDeadline: translator.SetDeadline, SetRetryAfter: translator.SetRetryAfter,
		},
		Metrics: e.metrics, RetryLimits: e.retryLimits, NotifySuspect: e.notifySuspect,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	e.addGauges(store)
	return e
}

// addGauges registers the counter of closed connections and the gauges that are read
// at each scrape.
func (e *entry) addGauges(store *storeadapter.Client) {
	e.connectionsClosed = e.metrics.CounterVec("connections_closed_total", "Callers' connections closed at a limit of the configuration.", "reason")
	e.metrics.Gauge("store_calls_total", "Calls of the platform's store.", func() float64 { return float64(store.Calls()) })
	e.metrics.Gauge("store_revision", "Store revision up to which the entry knows the store.", func() float64 {
		return float64(e.reflector.Revision().Number())
	})
	e.metrics.Gauge("store_era", "Era of the store, which rises when it is restored from a copy.", func() float64 {
		return float64(store.Era())
	})
	e.metrics.Gauge("store_reached", "1 if the store answers this entry.", func() float64 {
		if e.enroller.ReachesStore() {
			return 1
		}
		return 0
	})
	e.metrics.Gauge("relay", "1 if the entry watches the store for its failure domain.", func() float64 {
		if e.enroller.IsRelay() {
			return 1
		}
		return 0
	})
	e.metrics.Gauge("forwarded_bytes_total", "Bytes of changes of the store sent with heartbeats.", func() float64 {
		return float64(e.enroller.ForwardedBytes())
	})
	e.metrics.Gauge("failed_heartbeats_total", "Heartbeats that were not answered.", func() float64 {
		return float64(e.enroller.FailedHeartbeats())
	})
	e.metrics.Gauge("entries", "Entries that this entry knows of.", func() float64 { return float64(e.enroller.MemberCount()) })
	e.metrics.Gauge("configuration_version", "Version of the configuration in force, 0 if none.", func() float64 {
		if t := e.snapshots.Snapshot().Table; t != nil {
			return float64(t.Version)
		}
		return 0
	})
	e.metrics.Gauge("rate_limited_servers", "Backend servers that state a rate limit.", func() float64 {
		n := 0
		for _, servers := range e.snapshots.Snapshot().Services {
			for _, b := range servers {
				if b.State.Snapshot(time.Now()).RateLimit.Stated {
					n++
				}
			}
		}
		return float64(n)
	})
	e.metrics.Gauge("backend_servers", "Backend servers that may get work.", func() float64 {
		snap := e.snapshots.Snapshot()
		n := 0
		for _, servers := range snap.Services {
			for _, b := range servers {
				if snap.Eligible(b) {
					n++
				}
			}
		}
		return float64(n)
	})
}

// retryLimits returns the retry budget in force.
func (e *entry) retryLimits() balancer.Limits {
	b := e.settings.Load().Bounds
	return balancer.Limits{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}
}

// exposureLimit returns the bounds of a faulty version's requests in force.
func (e *entry) exposureLimit() roller.ExposureLimit {
	b := e.settings.Load().Bounds
	return roller.ExposureLimit{Share: b.ExposedShare, Slack: b.ExposedSlack}
}
