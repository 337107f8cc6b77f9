// Package tallier counts requests by window and workspace, and merges the counts of other
// entries. A window is a period of true time, identified by its number. Counts are
// cumulative and kept by entry and incarnation, so that they may be received repeatedly,
// out of order and by several ways without being counted twice. The decisions have no clock:
// the caller names the window.
package tallier

import (
	"maps"
	"math"
	"slices"
	"sync"

	"samphiremux/pkg/linker/linkpb"
)

const (
	// maxWindows is the number of windows that are kept for each incarnation of an entry
	// until they are reported.
	maxWindows = 20
	// maxWorkspaces bounds the workspaces that are told apart. Names come from other entries.
	maxWorkspaces = 4096
	// maxSources bounds the incarnations of entries whose counts are kept.
	maxSources = 2048
	// cellBlock is the number of cells by which a window grows. Doubling would take a third
	// more memory on the holder.
	cellBlock = 8
	// endOfCounts is the position of counts that never change again, since the process has
	// ended. Entries of earlier versions keep it and pass it on like any other.
	endOfCounts = math.MaxUint64
)

// source identifies whose counts they are.
type source struct{ entry, incarnation string }

// cell is the count of one workspace in a window. Its size matters: the holder has cells for
// each entry.
type cell struct {
	// sequence is the number of the last change, in the order of this Tallier, without its
	// upper half.
	sequence  uint32
	requests  uint32
	workspace uint16
	// reversed is the part of requests that was taken back. Both only grow, so that states
	// that arrive in another order are merged.
	reversed uint16
}

// net returns the requests that count.
func (c cell) net() int64 { return int64(c.requests) - int64(c.reversed) }

// tally holds the counts of one source.
type tally struct {
	windows map[int64][]cell
	// openWindow is the window that was open at the source, as of its sequence number upTo.
	openWindow int64
	upTo       uint64
	// sequence is the number of the last change of openWindow, as in cell.
	sequence uint32
}

// ended reports whether the source has ended and all of its counts have been received.
func (t *tally) ended() bool { return t.upTo == endOfCounts }

// Tallier holds the counts of this entry, and of others if this entry is a relay or the
// holder of usage reporting. It is safe for concurrent use.
type Tallier struct {
	self source

	mu sync.Mutex
	// sequence numbers the changes.
	sequence uint64
	names    []string
	numbers  map[string]uint16
	sources  map[source]*tally
	// received holds the positions up to which this entry has the counts of others from
	// themselves, by entry id.
	received map[string]position
	// reported is the last window whose counts are no longer needed.
	reported int64
	dropped  int64
}

// position is how far the counts of an incarnation have been received.
type position struct {
	incarnation string
	upTo        uint64
}

// New returns a Tallier without counts for an incarnation of an entry.
func New(entry, incarnation string) *Tallier {
	self := source{entry, incarnation}
	return &Tallier{
		self: self, numbers: map[string]uint16{}, received: map[string]position{}, reported: math.MinInt64,
		sources: map[source]*tally{self: {windows: map[int64][]cell{}}},
	}
}

// Count counts a request of a workspace at this entry. Requests of a window whose counts are
// no longer needed are dropped. It reports whether the request was counted.
func (t *Tallier) Count(window int64, workspace string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if window <= t.reported {
		t.dropped++
		return false
	}
	own := t.sources[t.self]
	c := t.cell(own, window, workspace)
	if c == nil {
		t.dropped++
		return false
	}
	c.requests++
	c.sequence = t.nextSequence()
	t.bound(own, own.openWindow)
	return true
}

// Reverse takes back the count of a request at this entry. It reports false if the counts of
// the window are no longer kept.
func (t *Tallier) Reverse(window int64, workspace string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.sources[t.self]
	if _, kept := own.windows[window]; !kept {
		return false
	}
	c := t.cell(own, window, workspace)
	if c == nil || c.net() <= 0 || c.reversed == math.MaxUint16 {
		return false
	}
	c.reversed++
	c.sequence = t.nextSequence()
	return true
}

// nextSequence numbers a change. The caller holds the lock.
func (t *Tallier) nextSequence() uint32 {
	t.sequence++
	return uint32(t.sequence)
}

// SetOpenWindow records the window that is open by the clock of this entry.
func (t *Tallier) SetOpenWindow(window int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.sources[t.self]
	if own.openWindow == window || own.ended() {
		return
	}
	own.openWindow, own.sequence = window, t.nextSequence()
}

