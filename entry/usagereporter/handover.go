package usagereporter

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"samphiremux/entry/tracker"
	"samphiremux/pkg/linker/linkpb"
)

const (
	// handOverInterval is the time between two messages of an entry that stops. Relays no longer
	// ask it, and this much of its counts is lost if it is killed.
	handOverInterval = 250 * time.Millisecond
	// handOverCopies is the number of entries to which an entry that stops hands its counts
	// over. One of them may be killed.
	handOverCopies = 2
	// maxHandOverCalls bounds the calls of a handover. Most entries may be lost or stop too.
	maxHandOverCalls = 6
	// handOverTime is the time for which a process waits at its exit for entries that take its
	// counts. When all entries restart, the first one may have started again by then.
	handOverTime = time.Second
)

// errExiting refuses counts at an entry that may exit before it can hand them over.
var errExiting = errors.New("the entry is about to exit")

// HandOver hands the counts of this entry, and those of others that it has, over to entries that
// stay. It is called once, when the entry counts no more, and returns when they have them, after
// handOverTime, or after half of the time until the deadline of ctx: under load, processes that
// waited for all of it exited after their grace period.
func (r *Reporter) HandOver(ctx context.Context) {
	l, enabled := r.o.Limits()
	if !enabled {
		return
	}
	r.tallier.End(WindowAt(r.o.TimeOfDay(), l.Window))
	close(r.ending)
	wait := handOverTime
	if end, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(end)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case <-r.handedOver:
	case <-ctx.Done():
		r.o.Log.Warn("Usage counts not handed over to another entry before the exit.")
	}
}

// taker is an entry to which counts are handed over.
type taker struct {
	// upTo is how far it has them.
	upTo uint64
	// failed reports whether it did not take the last ones.
	failed bool
}

// handOver sends other entries the counts that they do not have. Those that are known to stop or
// not to respond are tried at the exit only. It reports whether one has all, or there is none.
func (r *Reporter) handOver(ctx context.Context, tried map[string]taker, exits bool) (done bool) {
	r.mu.Lock()
	holder := r.newest.Holder
	r.mu.Unlock()
	var others []tracker.Member
	if exits {
		others = r.o.Members().Members()
		for _, address := range r.o.Members().PeerAddresses(time.Now()) {
			others = append(others, tracker.Member{ID: address, LinkAddress: address})
		}
	}
	candidates := takers(r.o.Self, holder, r.o.Members().UsableMembers(time.Now()), others)
	alone := len(candidates) == 0
	failed := func(m tracker.Member) bool { return tried[key(m)].failed }
	candidates = slices.Concat(slices.DeleteFunc(slices.Clone(candidates), failed),
		slices.DeleteFunc(candidates, func(m tracker.Member) bool { return !failed(m) }))
	copies := 0
	for len(candidates) > 0 && copies < handOverCopies {
		n := min(handOverCopies-copies, len(candidates))
		results := make([]taker, n)
		var calls sync.WaitGroup
		for i, m := range candidates[:n] {
			calls.Go(func() { results[i] = r.handOverTo(ctx, m, tried[key(m)]) })
		}
		calls.Wait()
		for i, m := range candidates[:n] {
			tried[key(m)] = results[i]
			if !results[i].failed {
				copies++
			}
		}
		candidates = candidates[n:]
	}
	return copies > 0 || alone
}

// handOverTo sends an entry the counts that it does not have. An empty message first asks one
// that has none whether it takes them.
func (r *Reporter) handOverTo(ctx context.Context, m tracker.Member, t taker) taker {
	counts, upTo := r.tallier.Changes(t.upTo)
	refused := t.upTo == 0 && r.call(ctx, m, []*linkpb.UsageCounts{{}}) != nil
	if refused || (len(counts) > 0 && r.call(ctx, m, counts) != nil) {
		return taker{failed: true}
	}
	return taker{upTo: upTo}
}

// key identifies a process of an entry.
func key(m tracker.Member) string { return m.ID + "/" + m.Incarnation }

// takers returns the entries that may take the counts of one that stops, in the order in which
// they are tried: the holder, those that take over from it first, and others, which stop later
// or whose next process may run.
func takers(self, holder string, usable, others []tracker.Member) (ordered []tracker.Member) {
	isNot := func(m tracker.Member) bool { return m.ID != holder }
	remaining := func(members []tracker.Member) []tracker.Member {
		return slices.DeleteFunc(slices.Clone(members), func(m tracker.Member) bool {
			return m.ID == self || slices.ContainsFunc(ordered, func(o tracker.Member) bool { return o.LinkAddress == m.LinkAddress })
		})
	}
	for _, group := range [][]tracker.Member{slices.DeleteFunc(slices.Clone(usable), isNot), usable, others} {
		for len(ordered) < maxHandOverCalls {
			first, ok := tracker.HighestRanked(rankKey, remaining(group))
			if !ok {
				break
			}
			ordered = append(ordered, first)
		}
	}
	return ordered
}
