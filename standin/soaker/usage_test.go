package soaker

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/platform/storeadapter"
	"samphiremux/standin/platformemulator"
)

const (
	// usageWindow is shorter than in deployments, so that a short run has several windows.
	usageWindow = 2 * time.Second
	// usageDue is the time after the end of a window by which it is reported.
	usageDue = 10 * time.Second
	// usageTolerance is the share by which a count may differ, and usageSlack the number of
	// requests by which a small one may.
	usageTolerance = 0.05
	usageSlack     = 3
	// boundaryTime is the time around the bounds of a window in which the server may begin to run
	// a request in another window than that in which the entry sent it. Beside load the first
	// window of a run, with 5 requests, was reported with 10, and the next one with 6 fewer.
	boundaryTime = 20 * time.Millisecond
	usageCalls   = 4
	leaseTime    = 3 * time.Second
	thawTime     = 300 * time.Millisecond
)

// usageChecks serves the platform's cloud API and the store to each entry at an address of its
// own, since all connections between loopback addresses come from the same one, and compares
// the reported usage with what servers ran.
type usageChecks struct {
	fleet         *fleet
	api           *platformemulator.UsageAPI
	cloud, stores []*gate

	mu sync.Mutex
	// ended is when the fleet was told to stop.
	ended time.Time
	// restores holds when the store was restored, and processes those of all entries.
	restores  []time.Time
	processes []*process
}

// newUsageChecks opens the addresses for the entries of a fleet.
func newUsageChecks(t *testing.T, f *fleet) *usageChecks {
	t.Helper()
	u := &usageChecks{fleet: f, api: platformemulator.NewUsageAPI(platformemulator.UsageLimits{CallsPerSecond: usageCalls, LeaseTime: leaseTime, ThawTime: thawTime})}
	for n := range f.script.entries {
		sender := netip.AddrPortFrom(netip.MustParseAddr(fmt.Sprintf("%s.%d", f.subnet, 100+n)), 1)
		cloud := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.RemoteAddr = sender.String()
			u.api.ServeHTTP(w, r)
		})
		u.cloud = append(u.cloud, newGate(t, f, n, cloudPort, cloud))
		u.stores = append(u.stores, newGate(t, f, n, storePort, storeadapter.Handler(f.store)))
	}
	return u
}

// gate serves a handler to one entry.
type gate struct {
	address string
	handler http.Handler

	mu     sync.Mutex
	server *http.Server
}

func newGate(t *testing.T, f *fleet, entry, port int, h http.Handler) *gate {
	t.Helper()
	g := &gate{address: net.JoinHostPort(fmt.Sprintf("%s.%d", f.subnet, 100+entry), strconv.Itoa(port)), handler: h}
	if err := g.serve(h); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.server.Close() })
	return g
}

// serve closes the connections and serves a handler from now on.
func (g *gate) serve(h http.Handler) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.server != nil {
		_ = g.server.Close()
	}
	l, err := net.Listen("tcp", g.address)
	if err != nil {
		return err
	}
	g.server = &http.Server{Handler: h}
	server := g.server
	go func() { _ = server.Serve(l) }()
	return nil
}

// addSettings adds the cloud API to the settings of an entry.
func (u *usageChecks) addSettings(settings map[string]any, number int) {
	if u == nil {
		return
	}
	settings["cloud-api"] = map[string]any{
		"address": u.cloud[number-1].address, "rate-per-s": 10, "duties": []string{"usage_report"}, "duty-per-s": usageCalls,
	}
	settings["provider"].(map[string]any)["address"] = u.stores[number-1].address
}

// bounds returns the bounds of usage reports.
func (u *usageChecks) bounds() []string {
	if u == nil {
		return nil
	}
	return []string{
		fmt.Sprintf("report-window-s=%v", usageWindow.Seconds()), fmt.Sprintf("usage-late-s=%v", usageDue.Seconds()),
		fmt.Sprintf("usage-tolerance=%v", usageTolerance), fmt.Sprintf("lease-ms=%d", leaseTime.Milliseconds()),
		fmt.Sprintf("thaw-ms=%d", thawTime.Milliseconds()), "require-fence=false",
	}
}

// holder returns the entry whose report was accepted last, or the first entry.
func (u *usageChecks) holder() *entryProcess {
	last := u.api.LastSender().String()
	i := slices.IndexFunc(u.fleet.entries, func(e *entryProcess) bool { return e.address == last })
	return u.fleet.entries[max(0, i)]
}

// disturb injects a fault of the cloud API for a time.
func (u *usageChecks) disturb(ctx context.Context, fault string, d time.Duration) {
	var f platformemulator.UsageFaults
	switch fault {
	case "slow":
		f.SlowBy = 1500 * time.Millisecond
	case "down":
		f.Down = true
	case "lost":
		f.LoseResponses = true
	default:
		f.Status, _ = strconv.Atoi(fault)
	}
	u.api.SetFaults(f)
	wait(ctx, d)
	u.api.SetFaults(platformemulator.UsageFaults{})
}

