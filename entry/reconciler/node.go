// Package reconciler holds the state that the actors of one entry share: the
// document in force, the members, and a dispatcher for each service. Requests
// read an immutable snapshot and never wait for an actor.
package reconciler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"samphiremux/entry/chooser"
	"samphiremux/entry/collector"
	"samphiremux/entry/deduplicator"
	"samphiremux/entry/dispatcher"
	"samphiremux/entry/mover"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/parser"
	"samphiremux/pkg/placer"
	"samphiremux/pkg/publisher"
)

// Snapshot is the immutable state that requests read.
type Snapshot struct {
	Revision publisher.Revision
	Document parser.Document
	Services map[string]*Service
}

// Service is the state of one service at this entry.
type Service struct {
	Spec     parser.Service
	Subset   []tracker.Member
	InSubset bool
	// Dispatcher is nil if this entry is not in the subset.
	Dispatcher *dispatcher.Dispatcher
}

// Options are the parameters of a node, which do not change.
type Options struct {
	Self    tracker.Member
	Policy  chooser.Policy
	Seed    uint64
	Now     func() time.Time
	Metrics *collector.Metrics
	// KeyBytes bounds the memory of idempotency keys and their responses. Zero stands for
	// 32 MiB.
	KeyBytes int
}

// Node is the shared state of one entry. It is safe for concurrent use.
type Node struct {
	options  Options
	snapshot atomic.Pointer[Snapshot]
	// isolationDeadline is the time from which the entry counts as isolated
	// unless the store or a peer answers before. It is nil for an entry without
	// peers.
	isolationDeadline atomic.Pointer[time.Time]
	// newer is nil until a peer reports a newer revision than that in force. It is
	// written with the lock held.
	newer atomic.Pointer[newerRevision]
	// rejoins counts how many times the entry stopped being isolated.
	rejoins atomic.Uint64

	mu          sync.Mutex
	tracker     *tracker.Tracker
	envelope    publisher.Envelope
	document    parser.Document
	dispatchers map[string]*dispatcher.Dispatcher
	observers   map[string]*observer
	records     map[string]mover.Record
	leavingVMs  map[string]bool
	onRollback  func(service, move, reason string)
	onDoubt     func()

	keysMu sync.Mutex
	keys   *deduplicator.KeyTable
}

// New returns the state of an entry that has no document yet.
func New(o Options) *Node {
	return &Node{
		options:     o,
		tracker:     tracker.New(o.Now(), o.Self),
		dispatchers: map[string]*dispatcher.Dispatcher{},
		observers:   map[string]*observer{},
		records:     map[string]mover.Record{},
		keys:        deduplicator.New(o.KeyBytes),
		onRollback:  func(string, string, string) {},
	}
}

// Self returns the entry's registration.
func (n *Node) Self() tracker.Member { return n.options.Self }

// Now returns the current time of the entry's clock.
func (n *Node) Now() time.Time { return n.options.Now() }

// Metrics returns the entry's metrics.
func (n *Node) Metrics() *collector.Metrics { return n.options.Metrics }

// Snapshot returns the current snapshot, or nil before the first document.
func (n *Node) Snapshot() *Snapshot { return n.snapshot.Load() }

