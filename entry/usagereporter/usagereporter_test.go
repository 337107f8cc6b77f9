package usagereporter_test

import (
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/usagereporter"
)

// lateTime is the time after the end of a window after which a report is late.
const lateTime = 10 * time.Second

// TestWindowsReported guards against windows without a report, late ones, and counts that
// lack what some entries served.
func TestWindowsReported(t *testing.T) {
	run(t, 4, func(w *fixture) {
		is := is.New(w.t)
		w.serve(time.Minute)
		w.reported(0, 50*time.Second, 5*time.Second)
		for at := time.Duration(0); at < 50*time.Second; at += limits.Window {
			is.Equal(w.reports()[w.window(at)].Counts, map[string]int64{"stock": 40, "mail": 40})
		}
		is.Equal(len(w.received()), len(w.reports())) // nothing was repeated
		commits, _ := w.written()
		is.True(float64(commits) < 0.25*60)
	})
}

// TestHolderKilled guards against reports that are lost or differ when the holder is killed
// at any point of a report.
func TestHolderKilled(t *testing.T) {
	for _, c := range []struct {
		name   string
		commit bool
		done   bool
	}{
		{"before the transaction", true, false},
		{"between the transaction and the call", true, true},
		{"before the call arrives", false, false},
		{"between the call and its response", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, 4, func(w *fixture) {
				w.serve(18 * time.Second)
				victim := w.holder()
				kill := func(n *node, done bool) error {
					if n != victim || n.dead.Load() || done != c.done {
						return nil
					}
					w.kill(n)
					return errLost
				}
				if c.commit {
					w.onCommit.set(kill)
				} else {
					w.onCall.set(kill)
				}
				w.serve(30 * time.Second)
				w.reported(0, 35*time.Second, lateTime)
			})
		})
	}
}

// TestResponseOfPlatformLost guards against reports that are given up, or repeated with other
// counts, when the platform's response is lost, late or a refusal.
func TestResponseOfPlatformLost(t *testing.T) {
	for _, c := range []struct {
		name     string
		received bool
		delay    time.Duration
	}{
		{"the response is lost", true, 0},
		{"the response is late", true, 2500 * time.Millisecond},
		{"the call is refused", false, 0},
		{"the platform does not answer", false, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, 3, func(w *fixture) {
				is := is.New(w.t)
				var tries atomic.Int64
				w.onCall.set(func(_ *node, received bool) error {
					if received != c.received || w.holder() == nil {
						return nil
					}
					if tries.Add(1)%2 == 1 {
						time.Sleep(c.delay)
						return errLost
					}
					return nil
				})
				w.serve(45 * time.Second)
				w.reported(0, 30*time.Second, lateTime)
				is.True(w.holder().process.Load().Stats().Repeated > 0)
			})
		})
	}
}

// TestFrozenHolder guards against a holder that is suspended between its transaction and its
// call, and then sends with the token of the past beside the next holder.
func TestFrozenHolder(t *testing.T) {
	for _, inCall := range []bool{false, true} {
		run(t, 3, func(w *fixture) {
			is := is.New(w.t)
			w.serve(18 * time.Second)
			var frozen atomic.Pointer[node]
			frozen.Store(w.holder())
			freeze := func(n *node, done bool) error {
				if done != inCall && frozen.CompareAndSwap(n, nil) {
					n.freeze(12 * time.Second)
				}
				return nil
			}
			if inCall {
				w.onCall.set(freeze)
			} else {
				w.onCommit.set(freeze)
			}
			w.serve(40 * time.Second)
			is.Equal(frozen.Load(), nil)
			w.reported(0, 40*time.Second, lateTime)
		})
	}
}

// TestCallInTransit guards against a new holder that sends while a call of the former one is
// still on its way.
func TestCallInTransit(t *testing.T) {
	run(t, 3, func(w *fixture) {
		w.serve(18 * time.Second)
		former := w.holder()
		former.transit.Store(int64(2500 * time.Millisecond))
		w.onCall.set(func(n *node, received bool) error {
			if n == former && !received {
				former.dead.Store(true) // as the others see it
			}
			return nil
		})
		w.serve(30 * time.Second)
		w.reported(0, 35*time.Second, lateTime)
	})
}

// TestReportRejected guards against a rejected report that is sent again for ever, and against
// another report of its window.
func TestReportRejected(t *testing.T) {
	run(t, 3, func(w *fixture) {
		is := is.New(w.t)
		w.serve(18 * time.Second)
		before := len(w.received())
		w.onCall.set(func(_ *node, received bool) error {
			if received && len(w.received()) == before+1 {
				return errRejected
			}
			return nil
		})
		w.serve(30 * time.Second)
		w.reported(0, 35*time.Second, lateTime)
		is.Equal(len(w.received()), len(w.reports())) // the rejected one was sent once
		is.Equal(w.holder().process.Load().Stats().Omitted, int64(1))
	})
}