// cut cuts an entry off from the store or the platform for a time: open connections are reset,
// and calls on new ones get no response.
func (u *usageChecks) cut(ctx context.Context, e *entryProcess, from string, d time.Duration) {
	g := u.stores[e.number-1]
	if from == "platform" {
		g = u.cloud[e.number-1]
	}
	err := g.serve(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	wait(ctx, d)
	u.api.Resumed(netip.MustParseAddr(e.address))
	if err := errors.Join(err, g.serve(g.handler)); err != nil {
		u.fleet.checks.report("HARNESS", "%v", err)
	}
}

// suspend suspends the process of an entry for a time.
func (e *entryProcess) suspend(d time.Duration) {
	p := e.current()
	if p == nil {
		return
	}
	o := outage{begin: time.Now()}
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	e.fleet.usage.api.Resumed(netip.MustParseAddr(e.address))
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	o.end = time.Now()
	p.mu.Lock()
	p.suspended = append(p.suspended, o)
	p.mu.Unlock()
	e.fleet.checks.addSuspension(o)
}

// endAll records that the fleet is about to stop.
func (u *usageChecks) endAll() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = time.Now()
}

func (u *usageChecks) addRestore() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.restores = append(u.restores, time.Now())
}

func (u *usageChecks) addProcess(p *process) {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.processes = append(u.processes, p)
}

func windowOf(at time.Time) int64 { return at.UnixNano() / int64(usageWindow) }

func windowEnd(window int64) time.Time { return time.Unix(0, (window+1)*int64(usageWindow)) }

// check compares the reports with what servers ran. It is called when all processes have ended.
// It returns a summary.
func (u *usageChecks) check(c *checks) (summary string) {
	for _, text := range u.api.Violations() {
		c.report("USAGE", "%s", text)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	reports := map[int64]map[string]int64{}
	accepted := u.api.Reports()
	for window, r := range accepted {
		reports[window] = r.Counts
	}
	isCalm := func(window int64) bool {
		until := windowEnd(window).Add(usageDue)
		if r, ok := accepted[window]; ok {
			until = r.Accepted
		}
		return u.isCalm(c, windowEnd(window-1), windowEnd(window), until)
	}
	isDue := func(window int64) bool { return u.ended.Sub(windowEnd(window)) > usageDue }
	ran := c.runs.countByWindow(0)
	for _, text := range usageFaults(ran, c.runs.countByWindow(boundaryTime), reports, isCalm, isDue) {
		c.report("USAGE", "%s", text)
	}
	calm := 0
	for window := range ran {
		if _, ok := reports[window]; isCalm(window) && (ok || isDue(window)) {
			calm++
		}
	}
	return fmt.Sprintf("%d windows of usage, %d reported, %d calm ones compared in full", len(ran), len(reports), calm)
}

// isCalm reports whether the counts of a window that is reported at a time must be complete: no
// entry was killed or suspended in it, an entry ran from its begin on, since counts are in
// memory only, and no holder was lost beside a restore of the store, which makes the next one leave
// windows out that may have been reported. The caller holds the lock.
func (u *usageChecks) isCalm(c *checks, begin, end, reported time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	within := func(from, to time.Time) bool {
		return slices.ContainsFunc(c.kills, func(at time.Time) bool { return !at.Before(from) && at.Before(to) }) ||
			slices.ContainsFunc(c.suspensions, func(o outage) bool { return o.begin.Before(to) && o.end.After(from) })
	}
	if within(begin, end.Add(usageLoss)) || !slices.ContainsFunc(u.processes, func(p *process) bool { return p.servedFrom(begin, reported) }) {
		return false
	}
	return !slices.ContainsFunc(u.restores, func(at time.Time) bool {
		return at.After(begin) && at.Before(reported) && within(at.Add(-usageDue), at.Add(usageDue))
	})
}

// servedFrom reports whether the process was ready at a time and did not stop before another.
func (p *process) servedFrom(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.ready.IsZero() && p.ready.Before(from) &&
		(p.termed.IsZero() || p.termed.After(to)) && (p.exited.IsZero() || p.exited.After(to))
}

// usageLoss is the time before its end for which the counts of an entry that is killed are
// lost, as far as they have not been asked for.
const usageLoss = time.Second

// countByWindow returns the requests that servers began to run, by the window of the first run
// and by workspace. With a time around, it returns those that began so close to a bound of the
// window, on either side.
func (l *runLog) countByWindow(around time.Duration) map[int64]map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[int64]map[string]int64{}
	add := func(window int64, workspace string) {
		if counts[window] == nil {
			counts[window] = map[string]int64{}
		}
		counts[window][workspace]++
	}
	for _, runs := range l.runs {
		began, workspace := runs[0].began, runs[0].workspace
		if around == 0 {
			add(windowOf(began), workspace)
			continue
		}
		if before, after := windowOf(began.Add(-around)), windowOf(began.Add(around)); before != after {
			add(before, workspace)
			add(after, workspace)
		}
	}
	return counts
}

