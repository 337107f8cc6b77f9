package scheduler_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"samphiremux/entry/scheduler"
)

const (
	work        = 70 * time.Millisecond
	timeLimit   = 800 * time.Millisecond
	slots       = 3
	serverQueue = 12
)

// played is one case of _fixtures/shared.json: entries that share servers without messages.
type played struct {
	Name    string
	Entries []int
	// Load is the load in multiples of the servers' capacity.
	Load float64
	// Objective is the latency objective in milliseconds.
	Objective time.Duration
	// Silent servers report no load, and Slow ones take seven times as long for half a second of
	// every two.
	Silent, Slow bool
	// Staleness is the milliseconds for which servers still count requests that have ended.
	Staleness time.Duration
	Callers   []caller
}

// caller is what callers of one kind send, and what they got.
type caller struct {
	Rank      int
	Workspace string
	Share     float64
	// Repeats reports that they retry without pause.
	Repeats bool
	// InTime is the least share of requests in percent that must be served in time.
	InTime float64 `json:"in-time"`

	sent, inTime, late, refusals, refusedTwice int
}

func (c *caller) percent(n int) float64 { return 100 * float64(n) / float64(max(1, c.sent)) }
func (c *caller) served() float64       { return c.percent(c.inTime + c.late) }

// fixture is the entries, servers and callers of one run. Its lock guards all their state.
type fixture struct {
	played
	before bool
	ranks  int
	target time.Duration

	begun time.Time

	mu      sync.Mutex
	rng     *rand.Rand
	servers []*server
	entries []*scheduler.Scheduler
	probes  int
}

type server struct {
	index int
	busy  int
	slots chan struct{}
}

func locked[T any](w *fixture, f func() T) T {
	w.mu.Lock()
	defer w.mu.Unlock()
	return f()
}

func (w *fixture) add(n *int, d int) { locked(w, func() int { *n += d; return *n }) }

func (w *fixture) draw() float64 { return locked(w, w.rng.Float64) }

// run runs a request at a server, unless the queue there is full.
func (w *fixture) run(s *server) (ok bool) {
	time.Sleep(time.Millisecond)
	if !locked(w, func() bool { return s.busy < slots+serverQueue }) {
		return false
	}
	w.add(&s.busy, 1)
	s.slots <- struct{}{}
	time.Sleep(time.Duration(w.slowness(s) * (60 + 20*w.draw()) * float64(time.Millisecond)))
	<-s.slots
	time.AfterFunc(w.Staleness*time.Millisecond, func() { w.add(&s.busy, -1) })
	return true
}

// slowness is how many times longer a server takes than usual at the moment.
func (w *fixture) slowness(s *server) float64 {
	if phase := time.Since(w.begun) / (500 * time.Millisecond); w.Slow && (int(phase)+s.index)%4 == 0 {
		return 7
	}
	return 1
}

// expected and fullAt are the rules of the balancer, the latter for requests of the highest rank.
func expected(busy int, slowness float64) time.Duration {
	factor := 1 + 0.4*float64(busy)/slots
	if busy >= slots {
		factor = 1.4 + 1.2*float64(busy-slots+1)/slots
	}
	return time.Duration(slowness * factor * float64(work))
}

func (w *fixture) fullAt(left time.Duration, slowness float64) (n int) {
	for n = slots; n < slots+serverQueue && expected(n, slowness) <= min(left, w.target*3/4); {
		n++
	}
	return n
}

// pick probes servers in rounds. A ticket of nil stands for the entry without a scheduler.
func (w *fixture) pick(e int, t *scheduler.Ticket, limit time.Time, probes int) (best *server) {
	bestCost, good := time.Duration(0), false
	for n := 0; n < probes && !good; n += 4 {
		time.Sleep(time.Duration((1 + 5*w.draw()) * float64(time.Millisecond)))
		w.mu.Lock()
		for range min(4, probes-n) {
			w.probes++
			s := w.servers[w.rng.IntN(len(w.servers))]
			busy, slowness := s.busy, w.slowness(s)
			if w.Silent {
				busy = 0
			}
			told := scheduler.Server{
				Busy: busy, Slots: slots, Full: w.fullAt(time.Until(limit), slowness), Work: time.Duration(slowness * float64(work)), Expected: expected(busy, slowness),
			}
			ok := told.Busy < told.Full
			if t != nil {
				ok = w.entries[e].Room(time.Now(), t, told)
			}
			if ok && (best == nil || told.Expected < bestCost) {
				best, bestCost, good = s, told.Expected, slowness == 1 && busy < slots
			}
		}
		w.mu.Unlock()
	}
	return best
}

