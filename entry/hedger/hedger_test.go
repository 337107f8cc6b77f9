package hedger_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/hedger"
)

var start = time.Now()

// forEachLine runs a test for each line of a table that is no comment.
func forEachLine(t *testing.T, file string, test func(is *is.I, line string)) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if !strings.HasPrefix(line, "#") {
			t.Run(strings.TrimSpace(line), func(t *testing.T) { test(is.New(t), line) })
		}
	}
}

// TestDueAt guards against hedges of ordinary responses, and against hedges that come too
// late to serve the caller in time.
func TestDueAt(t *testing.T) {
	forEachLine(t, "_fixtures/due-at.txt", func(is *is.I, line string) {
		f := strings.Fields(line)
		after := func(i int) time.Duration {
			d, err := time.ParseDuration(f[i])
			is.NoErr(err)
			return d
		}
		a := hedger.Attempt{Service: "s", Route: "r", Sent: start, Expected: after(0), Usual: after(1), Deadline: start.Add(after(3))}
		if f[2] != "-" {
			a.Objective = start.Add(after(2))
		}
		is.Equal(hedger.New(0.05).DueAt(a).Sub(start), after(5))
	})
}

// TestLimitOfAllEntries guards against entries that together exceed the operators' limit:
// each hedges as often as it is allowed to, and the load is divided unevenly.
func TestLimitOfAllEntries(t *testing.T) {
	for _, entries := range []int{1, 16, 116, 471} {
		for _, limit := range []float64{0, 0.02, 0.1, 1} {
			t.Run(strconv.Itoa(entries)+" entries "+strconv.FormatFloat(limit, 'f', -1, 64), func(t *testing.T) {
				is := is.New(t)
				rng := rand.New(rand.NewPCG(1, uint64(entries)))
				fleet := make([]*hedger.Hedger, entries)
				for i := range fleet {
					fleet[i] = hedger.New(limit)
				}
				requests, hedges := 0, 0
				for range 200 * entries {
					// The cube concentrates the load on the first entries.
					h := fleet[int(float64(entries)*math.Pow(rng.Float64(), 3))]
					h.ObserveRequest("s")
					requests++
					for range 3 {
						if _, ok := h.Admit(start, "s").(hedger.Hedge); ok && h.Take("s") {
							hedges++
						}
					}
					is.True(float64(hedges) <= limit*float64(requests)+1e-6)
				}
				is.True(float64(hedges) >= limit*float64(requests)-4*float64(entries))
			})
		}
	}
}

// TestSavedHedges guards against a service that saves hedges for hours and then doubles the
// load of its servers.
func TestSavedHedges(t *testing.T) {
	is := is.New(t)
	h := hedger.New(0.5)
	for range 1000 {
		h.ObserveRequest("s")
	}
	for range 4 {
		is.True(h.Take("s"))
	}
	is.True(!h.Take("s"))
}

// TestShortage guards against hedges that take the place of requests which wait or are
// refused.
func TestShortage(t *testing.T) {
	is := is.New(t)
	h := hedger.New(1)
	h.ObserveRequest("s")
	h.ObserveRequest("other")
	h.ObserveShortage(start, "s")
	is.Equal(h.Admit(start.Add(900*time.Millisecond), "s"), hedger.Verdict(hedger.Skip{Reason: hedger.Shortage}))
	is.Equal(h.Admit(start, "other"), hedger.Verdict(hedger.Hedge{}))
	is.Equal(h.Admit(start.Add(1100*time.Millisecond), "s"), hedger.Verdict(hedger.Hedge{}))
}

