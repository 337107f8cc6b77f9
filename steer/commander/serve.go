package commander

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/allotter"
	"samphiremux/entry/balancer"
	"samphiremux/entry/chooser"
	"samphiremux/entry/delegator"
	"samphiremux/entry/drainer"
	"samphiremux/entry/expirer"
	"samphiremux/entry/hedger"
	"samphiremux/entry/startrecorder"
	"samphiremux/pkg/linker"
	"samphiremux/platform/translator"
)

// features are the parts of the request path that the command line enables.
type features struct {
	// hedgeLimit is the share of hedged requests, or nil if it is not limited.
	hedgeLimit *float64
	// queueing is as in balancer.EnableQueueing.
	queueing bool
}

// serve runs an entry until ctx ends, and then until its last requests are answered or
// the grace period is over. Began is when the process began.
func serve(ctx context.Context, file string, s translator.Settings, policy chooser.Policy, f features, began time.Time, log hclog.Logger) error {
	e := newEntry(s, policy, dialer().DialContext, log)
	e.start.SetBegan(began)
	e.start.Reach(startrecorder.Settings)
	if f.hedgeLimit != nil {
		e.balancer.UseHedger(hedger.New(*f.hedgeLimit))
	}
	if f.queueing {
		e.balancer.EnableQueueing()
	}
	l, err := listen(s)
	if err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.reflector.Run(work)
	go e.reflector.RunPeerSync(work)
	go e.enroller.RunRegistration(work)
	go e.enroller.RunHeartbeats(work)
	go e.closeUnused(work)
	go e.roller.Run(work)
	go e.balancer.RunReachChecks(work)
	go e.persister.Run(work)
	go e.usage.Run(work)
	go e.usage.RunForwarding(work)
	go e.watchSettings(work, file)
	running := e.startServers(work, l)
	e.start.Reach(startrecorder.Listening)
	e.serveMetrics(s.CallerAddress)
	log.Info("Entry runs.", "id", s.ID, "domain", s.Domain, "policy", policy.String())
	<-ctx.Done()
	return e.stop(running)
}

// servers are the servers of requests: of callers, with their listener, and of entries
// that pass requests on.
type servers struct {
	callers, delegated *http.Server
	listener           net.Listener
	// delegatedConns tracks the connections of the delegated server. It is nil if that has no
	// listener.
	delegatedConns *expirer.Expirer
}

// delegatedEnded reports whether other entries have received the last responses to requests
// that they passed on.
func (s servers) delegatedEnded() bool { return s.delegatedConns == nil || s.delegatedConns.Ended() }

// startServers serves callers, the platform and other entries.
func (e *entry) startServers(ctx context.Context, l listeners) servers {
	go func() { _ = linker.Serve(ctx, e.boundLink(l.link), &link{entry: e}) }()
	callers := e.callerServer(e.balancer)
	go func() { _ = callers.Serve(e.expirer.WrapListener(e.boundRequests(l.callers))) }()
	ready, readyConns := e.boundServer(http.HandlerFunc(e.serveReady), l.ready, readyListener, allotter.OtherShare)
	go func() { _ = ready.Serve(readyConns) }()
	locate, locateConns := e.boundServer(http.HandlerFunc(e.serveLocate), l.locate, locateListener, allotter.LocateShare)
	go func() { _ = locate.Serve(locateConns) }()
	delegated := e.server(http.HandlerFunc(e.serveDelegated))
	delegated.BaseContext = callers.BaseContext
	var delegatedConns *expirer.Expirer
	if l.delegated != nil {
		delegatedConns = e.bounds.expirer(delegatedListener, allotter.DelegatedShare, e.delegatedHeadLimits)
		delegated.ConnState = delegatedConns.ConnState
		go func() { _ = delegated.Serve(delegatedConns.WrapListener(e.boundRequests(l.delegated))) }()
	}
	return servers{callers: callers, delegated: delegated, listener: l.callers, delegatedConns: delegatedConns}
}

// metricsPort is the port of the metrics endpoint, on the address that serves callers.
// The deployment file names it too.
const metricsPort = 9400

// serveMetrics serves the metrics. If the port is not available, the entry runs
// without them.
func (e *entry) serveMetrics(callerAddress string) {
	address := netip.AddrPortFrom(netip.MustParseAddrPort(callerAddress).Addr(), metricsPort)
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		e.log.Warn("Cannot listen for metrics; running without them.", "error", err)
		return
	}
	server, conns := e.boundServer(e.metrics, l, metricsListener, allotter.OtherShare)
	go func() { _ = server.Serve(conns) }()
}

// listeners are the listeners of an entry, one for each address of its settings.
// Delegated is nil if the settings have no address for it.
type listeners struct{ callers, ready, locate, link, delegated net.Listener }

