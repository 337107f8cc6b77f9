// Package soaker runs fleets of real entries through seeded series of signals, restarts and
// changes while callers keep their connections open, and checks what callers and backend
// servers saw.
package soaker

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"samphiremux/pkg/failurefilter"
)

var (
	seeds     = flag.Int("seeds", 2, "number of seeds to run")
	firstSeed = flag.Uint64("first-seed", 1, "first seed")
	entries   = flag.Int("entries", 4, "number of processes in each fleet")
	length    = flag.Duration("length", 3*time.Second, "time of events in each run")
	built     = flag.String("program", "", "program to run instead of one that is built")
	logs      = flag.String("logs", "", "directory for the logs of the processes")
)

var program string

func TestMain(m *testing.M) {
	if plant := os.Getenv(plantVariable); plant != "" {
		os.Exit(runFaultyEntry(plant))
	}
	flag.Parse()
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the program once for all tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if *built != "" {
		program = *built
		return m.Run()
	}
	program = filepath.Join(dir, "samphire-steer")
	if out, err := exec.Command("go", "build", "-o", program, "samphiremux/steer").CombinedOutput(); err != nil {
		fmt.Printf("%v: %s\n", err, out)
		return 1
	}
	return m.Run()
}

// TestSoak runs drawn scripts. A failure prints its script.
func TestSoak(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			s := drawScript(seed, *entries, *length)
			report(t, s, runScript(t, s))
		})
	}
}

// TestScripts runs the scripts of cases that were found.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("_fixtures/*.script")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s, err := parseScript(string(text))
			if err != nil {
				t.Fatal(err)
			}
			report(t, s, runScript(t, s))
		})
	}
}

func report(t *testing.T, s script, o outcome) {
	t.Helper()
	t.Logf("seed %d: %d requests, %d served, %d refused, %v failed by status, %d on closed connections, %d violations",
		s.seed, o.requests, o.served, o.refused, o.failed, o.crossed, len(o.violations))
	if len(o.violations) == 0 {
		return
	}
	var lines []string
	for _, v := range o.violations[:min(len(o.violations), 20)] {
		lines = append(lines, v.String())
	}
	failurefilter.Errorf(t, "%d violations:\n%s\n%s", len(o.violations), strings.Join(lines, "\n"), s)
}

// callersPerEntry is the number of callers for each entry. Two of three keep connections.
const callersPerEntry = 10

// runScript runs a fleet through a script.
func runScript(t *testing.T, s script) outcome {
	t.Helper()
	f := newFleet(t, program, s)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.checks.lags.measure(ctx.Done())
	supervision, endRestarts := context.WithCancel(ctx)
	defer endRestarts()
	var running, calling sync.WaitGroup
	for _, e := range f.entries {
		running.Go(func() { e.keepRunning(supervision) })
	}
	calls, endCalls := context.WithCancel(ctx)
	defer endCalls()
	for n := range min(callersPerEntry*s.entries, 120) {
		c := &caller{name: "c" + strconv.Itoa(n), fleet: f, rand: rand.New(rand.NewPCG(s.seed, uint64(n))), keyRand: rand.New(rand.NewPCG(s.seed, 1<<32+uint64(n))), keeps: n%3 != 0, hurries: n%10 == 1, sendsAhead: n%5 == 2 && n%3 != 0}
		calling.Go(func() { c.call(calls) })
	}
	start := time.Now()
	var changing sync.WaitGroup
	for _, e := range s.events {
		time.Sleep(time.Until(start.Add(e.at)))
		f.apply(ctx, e, &changing)
	}
	time.Sleep(time.Until(start.Add(s.length)))
	if isProcessPlant(s.plant) {
		f.awaitReady(time.Second)
	} else {
		f.awaitReady(readyTime)
	}
	time.Sleep(s.settle)
	f.usage.endAll()
	// The whole fleet stops while callers go on.
	endRestarts()
	for _, e := range f.entries {
		if p := e.current(); p != nil {
			e.stop(p)
		}
	}
	running.Wait()
	endCalls()
	calling.Wait()
	cancel()
	changing.Wait()
	t.Log(f.usage.check(f.checks))
	return f.checks.judge()
}

// apply carries out an event.
func (f *fleet) apply(ctx context.Context, e event, changing *sync.WaitGroup) {
	switch e.verb {
	case "configure":
		f.configure()
	case "leave":
		changing.Go(func() { f.backends[e.args[0]].leave(ctx) })
	case "pause":
		f.backends[e.args[0]].pause(duration(e.args[1]))
	case "store-away":
		changing.Go(func() { f.leaveStore(duration(e.args[0])) })
	case "backup":
		f.backup = f.store.Copy()
	case "restore":
		f.usage.addRestore()
		f.store.Restore(f.backup)
	case "platform":
		changing.Go(func() { f.usage.disturb(ctx, e.args[0], duration(e.args[1])) })
	case "suspend":
		changing.Go(func() { f.entryNamed(e.args[0]).suspend(duration(e.args[1])) })
	case "cut":
		changing.Go(func() { f.usage.cut(ctx, f.entryNamed(e.args[0]), e.args[1], duration(e.args[2])) })
	default:
		f.entryNamed(e.args[0]).apply(ctx, e)
	}
}

// entryNamed returns the entry with a number, or the holder of usage reports.
func (f *fleet) entryNamed(name string) *entryProcess {
	if name == "holder" {
		return f.usage.holder()
	}
	number, _ := strconv.Atoi(name)
	return f.entries[number-1]
}

// apply carries out an event of one entry. Signals are dropped while it does not run.
func (e *entryProcess) apply(ctx context.Context, v event) {
	switch v.verb {
	case "grace":
		e.writeSettings(duration(v.args[1]))
		return
	case "greet":
		e.greetNext(v.args[1], duration(v.args[2]))
		return
	}
	p := e.current()
	if p == nil {
		return
	}
	switch v.verb {
	case "hup":
		p.hangUp()
		return
	case "repeat":
		go e.repeat(ctx, p, v.args[1], duration(v.args[2]))
		return
	case "term":
		e.stop(p)
	case "kill":
		e.kill(p)
	}
	select {
	case e.restart <- duration(v.args[1]):
	default:
	}
}

func duration(text string) time.Duration {
	d, _ := time.ParseDuration(text)
	return d
}

// awaitReady waits until all entries are ready and serve the newest configuration.
func (f *fleet) awaitReady(limit time.Duration) {
	f.mu.Lock()
	deadline := time.Now().Add(limit + f.storeAway)
	f.mu.Unlock()
	for _, e := range f.entries {
		for {
			ready, served := e.isReady(), e.servesNewest()
			if ready && served {
				break
			}
			if time.Now().After(deadline) {
				f.checks.report("READY", "entry %d: ready %v, serves the newest route %v, %v after the last event", e.number, ready, served, limit)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (e *entryProcess) isReady() bool {
	p := e.current()
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.ready.IsZero() && p.termed.IsZero() && p.killed.IsZero()
}

// servesNewest reports whether the entry knows the route of the newest configuration.
func (e *entryProcess) servesNewest() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/extra-%d/", e.callerAddress(), e.fleet.version), http.NoBody)
	req.Host = "soak.example"
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode != http.StatusNotFound && resp.StatusCode != http.StatusServiceUnavailable
}
