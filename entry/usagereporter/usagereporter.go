package usagereporter

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/tallier"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
)

const (
	// checkInterval is the time between two decisions.
	checkInterval = 200 * time.Millisecond
	// forwardTicks is the number of handOverInterval between two messages of a relay to the
	// holder: 1 s.
	forwardTicks = 4
	// forwardTimeout bounds a message to another entry.
	forwardTimeout = 800 * time.Millisecond
	// writeTimeout bounds a transaction. A response that comes later gives no authority to
	// send, but states that the record was written.
	writeTimeout = 2 * time.Second
	// sendTimeout bounds a call of the platform. Its beginning must lie within the authority of
	// the holder, and its end within the lease time.
	sendTimeout = 3 * time.Second
	// silentRefusals is the number of messages in a row that a holder does not accept until it
	// counts as silent. Heartbeats can take 6 s to show that an entry of another failure domain
	// is lost.
	silentRefusals = 2
	// turnSpread is the time over which the candidates spread their takeovers, so that those
	// behind the first see its record.
	turnSpread = time.Second
	// rankKey is the key of the order in which entries take over.
	rankKey = "usage reports"
)

// StoreCache is the entry's local copy of the store.
type StoreCache interface {
	// Get returns the value and revision of a key. The revision is zero if the key is
	// unknown.
	Get(key string) (value []byte, revision storer.Revision)
	// Revision returns the store revision up to which the copy is complete.
	Revision() storer.Revision
}

// Members is what this entry knows of the others.
type Members interface {
	// UsableMembers returns the entries that are not known to be lost or to stop, and Members all
	// that are registered, with this one.
	UsableMembers(now time.Time) []tracker.Member
	Members() []tracker.Member
	// PeerAddresses returns link addresses of others, also while none is known.
	PeerAddresses(now time.Time) []string
	// LacksStore reports whether an entry has stated lately that it does not reach the store.
	LacksStore(now time.Time, id string) bool
	// Rank returns the position of this entry, from 0, in the order for a key.
	Rank(key string) (rank, entries int)
	// IsRelay reports whether this entry is the relay of its failure domain.
	IsRelay() bool
	// ReachesStore reports whether the store answers this entry.
	ReachesStore() bool
	// ReportStoreFailure records that the store refused or did not answer a call.
	ReportStoreFailure()
}

// Options configures a Reporter.
type Options struct {
	Self, Incarnation string
	Store             storer.Store
	StoreCache        StoreCache
	// Key is the key of the record.
	Key string
	// Members returns what this entry knows of the others.
	Members func() Members
	// Forward sends counts to the entry at a link address.
	Forward func(ctx context.Context, address string, counts []*linkpb.UsageCounts) error
	// Limits returns the current limits. Enabled is false if no usage is reported.
	Limits func() (l Limits, enabled bool)
	// Uptime returns the reading of a clock that includes suspended time, and TimeOfDay the
	// time since the start of 1970.
	Uptime, TimeOfDay func() time.Duration
	// Send sends a report to the platform unless mayBegin returns false just before.
	Send func(ctx context.Context, s Send, mayBegin func() bool) (SendResult, error)
	// Stopping reports whether this entry stops.
	Stopping func() bool
	Log      hclog.Logger
}

// Stats are counts since the start of the process.
type Stats struct {
	// Reported, Repeated and Omitted count windows: those that were accepted, reports that
	// were sent again, and those that get no report.
	Reported, Repeated, Omitted int64
	Holder                      bool
	// Age is the time since the end of the last window with a report, as far as this entry
	// knows.
	Age time.Duration
	// Dropped counts requests that are in no report.
	Dropped int64
}

// Reporter counts the requests of this entry, and reports those of all entries while it is
// the holder. It is safe for concurrent use.
type Reporter struct {
	o       Options
	tallier *tallier.Tallier

	// decider is used by Run only.
	decider *Decider
	// decoded is the record at the revision of the last decision.
	decoded         Record
	decodedRevision storer.Revision

	mu     sync.Mutex
	stats  Stats
	newest Record
	// announced is the token of the holder that was logged last.
	announced Token
	// refusals is the number of messages in a row that the holder has not accepted.
	refusals int

	// ending is closed when the process is about to exit, and handedOver when others have its
	// counts.
	ending, handedOver chan struct{}
}

// New returns a Reporter. Run and RunForwarding start it.
func New(o Options) *Reporter {
	return &Reporter{
		o: o, tallier: tallier.New(o.Self, o.Incarnation), decider: NewDecider(o.Self, Limits{}),
		ending: make(chan struct{}), handedOver: make(chan struct{}),
	}
}

// Count counts a request of a workspace whose first attempt began at a time. It returns a
// function that takes the count back unless it knows that the window has been reported, and
// that reports whether the request is certainly in no report.
func (r *Reporter) Count(workspace string, begun time.Time) (reverse func() (certain bool)) {
	l, enabled := r.o.Limits()
	window := int64(0)
	if enabled {
		window = WindowAt(r.o.TimeOfDay()-time.Since(begun), l.Window)
	}
	if !enabled || !r.tallier.Count(window, workspace) {
		return func() bool { return true }
	}
	certainUntil := time.Duration(window+1)*l.Window + reversalTime
	return func() bool { return r.tallier.Reverse(window, workspace) && r.o.TimeOfDay() < certainUntil }
}

