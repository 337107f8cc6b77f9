// Command third starts a small deployment of samphiremux on loopback addresses: the platform's
// store, backend servers and entry processes, and plays one case of the review.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"samphiremux/pkg/storer"
	"samphiremux/platform/storeadapter"
	"samphiremux/standin/platformemulator"
)

const (
	storePort    = 8541
	readyPort    = 8542
	linkPort     = 8544
	locatePort   = 8546
	callerPort   = 8548
	internalPort = 7540
	serverPort   = 9100
)

// zones are the zones of the deployment.
var zones = []string{"howrah", "salt-lake"}

// world is a deployment.
type world struct {
	program string
	subnet  string
	dir     string
	store   *platformemulator.Store
	servers []*server
	entries []*entry
	record  *record
	grace   float64
	// version is that of the last configuration that was written.
	version int
	// onCall plays a disruption of the store. It reports whether it has dealt with a call.
	onCall func(rw http.ResponseWriter, r *http.Request) bool
}

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	begun time.Time
	// runs holds the servers that began to work on a request, by its id.
	runs map[string][]string
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.begun).Seconds()}, args...)...)
}

func (r *record) ran(id, server string) {
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], server)
	r.mu.Unlock()
	r.log("run      id=%s server=%s", id, server)
}

func (r *record) runsOf(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs[id]...)
}

// newWorld starts the store in a subnet of loopback addresses that nobody uses.
func newWorld(program, recordFile string) (*world, error) {
	out, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{
		program: program, dir: dir, store: platformemulator.NewStore(), grace: 6,
		record: &record{out: out, begun: time.Now(), runs: map[string][]string{}},
	}
	for range 1000 {
		w.subnet = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", w.subnet, storePort))
		if err != nil {
			continue
		}
		go func() {
			_ = http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				if w.onCall == nil || !w.onCall(rw, r) {
					w.handler().ServeHTTP(rw, r)
				}
			}))
		}()
		return w, nil
	}
	return nil, errors.New("no subnet of loopback addresses is free")
}

// handler returns the handler of the store's calls.
func (w *world) handler() http.Handler { return storeadapter.Handler(w.store) }

// end ends all processes that were started.
func (w *world) end() {
	for _, e := range w.entries {
		e.kill()
	}
	_ = os.RemoveAll(w.dir)
}

