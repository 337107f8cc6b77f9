package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"samphiremux/pkg/storer"
	"samphiremux/platform/storeadapter"
	"samphiremux/platform/translator"
	"samphiremux/standin/platformemulator"
)

// Ports, the same at all addresses. They are below the range of ephemeral ports.
const (
	storePort     = 8541
	readyPort     = 8542
	linkPort      = 8544
	locatePort    = 8546
	callerPort    = 8548
	delegatedPort = 7540
	cloudPort     = 8550
)

var zones = []string{"a", "b"}

// fleet is a deployment of real processes on loopback addresses.
type fleet struct {
	script   script
	program  string
	subnet   string
	store    *platformemulator.Store
	storeURL string
	backends map[string]*backend
	entries  []*entryProcess
	checks   *checks
	// zones are the failure domains of the entries. Nil means those of all tests.
	zones []string
	// storeOf returns the address of the store for an entry. Nil means storeURL.
	storeOf func(entry int) string
	// backup is the copy of the store that a restore brings back.
	backup platformemulator.Copy
	// usage is nil if the entries report no usage.
	usage *usageChecks
	// version is the version of the configuration that was written last.
	version int64

	mu        sync.Mutex
	storeAway time.Duration
}

// newFleet starts the store and the backend servers.
func newFleet(t *testing.T, program string, s script) *fleet {
	t.Helper()
	f := &fleet{
		script: s, program: program, store: platformemulator.NewStore(), backends: map[string]*backend{},
		checks: &checks{runs: &runLog{runs: map[string][]*run{}}, lags: &lagMeter{}, keys: newKeyring()},
	}
	f.serveStore(t)
	f.configure()
	for i, service := range services {
		for n := range serversPerService {
			b := &backend{
				service: service, name: fmt.Sprintf("%s-%d", service, n+1), zone: zones[n%len(zones)], store: f.store, log: f.checks.runs,
				address: fmt.Sprintf("%s.%d:%d", f.subnet, 10+i*serversPerService+n, serverPort), plant: s.plant,
			}
			f.backends[b.name] = b
			if err := b.start(); err != nil {
				t.Fatal(err)
			}
		}
	}
	f.usage = newUsageChecks(t, f)
	f.addEntries(t)
	return f
}

// addEntries adds the entries of the script, which do not run yet.
func (f *fleet) addEntries(t *testing.T) {
	t.Helper()
	for n := range f.script.entries {
		e := &entryProcess{
			fleet: f, number: n + 1, address: fmt.Sprintf("%s.%d", f.subnet, 100+n), file: filepath.Join(t.TempDir(), "settings.json"),
			restart: make(chan time.Duration, 1), rush: make(chan struct{}),
		}
		e.writeSettings(f.script.grace)
		f.entries = append(f.entries, e)
	}
}

// serveStore serves the store at the first address of a subnet of loopback addresses that
// no other test uses.
func (f *fleet) serveStore(t *testing.T) {
	t.Helper()
	for range 1000 {
		f.subnet = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", f.subnet, storePort))
		if err != nil {
			continue
		}
		server := &http.Server{Handler: storeadapter.Handler(f.store)}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Close() })
		f.storeURL = l.Addr().String()
		return
	}
	t.Fatal("no subnet of loopback addresses is free")
}

// configure writes the next version of the configuration, which adds a route and replaces
// an API key.
func (f *fleet) configure() {
	f.version++
	type route struct {
		Name     string `json:"name"`
		Host     string `json:"host"`
		Prefix   string `json:"prefix"`
		Service  string `json:"service"`
		Kind     string `json:"kind"`
		Timeout  int    `json:"timeout-ms"`
		Target   int    `json:"target-latency-ms"`
		Attempts int    `json:"max-attempts"`
	}
	all := []route{
		{"catalogue", "soak.example", "/catalogue/", "catalogue", "safe", 8000, 1000, 3},
		{"booking", "soak.example", "/booking/", "booking", "unsafe", 8000, 1000, 3},
		{"extra", "soak.example", fmt.Sprintf("/extra-%d/", f.version), "catalogue", "safe", 8000, 1000, 3},
	}
	type service struct {
		Name       string `json:"name"`
		HealthPath string `json:"health-path"`
		MaxConns   int    `json:"max-conns"`
	}
	tenants, accepted := f.checks.keys.rotate(fmt.Sprintf("soak-%d", f.version), f.script.plant)
	value, _ := json.Marshal(map[string]any{
		"version": f.version, "routes": all, "tenants": tenants,
		"services": []service{{"catalogue", "/health", 500}, {"booking", "/health", 500}},
		"limits":   map[string]int{"header-bytes": 16 << 10, "body-bytes": 1 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 60_000},
	})
	f.store.PutUnguarded(translator.ConfigurationKey, value)
	accepted()
}

func deleteOf(key string) storer.Transaction { return storer.Transaction{Deletes: []string{key}} }

