// Package reconciler holds what the actors of one entry share: the document in
// force, the members, and a dispatcher for each service. Requests read an
// immutable snapshot and never wait for an actor.
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

// Snapshot is what requests read.
type Snapshot struct {
	Revision publisher.Revision
	Document parser.Document
	Services map[string]*Service
}

// Service is one service as this entry sees it.
type Service struct {
	Declared   parser.Service
	Subset     []tracker.Member
	InSubset   bool
	Dispatcher *dispatcher.Dispatcher
}

// Options are the fixed facts of an entry.
type Options struct {
	Self    tracker.Member
	Policy  chooser.Policy
	Seed    uint64
	Now     func() time.Time
	Metrics *collector.Metrics
}

// Node is the shared state of one entry. Its methods may be called concurrently.
type Node struct {
	options  Options
	snapshot atomic.Pointer[Snapshot]
	// isolatedFrom is when the entry counts as cut off unless it hears of others.
	isolatedFrom atomic.Pointer[time.Time]
	// returns counts the times that the entry was no longer cut off.
	returns atomic.Uint64

	mu          sync.Mutex
	tracker     *tracker.Tracker
	envelope    publisher.Envelope
	document    parser.Document
	dispatchers map[string]*dispatcher.Dispatcher
	watchers    map[string]*watcher
	records     map[string]mover.Record
	leavingVMs  map[string]bool
	harm        func(service, move, reason string)

	keysMu sync.Mutex
	keys   *deduplicator.KeyTable
}

// New returns the state of an entry without a document.
func New(o Options) *Node {
	return &Node{
		options:     o,
		tracker:     tracker.New(o.Now(), o.Self),
		dispatchers: map[string]*dispatcher.Dispatcher{},
		watchers:    map[string]*watcher{},
		records:     map[string]mover.Record{},
		keys:        deduplicator.New(),
		harm:        func(string, string, string) {},
	}
}

// Self returns the entry's registration.
func (n *Node) Self() tracker.Member { return n.options.Self }

// Now returns the time.
func (n *Node) Now() time.Time { return n.options.Now() }

// Metrics returns the entry's metrics.
func (n *Node) Metrics() *collector.Metrics { return n.options.Metrics }

// Snapshot returns the state in force, or nil before the first document.
func (n *Node) Snapshot() *Snapshot { return n.snapshot.Load() }