// serve serves a request as the balancer does.
func (w *fixture) serve(c *caller, deadline time.Time) (retryAfter time.Duration, ok bool) {
	now, e := time.Now(), locked(w, func() int { return w.rng.IntN(len(w.entries)) })
	sched := w.entries[e]
	if w.before {
		s := w.pick(e, nil, deadline, 15)
		return 50 * time.Millisecond, s != nil && w.run(s)
	}
	t := locked(w, func() *scheduler.Ticket {
		return sched.Offer(now, scheduler.Request{
			Rank: c.Rank, Ranks: w.ranks, Workspace: c.Workspace, Route: "r", Target: w.target, Limit: deadline.Sub(now),
			Arrived: now, Deadline: deadline, Work: work * 14 / 10, Slots: slots,
		})
	})
	defer func() { locked(w, func() bool { sched.Done(t); return true }) }()
	limit, probes := t.Objective(), 15
	if locked(w, func() bool { return sched.Short(now) }) {
		probes = 7
	}
	if t.Late() {
		limit, probes = deadline, 3
	}
	for {
		decide := sched.Defer
		if locked(w, func() bool { return sched.MayTry(t) }) {
			if s := w.pick(e, t, limit, probes); s != nil {
				locked(w, func() bool { sched.Found(time.Now(), t); return true })
				ok = w.run(s)
				locked(w, func() bool { sched.Freed(); return true })
				return 50 * time.Millisecond, ok
			}
			decide, probes = sched.Missed, 4
		}
		switch v := locked(w, func() scheduler.Verdict { return decide(time.Now(), t) }).(type) {
		case scheduler.Refuse:
			return time.Until(v.RetryAt), false
		case scheduler.Wait:
			select {
			case <-t.Wake:
			case <-time.After(time.Until(v.Until)):
			}
		}
	}
}

// call sends a request until it is served, up to three times again.
func (w *fixture) call(c *caller) {
	w.add(&c.sent, 1)
	begun := time.Now()
	deadline := begun.Add(timeLimit)
	for try := 0; try < 4 && time.Until(deadline) > 20*time.Millisecond; try++ {
		after, ok := w.serve(c, deadline)
		switch {
		case ok && time.Since(begun) <= w.target:
			w.add(&c.inTime, 1)
			return
		case ok:
			w.add(&c.late, 1)
			return
		case try == 1:
			w.add(&c.refusedTwice, 1)
		}
		w.add(&c.refusals, 1)
		if !c.Repeats {
			time.Sleep(min(after, time.Until(deadline)/3))
		}
	}
}

// play sends requests for 10 s, or longer with few entries, and returns what the callers got.
func play(t *testing.T, p played, entries int, before bool) (w *fixture) {
	p.Callers = append([]caller(nil), p.Callers...)
	w = &fixture{played: p, target: p.Objective * time.Millisecond, before: before, rng: rand.New(rand.NewPCG(1, 1))}
	for _, c := range p.Callers {
		w.ranks = max(w.ranks, c.Rank+1)
	}
	synctest.Test(t, func(*testing.T) {
		w.begun = time.Now()
		for range max(2, int(8*float64(entries)/p.Load*work.Seconds()/slots+0.5)) {
			w.servers = append(w.servers, &server{index: len(w.servers), slots: make(chan struct{}, slots)})
		}
		rate := p.Load * float64(len(w.servers)) * slots / work.Seconds()
		for range entries {
			w.entries = append(w.entries, scheduler.New(w.rng.Float64))
		}
		duration := 10 * time.Second * time.Duration(min(8, max(1, 100/entries)))
		var wg sync.WaitGroup
		for i := range w.Callers {
			c := &w.Callers[i]
			wg.Go(func() {
				for end := time.Now().Add(duration); time.Now().Before(end); {
					time.Sleep(time.Duration(2 * w.draw() / (rate * c.Share) * float64(time.Second)))
					wg.Go(func() { w.call(c) })
				}
			})
		}
		wg.Wait()
	})
	return w
}

// TestSharedServers guards against requests of a low rank or of a large workspace that take
// the capacity that more urgent ones need, against ranks, workspaces and callers that starve,
// and against callers that gain by retries without pause, where no entry knows of another.
func TestSharedServers(t *testing.T) {
	data, err := os.ReadFile("_fixtures/shared.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []played
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, p := range cases {
		for _, entries := range p.Entries {
			t.Run(fmt.Sprintf("%s, %d entries", p.Name, entries), func(t *testing.T) {
				checkShares(t, play(t, p, entries, true), play(t, p, entries, false))
			})
		}
	}
}

func checkShares(t *testing.T, before, w *fixture) {
	sent, served := 0, 0
	for i, c := range w.Callers {
		sent, served = sent+c.sent, served+c.inTime+c.late
		for _, c := range []caller{before.Callers[i], c} {
			t.Logf("rank %d %-5s sent %5d: in time %5.1f, late %4.1f, refused %5.1f, refused twice %5.1f, refusals %5.1f",
				c.Rank, c.Workspace, c.sent, c.percent(c.inTime), c.percent(c.late), 100-c.served(), c.percent(c.refusedTwice), c.percent(c.refusals))
		}
	}
	t.Logf("probes: %d before, %d after, for %d requests", before.probes, w.probes, sent)
	for _, c := range w.Callers {
		if c.percent(c.inTime) < c.InTime {
			t.Errorf("rank %d %s: %.1f %% served in time, want %.0f", c.Rank, c.Workspace, c.percent(c.inTime), c.InTime)
		}
		if overall := 100 * float64(served) / float64(sent); c.served() < overall/4 {
			t.Errorf("rank %d %s starves: %.1f %% served, %.1f of all", c.Rank, c.Workspace, c.served(), overall)
		}
		for _, o := range w.Callers {
			if (o.Rank > c.Rank || (o.Rank == c.Rank && o.Repeats && !c.Repeats)) && o.served() > c.served()+5 {
				t.Errorf("rank %d (repeats %v) is served better than rank %d: %.1f and %.1f %%", o.Rank, o.Repeats, c.Rank, o.served(), c.served())
			}
		}
	}
}
