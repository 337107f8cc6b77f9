package enroller_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestOutageLeftToFirstRelays guards against calls of all entries in an outage of the store,
// and against a failure domain that stays without a relay after it, or since the store answers
// none of its first relays.
func TestOutageLeftToFirstRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a")
		defer f.close()
		time.Sleep(5 * time.Second)
		var first []int
		for i, e := range f.entries {
			if e.MayBecomeRelay() {
				first = append(first, i)
			}
		}
		is.Equal(len(first), 3)
		refuse := func(refusing bool, entries ...int) {
			for _, i := range entries {
				f.stores[i].setRefusing(refusing)
			}
		}
		all := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}
		refuse(true, all...)
		time.Sleep(1500 * time.Millisecond)
		calls := f.passiveCalls()
		awaiting := 0
		for range 35 {
			time.Sleep(100 * time.Millisecond)
			for _, e := range f.entries {
				if e.AwaitsRelay() {
					awaiting++
				}
			}
		}
		is.Equal(awaiting, 35*9)
		is.Equal(f.passiveCalls(), calls)
		refuse(false, all...)
		time.Sleep(2 * time.Second)
		is.Equal(f.relayCount(), 1)

		refuse(true, first...)
		time.Sleep(8 * time.Second)
		is.Equal(f.relayCount(), 1)
		for _, i := range first {
			is.True(!f.entries[i].IsRelay())
		}
		refuse(false, first...)
		time.Sleep(5 * time.Second)
		is.Equal(f.relayCount(), 1)
	})
}

// passiveCalls returns the number of renewals by entries that are not among the first relays.
func (f *fleet) passiveCalls() (n int) {
	for i, e := range f.entries {
		if e.MayBecomeRelay() {
			continue
		}
		f.stores[i].mu.Lock()
		n += f.stores[i].renewals
		f.stores[i].mu.Unlock()
	}
	return n
}
