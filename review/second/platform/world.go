// Command review-second runs the scripts of the second review: a small deployment of real
// entries on loopback addresses, with the project's own stand-in for the store, backend servers
// and callers.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"samphiremux/platform/storeadapter"
	"samphiremux/standin/platformemulator"
)

// Ports, the same at all addresses and below the range of ephemeral ports.
const (
	storePort     = 8541
	readyPort     = 8542
	linkPort      = 8544
	directoryPort = 8546
	callerPort    = 8548
	serverPort    = 8100
	internalPort  = 7540
)

const (
	graceSeconds   = 6
	callerDeadline = time.Second
	readyTimeout   = 20 * time.Second
)

// world is a deployment.
type world struct {
	subnet   string
	store    *platformemulator.Store
	entries  []*entry
	servers  []*server
	version  int
	temp     string
	closers  []func()
	recordMu sync.Mutex
	record   io.Writer
	began    time.Time
}

// newWorld starts the store and finds free addresses.
func newWorld(record io.Writer) (w *world, err error) {
	w = &world{store: platformemulator.NewStore(), record: record, began: time.Now()}
	if w.temp, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	w.closers = append(w.closers, func() { _ = os.RemoveAll(w.temp) })
	for range 100 {
		w.subnet = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
		l, err := net.Listen("tcp", w.at(1, storePort))
		if err == nil {
			w.closers = append(w.closers, func() { _ = l.Close() })
			return w, nil
		}
	}
	return nil, errors.New("no subnet of loopback addresses is free")
}

func (w *world) at(host, port int) string { return fmt.Sprintf("%s.%d:%d", w.subnet, host, port) }

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the output.
func (w *world) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.log("%s", text)
	fmt.Println(text)
}

// close ends all processes and removes the temporary files.
func (w *world) close() {
	for _, e := range w.entries {
		e.end()
	}
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}

func (w *world) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	w.closers = append(w.closers, func() { _ = s.Close() })
	return nil
}

// door is the way of one entry to the store.
type door struct {
	store http.Handler
	mu    sync.Mutex
	away  bool
	// watched is when the last watch began or ended.
	watched time.Time
}

// ServeHTTP implements http.Handler. While the store turns the entry away, no call is carried
// out, and neither a new call nor a waiting one is answered.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.note(r)
	answer := httptest.NewRecorder()
	if !d.isAway() {
		d.store.ServeHTTP(answer, r)
		d.note(r)
	}
	if d.isAway() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

func (d *door) note(r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/kv-watch") {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watched = time.Now()
}

func (d *door) isAway() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.away
}

func (d *door) setAway(away bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = away
}

// watches reports whether the entry has watched the store within a time.
func (d *door) watches(within time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.watched) < within
}