// leaveStore keeps the store from answering for a time.
func (f *fleet) leaveStore(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeAway += d
	f.checks.keys.beginOutage()
	f.store.SetFaults(platformemulator.Faults{Down: true})
	time.Sleep(d)
	f.store.SetFaults(platformemulator.Faults{})
	f.checks.keys.endOutage()
}

// entryProcess is an entry that runs as one process after another.
type entryProcess struct {
	fleet   *fleet
	number  int
	address string
	file    string
	// restart gets the time from the exit to the next start.
	restart chan time.Duration

	mu      sync.Mutex
	process *process
	starts  int
	// rush is closed and replaced when the entry gets SIGTERM, so that callers send what
	// they have at that moment.
	rush chan struct{}
	// greeting is the signal that the next process gets, greetAfter after its start.
	greeting   string
	greetAfter time.Duration
	// grace holds the grace periods that may be in force, the newest last.
	grace []gracePeriod
}

type gracePeriod struct {
	period time.Duration
	since  time.Time
}

// graceLag is the time after which a changed settings file is certainly in force.
const graceLag = 5 * time.Second

// process is one process of an entry.
type process struct {
	name    string
	cmd     *exec.Cmd
	started time.Time

	mu sync.Mutex
	// termed, killed and exited are zero while it has not come to that.
	termed, killed, exited time.Time
	// suspended holds its suspensions.
	suspended []outage
	ready     time.Time
	// answered is set once it has answered whether it is ready.
	answered bool
	// grace is the longest and shortGrace the shortest grace period that may have been in
	// force when the process began to stop.
	grace, shortGrace time.Duration
	// unready is set once a stopping process has not been ready.
	unready bool
}

func (e *entryProcess) callerAddress() string { return e.at(callerPort) }

// zone returns the failure domain of the entry.
func (e *entryProcess) zone() string {
	all := e.fleet.zones
	if all == nil {
		all = zones
	}
	return all[e.number%len(all)]
}

func (e *entryProcess) at(port int) string { return net.JoinHostPort(e.address, strconv.Itoa(port)) }

// current returns the process that runs, or nil.
func (e *entryProcess) current() *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process
}

func (e *entryProcess) writeSettings(grace time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.grace = append(e.grace, gracePeriod{grace, time.Now()})
	var seeds []string
	for n := range min(3, e.fleet.script.entries) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", e.fleet.subnet, 100+n, linkPort))
	}
	store := e.fleet.storeURL
	if e.fleet.storeOf != nil {
		store = e.fleet.storeOf(e.number)
	}
	settings := map[string]any{
		"node": "edge-" + strconv.Itoa(e.number), "zone": e.zone(), "region": "r",
		"listen":         map[string]string{"front": e.at(callerPort), "ready": e.at(readyPort), "control": e.at(linkPort), "directory": e.at(locatePort)},
		"internal-ports": []int{delegatedPort, delegatedPort + 15}, "seeds": seeds,
		"limits": map[string]any{"memory-mb": 284, "link-mbps": 1000.0},
		"bounds": append(e.fleet.usage.bounds(), fmt.Sprintf("grace-s=%v", grace.Seconds()), "loss-slack-ms=200", "drain-ms=2000"),
		"provider": map[string]any{
			"address": store, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000,
		},
	}
	e.fleet.usage.addSettings(settings, e.number)
	value, _ := json.Marshal(settings)
	// The file changes as a whole, so that no process reads a part of it.
	next := e.file + ".next"
	if err := os.WriteFile(next, value, 0o600); err != nil {
		e.fleet.checks.report("HARNESS", "%v", err)
	}
	if err := os.Rename(next, e.file); err != nil {
		e.fleet.checks.report("HARNESS", "%v", err)
	}
}

// graceRange returns the shortest and the longest grace period that may be in force.
func (e *entryProcess) graceRange(now time.Time) (shortest, longest time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	shortest = time.Hour
	for i, g := range e.grace {
		if i+1 == len(e.grace) || now.Sub(e.grace[i+1].since) < graceLag {
			shortest, longest = min(shortest, g.period), max(longest, g.period)
		}
	}
	return shortest, longest
}