// End records that this entry counts no more, in the window that is open. For entries of
// earlier versions, it has left that window.
func (t *Tallier) End(window int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.sources[t.self]
	own.openWindow, own.upTo, own.sequence = window+1, endOfCounts, t.nextSequence()
}

// Query returns what to ask another entry for.
func (t *Tallier) Query(entry string) *linkpb.UsageQuery {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.received[entry]
	return &linkpb.UsageQuery{Incarnation: p.incarnation, After: p.upTo}
}

// Answer returns the counts of this entry that changed after the position of a query. An
// entry that asks for another incarnation gets all.
func (t *Tallier) Answer(q *linkpb.UsageQuery) *linkpb.UsageCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	after := q.GetAfter()
	if q.GetIncarnation() != t.self.incarnation {
		after = 0
	}
	out, _ := t.changes(t.self, after)
	return out
}

// Changes returns the counts of all entries that changed after a sequence number of this
// Tallier, and the number from which to go on.
func (t *Tallier) Changes(after uint64) (out []*linkpb.UsageCounts, upTo uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for s := range t.sources {
		if u, changed := t.changes(s, after); changed {
			out = append(out, u)
		}
	}
	return out, t.sequence
}

// changes returns the counts of a source that changed after a sequence number. The caller
// holds the lock.
func (t *Tallier) changes(s source, after uint64) (out *linkpb.UsageCounts, changed bool) {
	tally := t.sources[s]
	out = &linkpb.UsageCounts{EntryId: s.entry, Incarnation: s.incarnation, UpTo: tally.upTo, OpenWindow: tally.openWindow}
	if s == t.self && !tally.ended() {
		out.UpTo = t.sequence
	}
	for window, cells := range tally.windows {
		for _, c := range cells {
			if t.isAfter(c.sequence, after) {
				out.Counts = append(out.Counts, &linkpb.UsageCount{Window: window, Workspace: t.names[c.workspace], Requests: uint64(c.requests), Reversed: uint64(c.reversed)})
			}
		}
	}
	return out, len(out.Counts) > 0 || t.isAfter(tally.sequence, after)
}

// isAfter reports whether a change came after a sequence number. Changes that are kept are
// recent, so that the lower halves suffice unless the number is very old. The caller holds the
// lock.
func (t *Tallier) isAfter(change uint32, after uint64) bool {
	return t.sequence-after > math.MaxInt32 || int32(change-uint32(after)) > 0
}

// Receive merges the counts that an entry has answered to a query.
func (t *Tallier) Receive(u *linkpb.UsageCounts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(u)
	if p := t.received[u.GetEntryId()]; p.incarnation != u.GetIncarnation() || u.GetUpTo() > p.upTo {
		t.received[u.GetEntryId()] = position{u.GetIncarnation(), u.GetUpTo()}
	}
}

// Merge merges counts that a relay has passed on.
func (t *Tallier) Merge(counts []*linkpb.UsageCounts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range counts {
		t.merge(u)
	}
}

// merge merges counts of another entry. The caller holds the lock.
func (t *Tallier) merge(u *linkpb.UsageCounts) {
	s := source{u.GetEntryId(), u.GetIncarnation()}
	if s.entry == "" || s == t.self {
		return
	}
	from, ok := t.sources[s]
	if !ok {
		if len(t.sources) >= maxSources {
			t.dropped++
			return
		}
		from = &tally{windows: map[int64][]cell{}}
		t.sources[s] = from
	}
	// Relays may pass on states of an entry in another order than it had them.
	if u.GetUpTo() >= from.upTo {
		if from.openWindow != u.GetOpenWindow() || (u.GetUpTo() == endOfCounts && !from.ended()) {
			from.openWindow, from.sequence = u.GetOpenWindow(), t.nextSequence()
		}
		from.upTo = u.GetUpTo()
	}
	for _, count := range u.GetCounts() {
		if count.GetWindow() <= t.reported {
			continue
		}
		c := t.cell(from, count.GetWindow(), count.GetWorkspace())
		requests, reversed := uint32(min(count.GetRequests(), math.MaxUint32)), uint16(min(count.GetReversed(), math.MaxUint16))
		if c != nil && (requests > c.requests || reversed > c.reversed) {
			c.requests, c.reversed, c.sequence = max(c.requests, requests), max(c.reversed, reversed), t.nextSequence()
		}
	}
	t.bound(from, from.openWindow)
}