// TestTargets guards against hedges at servers that are full, slow, cold or state a rate
// limit.
func TestTargets(t *testing.T) {
	is := is.New(t)
	good := hedger.Target{FreeSlots: 1, Slowness: 1}
	is.True(good.Suits())
	for _, change := range []func(*hedger.Target){
		func(t *hedger.Target) { t.FreeSlots = 0 },
		func(t *hedger.Target) { t.Slowness = 7 },
		func(t *hedger.Target) { t.Cold = true },
		func(t *hedger.Target) { t.RateLimited = true },
	} {
		bad := good
		change(&bad)
		is.True(!bad.Suits())
	}
}

const (
	usual     = 80 * time.Millisecond
	objective = 250 * time.Millisecond
	deadline  = time.Second
)

// latency draws the latency of an attempt. Some responses are slow since a noisy neighbour
// came, or lost.
func latency(rng *rand.Rand) time.Duration {
	d := time.Duration(float64(usual) * math.Exp(0.3*rng.NormFloat64()))
	switch draw := rng.Float64(); {
	case draw < 0.01:
		return time.Hour
	case draw < 0.05:
		return 7 * d
	}
	return d
}

// play sends requests one after the other and returns the share in time, the share without
// a response, and the hedges for each request.
func play(limit float64, requests int) (inTime, lost, hedged float64) {
	rng := rand.New(rand.NewPCG(7, 7))
	h := hedger.New(limit)
	now := start
	for range requests {
		now = now.Add(200 * time.Millisecond)
		h.ObserveRequest("s")
		due := h.DueAt(hedger.Attempt{
			Service: "s", Route: "r", Sent: now, Expected: usual, Usual: usual, Objective: now.Add(objective), Deadline: now.Add(deadline),
		})
		took := latency(rng)
		seen := took
		if wait := due.Sub(now); wait < took {
			if _, ok := h.Admit(now, "s").(hedger.Hedge); ok && h.Take("s") {
				hedged++
				took = min(took, wait+latency(rng))
				seen = took
			}
		}
		h.ObserveLatency(now, "r", float64(min(seen, deadline))/float64(usual))
		switch {
		case took <= objective:
			inTime++
		case took > deadline:
			lost++
		}
	}
	n := float64(requests)
	return inTime / n, lost / n, hedged / n
}

// TestSlowAndLostResponses plays the load that hedges are for: 4 in 100 responses slow and
// 1 in 100 lost. It guards against a limit that is spent on responses that are not late.
func TestSlowAndLostResponses(t *testing.T) {
	is := is.New(t)
	before, lostBefore, none := play(0, 20000)
	is.Equal(none, 0.0)
	for _, limit := range []float64{0.02, 0.05, 0.1} {
		inTime, lost, hedged := play(limit, 20000)
		t.Logf("limit %.2f: in time %.3f (%.3f without), lost %.4f (%.4f), hedged %.3f", limit, inTime, before, lost, lostBefore, hedged)
		is.True(hedged <= limit)
		// At twice the usual latency, about one response in four is just slow by chance, and
		// one hedge in four takes too long itself, so half of the hedges can gain.
		is.True(inTime-before >= min(limit, 1-before)*0.4)
		is.True(lost <= lostBefore)
	}
}

// TestStuckRoute guards against a route whose responses all become slow: hedges follow what
// its responses take now.
func TestStuckRoute(t *testing.T) {
	is := is.New(t)
	h := hedger.New(0.05)
	a := hedger.Attempt{Service: "s", Route: "r", Sent: start, Expected: usual, Usual: usual, Deadline: start.Add(time.Minute)}
	for range 100 {
		h.ObserveLatency(start, "r", 1)
	}
	fast := h.DueAt(a)
	is.True(fast.Sub(start) < 2*usual)
	for range 100 {
		h.ObserveLatency(start, "r", 6)
	}
	is.True(h.DueAt(a).Sub(start) > 4*usual)
	for i := range 100 {
		// Windows of 10 s pass, until only fast responses count.
		h.ObserveLatency(start.Add(time.Duration(i)*time.Second), "r", 1)
	}
	is.True(h.DueAt(a).Sub(start) < 2*usual)
}

