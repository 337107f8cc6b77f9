// Uploads sends large uploads within the limits of the configuration, some at once.
package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/kit"
)

const (
	host = "photos.example"
	// bodyLimit is body-bytes of the configuration, and uploadBytes the size of an upload.
	bodyLimit   = 67108864
	uploadBytes = 60 << 20
	// usual is the number of uploads at once, and burst that number when many users come
	// at once, 1.7 times as many.
	usual = 6
	burst = 10
	// linkRate is the bandwidth of a machine's link in bytes per second, and linkShare the
	// part of it that the uploads take, so that no packets wait there.
	linkRate  = 1000e6 / 8
	linkShare = 0.7
	// keptClients is the number of clients of each machine that keep their connections.
	keptClients = 6
	orderTime   = 300 * time.Millisecond
)

func main() {
	c := kit.Open()
	store := kit.StartStore("127.0.33.1")
	store.Put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": host, "prefix": "/reports/", "kind": "upload", "timeout-ms": 20000, "target-latency-ms": 5000, "priority": 1,
			"service": "photos", "max-attempts": 2,
		}, map[string]any{
			"name": "r-2", "host": host, "prefix": "/reserve/", "kind": "unsafe", "timeout-ms": 3000, "target-latency-ms": 1000, "priority": 1,
			"service": "booking", "max-attempts": 2,
		}},
		"services": []any{
			map[string]any{"name": "photos", "health-path": "/health", "max-conns": 240, "protocol": "h1", "tls": false, "cold-start-s": 3.0, "cold-per-s": 9.3},
			map[string]any{"name": "booking", "health-path": "/health", "max-conns": 240, "protocol": "h1", "tls": false, "cold-start-s": 3.0, "cold-per-s": 9.3},
		},
		"limits": map[string]any{"header-bytes": 16384, "body-bytes": bodyLimit, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	w := &world{began: map[string]bool{}}
	for i := range 8 {
		photos := &kit.Backend{ID: fmt.Sprintf("i-p%d", i+1), Service: "photos", Zone: kit.Zones[i%3], Version: "v1", Address: fmt.Sprintf("127.0.33.%d", 10+i), Slots: 2}
		photos.Serve = func(r kit.Request) (string, bool) {
			time.Sleep(70 * time.Millisecond)
			return "stored", true
		}
		photos.Start(store)
		booking := &kit.Backend{ID: fmt.Sprintf("i-b%d", i+1), Service: "booking", Zone: kit.Zones[i%3], Version: "v1", Address: fmt.Sprintf("127.0.33.%d", 30+i), Slots: 4}
		booking.Serve = func(r kit.Request) (string, bool) {
			w.mu.Lock()
			w.began[r.ID()] = true
			w.mu.Unlock()
			time.Sleep(orderTime)
			return "reserved", true
		}
		booking.Start(store)
	}
	machines := kit.NewMachines(c.Program, c.Folder, "127.0.33", 2, store.Address)
	kit.StopAll(machines)
	for _, m := range machines {
		m.Start()
	}
	for _, m := range machines {
		m.AwaitReady()
		go w.keepWithinMemory(m)
	}
	time.Sleep(4 * time.Second)

	for _, m := range machines {
		for range keptClients {
			go w.sendOrders(m)
		}
	}
	time.Sleep(3 * time.Second)
	n := usual
	if c.Trouble {
		n = burst
	}
	var uploads sync.WaitGroup
	for i := range n {
		m := machines[i%len(machines)]
		uploads.Go(func() { w.upload(m, linkShare*linkRate/float64(n/len(machines))) })
	}
	uploads.Wait()
	time.Sleep(3 * time.Second)
	for _, m := range machines {
		kit.Log("%s: peak %d MiB since the last check", m.Name, m.ResidentBytes()>>20)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	kit.Log("peak memory of a process: %d MiB of %d; uploads answered 200: %d, refused: %d, lost: %d; orders answered: %d",
		w.peak.Load()>>20, kit.MemoryMB, w.stored, w.refused, w.lostUploads, w.answered)
	kit.Exit(w.kills > 0 && w.lost > 3, "LOST: %d processes went over their memory and were ended; %d requests of kept connections that a backend had begun got no answer (3 allowed)", w.kills, w.lost)
}

type world struct {
	peak atomic.Int64

	mu                           sync.Mutex
	began                        map[string]bool
	lost, kills, answered        int
	stored, refused, lostUploads int
}

// keepWithinMemory ends a process that exceeds its memory and starts it again, as the platform
// does.
func (w *world) keepWithinMemory(m *kit.Machine) {
	for range time.Tick(5 * time.Millisecond) {
		bytes := m.ResidentBytes()
		if bytes > w.peak.Load() {
			w.peak.Store(bytes)
		}
		if bytes <= kit.MemoryMB<<20 {
			continue
		}
		kit.Log("%s uses %d MiB of %d: the platform ends the process", m.Name, bytes>>20, kit.MemoryMB)
		w.mu.Lock()
		w.kills++
		w.mu.Unlock()
		m.Signal(syscall.SIGKILL)
		<-m.Ended()
		time.Sleep(200 * time.Millisecond)
		m.Start()
	}
}

// upload sends one upload at a rate in bytes per second.
func (w *world) upload(m *kit.Machine, rate float64) {
	id := kit.NewID()
	conn, err := kit.Connect(m.Front)
	if err != nil {
		kit.Fail("connect: %v", err)
	}
	defer conn.Close()
	err = conn.Send("POST", "/reports/1", host, id, 20*time.Second, uploadBytes)
	chunk := make([]byte, 64<<10)
	began := time.Now()
	for sent := 0; sent < uploadBytes && err == nil; sent += len(chunk) {
		_, err = conn.Write(chunk)
		time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / rate * float64(time.Second)))))
	}
	a, receiveErr := conn.Receive(20 * time.Second)
	kit.Log("upload %s ends with %d, errors %v, %v", id, a.Status, err, receiveErr)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case a.Status == 200:
		w.stored++
	case a.Status != 0:
		w.refused++
	default:
		w.lostUploads++
	}
}

// sendOrders sends requests that may run once on one connection, until it ends, and goes on
// with a new one.
func (w *world) sendOrders(m *kit.Machine) {
	for ; ; time.Sleep(100 * time.Millisecond) {
		conn, err := kit.Connect(m.Front)
		if err != nil {
			continue
		}
		for n := 0; ; n++ {
			id := kit.NewID()
			if conn.Send("POST", "/reserve/1", host, id, 3*time.Second, 0) != nil {
				break
			}
			a, err := conn.Receive(4 * time.Second)
			w.mu.Lock()
			switch {
			case err == nil:
				w.answered++
			case w.began[id] && n > 0:
				w.lost++
				kit.Log("request %s, which a backend had begun, ends without an answer: %v", id, err)
			}
			w.mu.Unlock()
			if err != nil || a.Header["connection"] == "close" {
				break
			}
		}
		_ = conn.Close()
	}
}
