// Popular lets some backends of a service crash while clients ask for one page of a route that
// was added later, and for many pages of the first route.
package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"review/kit"
)

const (
	host = "catalogue.example"
	// backends is the number of backends of the service, and crashing that of those that
	// crash together: a share of 0.15.
	backends = 20
	crashing = 3
	// downTime is the time until the crashed backends are back.
	downTime = 4500 * time.Millisecond
	// calm is the time from then until requests are counted, and counted the time in which
	// they are.
	calm    = 10 * time.Second
	counted = 10 * time.Second
	// clients is the number of clients of each route.
	clients  = 12
	workTime = 100 * time.Millisecond
)

func route(name, prefix string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": "safe", "timeout-ms": 1500, "target-latency-ms": 300, "priority": 2,
		"service": "catalogue", "max-attempts": 2,
	}
}

func configuration(version int, routes ...any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "catalogue", "health-path": "/health", "max-conns": 240, "protocol": "h1", "tls": false, "cold-start-s": 3.0, "cold-per-s": 9.3}},
		"limits":   map[string]any{"header-bytes": 16384, "body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// laterPage is the page of the route that was added later.
const laterPage = "/today/stock"

func main() {
	c := kit.Open()
	store := kit.StartStore("127.0.34.1")
	store.Put("op/config", configuration(7, route("r-first", "/rack/")))
	var all []*kit.Backend
	running := map[*kit.Backend]*atomic.Int64{}
	for i := range backends {
		b := &kit.Backend{ID: fmt.Sprintf("i-%d", i+1), Service: "catalogue", Zone: kit.Zones[i%3], Version: "v1", Address: fmt.Sprintf("127.0.34.%d", 10+i), Slots: 2}
		n := &atomic.Int64{}
		running[b] = n
		b.Serve = func(r kit.Request) (string, bool) {
			if r.Target == laterPage {
				n.Add(1)
				defer n.Add(-1)
			}
			time.Sleep(workTime)
			return "rack", true
		}
		b.Start(store)
		all = append(all, b)
	}
	machines := kit.NewMachines(c.Program, c.Folder, "127.0.34", 3, store.Address)
	kit.StopAll(machines)
	for _, m := range machines {
		m.Start()
	}
	for _, m := range machines {
		m.AwaitReady()
	}
	time.Sleep(4 * time.Second)
	store.Put("op/config", configuration(9, route("r-first", "/rack/"), route("r-later", "/today/")))
	kit.Log("configuration 9 adds the route r-later")
	time.Sleep(3 * time.Second)

	w := &world{machines: machines}
	for i := range clients {
		go w.ask(i, func(n int) string { return fmt.Sprintf("/rack/%d-%d", i, n) }, &w.first)
		go w.ask(i, func(int) string { return laterPage }, &w.later)
	}
	time.Sleep(5 * time.Second)
	kit.Log("before: %v", w.take())
	if c.Trouble {
		// Any backends may crash together: these run the page at this moment.
		var down []*kit.Backend
		for until := time.Now().Add(5 * time.Second); len(down) < crashing && time.Now().Before(until); time.Sleep(time.Millisecond) {
			down = nil
			for _, b := range all {
				if running[b].Load() > 0 && len(down) < crashing {
					down = append(down, b)
				}
			}
		}
		for _, b := range down {
			kit.Log("backend %s crashes", b.ID)
			b.Crash()
		}
		time.Sleep(downTime)
		for _, b := range down {
			b.Start(store)
			kit.Log("backend %s is back", b.ID)
		}
	} else {
		time.Sleep(downTime)
	}
	time.Sleep(calm)
	kit.Log("until then: %v", w.take())
	time.Sleep(counted)
	t := w.take()
	kit.Log("in %v from %v after the backends were back: %v", counted, calm, t)
	first, later := t.first.share(), t.later.share()
	broken := t.later.asked >= 20 && later < first/4
	kit.Exit(broken, "CONFIG: %v after the disruption the route that was added later is served for %.3f of %d requests, the first one for %.3f of %d", calm, later, t.later.asked, first, t.first.asked)
}

// tally counts the requests of a route.
type tally struct{ asked, served, refused int }

func (t tally) share() float64 { return float64(t.served) / float64(max(1, t.asked)) }

type totals struct{ first, later tally }

func (t totals) String() string {
	return fmt.Sprintf("first route %d asked, %d served, %d refused with 503; later route %d asked, %d served, %d refused with 503",
		t.first.asked, t.first.served, t.first.refused, t.later.asked, t.later.served, t.later.refused)
}

type world struct {
	machines []*kit.Machine

	mu           sync.Mutex
	first, later tally
}

// take returns the counts since the last call.
func (w *world) take() totals {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := totals{w.first, w.later}
	w.first, w.later = tally{}, tally{}
	return t
}

// ask sends requests to the machines in turn.
func (w *world) ask(client int, target func(n int) string, t *tally) {
	for n := client; ; n++ {
		time.Sleep(50 * time.Millisecond)
		conn, err := kit.Connect(w.machines[n%len(w.machines)].Front)
		if err != nil {
			continue
		}
		if conn.Send("GET", target(n), host, kit.NewID(), 1500*time.Millisecond, 0) == nil {
			a, _ := conn.Receive(2 * time.Second)
			w.mu.Lock()
			t.asked++
			switch a.Status {
			case 200:
				t.served++
			case 503:
				t.refused++
			}
			w.mu.Unlock()
		}
		_ = conn.Close()
	}
}
