package usagereporter_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/tracker"
	"samphiremux/entry/usagereporter"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
)

var limits = usagereporter.Limits{Window: 5 * time.Second, LeaseTime: 3 * time.Second, CallInterval: 250 * time.Millisecond}

var errLost, errRejected = errors.New("response lost"), errors.New("rejected")

// fixture holds the entries, the store and the platform of a test. Entries exchange their
// counts directly.
type fixture struct {
	t     *testing.T
	start time.Time
	nodes []*node
	// onCommit runs with each transaction before and after it takes effect. An error before
	// refuses it, and one after loses its response. OnCall runs likewise with each call of
	// the platform before and after it is received.
	onCommit, onCall hook

	mu sync.Mutex
	// value, revision and era are the state of the store, and commits its calls.
	value    []byte
	revision storer.Revision
	era      int64
	commits  int
	// calls are the calls that the platform received, and accepted the reports by window.
	calls    []call
	accepted map[int64]call

	// served holds the requests of the workspace stock by window. Only the test uses it.
	served map[int64]int64
}

// hook is a function that tests replace while entries run.
type hook struct {
	f atomic.Pointer[func(n *node, done bool) error]
}

func (h *hook) set(f func(n *node, done bool) error) { h.f.Store(&f) }

func (h *hook) run(n *node, done bool) error {
	if f := h.f.Load(); f != nil {
		return (*f)(n, done)
	}
	return nil
}

// call is a call that the platform received.
type call struct {
	usagereporter.Report
	at     time.Time
	holder string
	token  usagereporter.Token
}

// node is one entry: what it knows of the others, of the store and of the time.
type node struct {
	w  *fixture
	id string
	// process is replaced when the entry restarts.
	process atomic.Pointer[process]
	// wroteAt is when the last transaction was sent. The lock of the fixture guards it.
	wroteAt time.Time

	// The fields below are set by tests.
	dead, stopping, lacksStore, cut, passive atomic.Bool
	// clockOffset is a time.Duration.
	clockOffset atomic.Int64
	// transit is the time.Duration that calls of the platform take to arrive.
	transit atomic.Int64
	// copied is the copy of the store of an entry that learns no changes.
	copied atomic.Pointer[storer.KeyValue]
}

// process is one process of an entry.
type process struct {
	*usagereporter.Reporter
	cancel context.CancelFunc
}

// run runs a test with entries in virtual time, and checks the calls of the platform.
func run(t *testing.T, entries int, test func(w *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &fixture{t: t, start: time.Now(), accepted: map[int64]call{}, served: map[int64]int64{}, revision: 1}
		// Entries that run read the list, so it is complete before the first one begins.
		for i := range entries {
			w.nodes = append(w.nodes, &node{w: w, id: fmt.Sprintf("e%d", i)})
		}
		for i := range entries {
			w.begin(i)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go w.exchange(ctx)
		defer func() {
			cancel()
			for _, n := range w.nodes {
				n.process.Load().cancel()
			}
			time.Sleep(15 * time.Second) // calls under way end
		}()
		test(w)
		w.check()
	})
}

// begin starts a process of an entry.
func (w *fixture) begin(i int) {
	n := w.nodes[i]
	n.dead.Store(false)
	n.stopping.Store(false)
	ctx, cancel := context.WithCancel(w.t.Context())
	p := &process{cancel: cancel, Reporter: usagereporter.New(usagereporter.Options{
		Self: n.id, Incarnation: fmt.Sprint(time.Since(w.start)), Store: &store{node: n}, StoreCache: n, Key: "usage",
		Members: func() usagereporter.Members { return n },
		Limits:  func() (usagereporter.Limits, bool) { return limits, true },
		Uptime:  func() time.Duration { return time.Since(w.start) }, TimeOfDay: n.timeOfDay,
		Send: n.send, Forward: n.forward, Stopping: n.stopping.Load, Log: hclog.NewNullLogger(),
	})}
	n.process.Store(p)
	go p.Run(ctx)
	go p.RunForwarding(ctx)
}

// forward delivers counts to another entry, whose link address is its id.
func (n *node) forward(_ context.Context, id string, counts []*linkpb.UsageCounts) error {
	time.Sleep(time.Millisecond)
	i := slices.IndexFunc(n.w.nodes, func(m *node) bool { return m.id == id })
	if to := n.w.nodes[i]; !to.dead.Load() && !to.cut.Load() && !n.cut.Load() {
		return to.process.Load().Merge(counts)
	}
	return errLost
}

