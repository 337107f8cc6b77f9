package usagereporter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/usagereporter"
)

// TestReportsKeepPace guards against transactions whose intervals vary with the arrival of
// counts, so that each ends one more watch of each relay, and against reports that wait too
// long for that after one that was late.
func TestReportsKeepPace(t *testing.T) {
	d := usagereporter.NewDecider("e0", limits)
	v := usagereporter.View{StoreReached: true, Candidate: true, HolderGone: true, Members: []string{"e0"}}
	const settled, late, windows = 2 * time.Second, 6 * time.Second, 40
	var writes []time.Duration
	for ; v.Uptime < windows*limits.Window; v.Uptime += 100 * time.Millisecond {
		// The end of every third window is known 0.9 s late, and that of one 6 s late.
		window := int64(v.Uptime / limits.Window)
		delay := time.Duration(0)
		switch {
		case window == windows/2:
			delay = late
		case window%3 == 0:
			delay = 900 * time.Millisecond
		}
		if v.Uptime%limits.Window < delay || window == windows/2 {
			window--
		}
		switch a := d.Next(v, manyCounts{0, window - 1}).(type) {
		case usagereporter.Write:
			d.Wrote(a, v.Uptime, v.Uptime, committed)
			v.HolderGone = false
			if a.Takeover {
				continue
			}
			end := time.Duration(a.Record.Reported+1) * limits.Window
			if v.Uptime > end+settled+2*time.Second && a.Record.Reported != windows/2-1 {
				t.Errorf("window %d is written %s after its end", a.Record.Reported, v.Uptime-end)
			}
			writes = append(writes, v.Uptime)
		case usagereporter.Send:
			d.Sent(a, v.Uptime, usagereporter.Accepted)
		}
	}

	uneven := 0
	for i := 1; i < len(writes); i++ {
		if interval := writes[i] - writes[i-1]; interval < 4700*time.Millisecond || interval > 5300*time.Millisecond {
			uneven++
		}
	}
	if len(writes) < windows-4 || uneven > 6 {
		t.Errorf("%d of %d transactions come at an uneven interval", uneven, len(writes))
	}
}

// arrivingCounts are counts of which some entries are complete.
type arrivingCounts struct {
	manyCounts
	complete []string
}

func (a arrivingCounts) CompleteEntries(int64) map[string]bool {
	complete := map[string]bool{}
	for _, id := range a.complete {
		complete[id] = true
	}
	return complete
}

// TestCountsArriveAfterOutage guards against a report without the counts that arrive within the
// second after an outage of the store, in which relays pass none on, and against one that waits
// for an entry whose counts do not arrive.
func TestCountsArriveAfterOutage(t *testing.T) {
	for missing, latest := range []time.Duration{900 * time.Millisecond, 2500 * time.Millisecond} {
		is := is.New(t)
		d := usagereporter.NewDecider("e0", limits)
		v := usagereporter.View{StoreReached: true, Candidate: true, HolderGone: true, Members: []string{"e0", "e1", "e2", "e3"}}
		counts := arrivingCounts{manyCounts{4, 4}, v.Members}
		const back = 40 * time.Second // the windows 5 and 6 have ended by then
		written := time.Duration(0)
		for ; v.Uptime < back+5*time.Second && written == 0; v.Uptime += 100 * time.Millisecond {
			if v.Uptime >= back {
				arrived := 2 + int((v.Uptime-back)/(400*time.Millisecond))
				counts = arrivingCounts{manyCounts{4, 6}, v.Members[:min(arrived, 4-missing)]}
			}
			switch a := d.Next(v, counts).(type) {
			case usagereporter.Write:
				d.Wrote(a, v.Uptime, v.Uptime, committed)
				v.HolderGone = false
				if a.Record.Reported > 4 {
					written = v.Uptime - back
					is.Equal(len(counts.complete), 4-missing)
				}
			case usagereporter.Send:
				d.Sent(a, v.Uptime, usagereporter.Accepted)
			}
		}
		is.True(written > 0 && written <= latest)
	}
}
