package usagereporter

import (
	"math"
	"time"

	"samphiremux/pkg/storer"
)

const (
	// settleTime is the time after the end of a window until its counts are complete:
	// requests that began in it have been counted, if need be while they run (0.7 s), relays
	// have asked for the counts (0.3 s) and passed them on (1 s). It and the other times after the end of a
	// window begin when this entry learns of the end from half of the entries, up to 1.3 s
	// late.
	settleTime = 2 * time.Second
	// reversalTime is the time after the end of a window in which a count that is taken back
	// reaches the holder before the report.
	reversalTime = settleTime - 1300*time.Millisecond
	// paceTime is the longest time for which the report of a window waits so that transactions
	// keep the interval of the windows, and paceSlack is by how much they may be closer. Counts
	// of other entries arrive each second, so the settle time ends up to 1 s later for one
	// window than for another. Each transaction ends the watches of the relays, which are
	// timed by the interval. The slack lets a report that came late affect only a few others.
	paceTime  = time.Second
	paceSlack = 150 * time.Millisecond
	// partialTime is the time after the end of a window from which it is reported though
	// not all entries have sent their state, or counts of a process that is gone may be missing.
	// It leaves the rest of the 10 s after which a report is late for tries to send it.
	partialTime = 5 * time.Second
	// arrivalTime is the time since which no further entry must have become complete before a
	// window is reported without the others, and latestPartialTime that after the end of a window
	// from which this no longer matters. After an outage of the store the counts of all entries
	// arrive within a second: there is no relay during the outage.
	arrivalTime       = 1500 * time.Millisecond
	latestPartialTime = 7 * time.Second
	// minCoverage is the share of the entries whose state the holder must have. One that
	// has not is cut off, and its sums would be wrong.
	minCoverage = 0.5
	// authorityTime is the time for which the holder may send reports, from when it sent the
	// transaction that wrote them. It is far below the time for which a new holder waits.
	authorityTime = time.Second
	// minCallTime is the least time from the transaction to the end of the calls that follow
	// it, if the lease time is shorter. Otherwise no call could end.
	minCallTime = 2 * time.Second
	// sendMargin is what must be left of it when a call begins, for opening the connection.
	sendMargin = 200 * time.Millisecond
	// overdueTime is the time after the end of a window after which the holder counts as
	// stuck if it has not written the report.
	overdueTime = 8 * time.Second
	// stuckRewrites is the number of times that the holder writes a report again until it
	// counts as stuck: it reaches the store but not the platform. The first holder after a
	// takeover writes it again once in any case.
	stuckRewrites = 2
	// goneDelay is the time for which there must be no holder before another one takes
	// over, and stuckDelay that for which it must be stuck: it may be about to go on after
	// an outage of the store.
	goneDelay  = 500 * time.Millisecond
	stuckDelay = 2 * time.Second
	// minStuckInterval is the time after a takeover from a holder that may be there in which no
	// entry makes another one. While the platform is down for all, they achieve nothing.
	minStuckInterval = time.Minute
	// maxPending and maxPendingBytes bound the reports in one record. Values that do not fit
	// a heartbeat of a relay (8 KB) would be read from the store by each entry.
	maxPending      = 4
	maxPendingBytes = 6 << 10
	// cellBytes is the size of a count in a record without the workspace's name.
	cellBytes = 12
)

// rewriteDelays are the times between two transactions for the same reports, and after one
// that failed, until the copy of the store shows what holds. All entries together may make
// 0.3 calls of the store a second for usage reporting.
var rewriteDelays = []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second}

// Limits are the operators' settings.
type Limits struct {
	// Window is the length of a window.
	Window time.Duration
	// LeaseTime is the time for which a new holder waits before its first call.
	LeaseTime time.Duration
	// CallInterval is the least time between two calls of the platform.
	CallInterval time.Duration
}

// View is what an entry sees at one time.
type View struct {
	// Uptime is the reading of a clock that only goes forward and includes suspended time.
	Uptime time.Duration
	// Stored and Revision are the record in the local copy of the store. Revision is zero
	// without a record.
	Stored   Record
	Revision storer.Revision
	// Era is that of the store.
	Era int64
	// StoreReached reports whether the store answers this entry.
	StoreReached bool
	// Candidate reports whether this entry may take over from another one: it is a relay, so
	// that it knows changes of the store early and has the counts of its failure domain.
	Candidate bool
	// HolderGone reports whether the holder of the newest known record is lost, stops or
	// does not reach the store.
	HolderGone bool
	// HolderSilent reports whether the holder does not accept the counts of this entry.
	HolderSilent bool
	// Turn is how long this entry waits for those that are to take over before it.
	Turn time.Duration
	// Members are the ids of the running entries.
	Members []string
	// Stopping reports whether this entry stops.
	Stopping bool
}

