package dispatcher_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/chooser"
	"samphiremux/entry/dispatcher"
	"samphiremux/entry/limiter"
	"samphiremux/entry/retrier"
)

// TestFloorKeptWithoutContact guards against an entry that reaches no server, but still uses
// open connections, and keeps its floors from those that reach the servers.
func TestFloorKeptWithoutContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := dispatcher.New("e1", chooser.ExpectedCompletion{}, rand.New(rand.NewPCG(1, 1)), time.Now, nil)
		plan := newPlan("s1", "10.0.0.1:80")
		plan.Placements[0].Server.Slots, plan.Placements[0].Holders, plan.Placements[0].Owner = 2, 2, "e2"
		d.Update(plan)
		d.ApplyGrant("s1", limiter.Grant{Slots: 1, Deadline: time.Now().Add(time.Hour)})
		check := func(reached bool) {
			time.Sleep(time.Millisecond)
			is.True(d.EndCheck(d.BeginCheck(), reached))
		}
		check(false)
		p, refusal := d.Acquire(context.Background(), dispatcher.Request{Caller: "c", Importance: 10, Deadline: time.Now().Add(time.Second)})
		is.True(refusal == nil)
		is.True(!d.CollectReports()[0].Report.Released)
		p.Done(retrier.Answered{}, false)
		without := d.CollectReports()[0].Report
		is.True(without.Released)
		is.Equal(without.Demand, 1)
		is.Equal(without.Holding, 1)

		check(true)
		is.True(!d.CollectReports()[0].Report.Released)
	})
}
