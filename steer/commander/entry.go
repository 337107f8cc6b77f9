package commander

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/allotter"
	"samphiremux/entry/balancer"
	"samphiremux/entry/capper"
	"samphiremux/entry/chooser"
	"samphiremux/entry/delegator"
	"samphiremux/entry/drainer"
	"samphiremux/entry/enroller"
	"samphiremux/entry/expirer"
	"samphiremux/entry/linkcounter"
	"samphiremux/entry/linkgauger"
	"samphiremux/entry/meter"
	"samphiremux/entry/persister"
	"samphiremux/entry/reflector"
	"samphiremux/entry/roller"
	"samphiremux/entry/roundtripper"
	"samphiremux/entry/snapshotter"
	"samphiremux/entry/startrecorder"
	"samphiremux/entry/throttler"
	"samphiremux/entry/tracker"
	"samphiremux/entry/usagereporter"
	"samphiremux/pkg/describer"
	"samphiremux/pkg/linker"
	"samphiremux/pkg/placer"
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
	// answeredWindow is the time for which a backend server counts as answering after its
	// last response. Within it, an entry with a few requests a second probes each server of
	// its failure domain.
	answeredWindow = 5 * time.Second
	// maxLocateTTL is the time for which callers may cache the list of entries, unless
	// the settings allow less.
	maxLocateTTL = 2 * time.Second
)

// entry holds the components of a running entry.
type entry struct {
	id        string
	settings  atomic.Pointer[translator.Settings]
	log       hclog.Logger
	pool      *linker.Pool
	snapshots *snapshotter.Snapshotter
	reflector *reflector.Reflector
	enroller  *enroller.Enroller
	balancer  *balancer.Balancer
	delegator *delegator.Delegator
	persister *persister.Persister
	expirer   *expirer.Expirer
	bounds    *bounds
	dialer    *capper.Dialer
	// gauger gauges the link for callers and servers.
	gauger            *linkgauger.Gauger
	linkLog           linkLog
	connectionsClosed *meter.CounterVec
	// invalidChanges counts the changes of the store that could not be read.
	invalidChanges atomic.Int64
	roller         *roller.Roller
	usage          *usagereporter.Reporter
	// uptime reads the clock of usage reports.
	uptime   func() time.Duration
	metrics  *meter.Registry
	uplink   throttler.ByteBudget
	stopping chan struct{}
	drainer  *drainer.Drainer
	// start records the phases of the start.
	start *startrecorder.Recorder
	// servable is set once the entry has had a configuration and a backend server.
	servable atomic.Bool
}

const (
	// movePrefix is the key prefix of move records.
	movePrefix = translator.ProjectKeyPrefix + "moves/"
	// entryPrefix is the key prefix of the entries' registrations.
	entryPrefix = translator.ProjectKeyPrefix + "entries/"
	// quarantinePrefix is the key prefix of quarantined requests.
	quarantinePrefix = translator.ProjectKeyPrefix + "quarantines/"
)

// registration returns the registration of an entry that starts with the settings.
func registration(s translator.Settings) tracker.Member {
	return tracker.Member{
		ID: s.ID, Domain: s.Domain, Address: s.CallerAddress, LinkAddress: s.LinkAddress, DelegationAddress: s.DelegationAddress,
		LinkRate: s.LinkRate, Incarnation: strconv.FormatUint(rand.Uint64(), 36),
	}
}

