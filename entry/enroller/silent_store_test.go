package enroller_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/tracker"
)

// TestRelaysWithSilentStore guards against entries that rely on a relay which the store has
// stopped answering, however many of its successors it does not answer either.
func TestRelaysWithSilentStore(t *testing.T) {
	// takeover is the time in which the users want a change to be known.
	const takeover = 2 * time.Second
	for _, silent := range []int{1, 2, 4, 8} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(domains("a", largeDomain)...)
			defer f.close()
			time.Sleep(5 * time.Second)
			order := f.relayOrder()
			for _, i := range order[:silent] {
				f.stores[i].setSilent(true)
			}
			time.Sleep(takeover)
			for _, i := range order[silent:] {
				if e := f.entries[i]; e.HasRelay() && !slices.ContainsFunc(order[silent:], func(j int) bool { return f.entries[j].IsRelay() }) {
					t.Errorf("%d silent: entry %d relies on a relay that the store does not answer", silent, i)
				}
			}
		})
	}
}

// relayOrder returns the numbers of the entries of one failure domain in the order in which
// they become its relay.
func (f *fleet) relayOrder() (order []int) {
	var members []tracker.Member
	for i := range f.entries {
		members = append(members, tracker.Member{ID: memberID(i)})
	}
	for len(members) > 0 {
		first, _ := tracker.HighestRanked("scout", members)
		next := slices.Index(members, first)
		for i := range f.entries {
			if memberID(i) == first.ID {
				order = append(order, i)
			}
		}
		members = slices.Delete(members, next, next+1)
	}
	return order
}

// TestHandoverWhileStoreIsSlow guards against entries that give up the role of the relay
// again and again while the store answers all calls, but slowly.
func TestHandoverWhileStoreIsSlow(t *testing.T) {
	// The shorter delay ends when the response is found overdue.
	for _, delay := range []time.Duration{250 * time.Millisecond, 400 * time.Millisecond} {
		for range 10 {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(domains("a", 6)...)
				defer f.close()
				time.Sleep(5 * time.Second)
				before := f.relays()
				for _, s := range f.stores {
					s.setDelay(delay)
				}
				time.Sleep(5 * time.Second)
				for range 50 {
					is.Equal(f.relays(), before)
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
}

// TestSilentConnectionTakenForSilentStore guards against an entry that gives up the role of
// the relay since one call of the store got no response.
func TestSilentConnectionTakenForSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(domains("a", 6)...)
		defer f.close()
		time.Sleep(5 * time.Second)
		before := f.relays()
		f.stores[before[0]].silenceNext()
		for range 50 {
			is.Equal(f.relays(), before)
			time.Sleep(100 * time.Millisecond)
		}
	})
}