// WithTracker runs f with the membership state, and rebuilds the snapshot if f
// reports a change of the members.
func (n *Node) WithTracker(f func(now time.Time, t *tracker.Tracker) (changed bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if f(n.options.Now(), n.tracker) {
		n.rebuild()
	}
	n.updateIsolation()
}

// updateIsolation publishes the time from which the entry counts as isolated.
// When isolation ends, it invalidates all grants, since what the entry knows of
// the servers may be stale. The caller holds the lock.
func (n *Node) updateIsolation() {
	wasIsolated := n.Isolated()
	if deadline, ok := n.tracker.IsolationDeadline(); ok {
		n.isolationDeadline.Store(&deadline)
	} else {
		n.isolationDeadline.Store(nil)
	}
	if wasIsolated && !n.Isolated() {
		n.rejoins.Add(1)
		for _, d := range n.dispatchers {
			d.InvalidateGrants()
		}
	}
}

// Isolated reports whether neither the store nor any peer has answered within
// the isolation timeout. The entry may then have missed changes by operators,
// so it takes no requests.
func (n *Node) Isolated() bool {
	deadline := n.isolationDeadline.Load()
	return deadline != nil && !n.options.Now().Before(*deadline)
}

// WithKeys runs f with the table of idempotency keys.
func (n *Node) WithKeys(f func(now time.Time, k *deduplicator.KeyTable)) {
	n.keysMu.Lock()
	defer n.keysMu.Unlock()
	f(n.options.Now(), n.keys)
}

// ErrOlderDocument is returned for a document that is older than the one in
// force.
type ErrOlderDocument struct{ Offered, InForce publisher.Revision }

func (e ErrOlderDocument) Error() string {
	return fmt.Sprintf("document revision %d is older than revision %d in force", e.Offered, e.InForce)
}

// ApplyDocument puts a document into force if it is newer than the one in force.
// Offering the document in force again is no error. An older document, or
// another document of the same revision, is refused with an error.
func (n *Node) ApplyDocument(e publisher.Envelope) (accepted bool, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	inForce := n.envelope.Revision
	switch {
	case e.Revision < inForce:
		n.options.Metrics.RevertsRefused.Inc()
		return false, ErrOlderDocument{Offered: e.Revision, InForce: inForce}
	case e.Revision == inForce && e.ChangeID == n.envelope.ChangeID:
		return false, nil
	case e.Revision == inForce:
		n.options.Metrics.RevertsRefused.Inc()
		return false, fmt.Errorf("conflicting document of revision %d: offered change %s, in force is change %s", inForce, e.ChangeID, n.envelope.ChangeID)
	}
	doc, err := parser.Parse(fmt.Sprintf("revision-%d.yaml", e.Revision), []byte(e.Document), time.Time{})
	if err != nil {
		return false, err
	}
	n.envelope = e
	n.document = doc
	n.options.Metrics.Revision.Set(float64(e.Revision))
	n.rebuild()
	return true, nil
}

// Rejoins returns how many times the entry stopped being isolated. State that
// its actors collected before a rejoin may be stale.
func (n *Node) Rejoins() uint64 { return n.rejoins.Load() }

// Envelope returns the published form of the document in force.
func (n *Node) Envelope() publisher.Envelope {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.envelope
}

// SetLeavingVMs applies the platform's list of VMs that are leaving. The keys
// of leaving are IP addresses.
func (n *Node) SetLeavingVMs(leaving map[string]bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leavingVMs = leaving
	for _, d := range n.dispatchers {
		d.SetLeavingVMs(func(addr string) bool { return leaving[addr] })
	}
}

// rebuild computes the plans of all services and publishes a new snapshot. The
// caller holds the lock.
func (n *Node) rebuild() {
	if n.envelope.Revision == 0 {
		return
	}
	next := &Snapshot{
		Revision: n.envelope.Revision, Document: n.document, Services: make(map[string]*Service, len(n.document.Services)),
	}
	for _, s := range n.document.Services {
		next.Services[s.Name] = n.buildService(s)
	}
	maps.DeleteFunc(n.dispatchers, func(name string, _ *dispatcher.Dispatcher) bool { return next.Services[name] == nil })
	maps.DeleteFunc(n.observers, func(name string, _ *observer) bool { return next.Services[name] == nil })
	n.options.Metrics.Members.Set(float64(len(n.tracker.Members())))
	n.snapshot.Store(next)
}

// buildService returns the state of a service, and creates, updates or drops
// its dispatcher. Policies without coordination use all members as the subset.
// The caller holds the lock.
func (n *Node) buildService(s parser.Service) *Service {
	size := SubsetSize(s)
	if !chooser.Coordinated(n.options.Policy) {
		size = len(n.tracker.Members())
	}
	subset := n.tracker.Subset(s.Name, size)
	sv := &Service{Spec: s, Subset: subset}
	sv.InSubset = slices.ContainsFunc(subset, func(m tracker.Member) bool { return m.ID == n.options.Self.ID })
	if !sv.InSubset {
		// The state would be stale by the time the entry serves the service
		// again.
		delete(n.dispatchers, s.Name)
		delete(n.observers, s.Name)
		n.options.Metrics.ServersUnreachable.DeleteLabelValues(s.Name)
		return sv
	}
	d, ok := n.dispatchers[s.Name]
	if !ok {
		o := newObserver(n, s.Name)
		rng := rand.New(rand.NewPCG(n.options.Seed, placer.Weight(s.Name, n.options.Self.ID)))
		d = dispatcher.New(n.options.Self.ID, n.options.Policy, rng, n.options.Now, o)
		d.OnDoubt(n.onDoubt)
		n.dispatchers[s.Name] = d
		n.observers[s.Name] = o
	}
	record, hasRecord := n.records[s.Name]
	n.observers[s.Name].update(s, record, hasRecord)
	d.Update(dispatcher.Plan{
		Placements:   n.placements(s, subset),
		Versions:     versionWeights(s, record, hasRecord),
		RouteWeights: routeWeights(s, record, hasRecord),
		RetryBudget:  s.RetryBudget,
	})
	d.SetLeavingVMs(func(addr string) bool { return n.leavingVMs[addr] })
	sv.Dispatcher = d
	return sv
}

// SubsetSize returns the number of entries that serve a service.
func SubsetSize(s parser.Service) int { return placer.SubsetSize(s.Slots(), s.Entries) }

// placements returns how each server of a service is shared within the subset.
func (n *Node) placements(s parser.Service, subset []tracker.Member) []dispatcher.Placement {
	holders := make([]placer.Member, len(subset))
	for i, m := range subset {
		holders[i] = placer.Member{ID: m.ID, Domain: m.Domain}
	}
	domainOut := map[string]bool{}
	for _, d := range n.document.Domains {
		domainOut[d.Name] = d.Out
	}
	placements := make([]dispatcher.Placement, 0, len(s.Servers))
	for _, srv := range s.Servers {
		p := dispatcher.Placement{
			Server: srv, DomainOut: domainOut[srv.Domain], SameDomain: srv.Domain == n.options.Self.Domain, Holders: len(holders),
			Rank: placer.Position(srv.Name, n.options.Self.ID, holders),
		}
		if owner, ok := placer.HighestRanked(srv.Name, holders); ok {
			p.Owner = owner.ID
		}
		placements = append(placements, p)
	}
	return placements
}

// Holders returns the ids of the entries that share a server, in rank order.
func (sv *Service) Holders(server string) (ids []string) {
	candidates := make([]placer.Member, len(sv.Subset))
	for i, m := range sv.Subset {
		candidates[i] = placer.Member{ID: m.ID, Domain: m.Domain}
	}
	for _, m := range placer.Rank(server, candidates) {
		ids = append(ids, m.ID)
	}
	return ids
}

// Member returns the member with the given id.
func (n *Node) Member(id string) (m tracker.Member, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, candidate := range n.tracker.Members() {
		if candidate.ID == id {
			return candidate, true
		}
	}
	return tracker.Member{}, false
}

// ErrNoSuchMember is returned for an entry that is not in the list of members.
type ErrNoSuchMember struct{ ID string }

func (e ErrNoSuchMember) Error() string { return fmt.Sprintf("entry %q is not a member", e.ID) }
