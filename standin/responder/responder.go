// Package responder stands in for backend servers: slots, a queue, cold starts,
// shedding, draining, slowdowns, crashes, and wrong answers on demand.
package responder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Headers that the stand-in understands besides those of an entry.
const (
	// WorkHeader gives the work of a call as a duration on an undisturbed server.
	WorkHeader = "X-Work"
	// PoisonHeader marks a request that crashes the server that runs it.
	PoisonHeader = "X-Poison"

	attemptIDHeader = "Samphire-Attempt-Id"
	drainingHeader  = "Samphire-Draining"
	requestIDHeader = "X-Request-Id"
	deadlineHeader  = "Samphire-Deadline"
	loadHeader      = "Endpoint-Load-Metrics"
)

const (
	// coldSlowdown is the factor by which a cold server is slower at first.
	coldSlowdown = 4.0
	// defaultFallAfter is the time for which a cold server stands more than it
	// bears.
	defaultFallAfter = 150 * time.Millisecond
	// poisonDelay is the time that a crashing request runs.
	poisonDelay = 3 * time.Millisecond
	defaultWork = 12 * time.Millisecond
)

// Options describe one server.
type Options struct {
	Name    string
	Version string
	Slots   int
	// QueueLimit is the number of waiting requests from which it sheds load.
	QueueLimit int
	// WarmUp is the time that a cold server takes to bear its full load.
	WarmUp time.Duration
	// ReportLag is the age of what the load report says.
	ReportLag  time.Duration
	Executions *ExecLog
	// ColdOverloadTimeout is the time for which it stands too much work when cold.
	ColdOverloadTimeout time.Duration
	// ColdCapacityDelta changes the work that it bears when cold.
	ColdCapacityDelta int
	// SwapWithMatchingID gives crossed answers the id of the request.
	SwapWithMatchingID bool
	// Crash takes the server off the network. It is brought back by its owner.
	Crash func()
	// Fault decides how the server's version misbehaves. Nil means not at all.
	Fault func(r *http.Request, load float64) Fault
	// Downstream calls the next layer, if the server has one. Its status is passed on.
	Downstream func(r *http.Request) (status int, header http.Header)
}

// Fault is what a bad version does to one request.
type Fault struct {
	Fail       bool
	SlowFactor float64
	// ShedAfterRun says of a request that ran that it did not.
	ShedAfterRun bool
	// RunTwice runs the request twice.
	RunTwice bool
}

// Server is one backend server. It is an http.Handler.
type Server struct {
	options Options

	mu        sync.Mutex
	running   int
	waiting   []chan struct{}
	slow      float64
	changed   chan struct{} // closed and replaced when the speed changes
	coldFrom  time.Time
	overSince time.Time
	// carried is the work that the server already held when it turned cold. It
	// came to a warm server, so it is not held against what a cold one bears.
	carried   int
	down      bool
	draining  bool
	cutNext   int
	crossNext int
	extraNext int
	lastID    string
	stats     Stats
	lagged    float64
}

// Stats counts what a server did.
type Stats struct {
	Served          int
	Shed            int
	OverloadCrashes int
	Probes          int
	Crashes         int
	// MaxOverload is the most work held beyond what a cold server bears.
	MaxOverload int
	// Busy is the slot time used for requests.
	Busy time.Duration
	// LastStart is when work last began.
	LastStart   time.Time
	MaxInFlight int
}

// New returns a warm server.
func New(o Options) *Server {
	if o.ColdOverloadTimeout == 0 {
		o.ColdOverloadTimeout = defaultFallAfter
	}
	return &Server{options: o, slow: 1, changed: make(chan struct{})}
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Name returns the server's name.
func (s *Server) Name() string { return s.options.Name }

// SetSlowdown makes the server slower by a factor from now on. One is undisturbed.
func (s *Server) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
	s.wake()
}

// TurnCold makes the server cold without a sign.
func (s *Server) TurnCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldFrom = time.Now()
	s.overSince = time.Time{}
	s.carried = s.running + len(s.waiting)
	s.wake()
}

// SetDraining makes the server say that it is leaving.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// Draining tells whether the server says that it is leaving.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// TruncateNext makes the next n answers end early.
func (s *Server) TruncateNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutNext = n
}

// SwapNext makes the next n answers belong to another request.
func (s *Server) SwapNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crossNext = n
}

