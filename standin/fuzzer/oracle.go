package fuzzer

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"samphiremux/entry/mover"
	"samphiremux/standin/caller"
	"samphiremux/standin/loadtester"
)

// Bounds that the users' brief promises.
const (
	// departureLimit is the time after which a server that drains, or whose failure
	// domain is out of service, gets no new work.
	departureLimit = 3 * time.Second
	// rollbackLimit is the time after which a version that was rolled back gets no new
	// work.
	rollbackLimit = 2 * time.Second
	// probeCost is the slot time of a probe, including its connection.
	probeCost = 7 * time.Millisecond
	// probeBudget is the fraction of a server's slot time that probes may use.
	probeBudget = 0.01
	// initialRetryTokens is the number of tokens in the retry budgets of a new entry
	// before any request adds to them: ten retries for each of two services.
	initialRetryTokens = 2 * 10
	// maxPoisonCrashes is the number of servers that one request may crash.
	maxPoisonCrashes = 2
	// rateLimitNotice is the time after a server first stated its rate limit from which
	// it holds. In any rateLimitWindow the server may then get rateLimitFactor times what
	// the limit allows, and rateLimitSlack more.
	rateLimitNotice = 3 * time.Second
	rateLimitWindow = 4 * time.Second
	rateLimitFactor = 1.5
	rateLimitSlack  = 5
	// maxDuringPause is the number of requests and probes that an entry may send to a server
	// that asked it for a pause, from half a second later to the end of the pause.
	maxDuringPause = 2
	// minFinalAnswered is the fraction of the calls that must be answered after all
	// faults have ended.
	minFinalAnswered = 0.97

	pollInterval = 100 * time.Millisecond
)

// Names of the invariants, one for each guarantee that must always hold.
const (
	invProbes    = "probe-budget"
	invCold      = "cold-start"
	invNoNewWork = "no-new-work"
	invVersion   = "bad-version"
	invAnswer    = "own-whole-answer"
	invNotRun    = "true-refusal"
	invOnce      = "at-most-once"
	invGraceful  = "graceful-shutdown"
	invConfig    = "accepted-configuration"
	invPoison    = "poison"
	invService   = "service-returns"
	invRetries   = "retry-budget"
	invRateLimit = "rate-limit"
	invServerCut = "server-cut"
	invPause     = "pause"
)

// oracle checks a run against the invariants.
type oracle struct {
	run *run

	mu sync.Mutex
	// violations holds the first violation of each invariant.
	violations []Violation
	// departures holds the servers that must get no new work, by name.
	departures map[string]departure
	// revisions holds the newest revision seen at each entry, by entry id.
	revisions map[string]uint64
	// rolledBack holds, for each server of a version that was rolled back, when the
	// oracle first saw the rollback.
	rolledBack map[string]time.Time
	// finalCalls counts the calls of the final load to services with an available
	// server, finalAnswered those that were answered, and finalFailures the other
	// results.
	finalCalls    int
	finalAnswered int
	finalFailures map[string]int
	// cutsAllowed reports whether the script kills or pauses entries, so that callers
	// may see broken connections.
	cutsAllowed bool
	// membershipChanges counts the steps after which a service may be served by
	// entries that do not know the suspects, the requests suspected of crashing servers.
	membershipChanges int
	// serverCuts holds the partitions of entries from all servers, by entry.
	serverCuts map[netip.Addr][]serverCut
	// settledFrom is the time from which an entry is in touch with the others again,
	// by entry.
	settledFrom map[netip.Addr]time.Time
	firstTries  map[string]*firstTries
}

func newOracle(r *run) *oracle {
	o := &oracle{
		run: r, departures: map[string]departure{}, revisions: map[string]uint64{}, rolledBack: map[string]time.Time{},
		finalFailures: map[string]int{}, serverCuts: map[netip.Addr][]serverCut{}, settledFrom: map[netip.Addr]time.Time{},
		firstTries: map[string]*firstTries{},
	}
	has := map[string]bool{}
	for _, st := range r.script.Steps {
		has[st.Verb] = true
		switch st.Verb {
		case "kill", "pause", "stop", "start", "cut", "cut-store", "lapse-all", "store-restore":
			o.membershipChanges++
		}
	}
	o.cutsAllowed = has["kill"] || has["pause"]
	return o
}

func (o *oracle) report(invariant, format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addViolation(invariant, format, args...)
}