// TestHolderLosesStore guards against windows without a report while the store refuses the
// holder only, and against a holder that goes on without the store.
func TestHolderLosesStore(t *testing.T) {
	run(t, 3, func(w *fixture) {
		is := is.New(w.t)
		w.serve(18 * time.Second)
		before := w.holder()
		w.onCommit.set(func(n *node, committed bool) error {
			if n == before && !committed {
				n.lacksStore.Store(true)
				return errors.New("refused")
			}
			return nil
		})
		w.serve(30 * time.Second)
		w.reported(0, 35*time.Second, lateTime)
		is.True(w.holder() != before)
	})
}

// TestHolderLosesPlatform guards against windows that are reported too late since the holder
// reaches the store but not the platform.
func TestHolderLosesPlatform(t *testing.T) {
	run(t, 3, func(w *fixture) {
		is := is.New(w.t)
		w.serve(18 * time.Second)
		before := w.holder()
		w.onCall.set(func(n *node, _ bool) error {
			if n == before {
				return errors.New("unreachable")
			}
			return nil
		})
		w.serve(40 * time.Second)
		is.True(w.holder() != before)
		w.reported(0, 45*time.Second, 15*time.Second)
	})
}

// TestHolderLosesRelays guards against sums that lack most entries, since the holder is cut
// off from them.
func TestHolderLosesRelays(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		run(t, 5, func(w *fixture) {
			is := is.New(w.t)
			w.serve(20 * time.Second)
			holder := w.holder()
			holder.cut.Store(true)
			if restarted { // and has no state of the others
				holder.process.Load().cancel()
				w.begin(slices.Index(w.nodes, holder))
			}
			w.serve(40 * time.Second)
			is.True(!w.holder().cut.Load())
			for at := 20 * time.Second; at < 45*time.Second; at += limits.Window {
				is.True(w.reports()[w.window(at)].Counts["stock"] >= 38) // of 50, 10 by the entry that is cut off
			}
		})
	}
}

// TestStoreDown guards against lost windows, and against calls of a store that is down, in an
// outage of 5 s.
func TestStoreDown(t *testing.T) {
	run(t, 3, func(w *fixture) {
		is := is.New(w.t)
		w.serve(16 * time.Second)
		w.onCommit.set(func(*node, bool) error { return errors.New("down") })
		commits, _ := w.written()
		w.serve(5 * time.Second)
		after, _ := w.written()
		is.True(after-commits <= 3)
		w.onCommit.set(func(*node, bool) error { return nil })
		w.serve(25 * time.Second)
		w.reported(0, 35*time.Second, lateTime)
	})
}

// TestResponseOfStoreLost guards against reports that differ when the response to a
// transaction is lost, whether it took effect or not.
func TestResponseOfStoreLost(t *testing.T) {
	run(t, 3, func(w *fixture) {
		var outcomes atomic.Int64
		w.onCommit.set(func(_ *node, committed bool) error {
			if n := outcomes.Add(1); committed && n%4 < 2 {
				return errLost
			}
			return nil
		})
		w.serve(60 * time.Second)
		w.reported(0, 40*time.Second, lateTime)
	})
}

// TestAllRestart guards against windows reported twice with different counts when no process
// remembers the last reports.
func TestAllRestart(t *testing.T) {
	run(t, 3, func(w *fixture) {
		w.serve(18 * time.Second)
		w.onCall.set(func(_ *node, received bool) error {
			if received {
				for i, n := range w.nodes {
					n.process.Load().cancel()
					w.begin(i)
				}
				w.onCall.set(func(*node, bool) error { return nil })
			}
			return nil
		})
		w.serve(40 * time.Second)
		w.reported(0, 15*time.Second, lateTime)
		w.reported(25*time.Second, 45*time.Second, lateTime)
	})
}

// TestStoreRestored guards against tokens that fall, and windows that are reported again with
// other counts, after a restore from an older copy.
func TestStoreRestored(t *testing.T) {
	for _, c := range []struct {
		name    string
		killed  bool // whether the holder is killed with the restore
		restart bool // whether all entries are restarted with it
		first   bool // whether the copy is from before the first report
	}{
		{"holder lives", false, false, false},
		{"holder is killed", true, false, false},
		{"all restart", false, true, false},
		{"all restart without the key", false, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, 3, func(w *fixture) {
				is := is.New(w.t)
				_, backup := w.written()
				w.serve(13 * time.Second)
				if !c.first {
					_, backup = w.written()
				}
				w.serve(20 * time.Second)
				calls := w.received()
				last := calls[len(calls)-1].token
				if c.killed {
					w.kill(w.holder())
				}
				for i, n := range w.nodes {
					if c.restart {
						n.process.Load().cancel()
						w.begin(i)
					}
				}
				w.restore(backup)
				w.serve(30 * time.Second)
				w.reported(0, 25*time.Second, lateTime)
				w.reported(40*time.Second, 55*time.Second, lateTime)
				if !c.killed && !c.restart {
					w.reported(25*time.Second, 40*time.Second, lateTime) // the holder knows what it has reported
				}
				calls = w.received()
				is.True(calls[len(calls)-1].token > last)
			})
		})
	}
}

