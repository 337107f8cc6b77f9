// Poison sends a request that crashes the backends that run it, again and again, while the
// machines are stopped and started in turn.
package main

import (
	"fmt"
	"sync"
	"time"

	"review/kit"
)

const (
	host       = "catalogue.example"
	poisonPath = "/stock/rack-4711"
	// downTime is the time until a crashed backend is back.
	downTime = 2 * time.Second
	// touch is touch-ms of the settings.
	touch = 3 * time.Second
	// settle is the time from the start of a machine to the next try of the client there.
	// It exceeds touch-ms.
	settle = 4 * time.Second
	// gap is the time from then to the next stop.
	gap = 1 * time.Second
	// machineCount is the number of machines, and orderClients that of the other clients.
	machineCount = 8
	orderClients = 12
)

// arrival is one arrival of the request at a backend.
type arrival struct {
	at      time.Time
	id      string
	backend string
}

// try is one client attempt.
type try struct {
	machine *kit.Machine
	sent    time.Time
	// inTouch reports whether the machine had run for touch-ms when the try was sent.
	inTouch bool
}

func main() {
	c := kit.Open()
	store := kit.StartStore("127.0.32.1")
	store.Put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": host, "prefix": "/stock/", "kind": "safe", "timeout-ms": 1500, "target-latency-ms": 200, "priority": 2,
			"service": "catalogue", "max-attempts": 2,
		}, map[string]any{
			"name": "r-2", "host": host, "prefix": "/reserve/", "kind": "unsafe", "timeout-ms": 1500, "target-latency-ms": 250, "priority": 1,
			"service": "catalogue", "max-attempts": 2,
		}},
		"services": []any{map[string]any{"name": "catalogue", "health-path": "/health", "max-conns": 240, "protocol": "h1", "tls": false, "cold-start-s": 3.0, "cold-per-s": 9.3}},
		"limits":   map[string]any{"header-bytes": 16384, "body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	var mu sync.Mutex
	var arrivals []arrival
	for i := range 12 {
		b := &kit.Backend{ID: fmt.Sprintf("i-%d", i+1), Service: "catalogue", Zone: kit.Zones[i%3], Version: "v1", Address: fmt.Sprintf("127.0.32.%d", 10+i), Slots: 2}
		b.Serve = func(r kit.Request) (string, bool) {
			if r.Target != poisonPath {
				time.Sleep(100 * time.Millisecond)
				return "done", true
			}
			mu.Lock()
			arrivals = append(arrivals, arrival{time.Now(), r.ID(), b.ID})
			kit.Log("backend %s crashes under %s (crash %d)", b.ID, r.ID(), len(arrivals))
			mu.Unlock()
			time.AfterFunc(downTime, func() { b.Start(store) })
			return "", false
		}
		b.Start(store)
	}
	machines := kit.NewMachines(c.Program, c.Folder, "127.0.32", machineCount, store.Address)
	kit.StopAll(machines)
	for _, m := range machines {
		m.Start()
	}
	for _, m := range machines {
		m.AwaitReady()
	}
	time.Sleep(4 * time.Second)

	w := &world{machines: machines, tries: map[string]try{}, up: map[*kit.Machine]time.Time{}}
	for _, m := range machines {
		w.up[m] = m.Started
	}
	done := make(chan struct{})
	var clients sync.WaitGroup
	for range orderClients {
		clients.Go(func() { w.sendOrders(done) })
	}
	time.Sleep(time.Second)
	// The request comes for the first times, at two machines.
	w.sendPoison(machines[0])
	time.Sleep(3 * time.Second)
	w.sendPoison(machines[1])
	time.Sleep(3 * time.Second)
	for _, m := range machines {
		if c.Trouble {
			w.restart(m)
			time.Sleep(time.Until(m.Started.Add(settle)))
		} else {
			time.Sleep(settle)
		}
		w.sendPoison(m)
		time.Sleep(gap)
	}
	close(done)
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	if len(arrivals) < 3 {
		kit.Exit(false, "BUDGET: held, the request reached backends %d times in all", len(arrivals))
	}
	from := arrivals[2].at.Add(touch)
	counted := map[string]bool{}
	for _, a := range arrivals {
		t := w.tries[a.id]
		if t.inTouch && t.sent.After(from) {
			counted[a.id] = true
			kit.Log("counted: try %s, sent to %s, reached %s", a.id, t.machine.Name, a.backend)
		}
	}
	kit.Log("orders of other clients: %d served, %d ended with 502 or 504 because their backend crashed", w.served, w.unknown)
	kit.Exit(len(counted) > 3, "BUDGET: after touch-ms past its third crash, %d tries of the request by machines in touch reached backends (3 allowed); it crashed %d backends in all, and %d orders of others were lost with them",
		len(counted), len(arrivals), w.unknown)
}

type world struct {
	machines []*kit.Machine

	mu    sync.Mutex
	tries map[string]try
	// up holds the start of each machine that is not stopping.
	up              map[*kit.Machine]time.Time
	served, unknown int
}

// machine returns a machine that clients may use, in turn.
func (w *world) machine(n int) *kit.Machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.machines {
		m := w.machines[(n+i)%len(w.machines)]
		if _, ok := w.up[m]; ok {
			return m
		}
	}
	return nil
}

func (w *world) restart(m *kit.Machine) {
	w.mu.Lock()
	delete(w.up, m)
	w.mu.Unlock()
	kit.Log("SIGTERM to %s", m.Name)
	m.Stop()
	time.Sleep(200 * time.Millisecond)
	m.Start()
	kit.Log("%s starts again", m.Name)
	m.AwaitReady()
	w.mu.Lock()
	w.up[m] = m.Started
	w.mu.Unlock()
}

// sendPoison sends the request once to a machine.
func (w *world) sendPoison(m *kit.Machine) {
	id := kit.NewID()
	w.mu.Lock()
	at, up := w.up[m]
	inTouch := up && time.Since(at) > touch
	w.tries[id] = try{m, time.Now(), inTouch}
	w.mu.Unlock()
	conn, err := kit.Connect(m.Front)
	if err != nil {
		kit.Fail("connect: %v", err)
	}
	defer conn.Close()
	if err := conn.Send("GET", poisonPath, host, id, 1500*time.Millisecond, 0); err != nil {
		kit.Fail("send: %v", err)
	}
	a, err := conn.Receive(2 * time.Second)
	kit.Log("try %s at %s (in touch %v) ends with %d, error %v", id, m.Name, inTouch, a.Status, err)
}

// sendOrders sends requests that may run once, on new connections.
func (w *world) sendOrders(done chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		m := w.machine(n)
		if m == nil {
			continue
		}
		conn, err := kit.Connect(m.Front)
		if err != nil {
			continue
		}
		if conn.Send("POST", "/reserve/"+kit.NewID(), host, kit.NewID(), 1500*time.Millisecond, 0) == nil {
			a, _ := conn.Receive(2 * time.Second)
			w.mu.Lock()
			switch a.Status {
			case 200:
				w.served++
			case 502, 504:
				w.unknown++
			}
			w.mu.Unlock()
		}
		_ = conn.Close()
	}
}