// WithTracker runs f with the membership state, then follows a change of members.
func (n *Node) WithTracker(f func(now time.Time, t *tracker.Tracker) (changed bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if f(n.options.Now(), n.tracker) {
		n.rebuild()
	}
	n.followIsolation()
}

// followIsolation publishes when the entry counts as cut off. When it hears of
// others again, what it knew of servers is in doubt. The lock is held.
func (n *Node) followIsolation() {
	was := n.Isolated()
	if from, ok := n.tracker.IsolationDeadline(); ok {
		n.isolatedFrom.Store(&from)
	} else {
		n.isolatedFrom.Store(nil)
	}
	if was && !n.Isolated() {
		n.returns.Add(1)
		for _, d := range n.dispatchers {
			d.InvalidateGrants()
		}
	}
}

// Isolated tells whether neither the store nor any peer has answered for a
// while. What operators changed may then be unknown here, so the entry takes no
// work.
func (n *Node) Isolated() bool {
	from := n.isolatedFrom.Load()
	return from != nil && !n.options.Now().Before(*from)
}

// WithKeys runs f with the remembered idempotency keys.
func (n *Node) WithKeys(f func(now time.Time, k *deduplicator.KeyTable)) {
	n.keysMu.Lock()
	defer n.keysMu.Unlock()
	f(n.options.Now(), n.keys)
}

// ErrOlderDocument says that an offered document is older than the one in
// force.
type ErrOlderDocument struct{ Offered, InForce publisher.Revision }

func (e ErrOlderDocument) Error() string {
	return fmt.Sprintf("revision %d was offered but revision %d is in force", e.Offered, e.InForce)
}

// Accept brings a document into force if it is newer than the one in force. The
// same revision again is no error.
func (n *Node) Accept(e publisher.Envelope) (accepted bool, err error) {
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
		return false, fmt.Errorf("another document of revision %d was offered: change %s, in force is %s", inForce, e.ChangeID, n.envelope.ChangeID)
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

// Rejoins counts the times that the entry heard of others again after it was cut
// off. What its actors knew before each is in doubt.
func (n *Node) Rejoins() uint64 { return n.returns.Load() }

// Envelope returns the published form of the document in force.
func (n *Node) Envelope() publisher.Envelope {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.envelope
}

// SetLeavingVMs follows the platform's list of VMs. Leaving holds IP numbers.
func (n *Node) SetLeavingVMs(leaving map[string]bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leavingVMs = leaving
	for _, d := range n.dispatchers {
		d.SetLeavingVMs(func(addr string) bool { return leaving[addr] })
	}
}

// rebuild computes the plans of all services and publishes a snapshot. The lock
// is held.
func (n *Node) rebuild() {
	if n.envelope.Revision == 0 {
		return
	}
	next := &Snapshot{
		Revision: n.envelope.Revision, Document: n.document, Services: make(map[string]*Service, len(n.document.Services)),
	}
	for _, s := range n.document.Services {
		next.Services[s.Name] = n.service(s)
	}
	maps.DeleteFunc(n.dispatchers, func(name string, _ *dispatcher.Dispatcher) bool { return next.Services[name] == nil })
	maps.DeleteFunc(n.watchers, func(name string, _ *watcher) bool { return next.Services[name] == nil })
	n.options.Metrics.Members.Set(float64(len(n.tracker.Members())))
	n.snapshot.Store(next)
}

func (n *Node) service(s parser.Service) *Service {
	size := SubsetSize(s)
	if !chooser.Coordinated(n.options.Policy) {
		size = len(n.tracker.Members())
	}
	subset := n.tracker.Subset(s.Name, size)
	sv := &Service{Declared: s, Subset: subset}
	sv.InSubset = slices.ContainsFunc(subset, func(m tracker.Member) bool { return m.ID == n.options.Self.ID })
	if !sv.InSubset {
		// What the entry knew is stale by the time it serves the service again.
		delete(n.dispatchers, s.Name)
		delete(n.watchers, s.Name)
		return sv
	}
	d, ok := n.dispatchers[s.Name]
	if !ok {
		w := newWatcher(n, s.Name)
		rng := rand.New(rand.NewPCG(n.options.Seed, placer.Weight(s.Name, n.options.Self.ID)))
		d = dispatcher.New(n.options.Self.ID, n.options.Policy, rng, n.options.Now, w)
		n.dispatchers[s.Name] = d
		n.watchers[s.Name] = w
	}
	record, hasRecord := n.records[s.Name]
	n.watchers[s.Name].follow(s, record, hasRecord)
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

// SubsetSize returns how many entries serve a service.
func SubsetSize(s parser.Service) int { return placer.SubsetSize(s.Slots(), s.Entries) }

func (n *Node) placements(s parser.Service, subset []tracker.Member) []dispatcher.Placement {
	holders := make([]placer.Member, len(subset))
	for i, m := range subset {
		holders[i] = placer.Member{ID: m.ID, Domain: m.Domain}
	}
	out := map[string]bool{}
	for _, d := range n.document.Domains {
		out[d.Name] = d.Out
	}
	placements := make([]dispatcher.Placement, 0, len(s.Servers))
	for _, srv := range s.Servers {
		p := dispatcher.Placement{
			Server: srv, DomainOut: out[srv.Domain], SameDomain: srv.Domain == n.options.Self.Domain, Holders: len(holders),
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

// Member returns a member by its id.
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

// ErrNoSuchMember says that an entry is not in the list of members.
type ErrNoSuchMember struct{ ID string }

func (e ErrNoSuchMember) Error() string { return fmt.Sprintf("entry %q is not a member", e.ID) }
