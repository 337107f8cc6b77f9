package measurer_test

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"samphiremux/standin/platformemulator"
)

// drainDeadline is the time after which a server that leaves gets no more requests at large
// sites.
const drainDeadline = 2500 * time.Millisecond

// TestLargeValueWhileEntriesDiffer guards against entries of an earlier version that never
// learn a value that their relay only names.
func TestLargeValueWhileEntriesDiffer(t *testing.T) {
	for _, size := range []int{50_000, largeValue, 600_000} {
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCopyFleet(t, copyDomain{22, slowLink}, copyDomain{22, 20 * slowLink})
				for i, e := range f.entries {
					e.earlier = i%2 == 0
				}
				time.Sleep(5 * time.Second)
				value := bytes.Repeat([]byte("r"), size)
				f.store.PutUnguarded("op/config", value)
				f.expectKnown(t, "op/config", value, time.Now().Add(configurationDeadline))
				f.close()
			})
		})
	}
}

// TestLargeValueBeforeOutage guards against entries that lack a value because the store is
// down from shortly after it was written.
func TestLargeValueBeforeOutage(t *testing.T) {
	const outageDeadline = configurationDeadline + 5*time.Second
	for _, size := range []int{largeValue, 600_000} {
		for _, after := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes, %s after the first entry knew it", size, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newCopyFleet(t, copyDomain{22, slowLink}, copyDomain{22, slowLink})
					time.Sleep(5 * time.Second)
					value := bytes.Repeat([]byte("r"), size)
					f.store.PutUnguarded("op/config", value)
					deadline := time.Now().Add(outageDeadline)
					for f.knowing("op/config", value) == 0 {
						time.Sleep(10 * time.Millisecond)
					}
					time.Sleep(after)
					f.store.SetFaults(platformemulator.Faults{Down: true})
					f.expectKnown(t, "op/config", value, deadline)
					f.close()
				})
			})
		}
	}
}

// TestLargeValueWithoutAnswerOfStore guards against entries that wait for the store, which
// answers the others only, for longer than a value may take to be in force.
func TestLargeValueWithoutAnswerOfStore(t *testing.T) {
	for _, c := range []struct {
		entries, size int
		relay         bool
	}{
		{1, 50_000, false},
		{1, largeValue, false},
		{1, 600_000, false},
		{5, largeValue, false},
		{15, largeValue, false},
		{5, 600_000, false},
		{0, 1_000, true},
		{0, 50_000, true},
		{0, largeValue, true},
		{5, largeValue, true},
	} {
		t.Run(fmt.Sprintf("%d entries, relay %t, %d bytes", c.entries, c.relay, c.size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCopyFleet(t, copyDomain{22, slowLink}, copyDomain{22, slowLink})
				time.Sleep(5 * time.Second)
				var unanswered []*copyEntry
				for _, e := range f.entries[:22] {
					if len(unanswered) < c.entries && !e.enroller.IsRelay() {
						unanswered = append(unanswered, e)
					}
				}
				if c.relay {
					unanswered = append(unanswered, f.relay())
				}
				f.stopAnswering(unanswered...)
				value := bytes.Repeat([]byte("r"), c.size)
				f.store.PutUnguarded("op/config", value)
				f.expectKnown(t, "op/config", value, time.Now().Add(configurationDeadline))
				f.close()
			})
		})
	}
}

// TestAllEntriesStartWithLargeValue guards against entries that start together and list the
// store again and again, each time for less long than the list takes.
func TestAllEntriesStartWithLargeValue(t *testing.T) {
	for _, slow := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprintf("store slow by %s", slow), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCopyFleet(t)
				value := bytes.Repeat([]byte("r"), 1<<20)
				f.store.PutUnguarded("op/config", value)
				for i := range 300 {
					f.store.PutUnguarded(fmt.Sprintf("servers/i-%03d", i), bytes.Repeat([]byte("s"), 300))
				}
				f.store.SetFaults(platformemulator.Faults{SlowBy: slow})
				for i := range 4 {
					f.startDomain(t, i, copyDomain{29, slowLink})
				}
				f.expectKnown(t, "op/config", value, time.Now().Add(8*time.Second)) // callers come after 8 s
				f.close()
			})
		})
	}
}

// TestManySmallChangesLate guards against entries that follow a relay in small steps, each
// within the lag that is allowed, and fall seconds behind. In large failure domains it guards
// against entries that lack changes since their secondary relay is lost or ignores them, and
// against a relay that sends all changes to all entries.
func TestManySmallChangesLate(t *testing.T) {
	for _, c := range []struct {
		name             string
		servers, entries int
		// Every second entry crashes as the changes begin, or is of an earlier version.
		lost, earlier bool
		// maxCopies bounds what the relay sends, in copies of the changes.
		maxCopies int
	}{
		{"100 servers", 100, 22, false, false, 21},
		{"400 servers", 400, 22, false, false, 21},
		{"1000 servers", 1000, 22, false, false, 21},
		{"2700 servers", 2700, 22, false, false, 21},
		{"100 servers, large domains", 100, 60, false, false, 12},
		{"100 servers, large domains, half of the entries are lost", 100, 60, true, false, 59},
		{"100 servers, large domains, half of the entries are of an earlier version", 100, 60, false, true, 59},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCopyFleet(t, copyDomain{c.entries, slowLink}, copyDomain{c.entries, 20 * slowLink})
				for i, e := range f.entries {
					e.earlier = c.earlier && i%2 == 1
				}
				time.Sleep(5 * time.Second)
				value := bytes.Repeat([]byte("s"), 300)
				before := f.mostForwarded()
				if c.lost {
					f.loseEverySecond()
				}
				for i := range c.servers {
					f.store.PutUnguarded(fmt.Sprintf("servers/i-%04d", i), value)
				}
				f.expectKnown(t, fmt.Sprintf("servers/i-%04d", c.servers-1), value, time.Now().Add(drainDeadline))
				if sent := f.mostForwarded() - before; sent > int64(c.maxCopies*c.servers*(len(value)+len("servers/i-0000"))) {
					t.Errorf("the relay sent %d bytes of changes, more than %d copies", sent, c.maxCopies)
				}
				f.close()
			})
		})
	}
}

// loseEverySecond crashes every second entry that is no relay.
func (f *copyFleet) loseEverySecond() {
	var left []*copyEntry
	for i, e := range f.entries {
		if i%2 == 0 || e.enroller.IsRelay() {
			left = append(left, e)
			continue
		}
		e.end()
		f.network.Crash(e.host)
	}
	f.entries = left
}

// mostForwarded returns the largest number of bytes of changes that an entry has sent with its
// heartbeats.
func (f *copyFleet) mostForwarded() (bytes int64) {
	for _, e := range f.entries {
		bytes = max(bytes, e.enroller.ForwardedBytes())
	}
	return bytes
}