// entry is one entry and its process.
type entry struct {
	world  *world
	name   string
	zone   string
	host   int
	file   string
	door   *door
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func (e *entry) address(port int) string { return e.world.at(e.host, port) }

// addEntry writes the settings of an entry and opens its way to the store. Peers are the link
// addresses of other entries.
func (w *world) addEntry(zone string, zones map[string]string, peers []string) (*entry, error) {
	n, inZone := len(w.entries), 1
	for _, other := range w.entries {
		if other.zone == zone {
			inZone++
		}
	}
	e := &entry{
		world: w, name: fmt.Sprintf("edge-%s-%d", zone, inZone), zone: zone, host: 100 + n,
		door: &door{store: storeadapter.Handler(w.store)},
	}
	e.file = filepath.Join(w.temp, e.name+".json")
	front := w.at(200+n, storePort)
	if err := w.serve(front, e.door); err != nil {
		return nil, err
	}
	value, err := json.Marshal(map[string]any{
		"node": e.name, "role": "entry", "instance-class": "edge", "serves": []string{"edge", "control", "directory"},
		"ip": fmt.Sprintf("%s.%d", w.subnet, e.host), "zone": zone, "region": zones[zone], "zones": zones,
		"listen": map[string]string{
			"front": e.address(callerPort), "ready": e.address(readyPort), "control": e.address(linkPort), "directory": e.address(directoryPort),
		},
		"internal-ports": []int{internalPort, internalPort + 15}, "seeds": peers, "bootstrap": true,
		"limits":       map[string]any{"cpu-share": 0.32, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"heartbeat-ms": 1500,
		"bounds": []string{
			"touch-ms=3000", "ack-ms=4000", "drain-ms=2000", fmt.Sprintf("grace-s=%d", graceSeconds), "loss-slack-ms=200", "config-deadline-ms=2000",
			"budget-ratio=0.2", "budget-window-s=10", "budget-slack=60", "evac-ms=5000", "ttl_max_s=5",
		},
		"provider": map[string]any{
			"address": front, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "retention-s": 20, "value-bytes": 1 << 20, "ttl-min-ms": 1000,
		},
	})
	if err != nil {
		return nil, err
	}
	w.entries = append(w.entries, e)
	return e, os.WriteFile(e.file, value, 0o600)
}

// start starts the process with the command of the deploy file.
func (e *entry) start() error {
	out, err := os.OpenFile(e.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/steer")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAMPHIREMUX_BOOT=" + e.file}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.exited = cmd, exited
	e.mu.Unlock()
	e.world.log("process %s starts, pid %d", e.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		e.world.log("process %s, pid %d, ends: %v", e.name, cmd.Process.Pid, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (e *entry) signal(s os.Signal) error {
	e.mu.Lock()
	cmd := e.cmd
	e.mu.Unlock()
	e.world.log("signal to %s: %v", e.name, s)
	return cmd.Process.Signal(s)
}

// end kills the process if it still runs, and waits for its end.
func (e *entry) end() {
	e.mu.Lock()
	cmd, exited := e.cmd, e.exited
	e.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// awaitReady waits until all entries say that they are ready.
func (w *world) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(readyTimeout)
	for _, e := range w.entries {
		for {
			resp, err := client.Get("http://" + e.address(readyPort) + "/v1/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// server is a backend server.
type server struct {
	world         *world
	id            string
	service, zone string
	address       string
	mu            sync.Mutex
	listener      *http.Server
	// running holds the targets of the requests that run.
	running map[string]string
}

const (
	serverSlots = 4
	workTime    = 5 * time.Millisecond
	// slowSuffix ends the targets of requests that take slowTime.
	slowSuffix = "slow"
	slowTime   = 300 * time.Millisecond
)

// addServer starts a backend server and registers it.
func (w *world) addServer(service, zone string) error {
	n := len(w.servers)
	s := &server{world: w, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, address: w.at(10+n, serverPort)}
	w.servers = append(w.servers, s)
	w.closers = append(w.closers, s.crash)
	return s.start()
}

// start starts the server and registers it.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener, s.running = &http.Server{Handler: s}, map[string]string{}
	h := s.listener
	s.mu.Unlock()
	go func() { _ = h.Serve(l) }()
	s.world.log("server %s of %s starts", s.id, s.service)
	return s.world.put("servers/"+s.id, map[string]any{
		"address": s.address, "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": serverSlots},
		"status": map[string]any{"state": "ready", "sequence": 1, "cold-left-ms": 0},
	})
}

// crash closes the server's address and all of its connections.
func (s *server) crash() {
	s.mu.Lock()
	h := s.listener
	s.mu.Unlock()
	s.world.log("server %s of %s ends", s.id, s.service)
	_ = h.Close()
}

// runs reports whether a request with a target runs.
func (s *server) runs(target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.running {
		if t == target {
			return true
		}
	}
	return false
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	s.mu.Lock()
	h.Set("X-Backend-Load", fmt.Sprintf("%d,0,%d,100", len(s.running), serverSlots))
	s.mu.Unlock()
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		h.Set("X-Not-Executed", "1")
		h.Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	running := s.running
	running[id] = r.URL.Path
	s.mu.Unlock()
	s.world.log("server %s of %s runs %s", s.id, s.service, id)
	work := workTime
	if strings.HasSuffix(r.URL.Path, slowSuffix) {
		work = slowTime
	}
	time.Sleep(work)
	s.mu.Lock()
	delete(running, id)
	s.mu.Unlock()
	h.Set("X-Server-Signature", s.service+"."+s.id+"."+id)
	_, _ = fmt.Fprintf(w, "%s ran %s\n", s.service, id)
}

func (w *world) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	w.store.PutUnguarded(key, data)
	return nil
}

// movedHost is the host of all routes.
const movedHost = "review.example"

// route returns a route of a configuration.
func route(name, prefix, service, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": movedHost, "prefix": prefix, "service": service, "kind": kind,
		"timeout-ms": 1000, "target-latency-ms": 300, "max-attempts": 2, "priority": 1,
	}
}

// configuration returns a configuration with a route to a service and further ones.
func configuration(version int, service string, further ...map[string]any) map[string]any {
	return map[string]any{
		"version": version,
		"routes":  append([]map[string]any{route("moved", "/moved/", service, "safe")}, further...),
		"services": []map[string]any{
			{"name": "racks", "health-path": "/health", "max-conns": 240, "cold-per-s": 9.3},
			{"name": "vans", "health-path": "/health", "max-conns": 240, "cold-per-s": 9.3},
		},
		"limits": map[string]int{"header-bytes": 16384, "body-bytes": 1 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 20000},
	}
}

// answer is what a caller got.
type answer struct {
	id      string
	sent    time.Time
	status  int
	service string
	err     error
}

// call sends one request on a kept connection of the client.
func (w *world) call(c *http.Client, e *entry, method, path string) (a answer) {
	a = answer{id: fmt.Sprintf("%016x", rand.Uint64()), sent: time.Now()}
	req, err := http.NewRequest(method, "http://"+e.address(callerPort)+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = movedHost
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	resp, err := c.Do(req)
	if err != nil {
		a.err = err
	} else {
		a.status = resp.StatusCode
		a.service, _, _ = strings.Cut(resp.Header.Get("X-Server-Signature"), ".")
		_, a.err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	w.log("caller of %s: %s %s %s sent %.3f, answered %d by %q, error %v", e.name, method, path, a.id, a.sent.Sub(w.began).Seconds(), a.status, a.service, a.err)
	return a
}
