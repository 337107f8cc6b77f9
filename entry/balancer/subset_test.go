package balancer_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/snapshotter"
	"samphiremux/entry/subsetter"
	"samphiremux/pkg/describer"
	"samphiremux/pkg/placer"
)

// fleetOf returns n other entries of the failure domain of the fixture.
func fleetOf(n int) (entries []placer.Member) {
	for i := range n {
		entries = append(entries, placer.Member{ID: fmt.Sprintf("e-%d", i), Domain: "a"})
	}
	return entries
}

// withSubset runs a test with a number of servers and of other entries, so that the entry has a
// subset of the servers.
func withSubset(t *testing.T, backends, entries int, test func(*is.I, *fixture, []*backend)) {
	t.Helper()
	all := servers(backends, respondOK)
	withFixture(t, all, func(is *is.I, f *fixture) {
		f.entries = fleetOf(entries)
		test(is, f, all)
	})
}

// sendPaced sends requests one after the other, with a pause before each.
func (f *fixture) sendPaced(n int, pause time.Duration) (failed int) {
	for i := range n {
		time.Sleep(pause)
		if w := f.send("GET", "/look/1", fmt.Sprintf("p%d-%d", time.Now().UnixNano(), i)); w.Code != 200 {
			failed++
		}
	}
	return failed
}

// used returns the number of servers that got requests or probes.
func used(all []*backend) (n int) {
	for _, b := range all {
		b.mu.Lock()
		if b.probed > 0 || len(b.arrived) > 0 {
			n++
		}
		b.mu.Unlock()
	}
	return n
}

func (f *fixture) opened() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// TestConnectionsReused guards against an entry that spreads a few requests a second over all
// servers of a large service, so that it opens a connection for most of its probes, and against
// probes of servers whose connections are in use while others have idle ones.
func TestConnectionsReused(t *testing.T) {
	withSubset(t, 100, 100, func(is *is.I, f *fixture, all []*backend) {
		for _, b := range all {
			b.work = 100 * time.Millisecond
		}
		is.Equal(f.sendPaced(100, 500*time.Millisecond), 0) // load reports are out of date each time
		is.True(used(all) <= 15)                            // the subset has up to 10 servers
		is.True(f.opened() <= 15)
		before := f.opened()
		var wg sync.WaitGroup
		for range 40 {
			wg.Go(func() { is.Equal(f.sendPaced(1, 0), 0) })
			time.Sleep(40 * time.Millisecond) // two or three requests are running
		}
		wg.Wait()
		is.True(f.opened()-before <= 3)
	})
}

