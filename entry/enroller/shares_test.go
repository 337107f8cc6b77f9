package enroller_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/enroller"
	"samphiremux/entry/tracker"
)

// TestSharesAfterLeasesLapse guards against entries that together exceed a limit since the
// store has removed the registrations of entries that still run: each would consider itself
// one of a few.
func TestSharesAfterLeasesLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(domains("a", largeDomain)...)
		defer f.close()
		time.Sleep(5 * time.Second)
		e := f.entries[3]
		rank, entries := e.Rank("server-1")
		is.Equal(entries, largeDomain)
		is.Equal(e.LimitShares(), largeDomain)
		for i := range f.entries {
			e.ApplyChange(time.Now(), "entries/"+memberID(i), nil, true)
		}
		for range 2 {
			after, n := e.Rank("server-1")
			is.Equal(after, rank)
			is.Equal(n, entries)
			is.Equal(e.LimitShares(), largeDomain)
			time.Sleep(10 * time.Second)
		}
		value, _ := json.Marshal(tracker.Member{ID: memberID(0), Domain: "a"})
		e.ApplyChange(time.Now(), "entries/"+memberID(0), value, false)
		time.Sleep(21 * time.Second)
		_, n := e.Rank("server-1")
		is.Equal(n, 2) // those that have been gone for long no longer count
		is.Equal(e.LimitShares(), 2)
	})
}

// TestSettled guards against an entry that takes part in limits for a second right after its
// start, when it may have sent requests just before and may not know the others.
func TestSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("a", "a")
		defer f.close()
		is.True(!f.entries[0].Settled())
		time.Sleep(2 * time.Second)
		is.True(!f.entries[0].Settled())
		time.Sleep(2 * time.Second)
		is.True(f.entries[0].Settled())
	})
}

// TestSettledWithoutRegistration guards against entries that start in an outage, none of them
// registered, and together exceed limits, since each takes itself for the only one.
func TestSettledWithoutRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := enroller.New(time.Now(), enroller.Options{Self: tracker.Member{ID: memberID(0)}, Prefix: "entries/"})
		time.Sleep(10 * time.Second)
		is.True(!e.Settled())
		e.ApplyChange(time.Now(), "entries/"+memberID(0), []byte("{}"), false)
		time.Sleep(2 * time.Second)
		is.True(!e.Settled()) // others may not know it yet
		time.Sleep(2 * time.Second)
		is.True(e.Settled())
	})
}

// setRegistered lets an entry learn that it is registered, or no longer is.
func (f *fleet) setRegistered(i int, registered bool) {
	f.entries[i].ApplyChange(time.Now(), "entries/"+memberID(i), []byte("{}"), !registered)
}

// TestSettledAfterLeasesLapse guards against entries that send nothing to cold servers since
// the store has removed their registrations, and against entries that still do when the others
// no longer count them.
func TestSettledAfterLeasesLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("a", "a")
		defer f.close()
		time.Sleep(5 * time.Second)
		f.setRegistered(0, false)
		time.Sleep(5 * time.Second)
		is.True(f.entries[0].Settled())
		f.setRegistered(0, true)
		time.Sleep(30 * time.Second)
		is.True(f.entries[0].Settled())
		f.setRegistered(0, false)
		f.setRegistered(0, false)
		time.Sleep(20 * time.Second)
		is.True(!f.entries[0].Settled())
		f.setRegistered(0, true)
		time.Sleep(2 * time.Second)
		is.True(!f.entries[0].Settled())
		time.Sleep(2 * time.Second)
		is.True(f.entries[0].Settled())
	})
}