// Counts are the sums of the entries' counts.
type Counts interface {
	Windows(first, last int64) []int64
	Sum(window int64) map[string]int64
	CompleteEntries(window int64) map[string]bool
	// Awaits reports whether counts of a window may be missing of a process that is gone.
	Awaits(window int64) bool
	// TypicalOpenWindow returns the window that is open at half of the entries at least.
	TypicalOpenWindow() int64
}

// Action is what an entry does next: Wait, Write or Send.
type Action interface{ action() }

// Wait does nothing.
type Wait struct{}

// Write writes a record to the store, guarded by a revision of the key.
type Write struct {
	Record   Record
	Guard    storer.Revision
	Takeover bool
	// Reason is why this entry takes over, and Stuck that the holder may be there.
	Reason string
	Stuck  bool
}

// Send sends a report to the platform, if it can begin before Until by the clock of
// View.Uptime. The call ends by EndBy: another holder may take over just after the
// transaction, and send once the lease time is over.
type Send struct {
	Report       Report
	Token        Token
	Until, EndBy time.Duration
	Repeat       bool
}

func (Wait) action()  {}
func (Write) action() {}
func (Send) action()  {}

// SendResult is the result of a call of the platform.
type SendResult int

const (
	// Accepted reports have been counted.
	Accepted SendResult = iota
	// Rejected reports will never be accepted. No other report of the window may be sent,
	// since this one may have been accepted before.
	Rejected
	// Unsettled reports may or may not have been accepted.
	Unsettled
)

// Decider decides what one entry does about usage reports. It has no clock and makes no
// calls. It is not safe for concurrent use.
type Decider struct {
	self   string
	limits Limits

	// newest is the newest record that this entry knows. After a restore the store may hold
	// an older one.
	newest Record
	// revision is that of the last write of this entry.
	revision storer.Revision
	// token is the token of this process as the holder, or zero.
	token Token
	// sendFrom is when a new holder may send, and sendUntil when its authority ends.
	sendFrom, sendUntil time.Duration
	// settled holds the pending reports that need not be sent again, and sent those that
	// have been sent, by window.
	settled, sent map[int64]bool
	nextWrite     time.Duration
	nextSend      time.Duration
	// paceUntil is the time before which a single new report waits.
	paceUntil time.Duration
	// rewrites is the number of transactions for the pending reports, and failures that of
	// transactions that failed since the last one that did not.
	rewrites, failures int

	// open is the window that is open at most entries, and openSince since when it has been.
	open      int64
	openSince time.Duration

	// arrivals is how many entries are complete for the oldest window that is due.
	arrivals arrivals

	// goneSince is since when this entry finds that there is no holder that does its work,
	// if gone is set.
	goneSince time.Duration
	gone      bool
	// stuckUntil is the time until which this entry does not take over from a holder that is
	// there.
	stuckUntil time.Duration
	// seen is what this entry has seen of the holder's tries to send a report.
	seen tries
}

// arrivals is the number of entries whose counts of a window are complete, and since when it has
// been that number.
type arrivals struct {
	window   int64
	complete int
	since    time.Duration
}

// with returns the arrivals at a time.
func (a arrivals) with(window int64, complete int, now time.Duration) arrivals {
	if a.window == window && a.complete == complete {
		return a
	}
	return arrivals{window, complete, now}
}

// tries is what another entry sees of a holder's tries to send a report.
type tries struct {
	token    Token
	window   int64
	revision storer.Revision
	rewrites int
}

// with returns the tries after a state of the store.
func (t tries) with(r Record, at storer.Revision) tries {
	var window int64
	if len(r.Pending) > 0 {
		window = r.Pending[0].Window
	}
	switch {
	case t.token != r.Token || t.window != window:
		return tries{token: r.Token, window: window, revision: at}
	case t.revision != at:
		t.revision = at
		t.rewrites++
	}
	return t
}

// NewDecider returns a Decider of an entry that is not the holder.
func NewDecider(self string, limits Limits) *Decider {
	return &Decider{self: self, limits: limits, settled: map[int64]bool{}, sent: map[int64]bool{}}
}

