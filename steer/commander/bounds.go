package commander

import (
	"context"
	"net"
	"net/http"
	"time"

	"samphiremux/entry/allotter"
	"samphiremux/entry/buffersizer"
	"samphiremux/entry/capper"
	"samphiremux/entry/expirer"
	"samphiremux/entry/lingerer"
	"samphiremux/entry/linkcounter"
	"samphiremux/entry/meter"
	"samphiremux/entry/reserver"
)

const (
	// defaultHeaderBytes is the size of the largest head of a request while there is no
	// configuration, and hopHeaderBytes that of the headers that another entry adds.
	defaultHeaderBytes = 16 << 10
	hopHeaderBytes     = 4 << 10
	// smallHeaderBytes is the size of the largest head of requests that no caller sends:
	// readiness checks, queries for entries and scrapes of metrics.
	smallHeaderBytes = 8 << 10
	// smallWriteTimeout bounds the time to read a small request and to write its response.
	smallWriteTimeout = 15 * time.Second
	// boundLogInterval is the time between two log lines about peers that exceed limits.
	boundLogInterval = 10 * time.Second
)

// bounds are the bounds on what callers and other peers can make an entry hold.
type bounds struct {
	limits allotter.Allotter
	// memory holds what callers and entries that pass requests on send, and link what
	// entries send over the link.
	memory, link *reserver.Reserver
	// sockets bounds the kernel's send buffers of all connections.
	sockets *buffersizer.Sizer
	refused *meter.CounterVec
	// ended counts the sockets of connections that the entry closed after a response.
	ended *meter.CounterVec
	// loggedAt is when the last line was logged, and logged the counts then.
	loggedAt time.Time
	logged   map[[2]string]int64
}

// Names of the listeners, as the label of metrics.
const (
	callerListener    = "callers"
	delegatedListener = "delegated"
	locateListener    = "locate"
	readyListener     = "ready"
	metricsListener   = "metrics"
	linkListener      = "link"
)

// boundReasons are the reasons for which connections of a listener are closed.
var boundReasons = map[string][]string{
	callerListener: headReasons(), delegatedListener: headReasons(), locateListener: headReasons(), readyListener: headReasons(), metricsListener: headReasons(),
	linkListener: {string(capper.TooManyConnections), string(capper.MemoryFull)},
}

func headReasons() (reasons []string) {
	for _, r := range expirer.Reasons() {
		reasons = append(reasons, string(r))
	}
	return reasons
}

func newBounds(limits allotter.Allotter, metrics *meter.Registry) *bounds {
	b := &bounds{
		limits: limits, memory: limits.Requests(), link: limits.Link(), sockets: limits.Sockets(),
		refused: metrics.CounterVec("bounded_connections_total", "Connections closed at a bound of what peers may hold, by listener and reason.", "listener", "reason"),
		ended:   metrics.CounterVec("ended_connections_total", "Connections that were closed after a response, by listener and by what ended the wait for their peers to read it.", "listener", "end"),
		logged:  map[[2]string]int64{},
	}
	for listener, reasons := range boundReasons {
		for _, reason := range reasons {
			b.refused.With(listener, reason)
		}
		if listener == linkListener {
			continue
		}
		for _, end := range lingerer.Ends() {
			b.ended.With(listener, string(end))
		}
	}
	metrics.Gauge("held_bytes", "Bytes of request heads and bodies, and of responses that callers read slowly.", func() float64 { return float64(b.memory.Used()) })
	metrics.Gauge("socket_buffer_room_bytes", "Bytes by which the kernel's send buffers of connections may still grow.", func() float64 { return float64(b.sockets.Room()) })
	metrics.Gauge("evicted_messages_total", "Heads, bodies and responses given up at the bound of memory, since their callers made no progress.", func() float64 {
		return float64(b.memory.Evicted())
	})
	return b
}

// boundDial returns a function that opens connections with bounded buffers.
func (b *bounds) boundDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return b.sockets.Wrap(c), nil
	}
}

// expirer returns an expirer of the connections of a listener, for a share of the
// descriptors.
func (b *bounds) expirer(listener string, share float64, head func() expirer.HeadLimits) *expirer.Expirer {
	return expirer.New(time.Now).WithBounds(expirer.Bounds{
		Connections: b.limits.Connections(share), Head: head, Memory: b.memory,
		OnClose: func(r expirer.Reason) { b.refused.With(listener, string(r)).Inc() },
		OnEnd:   func(end lingerer.End) { b.ended.With(listener, string(end)).Inc() },
	})
}

// boundServer returns a server and a listener that keep within the bounds of requests that
// no caller sends.
func (e *entry) boundServer(h http.Handler, l net.Listener, name string, share float64) (*http.Server, net.Listener) {
	tracker := e.bounds.expirer(name, share, func() expirer.HeadLimits { return expirer.NewHeadLimits(smallHeaderBytes) })
	s := e.server(h)
	s.ConnState = tracker.ConnState
	// Without it a peer that reads no responses keeps its connection.
	s.WriteTimeout = smallWriteTimeout
	return s, tracker.WrapListener(e.bounds.sockets.WrapListener(l))
}

// boundRequests returns a listener of requests whose connections have bounded buffers and count
// for the own link.
func (e *entry) boundRequests(l net.Listener) net.Listener {
	return linkcounter.WrapListener(e.bounds.sockets.WrapListener(l), e.gauger)
}

// headLimits returns the current limits of the heads of callers' requests.
func (e *entry) headLimits() expirer.HeadLimits { return expirer.NewHeadLimits(e.headerBytes()) }

// delegatedHeadLimits returns the limits of the heads of requests that other entries pass
// on. Those may have a newer configuration.
func (e *entry) delegatedHeadLimits() expirer.HeadLimits {
	return expirer.NewHeadLimits(2*e.headerBytes() + hopHeaderBytes)
}

func (e *entry) headerBytes() int {
	if t := e.snapshots.Snapshot().Table; t != nil && t.Limits.HeaderBytes > 0 {
		return t.Limits.HeaderBytes
	}
	return defaultHeaderBytes
}

// boundLink returns a listener of the link that keeps within the bounds.
func (e *entry) boundLink(l net.Listener) net.Listener {
	return capper.Wrap(e.bounds.sockets.WrapListener(l), capper.Bounds{
		Connections: e.bounds.limits.Connections(allotter.LinkShare), Memory: e.bounds.link,
		OnClose: func(r capper.Reason) { e.bounds.refused.With(linkListener, string(r)).Inc() },
	})
}

// logBounds logs at which bounds connections were closed, at most one line for each
// listener and reason in an interval.
func (e *entry) logBounds(now time.Time) {
	b := e.bounds
	if now.Sub(b.loggedAt) < boundLogInterval {
		return
	}
	b.loggedAt = now
	for listener, reasons := range boundReasons {
		for _, reason := range reasons {
			key, count := [2]string{listener, reason}, b.refused.With(listener, reason).Value()
			if count > b.logged[key] {
				e.log.Warn("Closed connections at a bound.", "listener", listener, "reason", reason, "connections", count-b.logged[key])
				b.logged[key] = count
			}
		}
	}
}
