package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// script is a run of a fleet: its size, its length and the events in it.
type script struct {
	entries int
	seed    uint64
	length  time.Duration
	// settle is the time without events after the fleet is ready, in which usage is reported.
	settle time.Duration
	grace  time.Duration
	// plant names the fault of the harness that the checks must find, or is empty.
	plant  string
	events []event
}

// event is a signal, a restart or a change.
type event struct {
	at   time.Duration
	verb string
	args []string
}

// verbs holds the number of arguments of each verb. Entries are named by their number, and
// backend servers by service and number.
var verbs = map[string]int{
	// term sends SIGTERM to the entry, which starts again some time after its exit.
	"term": 2,
	"kill": 2,
	"hup":  1,
	// repeat sends a signal, hup or term, again and again until the process is gone.
	"repeat": 3,
	// greet sends a signal to the next process of the entry, some time after its start.
	"greet": 3,
	// grace changes the grace period in the settings file of the entry, without a signal.
	"grace": 2,
	// configure writes a new version of the configuration, with a route of its own.
	"configure": 0,
	// leave makes a backend server leave and another start in its place.
	"leave": 1,
	"pause": 2,
	// store-away keeps the store from answering for some time.
	"store-away": 1,
	// backup copies the store, and restore brings the copy back.
	"backup":  0,
	"restore": 0,
	// platform injects a fault of the cloud API for some time: slow, down, lost, 429 or 503.
	"platform": 2,
	// suspend stops the process of an entry for some time, and cut cuts an entry off from the
	// store or the platform. Entries are named by their number, or as the holder of usage
	// reports.
	"suspend": 2,
	"cut":     3,
}

const serversPerService = 3

// drawnSettle is enough for windows after the events of a drawn script to be reported.
const drawnSettle = 12 * time.Second

var services = []string{"catalogue", "booking"}

// drawScript returns the script of a seed.
func drawScript(seed uint64, entries int, length time.Duration) script {
	r := rand.New(rand.NewPCG(seed, 1))
	s := script{entries: entries, seed: seed, length: length, settle: drawnSettle, grace: time.Duration(2+r.IntN(2)) * time.Second}
	pick := func(values ...time.Duration) string { return values[r.IntN(len(values))].String() }
	restart := func() string {
		return pick(0, 50*time.Millisecond, 300*time.Millisecond, time.Second)
	}
	server := func() string {
		return fmt.Sprintf("%s-%d", services[r.IntN(len(services))], 1+r.IntN(serversPerService))
	}
	add := func(at time.Duration, verb string, args ...string) {
		if at < length {
			s.events = append(s.events, event{at: at, verb: verb, args: args})
		}
	}
	stop := func(at time.Duration, entry string) {
		add(at, "term", entry, restart())
		switch r.IntN(6) {
		case 2:
			add(at, "repeat", entry, []string{"hup", "term"}[r.IntN(2)], pick(time.Millisecond, 5*time.Millisecond))
		case 3:
			add(at, "greet", entry, []string{"hup", "term"}[r.IntN(2)], pick(0, 2*time.Millisecond, 10*time.Millisecond, 100*time.Millisecond))
		case 0:
			add(at+time.Duration(r.Int64N(int64(s.grace))), "term", entry, restart())
		case 1:
			add(at+time.Duration(r.Int64N(int64(s.grace))), "hup", entry)
		}
	}
	// The first events come when the fleet is about to start.
	for at := time.Duration(r.IntN(1000)) * time.Millisecond; at < length; {
		entry := strconv.Itoa(1 + r.IntN(entries))
		switch r.IntN(12) {
		case 0, 1, 2:
			stop(at, entry)
		case 3:
			// A rolling stop of a part of the fleet.
			for i := range 1 + entries/2 {
				stop(at+time.Duration(i)*300*time.Millisecond, strconv.Itoa(1+i))
			}
		case 4, 5:
			add(at, "kill", entry, restart())
		case 6:
			add(at, "hup", entry)
		case 7:
			add(at, "grace", entry, pick(2*time.Second, 3*time.Second, 4*time.Second))
			if r.IntN(2) == 0 {
				add(at, "hup", entry)
			}
		case 8, 9:
			add(at, "configure")
		case 10:
			add(at, "leave", server())
		case 11:
			if r.IntN(2) == 0 {
				add(at, "pause", server(), pick(300*time.Millisecond, time.Second))
			} else {
				add(at, "store-away", pick(200*time.Millisecond, time.Second, 2*time.Second))
			}
		}
		at += []time.Duration{0, 0, 5, 40, 150, 400, 900}[r.IntN(7)] * time.Millisecond
	}
	slices.SortStableFunc(s.events, func(a, b event) int { return int(a.at - b.at) })
	return s
}

// String returns the script in the form that parseScript reads.
func (s script) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "entries %d\nseed %d\nlength %v\nsettle %v\ngrace %v\n", s.entries, s.seed, s.length, s.settle, s.grace)
	if s.plant != "" {
		fmt.Fprintf(&b, "plant %s\n", s.plant)
	}
	for _, e := range s.events {
		fmt.Fprintln(&b, strings.Join(append([]string{"at", e.at.String(), e.verb}, e.args...), " "))
	}
	return b.String()
}

// parseScript reads a script. Each line is a setting, such as "entries 4", or an event,
// such as "at 1s term 2 50ms".
func parseScript(text string) (s script, err error) {
	s = script{entries: 4, seed: 1, length: 5 * time.Second, grace: 3 * time.Second}
	for i, line := range strings.Split(text, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if err := s.parseLine(fields); err != nil {
			return script{}, fmt.Errorf("line %d: %w", i+1, err)
		}
	}
	return s, nil
}

func (s *script) parseLine(fields []string) (err error) {
	if len(fields) < 2 {
		return fmt.Errorf("%q needs a value", fields[0])
	}
	switch fields[0] {
	case "entries":
		s.entries, err = strconv.Atoi(fields[1])
	case "seed":
		s.seed, err = strconv.ParseUint(fields[1], 10, 64)
	case "length":
		s.length, err = time.ParseDuration(fields[1])
	case "settle":
		s.settle, err = time.ParseDuration(fields[1])
	case "grace":
		s.grace, err = time.ParseDuration(fields[1])
	case "plant":
		s.plant = fields[1]
	case "at":
		at, err := time.ParseDuration(fields[1])
		if err != nil {
			return err
		}
		if len(fields) < 3 {
			return fmt.Errorf("an event needs a verb")
		}
		count, ok := verbs[fields[2]]
		if !ok || len(fields)-3 != count {
			return fmt.Errorf("%q is unknown or takes other arguments", fields[2])
		}
		s.events = append(s.events, event{at: at, verb: fields[2], args: fields[3:]})
	default:
		return fmt.Errorf("unknown setting %q", fields[0])
	}
	return err
}