// TestDueBy guards against hedges by evidence that cannot respond before the attempt, and
// against evidence without effect.
func TestDueBy(t *testing.T) {
	const ms = time.Millisecond
	forEachLine(t, "_fixtures/due-by.txt", func(is *is.I, line string) {
		var expected, usual, deadline, after time.Duration
		var slowness, stated float64
		var due bool
		_, err := fmt.Sscan(line, &expected, &usual, &deadline, &slowness, &stated, &after, &due)
		is.NoErr(err)
		a := hedger.Attempt{Sent: start, Expected: expected * ms, Usual: usual * ms, Deadline: start.Add(deadline * ms), Slowness: slowness}
		evidence := hedger.Evidence(hedger.Lost{})
		if stated > 0 {
			evidence = hedger.Slowed{Slowness: stated}
		}
		is.Equal(a.DueBy(start.Add(after*ms), evidence), due)
	})
}

// playTurns sends requests with an objective of 1.5 times the usual latency, each to a server
// that is fast at the send. Each server then becomes seven times slower for half a second
// after 1.25 s on average. The entry gets its responses perSecond times a second by its other
// requests. It returns the share in time, the share that is late without a hedge and whose
// server stated that it is slow while a hedge could be in time, and the hedges for each request.
func playTurns(perSecond, limit float64) (inTime, avoidable, hedged float64) {
	const typical, target, requests = 165 * time.Millisecond, 250 * time.Millisecond, 20000
	rng := rand.New(rand.NewPCG(3, 3))
	draw := func() (took, onset time.Duration) {
		work := time.Duration(float64(typical) * math.Exp(0.15*rng.NormFloat64()))
		onset = time.Duration(rng.ExpFloat64() * 1.25 * float64(time.Second))
		return work + 6*min(max(0, work-onset), time.Second/14), onset
	}
	h := hedger.New(limit)
	for i := range requests {
		sent := start.Add(time.Duration(i) * time.Second / 6)
		h.ObserveRequest("s")
		a := hedger.Attempt{
			Service: "s", Route: "r", Sent: sent, Expected: typical, Usual: typical, Slowness: 1,
			Objective: sent.Add(target), Deadline: sent.Add(time.Second),
		}
		took, onset := draw()
		again, _ := draw()
		report := onset + time.Duration(rng.ExpFloat64()/perSecond*float64(time.Second))
		if took > target && report+typical <= target {
			avoidable++
		}
		wait := h.DueAt(a).Sub(sent)
		if report < min(wait, onset+time.Second/2) && a.DueBy(sent.Add(report), hedger.Slowed{Slowness: 7}) {
			wait = report
		}
		if _, ok := h.AdmitFor(sent.Add(wait), a).(hedger.Hedge); ok && wait < took && h.Take("s") {
			hedged++
			took = min(took, wait+again)
		}
		h.ObserveLatency(sent, "r", float64(took)/float64(typical))
		if took <= target {
			inTime++
		}
	}
	return inTime / requests, avoidable / requests, hedged / requests
}

// TestServersThatBecomeSlow plays servers that become seven times slower for half a second
// while requests run there. It guards against a route whose objective is too near for a hedge
// after the usual latency, so that hedges gain nothing.
func TestServersThatBecomeSlow(t *testing.T) {
	is := is.New(t)
	const limit = 0.05
	before, _, _ := playTurns(1e-9, limit)
	for _, perSecond := range []float64{1, 4, 16} {
		inTime, avoidable, hedged := playTurns(perSecond, limit)
		t.Logf("%.0f reports a second: in time %.4f (%.4f without), avoidable %.4f, hedged %.4f", perSecond, inTime, before, avoidable, hedged)
		is.True(hedged <= limit)
		// Some hedges take longer than usual themselves, and some reports come when the limit
		// is used up, by hedges of other late responses too.
		is.True(inTime-before >= avoidable/2)
	}
}
