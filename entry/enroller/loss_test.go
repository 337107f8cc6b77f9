package enroller_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"samphiremux/entry/tracker"
	"samphiremux/pkg/failurefilter"
)

// referralBound is the time in which the users expect that a lost entry is no longer named, and
// referralEnd the end of the check.
const (
	referralBound = 6 * time.Second
	referralEnd   = 21 * time.Second
)

// TestLostEntriesNamed guards against entries that refer callers to others which are lost,
// when most entries or a whole failure domain are lost at once.
func TestLostEntriesNamed(t *testing.T) {
	small := slices.Concat(domains("a", 6), domains("b", 6), domains("c", 6))
	large := slices.Concat(domains("a", 30), domains("b", 30), domains("c", 30), domains("d", 30))
	isIn := func(domains string) func(int, tracker.Member) bool {
		return func(_ int, m tracker.Member) bool { return strings.Contains(domains, m.Domain) }
	}
	for _, c := range []struct {
		name    string
		domains []string
		lost    func(i int, m tracker.Member) bool
	}{
		{"one domain and all but one of another", small, func(i int, m tracker.Member) bool { return m.Domain == "a" || (m.Domain == "c" && i != 12) }},
		{"one domain", small, isIn("b")},
		{"two domains", small, isIn("ac")},
		{"two of three entries", small, func(i int, _ tracker.Member) bool { return i%3 != 1 }},
		{"one large domain", large, isIn("c")},
		{"two large domains", large, isIn("ad")},
		{"nine of ten entries", large, func(i int, _ tracker.Member) bool { return i%10 != 7 }},
		{"all but the last entries", large, func(i int, _ tracker.Member) bool { return i%30 < 28 }},
	} {
		for _, hang := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, ", connections hang: ", hang), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(c.domains...)
					defer f.close()
					time.Sleep(5 * time.Second)
					f.lossesHang.Store(hang)
					start := time.Now()
					lost := map[string]bool{}
					for i := range f.entries {
						if m := (tracker.Member{ID: memberID(i), Domain: c.domains[i]}); c.lost(i, m) {
							lost[m.ID] = true
							f.caches[i].set(5, false)
							f.cancels[i]()
						}
					}
					for time.Sleep(referralBound); time.Since(start) < referralEnd; time.Sleep(500 * time.Millisecond) {
						for i, e := range f.entries {
							if lost[memberID(i)] {
								continue
							}
							for _, m := range e.UsableMembers(time.Now()) {
								if lost[m.ID] {
									failurefilter.Errorf(t, "entry %d names the lost entry %s after %v", i, m.ID, time.Since(start))
									return
								}
							}
						}
					}
				})
			})
		}
	}
}

// TestLostRelayNamed guards against entries that refer callers to a relay which is lost, when
// others that know of the loss are lost some seconds later.
func TestLostRelayNamed(t *testing.T) {
	ids := slices.Concat(domains("a", 30), domains("b", 30), domains("c", 30), domains("d", 30))
	for _, c := range []struct {
		seed uint64
		// gap is the time between the two losses.
		gap time.Duration
	}{
		{0, 2 * time.Second},
		{0, 5 * time.Second},
		{1, 4 * time.Second},
		{5, 5 * time.Second},
		{9, 4 * time.Second},
		{10, 5 * time.Second},
		{19, 4 * time.Second},
		{19, 5 * time.Second},
	} {
		t.Run(fmt.Sprint("seed ", c.seed, ", gap ", c.gap), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(c.seed, 0))
				f := newFleet(ids...)
				defer f.close()
				time.Sleep(5 * time.Second)
				f.lossesHang.Store(c.seed%2 == 0)
				lost := map[int]bool{}
				lose := func(i int) {
					lost[i] = true
					f.caches[i].set(5, false)
					f.cancels[i]()
				}
				start, relay := time.Now(), -1
				for i, e := range f.entries {
					if ids[i] == "b" && e.IsRelay() {
						relay = i
					}
				}
				lose(relay)
				time.Sleep(c.gap)
				for i := range f.entries {
					if !lost[i] && r.Float64() < 0.3 {
						lose(i)
					}
				}
				time.Sleep(referralBound - c.gap)
				for ; time.Since(start) < referralEnd; time.Sleep(200 * time.Millisecond) {
					for i, e := range f.entries {
						if lost[i] {
							continue
						}
						for _, m := range e.UsableMembers(time.Now()) {
							if m.ID == memberID(relay) {
								t.Errorf("entry %d in %s names the lost entry %s after %v", i, ids[i], m.ID, time.Since(start))
								return
							}
						}
					}
				}
			})
		})
	}
}