// Holds reports whether this entry is the holder, as far as it knows.
func (d *Decider) Holds() bool { return d.token != 0 }

// Newest returns the newest record that this entry knows.
func (d *Decider) Newest() Record { return d.newest }

// SetLimits changes the limits.
func (d *Decider) SetLimits(l Limits) { d.limits = l }

// Next returns what to do next. The result of a Write or a Send is to be recorded before.
func (d *Decider) Next(v View, c Counts) Action {
	d.observe(v, c)
	switch {
	case v.Stopping:
		return Wait{}
	case d.token == 0:
		return d.takeOver(v, c)
	case v.Era > d.token.era():
		// The store was restored. This entry knows what it has reported.
		return d.write(v, Write{Record: d.newest.withHolder(d.self, d.newest.Token.next(v.Era)), Takeover: true, Reason: "the store was restored"})
	default:
		return d.report(v, c)
	}
}

// observe records the state of the store, and which window is open.
func (d *Decider) observe(v View, c Counts) {
	if open := c.TypicalOpenWindow(); open != d.open {
		d.open, d.openSince = open, v.Uptime
	}
	if v.Stored.supersedes(d.newest) {
		d.newest = v.Stored
	}
	if d.token != 0 && d.newest.Token > d.token {
		d.token = 0
	}
	if v.Stored.Forced && v.Stored.Token != d.seen.token {
		d.stuckUntil = v.Uptime + minStuckInterval
	}
	d.seen = d.seen.with(v.Stored, v.Revision)
}

// takeOver returns the takeover if there is no holder that does its work.
func (d *Decider) takeOver(v View, c Counts) Action {
	w, delay, due := d.vacancy(v, c)
	if !due {
		d.gone = false
		return Wait{}
	}
	if !d.gone {
		d.gone, d.goneSince = true, v.Uptime
	}
	if v.Uptime < d.goneSince+delay+v.Turn {
		return Wait{}
	}
	w.Takeover = true
	w.Record = d.newest.withHolder(d.self, d.newest.Token.next(v.Era)).withForced(w.Stuck)
	if v.Era > d.newest.Token.era() {
		// Others may have reported windows after what the backup and this entry know.
		w.Record = w.Record.withReported(d.open - 1)
	}
	return d.write(v, w)
}

// vacancy reports whether this entry is to take over, with the reason, if that holds for some
// time.
func (d *Decider) vacancy(v View, c Counts) (w Write, delay time.Duration, due bool) {
	switch {
	case d.newest.exists() && d.newest.Holder == d.self:
		return Write{Reason: "an earlier process of this entry was the holder, or its takeover was not confirmed"}, goneDelay, true
	case !v.Candidate:
		return Write{}, 0, false
	case !d.newest.exists() && len(c.Windows(math.MinInt64, math.MaxInt64)) == 0:
		// Without workspaces there is nothing to report.
		return Write{}, 0, false
	case !d.newest.exists():
		return Write{Reason: "there is no holder yet"}, goneDelay, true
	case v.HolderGone:
		return Write{Reason: "the holder is gone"}, goneDelay, true
	case v.Uptime < d.stuckUntil:
		return Write{}, 0, false
	case v.HolderSilent:
		return Write{Reason: "the holder does not answer", Stuck: true}, goneDelay, true
	case d.seen.window != 0 && d.seen.rewrites >= stuckRewrites:
		return Write{Reason: "the holder does not reach the platform", Stuck: true}, stuckDelay, true
	}
	if len(c.Windows(d.newest.Reported+1, d.lastEnded(v.Uptime, overdueTime))) > 0 {
		return Write{Reason: "the holder does not report", Stuck: true}, stuckDelay, true
	}
	return Write{}, 0, false
}

// report returns what the holder does.
func (d *Decider) report(v View, c Counts) Action {
	if v.Uptime < d.sendFrom {
		return Wait{}
	}
	for _, r := range d.newest.Pending {
		if d.settled[r.Window] {
			continue
		}
		switch {
		case v.Uptime+sendMargin >= d.sendUntil:
			return d.write(v, Write{Record: d.newest.withoutPending(d.settled)})
		case v.Uptime < d.nextSend:
			return Wait{}
		}
		return Send{Report: r, Token: d.token, Until: d.sendUntil, EndBy: d.sendUntil - authorityTime + max(d.limits.LeaseTime, minCallTime), Repeat: d.sent[r.Window]}
	}
	if reports := d.due(v, c); len(reports) > 0 && !d.mustWait(v, reports) {
		return d.write(v, Write{Record: d.newest.withPending(reports)})
	}
	return Wait{}
}