// dialFunc opens a connection to an address.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func newEntry(s translator.Settings, policy chooser.Policy, dial dialFunc, log hclog.Logger) *entry {
	e := &entry{
		id: s.ID, log: log, metrics: meter.New(), stopping: make(chan struct{}), drainer: drainer.New(), uptime: uptime,
		start: startrecorder.New(time.Now()),
	}
	e.settings.Store(&s)
	e.bounds = newBounds(allotter.New(s.MemoryBytes, s.MaxDescriptors), e.metrics)
	dial = e.bounds.boundDial(dial)
	e.pool = linker.NewPool(func(ctx context.Context, address string) (net.Conn, error) {
		return dial(ctx, "tcp", address)
	})
	e.expirer = e.bounds.expirer(callerListener, allotter.CallerShare, e.headLimits)
	e.gauger = linkgauger.New(s.LinkRate)
	e.dialer = capper.NewDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return linkcounter.Wrap(c, e.gauger), nil
	}, e.bounds.limits.Connections(allotter.ServerShare), func() { e.snapshots.CloseAllIdle() })
	headers := roundtripper.Headers{
		RequestID: translator.HeaderRequestID, Instance: translator.HeaderInstance, NotExecuted: translator.HeaderNotExecuted,
		Signature: translator.HeaderSignature, ReadLoad: translator.Load, ReadRateLimit: translator.RateLimit, ReadColdRemaining: translator.ColdLeft,
		ReadLeaving: translator.IsLeaving, ReadPause: translator.Pause,
	}
	buffers := roundtripper.NewBuffers(e.bounds.limits.BufferBytes())
	connections := e.metrics.CounterVec("server_connections_total", "Connections opened to backend servers, by why no open one was used.", "cause")
	for _, cause := range roundtripper.OpenCauses() {
		connections.With(string(cause))
	}
	e.snapshots = snapshotter.New(func(server describer.Server) *snapshotter.ServerState {
		address := server.Address.String()
		client := roundtripper.New(server.ID, address, func(ctx context.Context) (net.Conn, error) {
			return e.dialer.DialContext(ctx, "tcp", address)
		}, headers)
		client.ShareBuffers(buffers)
		client.OnOpen(func(cause roundtripper.OpenCause) { connections.With(string(cause)).Inc() })
		state := snapshotter.NewServerState(client)
		state.OnChange(func(n roundtripper.Notice) { logNotice(log, server.ID, n) })
		return state
	})
	store := storeadapter.New(storeadapter.Dialer(dial), "http://"+s.StoreAddress)
	e.reflector = reflector.New(reflector.Options{
		Store: store, FetchFromPeers: e.fetchFromPeers, HoldTime: e.holdTime, Sink: e.applyChange, Log: log.Named("feeder"),
		IsRelay:        func() bool { return e.enroller.IsRelay() },
		HasRelay:       func() bool { return e.enroller.HasRelay() },
		AwaitsRelay:    func() bool { return e.enroller.AwaitsRelay() },
		MayBecomeRelay: func() bool { return e.enroller.MayBecomeRelay() },
		WasRegistered:  func() bool { return e.enroller.WasRegistered() },
		OnChange:       e.observeStore,
		OnReady:        e.observeState,
		CanWait:        func(key string) bool { return key == usageKey },
	})
	self := registration(s)
	e.usage = usagereporter.New(usagereporter.Options{
		Self: s.ID, Incarnation: self.Incarnation, Store: store, StoreCache: e.reflector, Key: usageKey, Members: func() usagereporter.Members { return e.enroller }, Forward: e.forwardUsage,
		Limits: e.usageLimits, Uptime: func() time.Duration { return e.uptime() }, TimeOfDay: timeOfDay, Send: e.sendUsage(dial), Stopping: e.isStopping, Log: log.Named("usage"),
	})
	e.enroller = enroller.New(time.Now(), enroller.Options{
		Self: self, Usage: e.usage, Start: e.start, OnPeer: e.reflector.ObservePeerContact,
		Store: store, Prefix: entryPrefix, Pool: e.pool, Seeds: func() []string { return e.settings.Load().Peers }, Log: log.Named("enroller"),
		StoreCache: e.reflector,
	})
	e.roller = roller.New(roller.Options{
		Self: s.ID, Store: store, StoreCache: e.reflector, Prefix: movePrefix, Snapshots: e.snapshots, Members: e.enroller.UsableMembers,
		LeaderCandidates: e.enroller.MembersReachingStore, OnStoreFailure: e.enroller.ReportStoreFailure,
		Pool: e.pool, Exposure: e.exposureLimit,
		EncodeStatus: translator.EncodeMoveStatus, Log: log.Named("roller"),
	})
	e.delegator = delegator.New(delegator.Options{
		Self: s.ID, Domain: s.Domain, RequestID: translator.HeaderRequestID, Peers: e.delegationPeers, Link: e.gauger,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return e.dialer.DialContext(ctx, "tcp", address)
		},
	})
	e.balancer = balancer.New(balancer.Options{
		Self: s.ID, Delegator: e.delegator, Domain: s.Domain, Policy: policy, Snapshot: e.snapshots.Snapshot, Outdated: e.isOutdated, EntryCount: e.enroller.LimitShares, Rank: e.enroller.Rank, Entries: e.members, FirstEntries: e.enroller.FirstMembers, Settled: e.enroller.Settled, Resumed: e.enroller.Resumed, Log: log.Named("steerer"),
		Bodies: e.bounds.memory, Link: e.gauger, OnProbe: func() { e.start.Reach(startrecorder.Probe) }, OnResponse: e.observeResponse,
		OnAttempt: e.roller.Observe, OnRun: e.usage.Count, MayTake: e.drainer.MayTake,
		IdleTimeout: func() time.Duration { return e.connectionLimits().Idle },
		Headers: balancer.Headers{
			RequestID: translator.HeaderRequestID, Instance: translator.HeaderExpectInstance, ReadDeadline: translator.ReadDeadline,
			SetDeadline: translator.SetDeadline, SetRetryAfter: translator.SetRetryAfter,
			Key: translator.HeaderKey, ReadKey: translator.ReadKey, Workspace: translator.HeaderWorkspace, SetChallenge: translator.SetChallenge,
		},
		Metrics: e.metrics, RetryLimits: e.retryLimits, NotifySuspect: e.notifySuspect,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	e.persister = persister.New(persister.Options{
		Store: store, Prefix: quarantinePrefix, Quarantines: e.balancer.Quarantines, SetStored: e.balancer.SetStoredQuarantine,
		Rank: e.enroller.Rank, ReachesStore: e.enroller.ReachesStore, Log: log.Named("persister"),
	})
	e.addGauges(store)
	e.addStartGauge()
	e.addUsageGauges()
	return e
}

// addGauges registers the counter of closed connections and the gauges that are read
// at each scrape.
func (e *entry) addGauges(store *storeadapter.Client) {
	e.connectionsClosed = e.metrics.CounterVec("connections_closed_total", "Callers' connections closed at a limit of the configuration.", "reason")
	e.metrics.Gauge("server_connections", "Open connections to backend servers and for requests that other entries take.", func() float64 { return float64(e.dialer.Open()) })
	e.metrics.Gauge("server_connections_refused_total", "Connections to backend servers and other entries not opened at the bound.", func() float64 { return float64(e.dialer.Refused()) })
	e.metrics.Gauge("link_saturated_seconds_total", "Time for which the own link was saturated by callers and backend servers.", func() float64 { return e.gauger.SaturatedTime(time.Now()).Seconds() })
	e.metrics.Gauge("caller_connections", "Open connections of callers.", func() float64 { return float64(e.expirer.Open()) })
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
	e.metrics.Gauge("servers_reached", "1 if any backend server answers this entry.", func() float64 {
		if e.balancer.ReachesServers() {
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
	e.metrics.Gauge("invalid_store_values_total", "Values of the store that could not be read.", func() float64 {
		return float64(e.invalidChanges.Load())
	})
	e.metrics.Gauge("failed_heartbeats_total", "Heartbeats that were not answered.", func() float64 {
		return float64(e.enroller.FailedHeartbeats())
	})
	e.metrics.Gauge("quarantined_requests", "Requests that are refused since servers crashed while they ran them.", func() float64 {
		return float64(len(e.balancer.Quarantines()))
	})
	e.metrics.GaugeVec("subset_servers", "Backend servers that this entry uses first, by service.", "service", e.balancer.SubsetSizes)
	e.metrics.Gauge("entries", "Entries that this entry knows of.", func() float64 { return float64(e.enroller.MemberCount()) })
	e.metrics.Gauge("limit_entries", "Entries that this entry counts in limits for all of them.", func() float64 { return float64(e.enroller.LimitShares()) })
	e.metrics.Gauge("limit_settled", "1 if this entry takes part in limits for all entries.", func() float64 {
		if e.enroller.Settled() {
			return 1
		}
		return 0
	})
	e.metrics.Gauge("configuration_version", "Version of the configuration in force, 0 if none.", func() float64 {
		if t := e.snapshots.Snapshot().Table; t != nil {
			return float64(t.Version)
		}
		return 0
	})
	e.metrics.Gauge("rate_limited_servers", "Backend servers that state a rate limit.", func() float64 {
		return e.countServers(func(_ *snapshotter.Snapshot, b snapshotter.Backend) bool {
			return b.State.Snapshot(time.Now()).RateLimit.Stated
		})
	})
	e.metrics.Gauge("leaving_servers", "Registered backend servers that are leaving by their responses.", func() float64 {
		return e.countServers(func(_ *snapshotter.Snapshot, b snapshotter.Backend) bool { return b.State.Leaving() })
	})
	e.metrics.Gauge("paused_servers", "Registered backend servers that asked this entry for a pause.", func() float64 {
		return e.countServers(func(_ *snapshotter.Snapshot, b snapshotter.Backend) bool {
			return b.State.Snapshot(time.Now()).Paused
		})
	})
	e.metrics.Gauge("backend_servers", "Backend servers that may get work.", func() float64 {
		return e.countServers(func(snap *snapshotter.Snapshot, b snapshotter.Backend) bool {
			return snap.Eligible(b) && !b.State.Leaving()
		})
	})
	e.metrics.Gauge("answering_backend_servers", "Backend servers that may get work and answered this entry in the last 5 s.", func() float64 {
		now := time.Now()
		return e.countServers(func(snap *snapshotter.Snapshot, b snapshotter.Backend) bool {
			return snap.Eligible(b) && !b.State.Leaving() && now.Sub(b.State.Snapshot(now).HeardAt) < answeredWindow
		})
	})
}

// countServers returns the number of backend servers that match.
func (e *entry) countServers(match func(*snapshotter.Snapshot, snapshotter.Backend) bool) float64 {
	snap := e.snapshots.Snapshot()
	n := 0
	for _, servers := range snap.Services {
		for _, b := range servers {
			if match(snap, b) {
				n++
			}
		}
	}
	return float64(n)
}

// delegationPeers returns the other entries that take requests from this one.
func (e *entry) delegationPeers() (peers []delegator.Peer) {
	for _, m := range e.enroller.UsableMembers(time.Now()) {
		if m.ID != e.id && m.DelegationAddress != "" {
			peers = append(peers, delegator.Peer{ID: m.ID, Domain: m.Domain, Address: m.DelegationAddress})
		}
	}
	return peers
}

// members returns the entries that use the backend servers, this one included.
func (e *entry) members() (members []placer.Member) {
	for _, m := range e.enroller.Members() {
		members = append(members, placer.Member{ID: m.ID, Domain: m.Domain})
	}
	return members
}

// retryLimits returns the retry budget in force.
func (e *entry) retryLimits() balancer.Limits {
	b := e.settings.Load().Bounds
	return balancer.Limits{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}
}

// isOutdated reports whether another entry may know a newer configuration.
func (e *entry) isOutdated() bool {
	return e.reflector.Outdated(time.Now(), translator.ConfigurationKey)
}

// exposureLimit returns the bounds of a faulty version's requests in force.
func (e *entry) exposureLimit() roller.ExposureLimit {
	b := e.settings.Load().Bounds
	return roller.ExposureLimit{Share: b.ExposedShare, Slack: b.ExposedSlack}
}
