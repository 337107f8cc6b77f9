package soaker

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

var (
	dayEntries = flag.Int("day-entries", 40, "number of processes in the fleet of each drawn day")
	dayCount   = flag.Int("days", 1, "number of drawn days")
)

// drawDay returns the day of a seed: servers of some zones turn cold one after the other,
// while entries and the store are in trouble.
func drawDay(seed uint64, entries int) day {
	r := rand.New(rand.NewPCG(seed, 3))
	load := float64(entries) / 116
	d := day{
		name: fmt.Sprintf("drawn-%d", seed), entries: entries, rate: []float64{650, 1000}[r.IntN(2)] * load, length: 26 * time.Second,
		lag: time.Duration(r.IntN(4)) * 50 * time.Millisecond,
	}
	d.spare = entries * r.IntN(3) / 10
	load *= []float64{1, 0.5, 0.3}[r.IntN(3)]
	for _, servers := range []float64{172, 67, 23} {
		d.servers = append(d.servers, max(len(dayZones), int(servers*load)))
	}
	add := func(at time.Duration, verb string, args ...string) {
		d.events = append(d.events, event{at: at, verb: verb, args: args})
	}
	share := func() string { return []string{"0.1", "0.3", "0.6", "1"}[r.IntN(4)] }
	span := func() string { return []string{"500ms", "1s", "2s", "4s"}[r.IntN(4)] }
	away := func() []string {
		return []string{"2s", []string{"0s", "500ms", "2s", "5s"}[r.IntN(4)]}
	}
	zone := func() string { return dayZones[r.IntN(len(dayZones))] }
	added := false
	for at := time.Second; at < d.length-6*time.Second; at += time.Duration(3000+r.IntN(4000)) * time.Millisecond {
		// The servers turn cold at about this time, and trouble comes around it.
		cold := at + 3*time.Second
		switch r.IntN(5) {
		case 0:
			add(at, "evacuate", zone(), "3s")
		case 1:
			add(at+time.Second, "return", append([]string{zone()}, away()...)...)
		case 2:
			add(at+time.Second, "return-same", append([]string{zone()}, away()...)...)
		case 3:
			add(at+time.Second, "crash", append([]string{dayServices[r.IntN(len(dayServices))].name, []string{"0.5", "0.9", "1"}[r.IntN(3)]}, away()...)...)
		case 4:
			add(cold, "turn-cold", zone())
		}
		for range 1 + r.IntN(3) {
			near := max(0, cold+time.Duration(r.IntN(4000)-2500)*time.Millisecond)
			switch r.IntN(9) {
			case 0:
				add(near, "kill", share(), []string{"50ms", "500ms", "2s"}[r.IntN(3)])
			case 1:
				add(near, "freeze", share(), span())
			case 2:
				add(near, "roll", "0.5", strconv.Itoa(max(1, entries/20)), "500ms")
			case 3:
				add(near, "refuse-store", share(), span())
			case 4:
				add(near, "store-away", span())
			case 5:
				add(near, "store-lapse", span())
				if r.IntN(2) == 0 {
					add(near+100*time.Millisecond, "kill", share(), "50ms")
				}
			case 6:
				if !added {
					add(near, "add")
				}
				added = true
			case 7, 8:
				add(near, "burst", []string{"1.5", "3"}[r.IntN(2)], "3s")
			}
		}
	}
	slices.SortStableFunc(d.events, func(a, b event) int { return int(a.at - b.at) })
	return d
}

// String returns the day in the form that parseDay reads.
func (d day) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "entries %d\nspare %d\nservers %s\nrate %g\nlength %v\nlag %v\n", d.entries, d.spare, strings.Trim(fmt.Sprint(d.servers), "[]"), d.rate, d.length, d.lag)
	for _, e := range d.events {
		fmt.Fprintln(&b, strings.Join(append([]string{"at", e.at.String(), e.verb}, e.args...), " "))
	}
	return b.String()
}

// TestColdServersOnDrawnDays guards against entries that flood cold servers on days that
// nobody thought of.
func TestColdServersOnDrawnDays(t *testing.T) {
	for i := range *dayCount {
		seed := *firstSeed + uint64(i)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			d := drawDay(seed, *dayEntries)
			f := newDayFleet(t, d, seed)
			f.run(t, seed)
			f.report(t)
			if t.Failed() {
				t.Logf("day:\n%v", d)
			}
		})
	}
}
