// Slashes sends requests whose path begins with two slashes to a route with the prefix "/".
package main

import (
	"fmt"
	"sync"
	"time"

	"review/kit"
)

const (
	host     = "booking.example"
	requests = 20
)

func main() {
	c := kit.Open()
	store := kit.StartStore("127.0.31.1")
	store.Put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": host, "prefix": "/", "kind": "unsafe", "timeout-ms": 3000, "target-latency-ms": 250, "priority": 1,
			"service": "booking", "max-attempts": 2,
		}},
		"services": []any{map[string]any{"name": "booking", "health-path": "/health", "max-conns": 240, "protocol": "h1", "tls": false, "cold-start-s": 3.0, "cold-per-s": 9.3}},
		"limits":   map[string]any{"header-bytes": 16384, "body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	var mu sync.Mutex
	ran := map[string]string{}
	for i, zone := range kit.Zones {
		b := &kit.Backend{ID: fmt.Sprintf("i-%d", i+1), Service: "booking", Zone: zone, Version: "v1", Address: fmt.Sprintf("127.0.31.%d", 10+i), Slots: 2}
		b.Serve = func(r kit.Request) (string, bool) {
			mu.Lock()
			defer mu.Unlock()
			ran[r.ID()] = r.Method + " " + r.Target
			return "done", true
		}
		b.Start(store)
	}
	machines := kit.NewMachines(c.Program, c.Folder, "127.0.31", 2, store.Address)
	kit.StopAll(machines)
	for _, m := range machines {
		m.Start()
	}
	for _, m := range machines {
		m.AwaitReady()
	}
	time.Sleep(4 * time.Second)
	changed := 0
	for i := range requests {
		target := fmt.Sprintf("/hall/%d?van=%d", i, i%3)
		if c.Trouble {
			target = "/" + target
		}
		m, id := machines[i%2], kit.NewID()
		conn, err := kit.Connect(m.Front)
		if err != nil {
			kit.Fail("connect: %v", err)
		}
		if err := conn.Send("POST", target, host, id, 3*time.Second, 0); err != nil {
			kit.Fail("send: %v", err)
		}
		a, err := conn.Receive(4 * time.Second)
		_ = conn.Close()
		mu.Lock()
		got, ok := ran[id]
		mu.Unlock()
		if ok && got != "POST "+target {
			changed++
		}
		if !ok || err != nil || a.Status != 200 {
			kit.Log("request %s has not been served", id)
		}
	}
	kit.Exit(changed > 0, "UNASKED: %d of %d requests ran with another path than the client sent", changed, requests)
}