// addViolation records a violation, the first of each invariant only. The caller holds
// mu.
func (o *oracle) addViolation(invariant, format string, args ...any) {
	if slices.ContainsFunc(o.violations, func(f Violation) bool { return f.Invariant == invariant }) {
		return
	}
	text := fmt.Sprintf("at %v: ", o.run.sinceStart().Round(time.Millisecond)) + fmt.Sprintf(format, args...)
	o.violations = append(o.violations, Violation{Invariant: invariant, Message: text})
}

// departure is the time at which a server begins to drain or is taken out of service.
// It must get no new work from departureLimit later.
type departure struct {
	at time.Time
	// revision is the revision of the document that takes the server out, or 0 if the
	// server itself announced that it drains.
	revision uint64
}

// recordDeparture records that a server must get no new work after departureLimit. An
// earlier departure stays in force.
func (o *oracle) recordDeparture(server string, d departure) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.departures[server]; !ok {
		o.departures[server] = d
	}
}

// clearDeparture records that a server may get work again.
func (o *oracle) clearDeparture(server string) {
	o.checkDepartures()
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.departures, server)
}

func (o *oracle) checkDepartures() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, d := range o.departures {
		o.checkLate(invNoNewWork, name, d.at, departureLimit, "it began to leave")
	}
}

// checkRateLimits checks the servers that state a rate limit. Entries that restart or are
// cut off do not know of it, so scripts with such steps are excused.
func (o *oracle) checkRateLimits() {
	if o.membershipChanges > 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, b := range o.run.cluster.Servers {
		l, ok := b.RateLimit()
		if !ok {
			continue
		}
		allowed := rateLimitFactor*l.PerSecond*rateLimitWindow.Seconds() + rateLimitSlack
		if got := l.MostArrivals(rateLimitWindow, l.Since.Add(rateLimitNotice)); float64(got) > allowed {
			o.addViolation(invRateLimit, "server %s got %d requests in %v at a limit of %v a second", name, got, rateLimitWindow, l.PerSecond)
		}
	}
}

func (o *oracle) checkVersions() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, at := range o.rolledBack {
		o.checkLate(invVersion, name, at, rollbackLimit, "its version was rolled back")
	}
}

// postponeDepartures restarts the time limit of departures by a document revision that
// no entry has in force, as long as no entry can reach the store to read it. The caller
// holds mu.
func (o *oracle) postponeDepartures() {
	if o.run.storeReachable() {
		return
	}
	for name, d := range o.departures {
		if d.revision > 0 && o.run.newestRevision() < d.revision {
			d.at = time.Now()
			o.departures[name] = d
		}
	}
}

// checkLate reports a server that last began work more than limit after since. The
// caller holds mu.
func (o *oracle) checkLate(invariant, server string, since time.Time, limit time.Duration, event string) {
	last := o.run.cluster.Servers[server].Stats().LastStart
	if late := last.Sub(since); late > limit {
		o.addViolation(invariant, "server %s got work %v after %s", server, late.Round(time.Millisecond), event)
	}
}

// checkCall checks the results of a call and its resends, in order.
func (o *oracle) checkCall(c caller.Call, final bool, results []caller.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	allNotRun := true
	for _, result := range results {
		switch r := result.(type) {
		case caller.Wrong:
			o.addViolation(invAnswer, "call %s got a wrong answer: %s", c.ID, r.Got)
			allNotRun = false
		case caller.Broken:
			if !o.cutsAllowed {
				o.addViolation(invGraceful, "connection of call %s broke: %v", c.ID, r.Cause)
			}
			allNotRun = false
		case caller.NoEntry:
			if !o.cutsAllowed {
				o.addViolation(invGraceful, "call %s reached no entry: %v", c.ID, r.Cause)
			}
			// The caller's HTTP client may have sent the call before it gave up.
			allNotRun = false
		case caller.Refused:
			allNotRun = allNotRun && r.Kind == "not-run"
		default:
			allNotRun = false
		}
	}
	runs := o.run.cluster.Executions.Runs(c.ID)
	if allNotRun && runs > 0 {
		o.addViolation(invNotRun, "call %s was refused as not run by %+v but ran %d times", c.ID, results, runs)
	}
	if c.Method != http.MethodGet && runs > 1 {
		o.addViolation(invOnce, "call %s (key %q) ran %d times, on %v: %+v", c.ID, c.Key, runs, o.run.cluster.Executions.Servers(c.ID), results)
	}
	if final && o.run.hasAvailableServer(c.Service) {
		o.finalCalls++
		last := results[len(results)-1]
		if _, ok := last.(caller.Whole); ok {
			o.finalAnswered++
		} else {
			o.finalFailures[fmt.Sprintf("%s %s %+v", c.Service, loadtester.ResultName(last), last)]++
		}
	}
}