// due returns the next reports.
func (d *Decider) due(v View, c Counts) (reports []Report) {
	size := 0
	for _, window := range c.Windows(d.newest.Reported+1, d.lastEnded(v.Uptime, settleTime)) {
		complete := c.CompleteEntries(window)
		covered := coverage(complete, v.Members)
		d.arrivals = d.arrivals.with(window, len(complete), v.Uptime)
		if covered < minCoverage || ((covered < 1 || c.Awaits(window)) && !d.mayBePartial(v.Uptime, window)) {
			return reports
		}
		r := Report{Window: window, Counts: c.Sum(window)}
		for workspace := range r.Counts {
			size += len(workspace) + cellBytes
		}
		if len(reports) == maxPending || (len(reports) > 0 && size > maxPendingBytes) {
			return reports
		}
		reports = append(reports, r)
	}
	return reports
}

// mayBePartial reports whether a window may be reported without the counts that are missing.
func (d *Decider) mayBePartial(now time.Duration, window int64) bool {
	if window > d.lastEnded(now, partialTime) {
		return false
	}
	return now-d.arrivals.since >= arrivalTime || window <= d.lastEnded(now, latestPartialTime)
}

// mustWait reports whether new reports wait for the interval of the windows.
func (d *Decider) mustWait(v View, reports []Report) bool {
	return len(reports) == 1 && v.Uptime < d.paceUntil && reports[0].Window > d.lastEnded(v.Uptime, settleTime+paceTime)
}

// coverage returns the share of the members whose counts are complete.
func coverage(complete map[string]bool, members []string) float64 {
	n := 0
	for _, id := range members {
		if complete[id] {
			n++
		}
	}
	return float64(n) / float64(max(1, len(members)))
}

// lastEnded returns the last window that ended some time before now.
func (d *Decider) lastEnded(now, before time.Duration) int64 {
	last := d.open - 1
	if missing := before - (now - d.openSince); missing > 0 {
		last -= int64((missing + d.limits.Window - 1) / d.limits.Window)
	}
	return last
}

// WindowAt returns the number of the window of a length at a time since the start of 1970.
func WindowAt(timeOfDay, length time.Duration) int64 { return int64(timeOfDay / length) }

// write returns a transaction unless it is too early for one.
func (d *Decider) write(v View, w Write) Action {
	if v.Uptime < d.nextWrite || !v.StoreReached {
		return Wait{}
	}
	w.Guard = v.Revision
	if d.revision.Era() == v.Era {
		// The local copy may lag behind this entry's own write.
		w.Guard = max(w.Guard, d.revision)
	}
	return w
}

// Wrote records the outcome of a transaction that was sent at a time and whose response came
// at another one.
func (d *Decider) Wrote(w Write, sent, received time.Duration, o storer.Outcome) {
	switch o := o.(type) {
	case storer.Committed:
		d.revision = o.Revision
		if w.Takeover {
			d.token, d.sendFrom = w.Record.Token, received+d.limits.LeaseTime
		}
		if w.Takeover || w.Record.Reported != d.newest.Reported {
			d.settled, d.sent, d.rewrites = map[int64]bool{}, map[int64]bool{}, 0
			d.paceUntil = sent + d.limits.Window - paceSlack
		}
		d.newest = w.Record
		d.sendUntil = sent + authorityTime
		d.nextWrite = received + rewriteDelays[min(d.rewrites, len(rewriteDelays)-1)]
		d.rewrites++
		d.failures = 0
	case storer.NotCommitted, storer.Unknown:
		// After an unknown outcome, as after a conflict, the copy shows what holds.
		d.revision = 0
		d.nextWrite = received + rewriteDelays[min(d.failures, len(rewriteDelays)-1)]
		d.failures++
	}
}

// Sent records the result of sending a report, at the time at which the call ended.
func (d *Decider) Sent(s Send, ended time.Duration, result SendResult) {
	d.sent[s.Report.Window] = true
	d.nextSend = ended + d.limits.CallInterval
	if result != Unsettled {
		d.settled[s.Report.Window] = true
		d.nextWrite = ended
	}
}