// stop stops entries at once, which serve requests for a time in which relays no longer ask them.
func (w *fixture) stop(d time.Duration, nodes ...*node) {
	for _, n := range nodes {
		n.stopping.Store(true)
	}
	w.serve(d)
	var exits sync.WaitGroup
	for _, n := range nodes {
		exits.Go(func() {
			n.process.Load().HandOver(w.t.Context())
			w.kill(n)
		})
	}
	exits.Wait()
}

// kill ends the process of an entry.
func (w *fixture) kill(n *node) {
	n.dead.Store(true)
	n.process.Load().cancel()
}

// exchange lets entries ask each other for their counts.
func (w *fixture) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		for _, a := range w.nodes {
			for _, b := range w.nodes {
				if a != b && !a.dead.Load() && !b.dead.Load() && !b.stopping.Load() && !a.cut.Load() && !b.cut.Load() {
					asking := a.process.Load()
					asking.Receive(b.process.Load().Answer(asking.Query(b.id)))
				}
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// serve lets each entry that runs count requests for a time.
func (w *fixture) serve(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		for _, n := range w.nodes {
			if !n.dead.Load() {
				n.process.Load().Count("stock", time.Now())
				w.served[w.window(time.Since(w.start))]++
				n.process.Load().Count("mail", time.Now())
			}
		}
	}
}

// holder returns the entry that holds usage reporting, and fails the test if none does.
func (w *fixture) holder() *node {
	for _, n := range w.nodes {
		if !n.dead.Load() && n.process.Load().Stats().Holder {
			return n
		}
	}
	w.t.Fatal("no entry holds usage reporting")
	return nil
}

// window returns the number of the window that begins after a time since the start.
func (w *fixture) window(after time.Duration) int64 {
	return usagereporter.WindowAt(time.Duration(w.start.Add(after).UnixNano()), limits.Window)
}

// received returns the calls that the platform has received.
func (w *fixture) received() []call {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.calls)
}

// reports returns the reports that the platform has accepted, by window.
func (w *fixture) reports() map[int64]call {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.accepted)
}

// written returns the number of transactions so far and the value in the store.
func (w *fixture) written() (commits int, value []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.commits, w.value
}

// reported fails the test unless each window in a range of times was accepted, not later
// than a time after its end.
func (w *fixture) reported(from, to, late time.Duration) {
	w.t.Helper()
	accepted := w.reports()
	for at := from; at < to; at += limits.Window {
		c, ok := accepted[w.window(at)]
		if end := w.start.Add(at + limits.Window); !ok || c.at.Sub(end) > late {
			w.t.Errorf("window at %s: accepted %t, %s after its end", at, ok, c.at.Sub(end))
		}
	}
}

// check checks what the platform must never see.
func (w *fixture) check() {
	w.t.Helper()
	calls, accepted := w.received(), w.reports()
	for i, c := range calls {
		if i > 0 && c.token < calls[i-1].token {
			w.t.Errorf("token %s of %s after %s of %s", c.token, c.holder, calls[i-1].token, calls[i-1].holder)
		}
		if first := accepted[c.Window]; first.Counts != nil && !maps.Equal(first.Counts, c.Counts) {
			w.t.Errorf("window %d: %v by %s, then %v by %s", c.Window, first.Counts, first.holder, c.Counts, c.holder)
		}
		for _, earlier := range calls[:i] {
			if earlier.token == c.token && earlier.holder != c.holder {
				w.t.Errorf("token %s used by %s and %s", c.token, earlier.holder, c.holder)
			}
			between := func(b call) bool { return b.holder != c.holder && !b.at.Before(earlier.at) }
			if earlier.holder == c.holder && c.at.Sub(earlier.at) < limits.LeaseTime && slices.ContainsFunc(calls[:i], between) {
				w.t.Errorf("%s acts again within the lease time after another holder", c.holder)
			}
		}
	}
}

// send is the call of the platform.
func (n *node) send(ctx context.Context, s usagereporter.Send, mayBegin func() bool) (usagereporter.SendResult, error) {
	// Another holder may have taken over just after the transaction.
	n.w.mu.Lock()
	wroteAt := n.wroteAt
	n.w.mu.Unlock()
	if end, ok := ctx.Deadline(); !ok || end.Sub(wroteAt) > limits.LeaseTime {
		n.w.t.Errorf("call of %s may end %s after its transaction, when another holder may send", n.id, end.Sub(wroteAt))
	}
	if err := n.w.onCall.run(n, false); err != nil {
		return usagereporter.Unsettled, err
	}
	if !mayBegin() {
		return usagereporter.Unsettled, errors.New("not begun")
	}
	time.Sleep(time.Duration(n.transit.Load()))
	n.w.mu.Lock()
	c := call{s.Report, time.Now(), n.id, s.Token}
	n.w.calls = append(n.w.calls, c)
	if _, ok := n.w.accepted[c.Window]; !ok {
		n.w.accepted[c.Window] = c
	}
	n.w.mu.Unlock()
	if err := n.w.onCall.run(n, true); errors.Is(err, errRejected) {
		return usagereporter.Rejected, err
	} else if err != nil {
		return usagereporter.Unsettled, err
	}
	return usagereporter.Accepted, nil
}

