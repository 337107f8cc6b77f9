package dispatcher_test

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/chooser"
	"samphiremux/entry/dispatcher"
	"samphiremux/entry/limiter"
	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
	"samphiremux/entry/sender"
	"samphiremux/pkg/describer"
	"samphiremux/pkg/parser"
)

// newPlan returns a plan with one server.
func newPlan(name, address string) dispatcher.Plan {
	return dispatcher.Plan{
		Placements: []dispatcher.Placement{{
			Server: parser.Server{Name: name, Version: "v1", Slots: 1, Address: netip.MustParseAddrPort(address)}, SameDomain: true, Holders: 1,
		}},
		Versions: []dispatcher.VersionWeight{{Version: "v1", Weight: 1}},
	}
}

func newDispatcher() *dispatcher.Dispatcher {
	d := dispatcher.New("e1", chooser.ExpectedCompletion{}, rand.New(rand.NewPCG(1, 1)), time.Now, nil)
	d.Update(newPlan("s1", "10.0.0.1:80"))
	d.ApplyGrant("s1", limiter.Grant{Slots: 1, Deadline: time.Now().Add(time.Hour)})
	return d
}

// TestQueuedRequestWaitsThroughPause guards against queued and later requests that wait
// until their deadlines while all servers pause, and against a server that stays unused.
func TestQueuedRequestWaitsThroughPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher()
		request := func(wait time.Duration) dispatcher.Request {
			return dispatcher.Request{Caller: "c", Importance: 10, Deadline: time.Now().Add(wait)}
		}
		var permits []*dispatcher.Permit
		for {
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			p, refusal := d.Acquire(ctx, request(time.Second))
			cancel()
			if refusal != nil {
				break
			}
			permits = append(permits, p)
		}
		is.True(len(permits) > 0)
		refused := make(chan *refuser.Refusal, 1)
		go func() {
			_, refusal := d.Acquire(context.Background(), request(time.Second))
			refused <- refusal
		}()
		synctest.Wait()
		began := time.Now()
		permits[0].ObserveHead(sender.Head{Pause: describer.Pause{Until: began.Add(2 * time.Second)}})
		queued := <-refused
		is.Equal(queued.Reason, refuser.PausedServers)
		is.Equal(time.Since(began), time.Duration(0))
		for _, p := range permits {
			p.Done(retrier.Shed{}, false)
		}
		_, later := d.Acquire(context.Background(), request(time.Second))
		is.Equal(later.Reason, refuser.PausedServers)
		is.True(later.RetryAt.Sub(began) >= 2*time.Second && later.RetryAt.Sub(began) < 3*time.Second)
		time.Sleep(time.Until(later.RetryAt))
		_, refusal := d.Acquire(context.Background(), request(time.Second))
		is.True(refusal == nil)
		time.Sleep(time.Second)
	})
}

// TestPauseForgottenAfterUpdate guards against requests to a server in its pause, since the
// server was not among those of this entry for a moment, or got another name. Another address
// is another server.
func TestPauseForgottenAfterUpdate(t *testing.T) {
	for _, c := range []struct {
		name, server, address string
		paused                bool
	}{
		{"the same server", "s1", "10.0.0.1:80", true},
		{"another name", "s2", "10.0.0.1:80", true},
		{"another address", "s1", "10.0.0.2:80", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newDispatcher()
				request := func() dispatcher.Request {
					return dispatcher.Request{Caller: "c", Importance: 10, Deadline: time.Now().Add(time.Second)}
				}
				p, refusal := d.Acquire(context.Background(), request())
				is.True(refusal == nil)
				p.ObserveHead(sender.Head{Pause: describer.Pause{Until: time.Now().Add(2 * time.Second)}})
				p.Done(retrier.Shed{}, false)
				d.Update(dispatcher.Plan{})
				time.Sleep(100 * time.Millisecond)
				d.Update(newPlan(c.server, c.address))
				d.ApplyGrant(c.server, limiter.Grant{Slots: 1, Deadline: time.Now().Add(time.Hour)})
				_, refusal = d.Acquire(context.Background(), request())
				is.Equal(refusal != nil && refusal.Reason == refuser.PausedServers, c.paused)
				time.Sleep(3 * time.Second)
				_, refusal = d.Acquire(context.Background(), request())
				is.True(refusal == nil || !c.paused)
			})
		})
	}
}

// TestNoticeRepeated guards against a log line for each of many responses that say the same,
// and against a pause after another one that is not logged.
func TestNoticeRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher()
		p, refusal := d.Acquire(context.Background(), dispatcher.Request{Caller: "c", Importance: 10, Deadline: time.Now().Add(time.Second)})
		is.True(refusal == nil)
		stated := func(length time.Duration, rejected string) sender.Head {
			return sender.Head{Pause: describer.Pause{Until: time.Now().Add(length), Rejected: rejected}}
		}
		first := stated(time.Second, "")
		is.Equal(p.ObserveHead(first), first)
		is.Equal(p.ObserveHead(first), sender.Head{})
		is.Equal(p.ObserveHead(stated(2*time.Second, "")), sender.Head{}) // it only lasts longer
		time.Sleep(5 * time.Second)
		second := stated(time.Second, "")
		is.Equal(p.ObserveHead(second), second)
		absurd := sender.Head{Pause: describer.Pause{Rejected: "-1"}}
		is.Equal(p.ObserveHead(absurd), absurd)
		time.Sleep(9 * time.Second)
		is.Equal(p.ObserveHead(absurd), sender.Head{})
		time.Sleep(time.Second)
		is.Equal(p.ObserveHead(absurd), absurd)
		leaving := sender.Head{Draining: true}
		is.Equal(p.ObserveHead(leaving), leaving)
		is.Equal(p.ObserveHead(leaving), sender.Head{})
		p.Done(retrier.Shed{}, false)
		time.Sleep(time.Second)
	})
}
