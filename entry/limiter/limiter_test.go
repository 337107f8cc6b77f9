package limiter_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphiremux/entry/limiter"
)

const slots = 4

// fleet is a server with its holders and two entries that alternate as its owner.
type fleet struct {
	now     time.Time
	members []string
	owners  [2]*limiter.Owner
	current int
	holders map[string]*limiter.Allotment
}

// newFleet returns a server with k holders, owned by the first entry.
func newFleet(k int) *fleet {
	f := &fleet{now: time.Unix(0, 0), holders: map[string]*limiter.Allotment{}}
	for i := range k {
		id := string(rune('a' + i))
		a := limiter.NewAllotment(f.now)
		f.members = append(f.members, id)
		f.holders[id] = &a
	}
	f.owners[0] = limiter.NewOwner(f.now, slots)
	return f
}

// quotas returns the sum of what all holders may use now.
func (f *fleet) quotas() (sum int) {
	for rank, id := range f.members {
		sum += f.holders[id].Quota(f.now, slots, len(f.members), rank)
	}
	return sum
}

// report sends a holder's report to the current owner. If lost is true, the grant
// does not reach the holder.
func (f *fleet) report(id string, r limiter.Report, lost bool) {
	a := f.holders[id]
	r.Holder, r.Warm = id, a.Warm(f.now)
	r.Holding = a.Holding(f.now, slots, len(f.members), slices.Index(f.members, id))
	sent := f.now
	grant := f.owners[f.current].HandleReport(f.now, r, f.members)
	if lost {
		return
	}
	grant.Deadline = sent.Add(limiter.GrantTTL)
	*a = a.WithGrant(grant)
}

// TestSumOfQuotas guards against overload of a server by several entries at once:
// the quotas of all holders together must never exceed the server's limit. It
// draws reports, lost grants, pauses and owner changes, so that holders and
// owners act on stale knowledge of each other.
func TestSumOfQuotas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 8).Draw(t, "holders"))
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.SampledFrom([]int{1, 50, 200, 400, 1100}).Draw(t, "wait")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "act") {
			case 0:
				f.current = 1 - f.current
				f.owners[f.current] = limiter.NewOwner(f.now, slots)
			default:
				id := rapid.SampledFrom(f.members).Draw(t, "holder")
				f.report(id, limiter.Report{
					Demand: rapid.IntRange(0, 6).Draw(t, "demand"), Completed: rapid.IntRange(0, 30).Draw(t, "completed"),
					Refused: rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "refused"),
				}, rapid.IntRange(0, 4).Draw(t, "lost") == 0)
			}
			if sum := f.quotas(); sum > limiter.MaxInFlight(slots) {
				t.Fatalf("sum of quotas is %d after %v, want at most %d", sum, f.now.Sub(time.Unix(0, 0)), limiter.MaxInFlight(slots))
			}
		}
	})
}