// TestNoConnectionBesideIdleOnes guards against a connection that is opened for the third probe
// of a request, to a server whose connection is in use, while two servers have idle ones.
func TestNoConnectionBesideIdleOnes(t *testing.T) {
	withSubset(t, 100, 100, func(is *is.I, f *fixture, all []*backend) {
		defer time.Sleep(time.Second) // until the servers are idle
		is.Equal(f.sendPaced(80, 250*time.Millisecond), 0)
		for _, b := range all {
			b.work = 300 * time.Millisecond
		}
		before := f.opened()
		var requests sync.WaitGroup
		for range int(f.balancer.SubsetSizes()["stock"]) - 1 {
			requests.Go(func() { is.Equal(f.sendPaced(1, 0), 0) })
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(f.opened(), before) // the last request found two idle connections
		requests.Wait()
	})
}

// TestExpiredConnectionsLeft guards against an entry with few requests that opens connections
// to members again and again, only since they expire, and against members that get no probe
// after they were drained, since their connections have expired.
func TestExpiredConnectionsLeft(t *testing.T) {
	withSubset(t, 100, 100, func(is *is.I, f *fixture, all []*backend) {
		for _, b := range all {
			b.healthHeader = "Keep-Alive: timeout=10\r\n"
		}
		is.Equal(f.sendPaced(20, 2500*time.Millisecond), 0)
		before := f.opened()
		is.Equal(f.sendPaced(40, 2500*time.Millisecond), 0)
		is.True(f.opened()-before <= 8)
		i := slices.IndexFunc(all, func(b *backend) bool { return b.probed > 0 })
		member, srv := all[i], serverOf(all[i].id, i+1)
		srv.Draining = true
		f.snapshotter.PutServer(srv)
		is.Equal(f.sendPaced(5, 2500*time.Millisecond), 0)
		probed := member.probed
		srv.Draining = false
		f.snapshotter.PutServer(srv)
		is.Equal(f.sendPaced(3, 1000*time.Millisecond), 0)
		is.True(member.probed > probed)
	})
}

// TestFewServersAsBefore guards against a subset in a service with few servers.
func TestFewServersAsBefore(t *testing.T) {
	for n, want := range map[int]int{24: 0, 25: 1} {
		withSubset(t, n, 100, func(is *is.I, f *fixture, _ []*backend) {
			is.Equal(f.sendPaced(10, 50*time.Millisecond), 0)
			is.Equal(len(f.balancer.SubsetSizes()), want)
		})
	}
}

// TestSubsetExceeded guards against requests that are refused, or wait, because all servers of
// the subset are full while others are free.
func TestSubsetExceeded(t *testing.T) {
	withSubset(t, 100, 100, func(is *is.I, f *fixture, all []*backend) {
		is.Equal(f.sendPaced(40, 250*time.Millisecond), 0)
		var free, full []*backend
		for _, b := range all {
			b.mu.Lock()
			if b.probed == 0 {
				free = append(free, b)
			} else {
				full = append(full, b)
				b.running = 40
			}
			b.mu.Unlock()
		}
		before := arrivals(full)
		is.Equal(f.sendPaced(40, 250*time.Millisecond), 0)
		is.Equal(arrivals(full), before)
		is.Equal(arrivals(free), 40)
	})
}

// TestSubsetWithoutDomain guards against an entry that keeps its subset in a failure domain that
// is excluded, and one that finds no server of a version.
func TestSubsetWithoutDomain(t *testing.T) {
	withSubset(t, 60, 120, func(is *is.I, f *fixture, all []*backend) {
		for i := range f.entries[60:] {
			f.entries[60+i].Domain = "b"
		}
		for i, b := range all[30:] {
			f.put(b.id, i+31, "b", time.Time{})
		}
		is.Equal(f.sendPaced(40, 500*time.Millisecond), 0)
		is.Equal(arrivals(all[:30]), 40) // the own domain
		f.snapshotter.SetDomainExcluded("a", true)
		before := f.opened()
		is.Equal(f.sendPaced(80, 500*time.Millisecond), 0)
		is.Equal(arrivals(all[30:]), 80)
		is.True(f.opened()-before <= 15)
	})
}

// put registers a server of a failure domain.
func (f *fixture) put(id string, number int, domain string, coldUntil time.Time) {
	srv := serverOf(id, number)
	srv.Domain, srv.ColdUntil = domain, coldUntil
	f.snapshotter.PutServer(srv)
}

// TestNewServersUsed guards against servers that are registered later and get no request within
// 4 s from the entries that use them, since the members of their subsets have open connections.
func TestNewServersUsed(t *testing.T) {
	for _, cold := range []time.Duration{0, 10 * time.Second} {
		t.Run(fmt.Sprintf("cold for %v", cold), func(t *testing.T) {
			all := servers(100, respondOK)
			added := all[99]
			added.id = newServer(cold > 0, fleetOf(100))
			withFixture(t, all, func(is *is.I, f *fixture) {
				f.entries = fleetOf(100)
				f.snapshotter.RemoveServer(added.id)
				is.Equal(f.sendPaced(60, 333*time.Millisecond), 0)
				added.cold = cold
				f.put(added.id, 100, "a", time.Now().Add(cold))
				is.Equal(f.sendPaced(3, 333*time.Millisecond), 0)
				is.True(added.probed > 0)
				is.Equal(f.sendPaced(9, 333*time.Millisecond), 0)
				is.True(added.count() > 0)
			})
		})
	}
}

// newServer returns the id of a server that is added to 99 others: one of which the fixture's
// entry holds a part of the cold rate and that its subset does not have, or one that it has.
func newServer(cold bool, others []placer.Member) (id string) {
	fleet := subsetter.Fleet{Self: placer.Member{Domain: "a"}, Others: others}
	for i := range 99 {
		fleet.Servers = append(fleet.Servers, subsetter.Server{ID: fmt.Sprintf("i-%d", i), Domain: "a", Slots: 2})
	}
	for i := 0; ; i++ {
		id = fmt.Sprintf("new-%d", i)
		all := subsetter.Fleet{Self: fleet.Self, Others: others, Servers: append(fleet.Servers[:99:99], subsetter.Server{ID: id, Domain: "a", Slots: 2})}
		isMember := slices.Contains(all.Order(&subsetter.Ranks{})[:9], id)
		if isMember != cold && (!cold || rankOf(0, id) < 3) {
			return id
		}
	}
}

// setSilent makes servers break off or hang all connections, or answer again.
func setSilent(all []*backend, silent bool) {
	for _, b := range all {
		b.mu.Lock()
		b.silent, b.respondProbe = silent, nil
		if silent {
			b.respondProbe = func(io.Writer) bool { return false }
		}
		b.mu.Unlock()
	}
}

// probeErrors returns the number of probes that failed.
func (f *fixture) probeErrors() (n int) {
	_, _ = fmt.Sscan(f.metric(`probes_total{result="error"}`), &n)
	return n
}

// TestLostDomain guards against an entry that takes the servers of its lost failure domain as
// members again each time that their ejections end, so that it finds no server in its rounds,
// and against servers that are not used again when the domain has returned.
func TestLostDomain(t *testing.T) {
	withSubset(t, 60, 120, func(is *is.I, f *fixture, all []*backend) {
		ctx, cancel := context.WithCancel(f.t.Context())
		defer cancel()
		go f.balancer.RunReachChecks(ctx)
		for i, b := range all[30:] {
			f.entries[60+2*i].Domain, f.entries[61+2*i].Domain = "b", "b"
			f.put(b.id, i+31, "b", time.Time{})
		}
		is.Equal(f.sendPaced(40, 300*time.Millisecond), 0)
		setSilent(all[:30], true)
		f.sendPaced(20, 300*time.Millisecond) // until the servers are ejected
		before := f.probeErrors()
		is.Equal(f.sendPaced(100, 300*time.Millisecond), 0)
		is.True(f.probeErrors()-before <= 80) // at most one in 0.5 s, in 32 s
		setSilent(all[:30], false)
		f.sendPaced(40, 300*time.Millisecond)
		before = arrivals(all[:30])
		is.Equal(f.sendPaced(40, 300*time.Millisecond), 0)
		is.Equal(arrivals(all[:30])-before, 40)
	})
}

// TestMembersOfEachVersion guards against a subset without servers of the target version of a
// move, so that requests for it open a connection each.
func TestMembersOfEachVersion(t *testing.T) {
	withSubset(t, 60, 60, func(is *is.I, f *fixture, all []*backend) {
		for i, b := range all[50:] {
			srv := serverOf(b.id, i+51)
			srv.Version = "v2"
			f.snapshotter.PutServer(srv)
		}
		f.snapshotter.SetOrder(describer.MoveOrder{Service: "stock", Target: "v2", Revision: 5})
		f.snapshotter.SetMoveRecord("stock", snapshotter.MoveRecord{Order: 5, Step: 1, Stable: "v1", Target: "v2", Phase: snapshotter.Moving, Share: 0.5})
		is.Equal(f.sendPaced(200, 250*time.Millisecond), 0)
		is.True(arrivals(all[50:]) > 60)
		is.True(arrivals(all[:50]) > 60)
		is.Equal(f.balancer.SubsetSizes(), map[string]float64{"stock": 18}) // 9 of each version
		is.True(used(all) <= 22)
	})
}

// TestLimitedServerReplaced guards against a member that states a rate limit of which this
// entry holds no part, so that each request begins with a server that it may not use.
func TestLimitedServerReplaced(t *testing.T) {
	withSubset(t, 60, 60, func(is *is.I, f *fixture, all []*backend) {
		is.Equal(f.sendPaced(40, 250*time.Millisecond), 0)
		var limited []*backend
		for _, b := range all {
			if b.probed > 0 && rankOf(0, b.id) > 0 {
				b.setRateLimit("1") // for one holder
				limited = append(limited, b)
			}
		}
		is.True(len(limited) >= 5)
		f.sendPaced(20, 250*time.Millisecond) // until the limits are known
		before, beyond := 0, arrivals(limited)
		for _, b := range limited {
			before += b.probed
		}
		is.Equal(f.sendPaced(80, 250*time.Millisecond), 0)
		probed := -before
		for _, b := range limited {
			probed += b.probed
		}
		is.Equal(arrivals(limited), beyond)
		is.True(probed <= 50) // at most one in 0.5 s, in 22 s
	})
}