// Query returns what a relay asks an entry for, or nil if no usage is reported.
func (r *Reporter) Query(entry string) *linkpb.UsageQuery {
	if _, enabled := r.o.Limits(); !enabled {
		return nil
	}
	return r.tallier.Query(entry)
}

// Answer returns the counts that a relay asks for, or nil.
func (r *Reporter) Answer(q *linkpb.UsageQuery) *linkpb.UsageCounts {
	l, enabled := r.o.Limits()
	if q == nil || !enabled {
		return nil
	}
	r.tallier.SetOpenWindow(WindowAt(r.o.TimeOfDay(), l.Window))
	return r.tallier.Answer(q)
}

// Receive records the counts of an entry that has answered a relay.
func (r *Reporter) Receive(u *linkpb.UsageCounts) {
	if _, enabled := r.o.Limits(); u != nil && enabled {
		r.tallier.Receive(u)
	}
}

// Merge records the counts that a relay has passed on, or an entry that stops. An error makes
// the sender pass them to another entry.
func (r *Reporter) Merge(counts []*linkpb.UsageCounts) error {
	if _, enabled := r.o.Limits(); !enabled || len(counts) == 0 {
		return nil
	}
	r.tallier.Merge(counts)
	select {
	case <-r.ending:
		return errExiting
	default:
		return nil
	}
}

// Stats returns the counts of this entry.
func (r *Reporter) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats
	s.Dropped = r.tallier.Dropped()
	if l, enabled := r.o.Limits(); enabled && r.newest.exists() {
		s.Age = r.o.TimeOfDay() - time.Duration(r.newest.Reported+1)*l.Window
	}
	return s
}

// Run decides and acts until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l, enabled := r.o.Limits()
		if enabled && r.step(ctx, l) {
			continue
		}
		select {
		case <-time.After(checkInterval):
		case <-ctx.Done():
		}
	}
}

// step does what is next. It reports whether there may be more to do at once.
func (r *Reporter) step(ctx context.Context, l Limits) (acted bool) {
	r.tallier.SetOpenWindow(WindowAt(r.o.TimeOfDay(), l.Window))
	r.decider.SetLimits(l)
	v, ok := r.view()
	if !ok {
		return false
	}
	action := r.decider.Next(v, r.tallier)
	r.publish()
	switch a := action.(type) {
	case Write:
		acted = r.write(ctx, a)
	case Send:
		acted = r.send(ctx, a)
	}
	r.publish()
	return acted
}

// view returns what this entry sees. Ok is false if the copy of the store is not complete.
func (r *Reporter) view() (v View, ok bool) {
	now := time.Now()
	revision := r.o.StoreCache.Revision()
	value, modified := r.o.StoreCache.Get(r.o.Key)
	if revision == 0 {
		return View{}, false
	}
	if modified != r.decodedRevision {
		record, err := DecodeRecord(value)
		if err != nil {
			// The guard of the next takeover replaces it.
			r.o.Log.Error("Record of usage reports is invalid; ignored.", "error", err)
		}
		r.decoded, r.decodedRevision = record, modified
	}
	rank, entries := r.o.Members().Rank(rankKey)
	v = View{
		Uptime: r.o.Uptime(), Stored: r.decoded, Revision: modified, Era: revision.Era(),
		Candidate: r.o.Members().IsRelay(), StoreReached: r.o.Members().ReachesStore(), Stopping: r.o.Stopping(),
		Turn: turnSpread * time.Duration(rank) / time.Duration(max(1, entries)),
	}
	for _, m := range r.o.Members().UsableMembers(now) {
		v.Members = append(v.Members, m.ID)
	}
	holder := r.decider.Newest().Holder
	if v.Stored.supersedes(r.decider.Newest()) {
		holder = v.Stored.Holder
	}
	v.HolderSilent = r.holderSilent()
	v.HolderGone = !slices.Contains(v.Members, holder) || r.o.Members().LacksStore(now, holder)
	return v, true
}

// publish makes the state of the decider known to other goroutines, and logs a change of the
// holder.
func (r *Reporter) publish() {
	newest := r.decider.Newest()
	r.tallier.SetReported(newest.Reported)
	r.mu.Lock()
	defer r.mu.Unlock()
	if newest.Token != r.announced {
		r.announced, r.refusals = newest.Token, 0
		r.o.Log.Info("Holder of usage reports changed.", "holder", newest.Holder, "token", newest.Token.String(), "reported", newest.Reported)
	}
	r.newest = newest
	r.stats.Holder = r.decider.Holds()
}