// SendExtraNext makes the server send another answer behind each of the next n.
func (s *Server) SendExtraNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extraNext = n
}

// Restart brings a crashed server back, cold.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	s.running = 0
	s.carried = 0
	s.waiting = nil
	s.coldFrom = time.Now()
	s.overSince = time.Time{}
	s.wake()
}

func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// speed returns the factor by which work takes longer now, and when it changes
// by itself. The lock is held.
func (s *Server) speed(now time.Time) (factor float64) {
	factor = s.slow
	if w := s.warmth(now); w < 1 {
		factor *= coldSlowdown - (coldSlowdown-1)*w
	}
	return factor
}

// warmth returns 0 for a server that has just turned cold and 1 for a warm one.
func (s *Server) warmth(now time.Time) float64 {
	if s.coldFrom.IsZero() || s.options.WarmUp <= 0 {
		return 1
	}
	return min(1, float64(now.Sub(s.coldFrom))/float64(s.options.WarmUp))
}

// Bears returns the work that the server can hold now.
func (s *Server) bears(now time.Time) int {
	w := s.warmth(now)
	if w >= 1 {
		return s.options.Slots + s.options.QueueLimit
	}
	return 1 + int(w*float64(s.options.Slots)) + s.options.ColdCapacityDelta
}

// watchCold makes a cold server fall over that has held too much for too long.
// The lock is held.
func (s *Server) watchCold(now time.Time) (fell bool) {
	held := s.running + len(s.waiting)
	s.stats.MaxInFlight = max(s.stats.MaxInFlight, held)
	over := held - s.carried - s.bears(now)
	if s.warmth(now) >= 1 || over <= 0 {
		s.overSince = time.Time{}
		return false
	}
	s.stats.MaxOverload = max(s.stats.MaxOverload, over)
	if s.overSince.IsZero() {
		s.overSince = now
	}
	if now.Sub(s.overSince) < s.options.ColdOverloadTimeout {
		return false
	}
	s.stats.OverloadCrashes++
	return true
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(attemptIDHeader); id != "" {
		w.Header().Set(attemptIDHeader, id)
	}
	s.mu.Lock()
	if s.draining {
		w.Header().Set(drainingHeader, "true")
	}
	w.Header().Set(loadHeader, fmt.Sprintf("TEXT application_utilization=%.3f", s.lagged))
	s.mu.Unlock()
	if r.URL.Path == "/healthz" {
		s.health(w)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !s.enter(r.Context()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.answer(w, r, s.work(r))
}

func (s *Server) health(w http.ResponseWriter) {
	s.mu.Lock()
	s.stats.Probes++
	s.mu.Unlock()
	time.Sleep(6 * time.Millisecond)
	w.WriteHeader(http.StatusOK)
}

// enter waits for a slot. It reports false if the server sheds the request.
func (s *Server) enter(ctx context.Context) bool {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if s.running < s.options.Slots && len(s.waiting) == 0 {
		s.running++
		s.mu.Unlock()
		s.checkCold()
		return true
	}
	if len(s.waiting) >= s.options.QueueLimit {
		s.stats.Shed++
		s.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.mu.Unlock()
	s.checkCold()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		s.giveUp(turn)
		panic(http.ErrAbortHandler)
	}
}

// giveUp leaves the queue, or hands on the slot that came meanwhile.
func (s *Server) giveUp(turn chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, t := range s.waiting {
		if t == turn {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	s.release()
}

// release passes a slot on. The lock is held.
func (s *Server) release() {
	s.carried = max(0, s.carried-1)
	if len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		return
	}
	if s.running > 0 {
		s.running--
	}
}

func (s *Server) checkCold() {
	s.mu.Lock()
	fell := s.watchCold(time.Now())
	s.mu.Unlock()
	if fell {
		s.crash()
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) crash() {
	s.mu.Lock()
	already := s.down
	s.down = true
	s.mu.Unlock()
	if !already && s.options.Crash != nil {
		s.options.Crash()
	}
}

// work runs a request in its slot. A request whose caller leaves is given up.
func (s *Server) work(r *http.Request) (m Fault) {
	started := time.Now()
	s.options.Executions.ran(r.Header.Get(requestIDHeader), s.options.Name)
	s.mu.Lock()
	s.stats.LastStart = started
	load := float64(s.running) / float64(s.options.Slots)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.stats.Busy += time.Since(started)
		s.stats.Served++
		s.report(load)
		s.release()
		s.mu.Unlock()
	}()
	if r.Header.Get(PoisonHeader) != "" {
		time.Sleep(poisonDelay)
		s.mu.Lock()
		s.stats.Crashes++
		s.mu.Unlock()
		s.crash()
		panic(http.ErrAbortHandler)
	}
	m.SlowFactor = 1
	if s.options.Fault != nil {
		m = s.options.Fault(r, load)
	}
	if m.RunTwice {
		s.options.Executions.ran(r.Header.Get(requestIDHeader), s.options.Name)
	}
	s.run(r.Context(), time.Duration(float64(workOf(r))*max(m.SlowFactor, 1)))
	return m
}

// report changes the load that answers tell, with its lag.
func (s *Server) report(load float64) {
	time.AfterFunc(s.options.ReportLag, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lagged = load
	})
}

func workOf(r *http.Request) time.Duration {
	d, err := time.ParseDuration(r.Header.Get(WorkHeader))
	if err != nil {
		return defaultWork
	}
	return d
}

// run spends work at the server's speed, which may change meanwhile.
func (s *Server) run(ctx context.Context, work time.Duration) {
	left := float64(work)
	for left > 0 {
		s.mu.Lock()
		now := time.Now()
		factor := s.speed(now)
		changed := s.changed
		s.mu.Unlock()
		wait := time.Duration(left*factor) + 1
		if s.isCold(now) {
			// The speed of a cold server changes all the time.
			wait = min(wait, 20*time.Millisecond)
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-changed:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			panic(http.ErrAbortHandler)
		}
		left -= float64(time.Since(now)) / factor
		s.checkCold()
	}
}

func (s *Server) isCold(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.warmth(now) < 1
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, m Fault) {
	id := r.Header.Get(requestIDHeader)
	s.mu.Lock()
	cut, cross, extra := s.cutNext > 0, s.crossNext > 0, s.extraNext > 0
	if extra {
		s.extraNext--
	}
	if cut {
		s.cutNext--
	}
	if cross {
		s.crossNext--
	}
	previous := s.lastID
	s.lastID = id
	s.mu.Unlock()
	switch {
	case cross:
		if !s.options.SwapWithMatchingID {
			w.Header().Set(attemptIDHeader, "another")
		}
		_, _ = io.WriteString(w, Body(previous))
	case cut:
		body := Body(id)
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case extra:
		answerTwice(w, id)
	case m.ShedAfterRun:
		w.WriteHeader(http.StatusServiceUnavailable)
	case m.Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case s.options.Downstream != nil:
		status, header := s.options.Downstream(r)
		for name, values := range header {
			w.Header()[name] = values
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, Body(id))
	default:
		_, _ = io.WriteString(w, Body(id))
	}
}

// extraLife is the time for which a connection stays open behind an extra answer.
const extraLife = time.Second

// answerTwice sends a whole answer and one that nobody asked for behind it.
func answerTwice(w http.ResponseWriter, id string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	own, extra := Body(id), Body("nobody")
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(buffered)
	_, _ = fmt.Fprintf(buffered, "Content-Length: %d\r\n\r\n%s", len(own), own)
	_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(extra), extra)
	_ = buffered.Flush()
	time.AfterFunc(extraLife, func() { _ = conn.Close() })
}

// Body returns the whole answer to a request.
func Body(requestID string) string {
	return "answer to " + requestID + "\n" + strings.Repeat(".", 200) + "\nend of " + requestID + "\n"
}

// ExecLog counts how often each request ran, over all servers.
type ExecLog struct {
	mu   sync.Mutex
	runs map[string]int
	on   map[string][]string
}

// NewExecLog returns an empty execution log.
func NewExecLog() *ExecLog { return &ExecLog{runs: map[string]int{}, on: map[string][]string{}} }

func (l *ExecLog) ran(id, server string) {
	if l == nil || id == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	l.on[id] = append(l.on[id], server)
}

// Runs returns how often a request ran.
func (l *ExecLog) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// Servers returns the servers that ran a request, in order.
func (l *ExecLog) Servers(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.on[id]
}

// Total returns the number of runs of all requests, and of different requests.
func (l *ExecLog) Total() (runs, requests int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.runs {
		runs += n
	}
	return runs, len(l.runs)
}