// route is a route of the configuration.
type route struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"prefix"`
	Service  string `json:"service"`
	Kind     string `json:"kind"`
	Timeout  int    `json:"timeout-ms"`
	Target   int    `json:"target-latency-ms"`
	Attempts int    `json:"max-attempts"`
	Priority int    `json:"priority"`
}

const host = "depot.example"

func defaultRoutes() []route {
	return []route{
		{"look", host, "/look/", "catalogue", "safe", 8000, 500, 3, 2},
		{"download", host, "/download/", "catalogue", "download", 8000, 800, 3, 2},
		{"book", host, "/book/", "booking", "unsafe", 8000, 500, 3, 1},
		{"photo", host, "/photo/", "booking", "upload", 8000, 800, 3, 1},
	}
}

// configure writes the next version of the configuration.
func (w *world) configure(routes []route, limits map[string]int) {
	w.version += 3
	type service struct {
		Name       string  `json:"name"`
		HealthPath string  `json:"health-path"`
		MaxConns   int     `json:"max-conns"`
		ColdPerS   float64 `json:"cold-per-s"`
	}
	all := map[string]int{"header-bytes": 16 << 10, "body-bytes": 4 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 20_000}
	for name, v := range limits {
		all[name] = v
	}
	value, _ := json.Marshal(map[string]any{
		"version": w.version, "routes": routes, "limits": all,
		"services": []service{{"catalogue", "/health", 240, 10}, {"booking", "/health", 240, 10}},
	})
	w.store.PutUnguarded("op/config", value)
	w.record.log("operator configuration version=%d", w.version)
}

// server is a backend server.
type server struct {
	w       *world
	id      string
	service string
	zone    string
	address string
	version string
	slots   int
	born    int64
	// state is what the server reports: ready or draining.
	state atomic.Value
	// handle answers a request that begins to run. It returns false to close the connection.
	handle func(s *server, c net.Conn, r *request) (keep bool)
	// readBody reads a part of the body of a request before the rest is read. It may be nil.
	readBody func(s *server, r *http.Request)
	seq      atomic.Int64
	l        net.Listener
	busy     atomic.Int64
	mu       sync.Mutex
	conns    map[net.Conn]bool
	gone     chan struct{}
}

// request is a request that a backend server has read.
type request struct {
	*http.Request
	id   string
	body []byte
}

// addServer starts a backend server, and registers it.
func (w *world) addServer(service string, handle func(s *server, c net.Conn, r *request) bool) (*server, error) {
	return w.addVersion(service, "v1", handle)
}

// addVersion starts a backend server of a version of its service, and registers it.
func (w *world) addVersion(service, version string, handle func(s *server, c net.Conn, r *request) bool) (*server, error) {
	n := len(w.servers)
	s := &server{
		w: w, id: fmt.Sprintf("i-%s-%d", service, n+1), service: service, zone: zones[n%len(zones)], slots: 8, born: time.Now().UnixMilli(),
		address: fmt.Sprintf("%s.%d:%d", w.subnet, 10+n, serverPort), version: version, handle: handle, conns: map[net.Conn]bool{}, gone: make(chan struct{}),
	}
	var err error
	if s.l, err = net.Listen("tcp", s.address); err != nil {
		return nil, err
	}
	w.servers = append(w.servers, s)
	s.state.Store("ready")
	go s.serve()
	s.register()
	go func() {
		for {
			select {
			case <-time.After(1500 * time.Millisecond):
				s.register()
			case <-s.gone:
				return
			}
		}
	}()
	return s, nil
}

// end ends the server at once, and removes its registration.
func (s *server) end() {
	close(s.gone)
	_ = s.l.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	_ = s.w.store.Commit(context.Background(), storer.Transaction{Deletes: []string{"servers/" + s.id}})
	s.w.record.log("server   %s ends", s.id)
}

// drain reports that the server is draining, and ends it after a time.
func (s *server) drain(d time.Duration) {
	s.state.Store("draining")
	s.register()
	s.w.record.log("server   %s drains", s.id)
	time.Sleep(d)
	s.end()
}

func (s *server) register() {
	value, _ := json.Marshal(map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": s.version, "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": s.state.Load(), "sequence": s.seq.Add(1), "cold-left-ms": 0},
	})
	s.w.store.PutUnguarded("servers/"+s.id, value)
}

func (s *server) serve() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serveConn(c)
	}
}

func (s *server) serveConn(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n%sContent-Length: 0\r\n\r\n", s.id, s.load()); err != nil {
				return
			}
			continue
		}
		if s.readBody != nil {
			s.readBody(s, r)
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		q := &request{Request: r, id: r.Header.Get("X-Request-Id"), body: body}
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", q.id, s.id)
			continue
		}
		s.busy.Add(1)
		s.w.record.ran(q.id, s.id)
		keep := s.handle(s, c, q)
		s.busy.Add(-1)
		if !keep {
			return
		}
	}
}

// load returns the header with the server's load.
func (s *server) load() string {
	return fmt.Sprintf("X-Backend-Load: %d,0,%d,100\r\n", s.busy.Load(), s.slots)
}

// answer writes a whole response with a signature.
func (s *server) answer(c net.Conn, r *request, status int, body []byte) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Server-Signature: sig.%s.%s\r\n%sContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), r.id, s.id, r.id, s.load(), len(body))
	if err == nil {
		_, err = c.Write(body)
	}
	return err == nil
}

// work returns a handler that answers with a body of a number of bytes after a time. The path may
// name both: /look/MS/BYTES.
func work(s *server, c net.Conn, r *request) bool {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	ms, size := 20, 200
	if len(parts) > 1 {
		ms, _ = strconv.Atoi(parts[1])
	}
	if len(parts) > 2 {
		size, _ = strconv.Atoi(parts[2])
	}
	time.Sleep(time.Duration(ms) * time.Millisecond)
	return s.answer(c, r, 200, bodyOf(r.id, size))
}

// bodyOf returns the body of the response to a request.
func bodyOf(id string, size int) []byte {
	unit := id + "."
	return []byte(strings.Repeat(unit, size/len(unit)+1)[:size])
}

// entry is an entry process.
type entry struct {
	w      *world
	number int
	ip     string
	zone   string
	file   string
	store  string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool
}

func (e *entry) at(port int) string { return net.JoinHostPort(e.ip, strconv.Itoa(port)) }

// addEntry writes the settings of an entry, and starts it.
func (w *world) addEntry() (*entry, error) {
	n := len(w.entries)
	e := &entry{
		w: w, number: n + 1, ip: fmt.Sprintf("%s.%d", w.subnet, 100+n), zone: zones[n%len(zones)],
		file: filepath.Join(w.dir, fmt.Sprintf("entry-%d.json", n+1)), store: fmt.Sprintf("%s.1:%d", w.subnet, storePort),
	}
	w.entries = append(w.entries, e)
	if err := e.writeSettings(); err != nil {
		return nil, err
	}
	return e, e.start()
}

func (e *entry) writeSettings() error {
	seeds := []string{fmt.Sprintf("%s.100:%d", e.w.subnet, linkPort), fmt.Sprintf("%s.101:%d", e.w.subnet, linkPort)}
	all := map[string]string{}
	for _, z := range zones {
		all[z] = "bengal"
	}
	value, _ := json.Marshal(map[string]any{
		"node": fmt.Sprintf("edge-%s-%d", e.zone, e.number), "role": "entry", "instance-class": "edge",
		"serves": []string{"edge", "control", "directory"}, "ip": e.ip, "zone": e.zone, "region": "bengal", "zones": all,
		"listen":         map[string]string{"front": e.at(callerPort), "ready": e.at(readyPort), "control": e.at(linkPort), "directory": e.at(locatePort)},
		"internal-ports": []int{internalPort, internalPort + 15}, "seeds": seeds, "bootstrap": true,
		"limits":    map[string]any{"cpu-share": 0.32, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"discovery": "platform", "entry": "directory", "heartbeat-ms": 1500,
		"bounds":   []string{"seed-lag-s=3", "reuse-after-s=2", "touch-ms=3000", "drain-ms=2000", fmt.Sprintf("grace-s=%v", e.w.grace), "loss-slack-ms=200", "config-deadline-ms=2000", "budget-ratio=0.2", "budget-window-s=10", "budget-slack=60", "ttl_max_s=5"},
		"provider": map[string]any{"address": e.store, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "retention-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
	})
	next := e.file + ".next"
	if err := os.WriteFile(next, value, 0o600); err != nil {
		return err
	}
	return os.Rename(next, e.file)
}

func (e *entry) start() error {
	log, err := os.OpenFile(e.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(e.w.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAMPHIREMUX_BOOT=" + e.file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.exited = cmd, exited
	e.mu.Unlock()
	e.w.record.log("entry    %d starts", e.number)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		e.w.record.log("entry    %d exits: %v", e.number, err)
		close(exited)
	}()
	return nil
}

func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.w.record.log("entry    %d gets %v", e.number, s)
	_ = e.cmd.Process.Signal(s)
}

func (e *entry) kill() {
	e.mu.Lock()
	cmd, exited := e.cmd, e.exited
	e.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-exited
}

// awaitReady waits until all entries are ready.
func (w *world) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, e := range w.entries {
		for !e.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("entry %d is not ready", e.number)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (e *entry) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + e.at(readyPort) + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var ids atomic.Int64

// newID returns the id of a request.
func newID() string { return fmt.Sprintf("%016x", uint64(ids.Add(1))<<32|uint64(rand.Uint32())) }
