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
// within the lag that is allowed, and fall seconds behind.
func TestManySmallChangesLate(t *testing.T) {
	for _, servers := range []int{100, 400, 1000, 2700} {
		t.Run(fmt.Sprintf("%d servers", servers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCopyFleet(t, copyDomain{22, slowLink}, copyDomain{22, 20 * slowLink})
				time.Sleep(5 * time.Second)
				value := bytes.Repeat([]byte("s"), 300)
				for i := range servers {
					f.store.PutUnguarded(fmt.Sprintf("servers/i-%04d", i), value)
				}
				f.expectKnown(t, fmt.Sprintf("servers/i-%04d", servers-1), value, time.Now().Add(drainDeadline))
				f.close()
			})
		})
	}
}
