package fuzzer

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"samphiremux/standin/caller"
	"samphiremux/standin/netemulator"
	"samphiremux/standin/simulator"
)

const (
	// serverCutNotice is the time after an entry was partitioned from all servers from
	// which its callers must be served.
	serverCutNotice = 3 * time.Second
	// minServedRatio is the fraction of the first tries at partitioned entries that must
	// be served, relative to that at the others. Up to serverCutSlack first tries, and
	// serverCutShare of all, may fail at partitioned entries in any case.
	minServedRatio = 2.0 / 3
	serverCutSlack = 10
	serverCutShare = 1.0 / 50
	// minOtherTries is the number of first tries at the others below which there is no
	// rate to compare with.
	minOtherTries = 10
)

// serverCut is a partition of an entry from all servers. To is zero while it lasts.
type serverCut struct{ from, to time.Time }

// covers reports whether the cut lasts at a time.
func (c serverCut) covers(at time.Time) bool {
	return !at.Before(c.from) && (c.to.IsZero() || at.Before(c.to))
}

// firstTries counts the first tries of a service while an entry is partitioned.
type firstTries struct{ cut, cutServed, others, othersServed int }

func (o *oracle) recordServerCut(entry netip.Addr) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.serverCuts[entry] = append(o.serverCuts[entry], serverCut{from: time.Now()})
}

func (o *oracle) recordServersMended(entry netip.Addr) {
	o.mu.Lock()
	defer o.mu.Unlock()
	cuts := o.serverCuts[entry]
	if len(cuts) == 0 || !cuts[len(cuts)-1].to.IsZero() {
		return
	}
	cuts[len(cuts)-1].to = time.Now()
	o.postponeUnheardDepartures()
}

// postponeUnheardDepartures restarts the time limit of servers that announced that they
// are leaving while no entry got a response of theirs. The caller holds mu.
func (o *oracle) postponeUnheardDepartures() {
	for name, d := range o.departures {
		if d.revision == 0 && o.run.cluster.Servers[name].Stats().LastStart.Before(d.at) {
			d.at = time.Now()
			o.departures[name] = d
		}
	}
}

// recordStep records which entries a step puts out of touch with the other entries, the
// store or the callers, and when they will have settled again.
func (o *oracle) recordStep(st Step) {
	settled := time.Now().Add(settleTime)
	switch st.Verb {
	case "kill", "stop", "pause", "cut-store", "cut":
		settled = time.Now().Add(time.Hour)
	case "start", "resume", "mend-store", "mend":
	default:
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, arg := range st.Args {
		if i, err := strconv.Atoi(arg); err == nil && i >= 1 && i <= len(o.run.cluster.Entries) {
			o.settledFrom[o.run.cluster.Entries[i-1].Address] = settled
		}
	}
}

// cutFor returns how long an entry has been partitioned at a time, or had been within
// serverCutNotice before it. Lasting is true if it still is.
func (o *oracle) cutFor(entry netip.Addr, at time.Time) (d time.Duration, lasting bool) {
	for _, c := range o.serverCuts[entry] {
		switch {
		case c.covers(at):
			return at.Sub(c.from), true
		case !c.to.IsZero() && !at.Before(c.to) && at.Sub(c.to) < serverCutNotice:
			d = at.Sub(c.from)
		}
	}
	return d, false
}

// countFirstTry counts a first try that began at a time while an entry is partitioned.
func (o *oracle) countFirstTry(began time.Time, service string, result caller.Result) {
	entry, served := firstEntry(result)
	o.mu.Lock()
	defer o.mu.Unlock()
	if !entry.IsValid() || began.Before(o.settledFrom[entry]) {
		return
	}
	t, ok := o.firstTries[service]
	if !ok {
		t = &firstTries{}
		o.firstTries[service] = t
	}
	n := 0
	if served {
		n = 1
	}
	d, lasting := o.cutFor(entry, began)
	switch {
	case lasting && d >= serverCutNotice && o.otherMember(service, began) && o.otherMember(service, time.Now()):
		t.cut++
		t.cutServed += n
	case d == 0 && o.anyCut(began):
		t.others++
		t.othersServed += n
	}
}

// otherMember reports whether a member of the service's subset is in touch and not
// partitioned at a time, so that there is an entry that can serve.
func (o *oracle) otherMember(service string, at time.Time) bool {
	return slices.ContainsFunc(o.run.cluster.Entries, func(h *simulator.Host) bool {
		if h.Entry == nil || at.Before(o.settledFrom[h.Address]) {
			return false
		}
		snapshot := h.Entry.Node().Snapshot()
		d, lasting := o.cutFor(h.Address, at)
		return d == 0 && !lasting && snapshot != nil && snapshot.Services[service] != nil && snapshot.Services[service].InSubset
	})
}

// anyCut reports whether an entry has been partitioned for serverCutNotice at a time.
func (o *oracle) anyCut(at time.Time) bool {
	for entry := range o.serverCuts {
		if d, lasting := o.cutFor(entry, at); lasting && d >= serverCutNotice {
			return true
		}
	}
	return false
}

// firstEntry returns the entry of a first try, and whether it was served.
func firstEntry(result caller.Result) (entry netip.Addr, served bool) {
	switch r := result.(type) {
	case caller.Whole:
		return r.Entry.Addr(), true
	case caller.Failed:
		return r.Entry.Addr(), false
	case caller.Refused:
		return r.Entry.Addr(), false
	case caller.Wrong:
		return r.Entry.Addr(), false
	case caller.Broken:
		return r.Entry.Addr(), false
	default:
		return netip.Addr{}, false
	}
}

// onlyServerCuts reports whether the script has no trouble for the servers, the callers
// or other entries than partitions from all servers, so that all calls at entries that are
// not partitioned should be served.
func (o *oracle) onlyServerCuts() bool {
	return !slices.ContainsFunc(o.run.script.Steps, func(st Step) bool {
		switch st.Verb {
		case "cut-servers", "mend-servers", "store-down", "store-up", "store-slow", "apply", "move":
			return false
		default:
			return true
		}
	})
}

// checkFirstTries checks that callers of partitioned entries are served about as often as
// those of the others, and that the others do not suffer. The caller holds mu.
func (o *oracle) checkFirstTries() {
	for service, t := range o.firstTries {
		lost := float64(t.others - t.othersServed)
		if o.onlyServerCuts() && lost > serverCutSlack+serverCutShare*float64(t.others) && float64(t.othersServed) < minServedRatio*float64(t.others) {
			o.addViolation(invServerCut, "%d of %d first tries for %s were served at entries not cut off from all servers", t.othersServed, t.others, service)
		}
		failed := float64(t.cut - t.cutServed)
		if t.others < minOtherTries || failed <= serverCutSlack+serverCutShare*float64(t.cut) {
			continue
		}
		if float64(t.cutServed*t.others) < minServedRatio*float64(t.othersServed*t.cut) {
			o.addViolation(invServerCut, "%d of %d first tries for %s were served at entries cut off from all servers, %d of %d at the others",
				t.cutServed, t.cut, service, t.othersServed, t.others)
		}
	}
}

// serverPartitions lists the variants of cut-servers.
var serverPartitions = map[string]netemulator.Partition{
	"dropping": netemulator.Dropping, "resetting": netemulator.Resetting, "refusing": netemulator.Refusing,
}
