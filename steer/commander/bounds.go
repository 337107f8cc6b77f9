package commander

import (
	"cmp"
	"math"
	"net"
	"net/http"
	"syscall"
	"time"

	"samphiremux/entry/capper"
	"samphiremux/entry/expirer"
	"samphiremux/entry/meter"
	"samphiremux/entry/reserver"
)

const (
	// defaultDescriptors is the number of file descriptors of the smallest VM. It holds if
	// neither the settings nor the process have a limit.
	defaultDescriptors = 4100
	// ownDescriptors is the number of descriptors for the listeners, the store and links
	// that the entry opens.
	ownDescriptors = 32
	// Shares of the other descriptors. If all entries but one are lost, the last one gets
	// the connections of up to 2,400 callers, and each entry has one link to another one.
	callerShare    = 0.6
	serverShare    = 0.15
	linkShare      = 0.125
	delegatedShare = 0.03
	locateShare    = 0.03
	otherShare     = 0.01
	// holdShare is the part of the memory for request heads and bodies, and for responses
	// that callers read slowly. The heap takes up to 1.4 times as much, since that is when
	// the collector runs. Of the smallest VM it is 18 MiB; its link brings 10 MB in 8 s.
	holdShare = 0.1
	// linkMemoryShare is the part of the memory for messages of other entries, and
	// minLinkBytes is enough for the largest one.
	linkMemoryShare = 1.0 / 16
	minLinkBytes    = 5 << 20
	// defaultHeaderBytes is the size of the largest head of a request while there is no
	// configuration, and hopHeaderBytes that of the headers that another entry adds.
	defaultHeaderBytes = 16 << 10
	hopHeaderBytes     = 4 << 10
	// smallHeaderBytes is the size of the largest head of requests that no caller sends:
	// readiness checks, queries for entries and scrapes of metrics.
	smallHeaderBytes = 8 << 10
	// boundLogInterval is the time between two log lines about peers that exceed limits.
	boundLogInterval = 10 * time.Second
	// connectionMemoryShare is the part of the memory for callers' connections, and
	// connectionBytes what an idle one takes (27 MiB for 3,000 were measured).
	connectionMemoryShare = 0.2
	connectionBytes       = 10 << 10
	// unboundedMemory stands for the memory of a VM whose settings give none.
	unboundedMemory = 4 << 30
)

// bounds are the bounds on what callers and other peers can make an entry hold.
type bounds struct {
	descriptors int
	// connections bounds the connections of one listener by their memory.
	connections int
	// memory holds what callers and entries that pass requests on send, and link what
	// entries send over the link.
	memory, link *reserver.Reserver
	refused      *meter.CounterVec
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

func newBounds(memory int64, descriptors int, metrics *meter.Registry) *bounds {
	total := float64(cmp.Or(memory, unboundedMemory))
	b := &bounds{
		descriptors: max(1, cmp.Or(descriptors, ownLimit(), defaultDescriptors)-ownDescriptors),
		connections: int(connectionMemoryShare * total / connectionBytes),
		memory:      reserver.New(int64(holdShare * total)).WithLone(int64(bodyShare * total)),
		link:        reserver.New(max(minLinkBytes, int64(linkMemoryShare*total))),
		refused:     metrics.CounterVec("bounded_connections_total", "Connections closed at a bound of what peers may hold, by listener and reason.", "listener", "reason"),
		logged:      map[[2]string]int64{},
	}
	for listener, reasons := range boundReasons {
		for _, reason := range reasons {
			b.refused.With(listener, reason)
		}
	}
	metrics.Gauge("held_bytes", "Bytes of request heads and bodies, and of responses that callers read slowly.", func() float64 { return float64(b.memory.Used()) })
	metrics.Gauge("evicted_messages_total", "Heads, bodies and responses given up at the bound of memory, since their callers made no progress.", func() float64 {
		return float64(b.memory.Evicted())
	})
	return b
}

// share returns the number of connections for a share of the descriptors.
func (b *bounds) share(share float64) int {
	return max(2, min(int(share*float64(b.descriptors)), b.connections))
}

// ownLimit returns the number of descriptors that the operating system allows the process,
// or zero if that is not known.
func ownLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// expirer returns an expirer of the connections of a listener, for a share of the
// descriptors.
func (b *bounds) expirer(listener string, share float64, head func() expirer.HeadLimits) *expirer.Expirer {
	return expirer.New(time.Now).WithBounds(expirer.Bounds{
		Connections: b.share(share), Head: head, Memory: b.memory,
		OnClose: func(r expirer.Reason) { b.refused.With(listener, string(r)).Inc() },
	})
}

// boundServer returns a server and a listener that keep within the bounds of requests that
// no caller sends.
func (e *entry) boundServer(h http.Handler, l net.Listener, name string, share float64) (*http.Server, net.Listener) {
	tracker := e.bounds.expirer(name, share, func() expirer.HeadLimits { return expirer.NewHeadLimits(smallHeaderBytes) })
	s := e.server(h)
	s.ConnState = tracker.ConnState
	return s, tracker.WrapListener(l)
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
	return capper.Wrap(l, capper.Bounds{
		Connections: e.bounds.share(linkShare), Memory: e.bounds.link,
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
