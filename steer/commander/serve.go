package commander

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/chooser"
	"samphiremux/entry/expirer"
	"samphiremux/pkg/linker"
	"samphiremux/platform/translator"
)

// serve runs an entry until ctx ends, and then until its last requests are
// answered or the grace is over.
func serve(ctx context.Context, file string, s translator.Settings, policy chooser.Policy, log hclog.Logger) error {
	e := newEntry(s, policy, log)
	listeners, err := listen(s.CallerAddress, s.ReadyAddress, s.LocateAddress, s.LinkAddress)
	if err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.feed.Run(work)
	go e.feed.RunPeerSync(work)
	go e.enroll.RunRegistration(work)
	go e.enroll.RunHeartbeats(work)
	go e.expire(work)
	go e.roll.Run(work)
	go e.followSettings(work, file)
	go func() { _ = linker.Serve(work, listeners[3], &link{entry: e}) }()
	callers := e.server(e.steer)
	// The configuration bounds callers' connections, and it may change.
	callers.ReadHeaderTimeout, callers.IdleTimeout = 0, 0
	callers.ConnState = e.expirer.ConnState
	go func() { _ = callers.Serve(e.expirer.WrapListener(listeners[0])) }()
	go func() { _ = e.server(http.HandlerFunc(e.ready)).Serve(listeners[1]) }()
	go func() { _ = e.server(http.HandlerFunc(e.locate)).Serve(listeners[2]) }()
	e.serveMetrics(s.CallerAddress)
	log.Info("Entry runs.", "id", s.ID, "domain", s.Domain, "policy", policy.String())
	<-ctx.Done()
	return e.stop(callers)
}

// metricsPort is where the metrics are served, at the address of the entry. The
// deploy file names it too.
const metricsPort = 9400

// serveMetrics serves the metrics beside the callers' address. An entry without
// them goes on.
func (e *entry) serveMetrics(callers string) {
	address := netip.AddrPortFrom(netip.MustParseAddrPort(callers).Addr(), metricsPort)
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		e.log.Warn("Metrics are not served.", "error", err)
		return
	}
	go func() { _ = e.server(e.metrics).Serve(l) }()
}

func listen(addresses ...string) (all []net.Listener, err error) {
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		all = append(all, l)
	}
	return all, nil
}

func (e *entry) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: e.log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// stop serves on, unnamed and not ready, for a part of the grace, since callers may
// keep answers that name this entry, and connections to it. Then it takes no more
// requests and ends when the last one is answered.
func (e *entry) stop(callers *http.Server) error {
	grace, cancel := context.WithTimeout(context.Background(), e.settings.Load().Bounds.GracePeriod-stopMargin)
	defer cancel()
	close(e.stopping)
	e.log.Info("Entry stops.")
	callers.SetKeepAlivesEnabled(false)
	serving := time.NewTimer(e.settings.Load().Bounds.GracePeriod / 2)
	defer serving.Stop()
	e.enroll.Stop(grace)
	<-serving.C
	if err := callers.Shutdown(grace); err != nil {
		e.log.Warn("Requests were still at work at the end.", "error", err)
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

// ready answers the platform's check.
func (e *entry) ready(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != translator.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if e.isStopping() || e.survey.Snapshot().Table == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// locate answers a caller which entries to use.
func (e *entry) locate(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != translator.LocatePath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	asker := translator.ReadLocateQuery(r)
	addresses := near(e.enroll.UsableMembers(time.Now()), asker.Domain)
	if len(addresses) == 0 || e.survey.Snapshot().Table == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	translator.WriteLocations(w, addresses, min(locateLife, e.settings.Load().Bounds.LocateTTL))
}

// expire closes connections, to servers and of callers, that were unused for too
// long.
func (e *entry) expire(ctx context.Context) {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			e.survey.CloseIdle(now)
			closed := e.expirer.CloseExpired(e.connectionLimits())
			e.closed.With("header-timeout").Add(closed.Header)
			e.closed.With("idle-timeout").Add(closed.Idle)
		case <-ctx.Done():
			return
		}
	}
}

// connectionLimits returns the limits of callers' connections in force.
func (e *entry) connectionLimits() expirer.Timeouts {
	l := expirer.Timeouts{Header: headerTimeout, Idle: idleTimeout}
	if t := e.survey.Snapshot().Table; t != nil {
		l.Header = cmp.Or(t.Limits.HeaderTimeout, l.Header)
		l.Idle = cmp.Or(t.Limits.IdleTimeout, l.Idle)
	}
	return l
}
