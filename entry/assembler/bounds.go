package assembler

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"samphiremux/entry/allotter"
	"samphiremux/entry/buffersizer"
	"samphiremux/entry/capper"
	"samphiremux/entry/collector"
	"samphiremux/entry/expirer"
	"samphiremux/entry/forwarder"
	"samphiremux/entry/lingerer"
	"samphiremux/entry/reserver"
	"samphiremux/entry/sender"
	"samphiremux/pkg/linker"
)

const (
	// adminHeaderBytes is the size of the largest head of a request to the admin server.
	adminHeaderBytes = 8 << 10
	// adminShare is the share of the descriptors for the connections of the admin server:
	// readiness checks, and scrapes of metrics.
	adminShare = 2 * allotter.OtherShare
	// streamShare is the part of the connections to servers that responses may have which
	// callers read slowly, so that requests find others.
	streamShare = 0.5
	// boundLogInterval is the time between two log lines about peers that exceed limits.
	boundLogInterval = 10 * time.Second
	// peerNetwork is the network of connections for requests that another entry runs.
	peerNetwork = "peer"
)

// Names of the listeners, as the label of metrics.
const (
	callerListener = "callers"
	linkListener   = "link"
	adminListener  = "admin"
)

// Bounds are the bounds on what callers and other peers can make an entry hold. A nil Bounds
// has none, except for the time of bodies and the size of heads.
type Bounds struct {
	limits allotter.Allotter
	// memory holds what callers send and do not read, link what entries send over the
	// link, and buffers the responses that are being read from servers.
	memory, link, buffers *reserver.Reserver
	// sockets bounds the kernel's send buffers of all connections.
	sockets *buffersizer.Sizer
	// streams holds one unit for each response that is streamed.
	streams *reserver.Reserver

	mu sync.Mutex
	// closed counts the connections that were closed since the last log line, and loggedAt
	// is the time of that.
	closed   map[closeCause]int
	loggedAt time.Time
}

// closeCause states at which bound of which listener a connection was closed.
type closeCause struct{ listener, reason string }

// NewBounds returns the bounds within the limits of a VM.
func NewBounds(limits allotter.Allotter) *Bounds {
	connections := limits.Connections(allotter.ServerShare)
	return &Bounds{
		limits: limits, memory: limits.Requests(), link: limits.Link(), buffers: reserver.New(limits.BufferBytes()), sockets: limits.Sockets(),
		streams: reserver.New(max(1, int64(streamShare*float64(connections)))), closed: map[closeCause]int{},
	}
}

// keyBytes returns the bound of idempotency keys and their responses, or zero if there is none.
func (b *Bounds) keyBytes() int {
	if b == nil {
		return 0
	}
	return b.limits.KeyBytes()
}

// register creates the series of the metrics.
func (b *Bounds) register(m *collector.Metrics) {
	if b == nil {
		return
	}
	for _, listener := range []string{callerListener, adminListener} {
		for _, r := range expirer.Reasons() {
			m.BoundedConnections.WithLabelValues(listener, string(r))
		}
		for _, end := range lingerer.Ends() {
			m.EndedConnections.WithLabelValues(listener, string(end))
		}
	}
	for _, r := range []capper.Reason{capper.TooManyConnections, capper.MemoryFull} {
		m.BoundedConnections.WithLabelValues(linkListener, string(r))
	}
}

// observe records the memory in the metrics and logs at which bounds connections were closed,
// at most one line for each listener and reason in an interval.
func (e *Entry) observeBounds(now time.Time) {
	b := e.deps.Bounds
	if b == nil {
		return
	}
	m := e.node.Metrics()
	m.HeldBytes.Set(float64(b.memory.Used()))
	m.SocketBufferRoom.Set(float64(b.sockets.Room()))
	m.EvictedMessages.Set(float64(b.memory.Evicted()))
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.loggedAt) < boundLogInterval {
		return
	}
	for cause, n := range b.closed {
		b.loggedAt = now
		e.deps.Log.Warn("Closed connections at a bound.", "listener", cause.listener, "reason", cause.reason, "connections", n)
	}
	clear(b.closed)
}