// store is the store as one entry reaches it. Its other calls are not used.
type store struct {
	storer.Store
	node *node
}

// Commit implements storer.Store.
func (s *store) Commit(_ context.Context, t storer.Transaction) storer.Outcome {
	n := s.node
	n.w.mu.Lock()
	n.w.commits++
	n.wroteAt = time.Now()
	n.w.mu.Unlock()
	if err := n.w.onCommit.run(n, false); err != nil {
		return storer.NotCommitted{Cause: err}
	}
	n.w.mu.Lock()
	held := storer.Revision(0)
	if n.w.value != nil {
		held = n.w.revision
	}
	if t.Guards[0].ModRevision != held {
		n.w.mu.Unlock()
		return storer.NotCommitted{Cause: storer.ErrConflict{Key: "usage"}}
	}
	n.w.revision = storer.NewRevision(n.w.era, n.w.revision.Number()+1)
	n.w.value = t.Puts[0].Value
	committed := storer.Committed{Revision: n.w.revision}
	n.w.mu.Unlock()
	if err := n.w.onCommit.run(n, true); err != nil {
		return storer.Unknown{Cause: err}
	}
	return committed
}

// restore restores the store from a copy.
func (w *fixture) restore(value []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.era++
	w.value, w.revision = value, storer.NewRevision(w.era, 2)
}

func (n *node) Get(string) ([]byte, storer.Revision) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	copied := n.copied.Load()
	switch {
	case copied != nil:
		return copied.Value, copied.ModRevision
	case n.w.value == nil:
		return nil, 0
	}
	return n.w.value, n.w.revision
}

// freeze suspends an entry, which learns what the store holds some time after that.
func (n *node) freeze(d time.Duration) {
	value, revision := n.Get("usage")
	n.dead.Store(true)
	n.copied.Store(&storer.KeyValue{Value: value, ModRevision: revision})
	time.Sleep(d)
	n.dead.Store(false)
	time.AfterFunc(2*time.Second, func() { n.copied.Store(nil) })
}

func (n *node) Revision() storer.Revision {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.w.revision
}

func (n *node) UsableMembers(time.Time) (members []tracker.Member) {
	for _, m := range n.w.nodes {
		if !m.dead.Load() && !m.stopping.Load() {
			members = append(members, tracker.Member{ID: m.id, LinkAddress: m.id})
		}
	}
	return members
}

func (n *node) Members() (members []tracker.Member) {
	for _, m := range n.w.nodes {
		members = append(members, tracker.Member{ID: m.id, LinkAddress: m.id})
	}
	return members
}

func (n *node) PeerAddresses(time.Time) []string { return nil }

func (n *node) LacksStore(_ time.Time, id string) bool {
	return slices.ContainsFunc(n.w.nodes, func(m *node) bool { return m.id == id && m.lacksStore.Load() })
}

func (n *node) Rank(string) (rank, entries int) { return slices.Index(n.w.nodes, n), len(n.w.nodes) }
func (n *node) IsRelay() bool                   { return !n.lacksStore.Load() && !n.passive.Load() }
func (n *node) ReachesStore() bool              { return !n.lacksStore.Load() }
func (n *node) ReportStoreFailure()             {}

func (n *node) timeOfDay() time.Duration {
	return time.Duration(time.Now().Add(time.Duration(n.clockOffset.Load())).UnixNano())
}

// manyCounts has 90 workspaces in each window of a range.
type manyCounts struct{ first, last int64 }

var committed = storer.Committed{Revision: 1}

func (m manyCounts) Windows(first, last int64) (windows []int64) {
	for w := max(first, m.first); w <= min(last, m.last); w++ {
		windows = append(windows, w)
	}
	return windows
}

func (m manyCounts) Sum(int64) map[string]int64 {
	sum := map[string]int64{}
	for i := range 90 {
		sum[fmt.Sprintf("workspace%d", i)] = 1234
	}
	return sum
}

func (m manyCounts) CompleteEntries(int64) map[string]bool { return map[string]bool{"e0": true} }
func (m manyCounts) Awaits(int64) bool                     { return false }
func (m manyCounts) TypicalOpenWindow() int64              { return m.last + 1 }