// usageFaults compares reports with what ran. Counts must not be too high in any window, nor
// too low in a calm one that is reported or due. The counts of a small window may differ by the
// requests that began near its bounds.
func usageFaults(ran, near, reports map[int64]map[string]int64, isCalm, isDue func(window int64) bool) (faults []string) {
	windows := map[int64]bool{}
	for window := range ran {
		windows[window] = true
	}
	for window := range reports {
		windows[window] = true
	}
	for _, window := range slices.Sorted(maps.Keys(windows)) {
		reported, ok := reports[window]
		workspaces := maps.Clone(ran[window])
		if workspaces == nil {
			workspaces = map[string]int64{}
		}
		for workspace := range reported {
			workspaces[workspace] += 0
		}
		for _, workspace := range slices.Sorted(maps.Keys(workspaces)) {
			want, got := workspaces[workspace], reported[workspace]
			tolerance := max(usageSlack, usageTolerance*float64(want), float64(near[window][workspace]))
			tooLow := float64(want-got) > tolerance && isCalm(window) && (ok || isDue(window))
			if float64(got-want) > tolerance || tooLow {
				faults = append(faults, fmt.Sprintf("window %d, which ended at %s: %d requests of %s reported (%t), %d ran",
					window, windowEnd(window).Format("05.000"), got, workspace, ok, want))
			}
		}
	}
	return faults
}

// TestFaultsOfUsage feeds the check of usage reports with reports.
func TestFaultsOfUsage(t *testing.T) {
	type counts = map[string]int64
	for _, c := range []struct {
		name          string
		ran, reported counts
		calm, due     bool
		faults        int
	}{
		{"exact", counts{"a": 100, "b": 2}, counts{"a": 100, "b": 2}, true, true, 0},
		{"within the tolerance", counts{"a": 100, "b": 2}, counts{"a": 95, "b": 5}, true, true, 0},
		{"too high", counts{"a": 100}, counts{"a": 106}, false, false, 1},
		{"too low", counts{"a": 100}, counts{"a": 94}, true, false, 1},
		{"too low beside a kill", counts{"a": 100}, counts{"a": 50}, false, true, 0},
		{"a workspace is missing", counts{"a": 100, "b": 4}, counts{"a": 100}, true, false, 1},
		{"a workspace that ran nothing", counts{"a": 100}, counts{"a": 100, "b": 4}, false, false, 1},
		{"reported without a run", nil, counts{"a": 4}, false, false, 1},
		{"not reported, though due", counts{"a": 4}, nil, true, true, 1},
		{"not reported yet", counts{"a": 4}, nil, true, false, 0},
		{"not reported beside a kill", counts{"a": 4}, nil, false, true, 0},
		{"began near a bound", counts{"near": 5}, counts{"near": 10}, true, true, 0},
		{"more than began near a bound", counts{"near": 5}, counts{"near": 11}, true, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			ran, reported := map[int64]counts{}, map[int64]counts{}
			if c.ran != nil {
				ran[7] = c.ran
			}
			if c.reported != nil {
				reported[7] = c.reported
			}
			faults := usageFaults(ran, map[int64]counts{7: {"near": 5}}, reported, func(int64) bool { return c.calm }, func(int64) bool { return c.due })
			is.New(t).Equal(len(faults), c.faults)
		})
	}
}

// TestCalmWindows guards against windows whose counts are not compared in full though they must
// be complete.
func TestCalmWindows(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	lived, stopped := &process{ready: at(1)}, &process{ready: at(1), termed: at(14)}
	for _, c := range []struct {
		name        string
		kill        float64
		suspensions []outage
		restore     float64
		process     *process
		want        bool
	}{
		{"no fault", 0, nil, 0, lived, true},
		{"killed in it", 11, nil, 0, lived, false},
		{"killed before it", 9.9, nil, 0, lived, true},
		{"killed before the report", 13.5, nil, 0, lived, true},
		{"suspended in it", 0, []outage{{at(8), at(10.1)}}, 0, lived, false},
		{"suspended before it", 0, []outage{{at(8), at(9.9)}}, 0, lived, true},
		{"store restored", 0, nil, 13, lived, true},
		{"store restored beside a kill", 13.5, nil, 13, lived, false},
		{"store restored after the report", 13.5, nil, 16, lived, true},
		{"all stopped before the report", 0, nil, 0, stopped, false},
		{"all started in it", 0, nil, 0, &process{ready: at(11)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			u, checks := &usageChecks{processes: []*process{c.process}}, &checks{suspensions: c.suspensions}
			if c.kill > 0 {
				checks.kills = []time.Time{at(c.kill)}
			}
			if c.restore > 0 {
				u.restores = []time.Time{at(c.restore)}
			}
			is.New(t).Equal(u.isCalm(checks, at(10), at(12), at(15)), c.want) // reported at 15
		})
	}
}