// TestReportUnknownAfterRestore guards against another report of a window that was reported
// by a holder that is lost, with a record that is in no copy of the store.
func TestReportUnknownAfterRestore(t *testing.T) {
	run(t, 3, func(w *fixture) {
		w.serve(18 * time.Second)
		victim := w.holder()
		_, backup := w.written()
		w.onCall.set(func(n *node, received bool) error {
			if !received || n != victim || n.dead.Load() {
				return nil
			}
			w.kill(n)
			w.restore(backup)
			for _, other := range w.nodes {
				other.process.Load().Count("stock", time.Now().Add(-4*time.Second)) // as late as the report
			}
			return errLost
		})
		w.serve(40 * time.Second)
		w.reported(30*time.Second, 45*time.Second, lateTime)
	})
}

// TestPlatformDown guards against a store that is called more than 0.3 times a second while
// the platform is down, and against windows that are lost.
func TestPlatformDown(t *testing.T) {
	run(t, 5, func(w *fixture) {
		is := is.New(w.t)
		w.serve(18 * time.Second)
		w.onCall.set(func(*node, bool) error { return errors.New("down") })
		commits, _ := w.written()
		w.serve(60 * time.Second)
		after, _ := w.written()
		w.t.Logf("%d transactions in 60 s", after-commits)
		is.True(float64(after-commits) < 0.3*60)
		w.onCall.set(func(*node, bool) error { return nil })
		w.serve(20 * time.Second)
		w.reported(0, 85*time.Second, 80*time.Second)
	})
}

// TestClockJumps guards against reports of windows that have not ended, and against a holder
// that no longer reports, when its clock or that of another entry jumps.
func TestClockJumps(t *testing.T) {
	for _, offset := range []time.Duration{-time.Hour, -7 * time.Second, 7 * time.Second, time.Hour} {
		run(t, 5, func(w *fixture) {
			w.serve(18 * time.Second)
			w.holder().clockOffset.Store(int64(offset))
			w.serve(50 * time.Second)
			w.reported(20*time.Second, 50*time.Second, 15*time.Second)
			for window, c := range w.reports() {
				if end := w.start.Add(time.Duration(window-w.window(0)+1) * limits.Window); c.at.Before(end.Add(time.Second)) {
					w.t.Errorf("clock of the holder %s ahead: window reported %s after its end: %v", offset, c.at.Sub(end), c.Counts)
				}
			}
		})
	}
}

// TestSilentHolder guards against a lost holder that is replaced only when heartbeats show it,
// and against entries that take the role from each other again and again while they do not
// reach each other.
func TestSilentHolder(t *testing.T) {
	is := is.New(t)
	d := usagereporter.NewDecider("e0", limits)
	v := usagereporter.View{
		Uptime: time.Hour, Candidate: true, StoreReached: true, HolderSilent: true, Revision: 1, Members: []string{"e0"},
		Stored: usagereporter.Record{Holder: "e1", Token: 5, Reported: 190},
	}
	var takeovers []time.Duration
	for end := v.Uptime + 50*time.Second; v.Uptime < end; v.Uptime += 200 * time.Millisecond {
		w, ok := d.Next(v, manyCounts{first: 150, last: 190}).(usagereporter.Write)
		if !ok {
			continue
		}
		is.True(w.Takeover)
		takeovers = append(takeovers, v.Uptime-time.Hour)
		d.Wrote(w, v.Uptime, v.Uptime, committed)
		v.Stored = w.Record
		v.Stored.Holder, v.Stored.Token = "e1", w.Record.Token+1 // the other one takes it back
		v.Revision++
	}
	is.Equal(len(takeovers), 1)
	is.True(takeovers[0] <= time.Second)
}

// TestLargeRecord guards against records that do not fit the heartbeats of relays after the
// platform was down.
func TestLargeRecord(t *testing.T) {
	is := is.New(t)
	d := usagereporter.NewDecider("e0", limits)
	now := 1000 * time.Second
	v := usagereporter.View{Uptime: now, Candidate: true, StoreReached: true, Members: []string{"e0"}}
	counts := manyCounts{first: 150, last: 190}
	for v.Uptime < now+3*time.Second {
		if w, ok := d.Next(v, counts).(usagereporter.Write); ok {
			d.Wrote(w, v.Uptime, v.Uptime, committed)
		}
		v.Uptime += 100 * time.Millisecond
	}
	v.Uptime += 3 * time.Second
	w, ok := d.Next(v, counts).(usagereporter.Write)
	is.True(ok)
	data, err := w.Record.Encode()
	is.NoErr(err)
	is.True(len(data) < 8<<10)
	is.True(len(w.Record.Pending) > 1)
}
