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
	"samphiremux/entry/enroller"
	"samphiremux/entry/expirer"
	"samphiremux/entry/meter"
	"samphiremux/entry/reflector"
	"samphiremux/entry/roller"
	"samphiremux/entry/roundtripper"
	"samphiremux/entry/snapshotter"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/describer"
	"samphiremux/pkg/linker"
	"samphiremux/platform/storeadapter"
	"samphiremux/platform/translator"
)

const (
	// headerTimeout and idleTimeout bound connections for which the configuration
	// has no limit or is not known yet.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds what is read before the configuration's limit is
	// applied, and must not be below it. It is the default of net/http.
	maxHeaderBytes = 1 << 20
	// dialLimit bounds the opening of a connection.
	dialLimit = time.Second
	// silentLimit ends connections whose peer acknowledges nothing.
	silentLimit = 3 * time.Second
	// keepAlive finds connections that have gone silent while unused.
	keepAlive = 2 * time.Second
	// expireInterval is the time between two looks for unused connections.
	expireInterval = time.Second
	// stopMargin is left of the grace for the end of the process.
	stopMargin = 200 * time.Millisecond
	// locateLife is the time for which callers keep an answer.
	locateLife = 2 * time.Second
)

// entry is one running entry.
type entry struct {
	id       string
	settings atomic.Pointer[translator.Settings]
	log      hclog.Logger
	pool     *linker.Pool
	survey   *snapshotter.Snapshotter
	feed     *reflector.Reflector
	enroll   *enroller.Enroller
	steer    *balancer.Balancer
	expirer  *expirer.Expirer
	closed   *meter.CounterVec
	roll     *roller.Roller
	metrics  *meter.Registry
	stopping chan struct{}
}

// movePrefix begins the keys of the records of version moves.
const movePrefix = translator.ProjectKeyPrefix + "moves/"

func newEntry(s translator.Settings, policy chooser.Policy, log hclog.Logger) *entry {
	d := dialer()
	e := &entry{
		id: s.ID, log: log, metrics: meter.New(), expirer: expirer.New(time.Now), stopping: make(chan struct{}),
		pool: linker.NewPool(func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}),
	}
	e.settings.Store(&s)
	words := roundtripper.Headers{
		RequestID: translator.HeaderRequestID, Instance: translator.HeaderInstance, NotExecuted: translator.HeaderNotExecuted,
		Signature: translator.HeaderSignature, ReadLoad: translator.Load, ReadColdRemaining: translator.ColdLeft,
	}
	e.survey = snapshotter.New(func(f describer.Server) *snapshotter.ServerState {
		address := f.Address.String()
		return snapshotter.NewServerState(roundtripper.New(f.ID, address, func(ctx context.Context) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}, words))
	})
	store := storeadapter.New(d.DialContext, "http://"+s.StoreAddress)
	e.feed = reflector.New(reflector.Options{
		Store: store, FetchFromPeers: e.ask, RemovalDelay: e.hold, Sink: e.take, Log: log.Named("feeder"),
		IsRelay:  func() bool { return e.enroll.IsRelay() },
		HasRelay: func() bool { return e.enroll.HasRelay() },
		OnChange: func() { e.enroll.HeartbeatNow() },
	})
	e.enroll = enroller.New(time.Now(), enroller.Options{
		Self: tracker.Member{
			ID: s.ID, Domain: s.Domain, Address: s.CallerAddress, LinkAddress: s.LinkAddress,
			Incarnation: strconv.FormatUint(rand.Uint64(), 36),
		},
		Store: store, Prefix: translator.ProjectKeyPrefix + "entries/", Pool: e.pool, Seeds: func() []string { return e.settings.Load().Peers }, Log: log.Named("enroller"),
		StoreCache: e.feed,
	})
	e.roll = roller.New(roller.Options{
		Self: s.ID, Store: store, StoreCache: e.feed, Prefix: movePrefix, Snapshots: e.survey, Members: e.enroll.UsableMembers,
		LeaderCandidates: e.enroll.MembersReachingStore, OnStoreFailure: e.enroll.ReportStoreFailure,
		Pool: e.pool, Exposure: e.exposure,
		EncodeStatus: translator.EncodeMoveStatus, Log: log.Named("roller"),
	})
	e.steer = balancer.New(balancer.Options{
		Domain: s.Domain, Policy: policy, View: e.survey.Snapshot, EntryCount: e.enroll.Count, Log: log.Named("steerer"),
		OnAttempt: e.roll.Observe,
		Headers: balancer.Headers{
			RequestID: translator.HeaderRequestID, Instance: translator.HeaderExpectInstance, ReadDeadline: translator.ReadDeadline,
			SetDeadline: translator.SetDeadline, SetRetryAfter: translator.SetRetryAfter,
		},
		Metrics: e.metrics, RetryLimits: e.retries, NotifySuspect: e.tellSuspect,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	e.addGauges(store)
	return e
}

// addGauges adds the counter of closed connections, and what is read when the metrics are asked for.
func (e *entry) addGauges(store *storeadapter.Client) {
	e.closed = e.metrics.CounterVec("connections_closed_total", "Callers' connections closed at a limit of the configuration.", "reason")
	e.metrics.Gauge("store_calls_total", "Calls of the platform's store.", func() float64 { return float64(store.Calls()) })
	e.metrics.Gauge("store_revision", "Store revision up to which the entry knows the store.", func() float64 {
		return float64(e.feed.Revision())
	})
	e.metrics.Gauge("store_reached", "1 if the store answers this entry.", func() float64 {
		if e.enroll.ReachesStore() {
			return 1
		}
		return 0
	})
	e.metrics.Gauge("entries", "Entries that this entry knows of.", func() float64 { return float64(e.enroll.Count()) })
	e.metrics.Gauge("configuration_version", "Version of the configuration in force, 0 if none.", func() float64 {
		if t := e.survey.Snapshot().Table; t != nil {
			return float64(t.Version)
		}
		return 0
	})
	e.metrics.Gauge("backend_servers", "Backend servers that may get work.", func() float64 {
		view := e.survey.Snapshot()
		n := 0
		for _, all := range view.Services {
			for _, b := range all {
				if view.Eligible(b) {
					n++
				}
			}
		}
		return float64(n)
	})
}

// retries returns the bounds of repetitions in force.
func (e *entry) retries() balancer.Limits {
	b := e.settings.Load().Bounds
	return balancer.Limits{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}
}

// exposure returns the bounds of a bad version in force.
func (e *entry) exposure() roller.ExposureLimit {
	b := e.settings.Load().Bounds
	return roller.ExposureLimit{Share: b.ExposedShare, Slack: b.ExposedSlack}
}