// checkPoison checks how many servers a poison request crashed. Entries that join
// later, or that are partitioned from those that saw a crash, do not know of it, so each
// such change allows as many crashes again.
func (o *oracle) checkPoison(id string) {
	allowed := maxPoisonCrashes * (1 + o.membershipChanges)
	if runs := o.run.cluster.Executions.Runs(id); runs > allowed {
		o.report(invPoison, "request %s crashed %d servers", id, runs)
	}
}

// poll checks the state of the entries and servers at intervals until ctx ends.
func (o *oracle) poll(ctx context.Context) {
	for {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return
		}
		o.inspectEntries()
		o.checkDepartures()
		o.checkVersions()
		o.checkRateLimits()
	}
}

// inspectEntries checks that no entry goes back to an older revision, and records the
// servers of versions that entries have rolled back.
func (o *oracle) inspectEntries() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.postponeDepartures()
	for _, h := range o.run.cluster.Entries {
		if h.Entry == nil {
			continue
		}
		node := h.Entry.Node()
		id := node.Self().ID
		revision := uint64(node.Envelope().Revision)
		if revision > 0 && revision < o.revisions[id] {
			o.addViolation(invConfig, "%s went from revision %d back to %d", id, o.revisions[id], revision)
		}
		o.revisions[id] = max(o.revisions[id], revision)
		for _, s := range o.run.cluster.Document().Services {
			r, ok := node.MoveRecord(s.Name)
			if !ok || r.Phase != mover.RolledBack || s.Move == nil || r.Move != mover.ID(*s.Move) {
				continue
			}
			for _, srv := range s.Servers {
				if _, known := o.rolledBack[srv.Name]; !known && srv.Version == s.Move.To {
					o.rolledBack[srv.Name] = time.Now()
				}
			}
		}
	}
}

// checkRetries checks that the executions beyond the first of each request are within
// the retry budgets of all entries that ran, plus those that poison requests may take.
// The caller holds mu.
func (o *oracle) checkRetries() {
	runs, requests := o.run.cluster.Executions.Total()
	allowed := initialRetryTokens*(o.run.script.Entries+o.run.entryStarts) + o.run.poisonCount*maxPoisonCrashes*(1+o.membershipChanges)
	// Both services have the same retry budget.
	allowed += int(o.run.cluster.Document().Services[0].RetryBudget * float64(requests))
	if extra := runs - requests; extra > allowed {
		o.addViolation(invRetries, "%d runs beyond the first of %d requests, %d allowed", extra, requests, allowed)
	}
}

// finish checks the invariants that can be checked only at the end of a run.
func (o *oracle) finish() {
	o.checkDepartures()
	o.checkVersions()
	o.mu.Lock()
	defer o.mu.Unlock()
	elapsed := time.Since(o.run.began) + settleTime
	for _, b := range o.run.cluster.Servers {
		stats := b.Stats()
		if stats.OverloadCrashes > 0 {
			o.addViolation(invCold, "server %s crashed %d times from overload while cold; it held up to %d requests over its capacity", b.Name(), stats.OverloadCrashes, stats.MaxOverload)
		}
		if o.membershipChanges == 0 && stats.MaxDuringPause > maxDuringPause {
			o.addViolation(invPause, "server %s got %d requests of one entry during a pause", b.Name(), stats.MaxDuringPause)
		}
		allowed := probeBudget*float64(b.Declared.Slots)*float64(elapsed) + float64(probeCost)
		if used := float64(stats.Probes) * float64(probeCost); used > allowed {
			o.addViolation(invProbes, "server %s spent %v on probes, %v allowed", b.Name(), time.Duration(used), time.Duration(allowed))
		}
	}
	o.checkRetries()
	o.checkFirstTries()
	o.run.cluster.RefreshRevision()
	want := uint64(o.run.cluster.Revision())
	for _, h := range o.run.cluster.Entries {
		if got := uint64(h.Entry.Node().Envelope().Revision); got != want && !o.run.restored {
			o.addViolation(invConfig, "%s has revision %d at the end but %d was accepted", h.Entry.Node().Self().ID, got, want)
		}
	}
	if float64(o.finalAnswered) < minFinalAnswered*float64(o.finalCalls) {
		o.addViolation(invService, "after healing %d of %d calls were answered: %v", o.finalAnswered, o.finalCalls, o.finalFailures)
	}
}