// cell returns the cell of a workspace in a window, or nil if there are too many workspaces.
// The caller holds the lock.
func (t *Tallier) cell(of *tally, window int64, workspace string) *cell {
	number, ok := t.numbers[workspace]
	if !ok {
		if len(t.names) == maxWorkspaces {
			return nil
		}
		number = uint16(len(t.names))
		t.names = append(t.names, workspace)
		t.numbers[workspace] = number
	}
	cells := of.windows[window]
	i, found := slices.BinarySearchFunc(cells, number, func(c cell, n uint16) int { return int(c.workspace) - int(n) })
	if !found {
		if len(cells) == cap(cells) {
			cells = append(make([]cell, 0, len(cells)+cellBlock), cells...)
		}
		cells = slices.Insert(cells, i, cell{workspace: number})
		of.windows[window] = cells
	}
	return &cells[i]
}

// bound drops windows beyond maxWindows, those farthest from the open window first: a clock
// that was ahead for a while leaves windows that are newer than the true ones. The caller
// holds the lock.
func (t *Tallier) bound(of *tally, open int64) {
	for len(of.windows) > maxWindows {
		farthest := open
		for window := range of.windows {
			if distance(window, open) > distance(farthest, open) {
				farthest = window
			}
		}
		for _, c := range of.windows[farthest] {
			t.dropped += c.net()
		}
		delete(of.windows, farthest)
	}
}

func distance(a, b int64) int64 { return max(a-b, b-a) }

// Sum returns the requests of all entries in a window, by workspace.
func (t *Tallier) Sum(window int64) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := map[string]int64{}
	for _, tally := range t.sources {
		for _, c := range tally.windows[window] {
			if n := c.net(); n > 0 {
				sum[t.names[c.workspace]] += n
			}
		}
	}
	return sum
}

// Windows returns the windows from first to last that have requests which count, in order.
func (t *Tallier) Windows(first, last int64) (windows []int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tally := range t.sources {
		for window, cells := range tally.windows {
			if window >= first && window <= last && slices.ContainsFunc(cells, func(c cell) bool { return c.net() > 0 }) {
				windows = append(windows, window)
			}
		}
	}
	slices.Sort(windows)
	return slices.Compact(windows)
}

// CompleteEntries returns the ids of the entries whose state was received after a window
// ended by their clocks, so that their counts of it are complete.
func (t *Tallier) CompleteEntries(window int64) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	complete := map[string]bool{}
	for s, tally := range t.sources {
		if tally.openWindow > window && !tally.ended() {
			complete[s.entry] = true
		}
	}
	return complete
}

// Awaits reports whether counts of a window may be missing of a process whose last known state is
// of that window and that has not ended. It may have been killed, or others may have its last
// counts.
func (t *Tallier) Awaits(window int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tally := range t.sources {
		if tally.openWindow == window && !tally.ended() {
			return true
		}
	}
	return false
}

// HasOthers reports whether this entry has counts of others that are not reported.
func (t *Tallier) HasOthers() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for s, tally := range t.sources {
		if s != t.self && len(tally.windows) > 0 {
			return true
		}
	}
	return false
}

// TypicalOpenWindow returns the highest window that is open, or has been, at half of the
// entries at least. Single clocks that are ahead or behind do not change it.
func (t *Tallier) TypicalOpenWindow() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	byEntry := map[string]int64{}
	for s, tally := range t.sources {
		if s == t.self || !tally.ended() {
			byEntry[s.entry] = max(byEntry[s.entry], tally.openWindow)
		}
	}
	open := slices.Sorted(maps.Values(byEntry))
	return open[(len(open)-1)/2]
}

// SetReported drops the counts up to a window, and sources that have ended or whose state has
// not been received for maxWindows windows.
func (t *Tallier) SetReported(reported int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if reported <= t.reported {
		return
	}
	t.reported = reported
	for s, tally := range t.sources {
		for window := range tally.windows {
			if window <= reported {
				delete(tally.windows, window)
			}
		}
		if s != t.self && len(tally.windows) == 0 && (tally.ended() || tally.openWindow < reported-maxWindows) {
			delete(t.sources, s)
			delete(t.received, s.entry)
		}
	}
}

// Dropped returns the number of requests of this entry and of others that were dropped,
// since they came after the report of their window or the bounds were exceeded.
func (t *Tallier) Dropped() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dropped
}
