package tallier_test

import (
	"testing"

	"github.com/matryer/is"

	"samphiremux/entry/tallier"
	"samphiremux/pkg/linker/linkpb"
)

// exchange lets a relay ask an entry for its counts.
func exchange(relay, entry *tallier.Tallier, id string) { relay.Receive(entry.Answer(relay.Query(id))) }

// forward passes all counts of a relay on to the holder.
func forward(relay, holder *tallier.Tallier) {
	counts, _ := relay.Changes(0)
	holder.Merge(counts)
}

// TestCountedTwice guards against counts that are summed twice since a response was
// repeated, or since two relays passed them on.
func TestCountedTwice(t *testing.T) {
	is := is.New(t)
	entry, holder := tallier.New("e1", "i1"), tallier.New("h", "i9")
	relays := []*tallier.Tallier{tallier.New("r1", "i2"), tallier.New("r2", "i3")}
	entry.Count(7, "stock")
	entry.Count(7, "stock")
	entry.Count(7, "mail")
	for range 2 {
		for _, r := range relays {
			exchange(r, entry, "e1")
			forward(r, holder)
		}
	}
	is.Equal(holder.Sum(7), map[string]int64{"stock": 2, "mail": 1})
}

// TestLostResponseLosesCounts guards against counts of a closed window that are lost with
// one response, since no later change repeats them.
func TestLostResponseLosesCounts(t *testing.T) {
	is := is.New(t)
	entry, relay := tallier.New("e1", "i1"), tallier.New("r1", "i2")
	entry.Count(7, "stock")
	_ = entry.Answer(relay.Query("e1")) // lost
	exchange(relay, entry, "e1")
	is.Equal(relay.Sum(7), map[string]int64{"stock": 1})
	is.Equal(len(entry.Answer(relay.Query("e1")).GetCounts()), 0) // nothing is sent twice
}

// TestRestartResetsCounts guards against the counts of a restarted entry that replace those
// of its previous process, and against a relay that asks it for the changes since those.
func TestRestartResetsCounts(t *testing.T) {
	is := is.New(t)
	relay := tallier.New("r1", "i2")
	before := tallier.New("e1", "i1")
	for range 5 {
		before.Count(7, "stock")
	}
	exchange(relay, before, "e1")
	after := tallier.New("e1", "i8")
	after.Count(7, "stock")
	exchange(relay, after, "e1")
	is.Equal(relay.Sum(7), map[string]int64{"stock": 6})
}

// TestStaleStateOfAnEntry guards against an entry that counts as complete after a window, or
// not, by an older state that a slow relay passes on later.
func TestStaleStateOfAnEntry(t *testing.T) {
	is := is.New(t)
	entry, slow, holder := tallier.New("e1", "i1"), tallier.New("r1", "i2"), tallier.New("h", "i9")
	entry.SetOpenWindow(7)
	exchange(slow, entry, "e1")
	entry.SetOpenWindow(8)
	holder.Receive(entry.Answer(holder.Query("e1")))
	forward(slow, holder)
	is.Equal(holder.CompleteEntries(7), map[string]bool{"e1": true})
}

// TestClockAheadDropsTrueWindows guards against windows of a clock that was ahead for a while
// and that displace those of the true time.
func TestClockAheadDropsTrueWindows(t *testing.T) {
	is := is.New(t)
	entry := tallier.New("e1", "i1")
	for w := range int64(30) {
		entry.SetOpenWindow(1000 + w)
		entry.Count(1000+w, "stock")
	}
	entry.SetOpenWindow(7)
	entry.Count(7, "stock")
	is.Equal(entry.Sum(7), map[string]int64{"stock": 1})
	is.True(len(entry.Windows(0, 2000)) <= 20)
	is.Equal(entry.Dropped(), int64(11))
}

// TestReportedWindowsKept guards against memory for windows that have been reported, and
// against later requests of them that would never be counted and are not seen in a metric.
func TestReportedWindowsKept(t *testing.T) {
	is := is.New(t)
	relay := tallier.New("r1", "i2")
	relay.Merge([]*linkpb.UsageCounts{{EntryId: "e1", Incarnation: "i1", OpenWindow: 8, Counts: []*linkpb.UsageCount{{Window: 7, Workspace: "stock", Requests: 3}}}})
	relay.SetReported(7)
	relay.Count(7, "stock")
	is.Equal(len(relay.Windows(0, 100)), 0)
	is.Equal(relay.Dropped(), int64(1))
	relay.SetReported(100)
	counts, _ := relay.Changes(0)
	is.Equal(len(counts), 0) // no state of the entry was received for long
}

// TestEndedProcesses guards against processes that have ended and hold back the open window, are
// awaited or are kept after the report, and against older states of them that come later.
func TestEndedProcesses(t *testing.T) {
	is := is.New(t)
	entry, slow, holder := tallier.New("e1", "i1"), tallier.New("r1", "i2"), tallier.New("h", "i9")
	holder.SetOpenWindow(9)
	entry.SetOpenWindow(7)
	exchange(slow, entry, "e1")
	forward(slow, holder)
	is.True(holder.Awaits(7))
	entry.End(7)
	entry.SetOpenWindow(8) // the clock goes on until the exit
	forward(entry, holder)
	forward(slow, holder)
	is.True(!holder.Awaits(7) && !holder.Awaits(8))
	is.Equal(holder.TypicalOpenWindow(), int64(9))
	holder.SetReported(7)
	counts, _ := holder.Changes(0)
	is.Equal(len(counts), 1) // its own
}

// TestReversalLost guards against a count that was taken back and returns, since a relay
// passes on an older state later, and against a report for a window without requests.
func TestReversalLost(t *testing.T) {
	is := is.New(t)
	entry, slow, relay, holder := tallier.New("e1", "i1"), tallier.New("r1", "i2"), tallier.New("r2", "i3"), tallier.New("h", "i9")
	is.True(entry.Count(7, "stock"))
	is.True(entry.Count(7, "mail"))
	exchange(slow, entry, "e1")
	is.True(entry.Reverse(7, "mail"))
	exchange(relay, entry, "e1")
	forward(relay, holder)
	forward(slow, holder)
	is.Equal(holder.Sum(7), map[string]int64{"stock": 1})
	is.True(entry.Reverse(7, "stock"))
	exchange(relay, entry, "e1")
	forward(relay, holder)
	is.Equal(len(holder.Windows(0, 100)), 0)
	entry.SetReported(7)
	is.True(!entry.Reverse(7, "stock")) // its window has been reported
}