// write writes a record. It reports whether it was written.
func (r *Reporter) write(ctx context.Context, w Write) bool {
	value, err := w.Record.Encode()
	if err != nil {
		r.o.Log.Error("Record of usage reports not encoded.", "error", err)
		return false
	}
	previous := r.decider.Newest().Reported
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	sent := r.o.Uptime()
	outcome := storer.CompareAndSwap(ctx, r.o.Store, storer.Guard{Key: r.o.Key, ModRevision: w.Guard}, storer.Put{Key: r.o.Key, Value: value})
	r.decider.Wrote(w, sent, r.o.Uptime(), outcome)
	var cause error
	switch o := outcome.(type) {
	case storer.Committed:
		if w.Takeover {
			r.o.Log.Info("Taking over usage reports.", "token", w.Record.Token.String(), "reason", w.Reason)
		}
		r.countOmitted(previous, w)
		return true
	case storer.NotCommitted:
		cause = o.Cause
	case storer.Unknown:
		cause = o.Cause
	}
	var conflict storer.ErrConflict
	if !errors.As(cause, &conflict) {
		r.o.Members().ReportStoreFailure()
	}
	r.o.Log.Warn("Record of usage reports not written; trying again.", "takeover", w.Takeover, "error", cause)
	return false
}

// countOmitted counts the windows up to the last one of a record that get no report.
func (r *Reporter) countOmitted(previous int64, w Write) {
	if previous == 0 {
		return
	}
	omitted := w.Record.Reported - previous
	for _, p := range w.Record.Pending {
		if p.Window > previous {
			omitted--
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Omitted += omitted
}

// send sends a report. It reports whether it was accepted.
func (r *Reporter) send(ctx context.Context, s Send) bool {
	ctx, cancel := context.WithTimeout(ctx, min(sendTimeout, s.EndBy-r.o.Uptime()))
	defer cancel()
	result, err := r.o.Send(ctx, s, func() bool { return r.o.Uptime() < s.Until })
	r.decider.Sent(s, r.o.Uptime(), result)
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Repeat {
		r.stats.Repeated++
	}
	switch result {
	case Accepted:
		r.stats.Reported++
		r.o.Log.Info("Usage reported.", "window", s.Report.Window, "workspaces", len(s.Report.Counts), "repeat", s.Repeat)
	case Rejected:
		r.stats.Omitted++
		r.o.Log.Error("Platform rejects a usage report; left out.", "window", s.Report.Window, "error", err)
	case Unsettled:
		r.o.Log.Warn("Usage report not accepted; trying again.", "window", s.Report.Window, "error", err)
	}
	return result == Accepted
}

// RunForwarding sends the counts of others that this entry has, as a relay or from entries that
// have stopped, to the holder until ctx ends. An entry that stops hands over all counts.
func (r *Reporter) RunForwarding(ctx context.Context) {
	t := time.NewTicker(handOverInterval)
	defer t.Stop()
	var to Token
	var after uint64
	var open int64
	tried, ending := map[string]taker{}, r.ending
	for ticks := 1; ; ticks++ {
		select {
		case <-t.C:
		case <-ending:
			ending = nil
		case <-ctx.Done():
			return
		}
		if _, enabled := r.o.Limits(); !enabled {
			continue
		}
		if r.o.Stopping() {
			if r.handOver(ctx, tried, ending == nil) && ending == nil {
				close(r.handedOver)
				return
			}
			continue
		}
		// The holder learns of the end of a window from these messages, so one is sent at once then.
		was := open
		open = r.tallier.TypicalOpenWindow()
		if collects := r.o.Members().IsRelay() || r.tallier.HasOthers(); !collects || (open == was && ticks%forwardTicks != 0) {
			continue
		}
		holder, token, ok := r.holder()
		if !ok {
			continue
		}
		if token != to {
			// Another entry, or another process of the same one, which may not have registered
			// anew. It sends no report before these counts have come.
			to, after = token, 0
		}
		if counts, upTo := r.tallier.Changes(after); len(counts) > 0 && r.forward(ctx, holder, counts) {
			after = upTo
		}
	}
}

// holder returns the holder and its token if it is another entry.
func (r *Reporter) holder() (m tracker.Member, token Token, ok bool) {
	r.mu.Lock()
	id, token := r.newest.Holder, r.newest.Token
	r.mu.Unlock()
	members := r.o.Members().UsableMembers(time.Now())
	i := slices.IndexFunc(members, func(m tracker.Member) bool { return m.ID == id && id != r.o.Self })
	if i < 0 {
		return tracker.Member{}, 0, false
	}
	return members[i], token, true
}

// forward sends counts to the holder. It reports whether they arrived.
func (r *Reporter) forward(ctx context.Context, holder tracker.Member, counts []*linkpb.UsageCounts) bool {
	err := r.call(ctx, holder, counts)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.refusals++
		r.o.Log.Debug("Usage counts not sent to the holder; will retry.", "holder", holder.ID, "error", err)
		return false
	}
	r.refusals = 0
	return true
}

// call sends counts to another entry.
func (r *Reporter) call(ctx context.Context, to tracker.Member, counts []*linkpb.UsageCounts) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return r.o.Forward(ctx, to.LinkAddress, counts)
}

// holderSilent reports whether the holder has not accepted the last messages.
func (r *Reporter) holderSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refusals >= silentRefusals
}
