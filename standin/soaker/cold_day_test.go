package soaker

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"samphiremux/pkg/failurefilter"
)

var (
	dayName = flag.String("day", "", "only the day of this name")
	daySeed = flag.Uint64("day-seed", 0, "seed of the load of the days, 0 for a random one")
)

const (
	// registrationLag is the time for which the registration of a crashed server remains.
	registrationLag = 4500 * time.Millisecond
	// dayQueue is the number of requests that wait at a full server.
	dayQueue = 8
	// noisyShare of the time a server takes noiseFactor times as long, for noiseTime.
	noisyShare, noiseFactor, noiseTime = 0.35, 7, 500 * time.Millisecond
	// startTime is the time from the start of the entries to the first calls.
	startTime = 8 * time.Second
	// dayDeadline is the deadline of the calls of a day.
	dayDeadline = 5 * time.Second
)

// dayServices are the services of a day: the work of a request and the share of the calls.
var dayServices = []struct {
	name  string
	work  time.Duration
	share float64
	kind  string
}{
	{"stock", 210 * time.Millisecond, 0.71, "safe"},
	{"order", 280 * time.Millisecond, 0.21, "unsafe"},
	{"photo", 260 * time.Millisecond, 0.08, "upload"},
}

var dayZones = []string{"a", "b", "c", "d"}

// day is a series of events in a fleet whose servers turn cold.
type day struct {
	name    string
	entries int
	// spare is how many of the entries start only when they are added.
	spare int
	// servers is the number of servers of each service.
	servers []int
	// rate is the number of calls a second.
	rate   float64
	length time.Duration
	// lag is the time after which a request shows in the load that a server reports.
	lag    time.Duration
	events []event
}

// dayVerbs holds the number of arguments of each event of a day.
var dayVerbs = map[string]int{
	// evacuate excludes a zone for a time, at the end of which its servers turn cold.
	"evacuate": 2,
	// return crashes the servers of a zone, which return cold after a time, one after the
	// other within another, and return-same those that return under their former ids.
	"return":      3,
	"return-same": 3,
	// crash crashes a share of the servers of a service in the same way.
	"crash": 4,
	// turn-cold makes the servers of a zone cold.
	"turn-cold": 1,
	// refuse-store lets the store turn away a share of the entries for a time, whose
	// registrations are removed.
	"refuse-store": 2,
	"store-away":   1,
	// store-lapse keeps the store from answering for a time, in which all leases end.
	"store-lapse": 1,
	// roll stops a share of the entries, so many at a time, at an interval.
	"roll":   3,
	"kill":   2,
	"freeze": 2,
	// add starts the spare entries.
	"add":   0,
	"burst": 2,
}

// parseDay reads a day. Each line is a setting or an event, as in parseScript.
func parseDay(name, text string) (d day, err error) {
	d = day{name: name, entries: 40, servers: []int{60, 24, 8}, rate: 300, length: 28 * time.Second}
	for i, line := range strings.Split(text, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if err := d.parseLine(fields); err != nil {
			return day{}, fmt.Errorf("line %d: %w", i+1, err)
		}
	}
	slices.SortStableFunc(d.events, func(a, b event) int { return int(a.at - b.at) })
	return d, nil
}

func (d *day) parseLine(fields []string) (err error) {
	if len(fields) < 2 {
		return fmt.Errorf("%q needs a value", fields[0])
	}
	switch fields[0] {
	case "entries":
		d.entries, err = strconv.Atoi(fields[1])
	case "spare":
		d.spare, err = strconv.Atoi(fields[1])
	case "rate":
		d.rate, err = strconv.ParseFloat(fields[1], 64)
	case "length":
		d.length, err = time.ParseDuration(fields[1])
	case "lag":
		d.lag, err = time.ParseDuration(fields[1])
	case "servers":
		d.servers = nil
		for _, f := range fields[1:] {
			n, err := strconv.Atoi(f)
			if err != nil {
				return err
			}
			d.servers = append(d.servers, n)
		}
		if len(d.servers) != len(dayServices) {
			return fmt.Errorf("a day has %d services", len(dayServices))
		}
	case "at":
		at, err := time.ParseDuration(fields[1])
		if err != nil {
			return err
		}
		if len(fields) < 3 {
			return errors.New("an event needs a verb")
		}
		if count, ok := dayVerbs[fields[2]]; !ok || len(fields)-3 != count {
			return fmt.Errorf("%q is unknown or takes other arguments", fields[2])
		}
		d.events = append(d.events, event{at: at, verb: fields[2], args: fields[3:]})
	default:
		return fmt.Errorf("unknown setting %q", fields[0])
	}
	return err
}

// TestColdServersOnDays guards against entries that send a cold server more requests in a
// second than it bears, on days of a large fleet.
func TestColdServersOnDays(t *testing.T) {
	files, err := filepath.Glob("_fixtures/*.day")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".day")
		if *dayName != "" && *dayName != name {
			continue
		}
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			d, err := parseDay(name, string(text))
			if err != nil {
				t.Fatal(err)
			}
			seed := *daySeed
			if seed == 0 {
				seed = rand.Uint64()
			}
			t.Logf("seed %d", seed)
			f := newDayFleet(t, d, seed)
			f.run(t, seed)
			if f.report(t) == 0 {
				failurefilter.Errorf(t, "no request reached a cold server")
			}
		})
	}
}