// listen opens the listeners of an entry.
func listen(s translator.Settings) (l listeners, err error) {
	for _, open := range []struct {
		listener *net.Listener
		address  string
	}{{&l.callers, s.CallerAddress}, {&l.ready, s.ReadyAddress}, {&l.locate, s.LocateAddress}, {&l.link, s.LinkAddress}, {&l.delegated, s.DelegationAddress}} {
		if open.address == "" {
			continue
		}
		if *open.listener, err = net.Listen("tcp", open.address); err != nil {
			return listeners{}, err
		}
	}
	return l, nil
}

func (e *entry) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     e.log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// callerServer returns the server of callers' requests.
func (e *entry) callerServer(h http.Handler) *http.Server {
	callers := e.server(e.drainer.Handler(h))
	// The configuration sets the timeouts of callers' connections and may change, so
	// the expirer enforces them.
	callers.ReadHeaderTimeout, callers.IdleTimeout = 0, 0
	callers.ConnState = e.expirer.ConnState
	callers.BaseContext = func(net.Listener) context.Context { return e.drainer.Requests() }
	return callers
}

// stop drains the entry. For half of the grace period it still serves requests but is
// not ready and no longer listed, since callers may hold cached answers that list this
// entry and open connections to it, which its responses tell them to close. Then it
// accepts no more connections, closes those that are idle, and returns when the last
// request is answered or the grace period ends. The drainer refuses requests that come so
// late that they might not be complete by then. Connections of other entries stay open: a
// request may be on its way behind its probe.
func (e *entry) stop(s servers) error { return e.drain(s, e.enroller.Deregister) }

func (e *entry) drain(s servers, deregister func(context.Context)) error {
	now, period := time.Now(), e.settings.Load().Bounds.GracePeriod
	exit := now.Add(period - stopMargin)
	grace, cancel := context.WithDeadline(context.Background(), exit)
	defer cancel()
	e.drainer.Begin(now.Add(period/2), exit)
	close(e.stopping)
	e.log.Info("Entry stops.")
	deregistered := make(chan struct{})
	go func() {
		defer close(deregistered)
		deregister(grace)
	}()
	time.Sleep(time.Until(now.Add(period / 2)))
	// A shutdown would close a connection from which a request is being read.
	_ = s.listener.Close()
	drainer.AwaitClosed(grace, e.expirer.CloseIdle, e.expirer.Ended)
	if err := errors.Join(s.callers.Shutdown(grace), s.delegated.Shutdown(grace)); err != nil {
		e.log.Warn("Grace period ended with open connections.", "connections", e.expirer.Open(), "error", err)
	}
	drainer.AwaitClosed(grace, func() {}, s.delegatedEnded)
	e.usage.HandOver(grace)
	select {
	case <-deregistered:
	case <-grace.Done():
	}
	e.log.Info("Entry stopped.")
	return nil
}

func (e *entry) isStopping() bool {
	select {
	case <-e.stopping:
		return true
	default:
		return false
	}
}

// serveDelegated serves requests and probes of other entries. A stopping entry answers no
// probe, so that it gets no further requests.
func (e *entry) serveDelegated(w http.ResponseWriter, r *http.Request) {
	if delegator.IsProbe(r) && e.isStopping() {
		balancer.BoundWrite(w)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.balancer.ServeDelegated(w, r)
}

// serveReady answers the platform's readiness check: 200 if the entry can serve and is not
// stopping, else 503.
func (e *entry) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != translator.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if e.isStopping() || !e.canServe() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveLocate tells a caller which entries to use, and for how long it may cache the
// answer.
func (e *entry) serveLocate(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != translator.LocatePath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	query := translator.ReadLocateQuery(r)
	addresses := callerAddresses(e.enroller.UsableMembers(time.Now()), query.Domain)
	if len(addresses) == 0 || e.snapshots.Snapshot().Table == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	translator.WriteLocations(w, addresses, min(maxLocateTTL, e.settings.Load().Bounds.LocateTTL))
}

// closeUnused closes connections to servers and from callers that have been idle for
// too long, and callers' connections whose headers take too long, until ctx ends.
func (e *entry) closeUnused(ctx context.Context) {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			e.snapshots.CloseIdle(now)
			e.delegator.CloseExpired(now)
			closed := e.expirer.CloseExpired(e.connectionLimits())
			e.connectionsClosed.With("header-timeout").Add(closed.Header)
			e.connectionsClosed.With("idle-timeout").Add(closed.Idle)
			e.logBounds(now)
			e.balancer.LogRefusals(now)
			e.logLink(now)
		case <-ctx.Done():
			return
		}
	}
}

// connectionLimits returns the timeouts of callers' connections in force.
func (e *entry) connectionLimits() expirer.Timeouts {
	l := expirer.Timeouts{Header: headerTimeout, Idle: idleTimeout}
	if t := e.snapshots.Snapshot().Table; t != nil {
		l.Header = cmp.Or(t.Limits.HeaderTimeout, l.Header)
		l.Idle = cmp.Or(t.Limits.IdleTimeout, l.Idle)
	}
	return l
}