// countClosed counts a connection that was closed at a bound.
func (e *Entry) countClosed(listener, reason string) {
	e.node.Metrics().BoundedConnections.WithLabelValues(listener, reason).Inc()
	b := e.deps.Bounds
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed[closeCause{listener, reason}]++
}

// newExpirer returns an expirer of the connections of a listener, with heads of up to a number
// of bytes.
func (e *Entry) newExpirer(listener string, share float64, headBytes int) *expirer.Expirer {
	conns := expirer.New(e.deps.Now)
	onEnd := func(end lingerer.End) {
		e.node.Metrics().EndedConnections.WithLabelValues(listener, string(end)).Inc()
	}
	b := e.deps.Bounds
	if b == nil {
		return conns.WithBounds(expirer.Bounds{OnEnd: onEnd})
	}
	return conns.WithBounds(expirer.Bounds{
		OnEnd: onEnd, Connections: b.limits.Connections(share), Memory: b.memory,
		Head:    func() expirer.HeadLimits { return expirer.NewHeadLimits(headBytes) },
		OnClose: func(r expirer.Reason) { e.countClosed(listener, string(r)) },
	})
}

// BoundAdmin makes the admin server keep within the bounds. It returns the listener that the
// server has to use.
func (e *Entry) BoundAdmin(s *http.Server, l net.Listener) net.Listener {
	conns := e.newExpirer(adminListener, adminShare, adminHeaderBytes)
	s.ConnState = conns.ConnState
	return conns.WrapListener(e.boundBuffers(l))
}

// boundBuffers returns a listener whose connections have bounded buffers.
func (e *Entry) boundBuffers(l net.Listener) net.Listener {
	if b := e.deps.Bounds; b != nil {
		return b.sockets.WrapListener(l)
	}
	return l
}

// boundLink returns a listener of the link that keeps within the bounds.
func (e *Entry) boundLink(l net.Listener) net.Listener {
	b := e.deps.Bounds
	if b == nil {
		return l
	}
	return capper.Wrap(b.sockets.WrapListener(l), capper.Bounds{
		Connections: b.limits.Connections(allotter.LinkShare), Memory: b.link,
		OnClose: func(r capper.Reason) { e.countClosed(linkListener, string(r)) },
	})
}

// dialPeer returns a function that opens connections to other entries with bounded buffers.
func (b *Bounds) dialPeer(dial linker.Dialer) linker.Dialer {
	if b == nil {
		return dial
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return b.sockets.Wrap(c), nil
	}
}

// newSenders creates the senders. Their connections share one bound.
func (e *Entry) newSenders() {
	dialServer, dialPeer := e.deps.DialServer, func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		return e.deps.DialPeer(ctx, a.String())
	}
	b := e.deps.Bounds
	if b != nil {
		peers := b.dialPeer(e.deps.DialPeer)
		bounded := capper.NewDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
			if network == peerNetwork {
				return peers(ctx, address)
			}
			c, err := e.deps.DialServer(ctx, netip.MustParseAddrPort(address))
			if err != nil {
				return nil, err
			}
			return b.sockets.Wrap(c), nil
		}, b.limits.Connections(allotter.ServerShare), e.closeAllIdle)
		dialServer = func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
			return bounded.DialContext(ctx, "tcp", a.String())
		}
		dialPeer = func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
			return bounded.DialContext(ctx, peerNetwork, a.String())
		}
	}
	e.servers, e.probes, e.peers = sender.New(dialServer), sender.New(dialServer), sender.New(dialPeer)
	if b != nil {
		e.servers.ShareBuffers(b.buffers)
		e.peers.ShareBuffers(b.buffers)
		e.probes.ShareBuffers(b.buffers)
	}
}

// closeAllIdle closes all idle connections that the entry has opened for requests.
func (e *Entry) closeAllIdle() {
	for _, s := range []*sender.Sender{e.servers, e.peers, e.probes} {
		s.CloseAllIdle()
	}
}

func (b *Bounds) forwarderBounds() forwarder.Bounds {
	if b == nil {
		return forwarder.Bounds{}
	}
	return forwarder.Bounds{Memory: b.memory, Streams: b.streams}
}
