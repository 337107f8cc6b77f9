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
		f := newFleet(domains("a", 20)...)
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
		var all, awaiting []int
		for i := range f.entries {
			all = append(all, i)
		}
		refuse(true, all...)
		time.Sleep(1500 * time.Millisecond)
		for i, e := range f.entries {
			if e.AwaitsRelay() {
				awaiting = append(awaiting, i)
			}
		}
		is.Equal(len(awaiting), 20-9)
		calls := f.renewalsOf(awaiting)
		for range 35 {
			time.Sleep(100 * time.Millisecond)
			for _, i := range awaiting {
				is.True(f.entries[i].AwaitsRelay())
			}
		}
		is.Equal(f.renewalsOf(awaiting), calls)
		refuse(false, all...)
		time.Sleep(2 * time.Second)
		is.Equal(f.relayCount(), 1)

		refuse(true, first...)
		time.Sleep(2 * time.Second) // a change is to be known 2.5 s after it was made
		is.Equal(f.relayCount(), 1)
		for _, i := range first {
			is.True(!f.entries[i].IsRelay())
		}
		refuse(false, first...)
		time.Sleep(5 * time.Second)
		is.Equal(f.relayCount(), 1)
	})
}

// renewalsOf returns the number of renewals by some entries.
func (f *fleet) renewalsOf(entries []int) (n int) {
	for _, i := range entries {
		f.stores[i].mu.Lock()
		n += f.stores[i].renewals
		f.stores[i].mu.Unlock()
	}
	return n
}