// keepRunning runs the entry, and starts it again after each exit until ctx ends.
func (e *entryProcess) keepRunning(ctx context.Context) {
	for {
		p, ended := e.start()
		if p == nil {
			return
		}
		e.watch(p, ended)
		e.mu.Lock()
		e.process = nil
		e.mu.Unlock()
		wait := 200 * time.Millisecond
		select {
		case wait = <-e.restart:
		default:
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// start starts a process. The channel is closed when it has exited.
func (e *entryProcess) start() (p *process, ended chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	p = &process{name: fmt.Sprintf("entry %d (start %d)", e.number, e.starts), started: time.Now(), cmd: exec.Command(e.fleet.program, "--log-level", "warn")}
	p.cmd.Env = append(os.Environ(), translator.SettingsVariable+"="+e.file)
	if isProcessPlant(e.fleet.script.plant) {
		p.cmd = exec.Command(os.Args[0])
		p.cmd.Env = append(os.Environ(), translator.SettingsVariable+"="+e.file, plantVariable+"="+e.fleet.script.plant)
	} else if *logs != "" {
		log, err := os.Create(filepath.Join(*logs, fmt.Sprintf("seed-%d-entry-%d-start-%d.log", e.fleet.script.seed, e.number, e.starts)))
		if err == nil {
			p.cmd.Stdout, p.cmd.Stderr = log, log
			p.cmd.Args = append(p.cmd.Args[:1], "--log-level", "debug")
			defer log.Close()
		}
	}
	if err := p.cmd.Start(); err != nil {
		e.fleet.checks.report("HARNESS", "%v", err)
		return nil, nil
	}
	e.process = p
	e.fleet.usage.addProcess(p)
	ended = make(chan struct{})
	if name := e.greeting; name != "" {
		e.greeting = ""
		time.AfterFunc(e.greetAfter, func() { e.signal(p, name) })
	}
	go func() {
		_ = p.cmd.Wait()
		p.mu.Lock()
		p.exited = time.Now()
		p.mu.Unlock()
		close(ended)
	}()
	return p, ended
}

// watch asks for the readiness of a process until it has exited, and checks how it ends.
func (e *entryProcess) watch(p *process, ended <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	interval := 50 * time.Millisecond * time.Duration(max(1, len(e.fleet.entries)/8))
	for {
		select {
		case <-ended:
			e.checkEnd(p)
			return
		case <-time.After(interval):
		}
		asked := time.Now()
		resp, err := client.Get("http://" + e.at(readyPort) + translator.ReadyPath)
		if err == nil {
			_ = resp.Body.Close()
		}
		e.checkReady(p, asked, err == nil, err == nil && resp.StatusCode == http.StatusOK)
		p.mu.Lock()
		overdue := !p.termed.IsZero() && time.Since(p.termed) > p.grace+e.fleet.checks.lags.during(p.termed, time.Now())
		p.mu.Unlock()
		if overdue {
			e.kill(p)
			e.fleet.checks.report("END", "%s still ran at the end of its grace period of %v", p.name, p.grace)
		}
	}
}

// checkReady checks an answer to the question whether a process is ready.
func (e *entryProcess) checkReady(p *process, asked time.Time, isAnswered, isReady bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.answered = p.answered || isAnswered
	stopping := !p.termed.IsZero() && asked.After(p.termed)
	switch {
	case stopping && !isReady:
		p.unready = true
	case stopping && p.unready:
		e.fleet.checks.report("DRAIN", "%s was ready again %v after SIGTERM", p.name, now.Sub(p.termed))
	case stopping && asked.Sub(p.termed) > readySlack+e.fleet.checks.lags.during(p.termed, now):
		e.fleet.checks.report("DRAIN", "%s was ready %v after SIGTERM", p.name, asked.Sub(p.termed))
	case isReady && p.ready.IsZero():
		p.ready = now
	}
}

// checkEnd checks how a process ended.
func (e *entryProcess) checkEnd(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// No program can handle a signal that comes before it runs.
	status, _ := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	if !p.killed.IsZero() || status.Signaled() && !p.answered {
		return
	}
	c := e.fleet.checks
	took := p.exited.Sub(p.termed)
	switch {
	case p.termed.IsZero():
		c.report("END", "%s ended by itself %v after its start: %v", p.name, p.exited.Sub(p.started), p.cmd.ProcessState)
	case p.cmd.ProcessState.ExitCode() != 0:
		c.report("END", "%s ended %v after SIGTERM, %v after its start: %v", p.name, took, p.exited.Sub(p.started), p.cmd.ProcessState)
	case took > p.grace+c.lags.during(p.termed, p.exited):
		c.report("END", "%s ended %v after SIGTERM, its grace period is %v", p.name, took, p.grace)
	}
}

func (e *entryProcess) rushed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rush
}

// beginRush makes callers that wait send now.
func (e *entryProcess) beginRush() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.rush)
	e.rush = make(chan struct{})
}

// stop sends SIGTERM to a process.
func (e *entryProcess) stop(p *process) {
	shortest, longest := e.graceRange(time.Now())
	e.beginRush()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.termed.IsZero() {
		p.termed, p.shortGrace, p.grace = time.Now(), shortest, longest
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
}

func (e *entryProcess) kill(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed.IsZero() && p.exited.IsZero() {
		p.killed = time.Now()
		e.fleet.checks.addKill(p.killed)
	}
	_ = p.cmd.Process.Kill()
}

// hangUp sends SIGHUP to a process.
func (p *process) hangUp() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGHUP)
}

// greetNext makes the next process of the entry get a signal some time after its start.
func (e *entryProcess) greetNext(name string, after time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.greeting, e.greetAfter = name, after
}

// repeat sends a signal at an interval until the process is gone.
func (e *entryProcess) repeat(ctx context.Context, p *process, name string, interval time.Duration) {
	for ctx.Err() == nil && e.current() == p {
		e.signal(p, name)
		time.Sleep(interval)
	}
}

func (e *entryProcess) signal(p *process, name string) {
	if name == "hup" {
		p.hangUp()
		return
	}
	e.stop(p)
}
