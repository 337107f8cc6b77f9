// Package checker finds out whether an entry still reaches the servers of its services.
package checker

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/reconciler"
)

const (
	// Interval is the time between two looks for services whose check is due.
	Interval = 50 * time.Millisecond
	// checkTimeout bounds one check.
	checkTimeout = 250 * time.Millisecond
	// sampleSize is the number of servers of the service, and of the others together, that
	// a check tries to reach.
	sampleSize = 4
)

// Checker is the actor that checks the contact with the servers.
type Checker struct {
	node *reconciler.Node
	log  hclog.Logger
	// reachable reports whether a server accepts a connection.
	reachable func(ctx context.Context, address netip.AddrPort) bool
	// onRegained is called when a service's servers are reached again.
	onRegained func(sv *reconciler.Service)

	mu  sync.Mutex
	rng *rand.Rand
}

// New returns a checker.
func New(n *reconciler.Node, reachable func(context.Context, netip.AddrPort) bool, onRegained func(*reconciler.Service), rng *rand.Rand, log hclog.Logger) *Checker {
	return &Checker{node: n, reachable: reachable, onRegained: onRegained, rng: rng, log: log}
}

// Receive handles a message of the actor: it begins the checks that are due.
func (c *Checker) Receive(ctx context.Context, _ any) {
	snapshot := c.node.Snapshot()
	if snapshot == nil {
		return
	}
	for _, sv := range snapshot.Services {
		if sv.Dispatcher != nil && sv.Dispatcher.CheckDue() {
			go c.Reaches(ctx, sv, netip.AddrPort{})
		}
	}
}

// Reaches reports whether the entry reaches any server, apart from the one at an address,
// and records the result as that of a check for a service. Servers of other services tell
// an entry that is cut off from a service whose servers are all down. Without another
// server there is nothing to be cut off from. It takes checkTimeout at most.
func (c *Checker) Reaches(ctx context.Context, sv *reconciler.Service, except netip.AddrPort) (reached bool) {
	var own, others []netip.AddrPort
	for _, s := range c.node.Snapshot().Services {
		for _, srv := range s.Spec.Servers {
			switch {
			case srv.Address == except:
			case s.Spec.Name == sv.Spec.Name:
				own = append(own, srv.Address)
			default:
				others = append(others, srv.Address)
			}
		}
	}
	if len(own)+len(others) == 0 {
		return true
	}
	d := sv.Dispatcher
	began := d.BeginCheck()
	reached = c.reachesAny(ctx, slices.Concat(c.sample(own), c.sample(others)))
	if ctx.Err() != nil {
		return true
	}
	if !d.EndCheck(began, reached) {
		return reached
	}
	gauge := c.node.Metrics().ServersUnreachable.WithLabelValues(sv.Spec.Name)
	if reached {
		gauge.Set(0)
		c.log.Info("Backend servers are reached again.", "service", sv.Spec.Name)
		c.onRegained(sv)
		return reached
	}
	gauge.Set(1)
	c.log.Warn("No backend server is reached; passing requests on to other entries.", "service", sv.Spec.Name)
	c.doubtOthers(sv)
	return reached
}

// doubtOthers makes the checks of the other services due, since the entry may be cut off
// from their servers too.
func (c *Checker) doubtOthers(lost *reconciler.Service) {
	for _, sv := range c.node.Snapshot().Services {
		if sv.Dispatcher != nil && sv.Dispatcher != lost.Dispatcher {
			sv.Dispatcher.DoubtContact()
		}
	}
}

// sample returns up to sampleSize addresses at random.
func (c *Checker) sample(addresses []netip.AddrPort) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(sampleSize, len(addresses))]
}

// reachesAny reports whether any of the addresses accepts a connection.
func (c *Checker) reachesAny(ctx context.Context, addresses []netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	results := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { results <- c.reachable(ctx, address) }()
	}
	for range addresses {
		if <-results {
			return true
		}
	}
	return false
}
