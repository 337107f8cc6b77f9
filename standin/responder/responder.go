// Package responder emulates backend servers: slots, a queue, cold starts, load
// shedding and draining, with slowdowns, crashes and wrong responses on demand.
package responder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request headers that a Server understands besides those that entries send.
const (
	// WorkHeader gives the service time of a request on a warm server without
	// slowdown, as a duration.
	WorkHeader = "X-Work"
	// SizeHeader gives the size of the response body in bytes, if it is larger than that
	// of Body.
	SizeHeader = "X-Size"
	// PoisonHeader marks a request that crashes the server that executes it.
	PoisonHeader = "X-Poison"

	attemptIDHeader = "Samphire-Attempt-Id"
	drainingHeader  = "Samphire-Draining"
	rateLimitHeader = "Samphire-Rate-Limit"
	// retryAfterHeader asks for a pause, in seconds, with status 503.
	retryAfterHeader = "Retry-After"
	requestIDHeader  = "X-Request-Id"
	deadlineHeader   = "Samphire-Deadline"
	loadHeader       = "Endpoint-Load-Metrics"
)

const (
	// coldSlowdown is the factor by which a server is slower right after a cold
	// start. It falls linearly to one over the warm-up.
	coldSlowdown = 4.0
	// defaultColdOverloadTimeout is the default of Options.ColdOverloadTimeout.
	defaultColdOverloadTimeout = 150 * time.Millisecond
	// poisonDelay is the time that a poisonous request runs before the crash.
	poisonDelay = 3 * time.Millisecond
	// defaultWork is the service time of a request without a valid WorkHeader.
	defaultWork = 12 * time.Millisecond
)

// Options configure one server.
type Options struct {
	Name    string
	Version string
	// Slots is the number of requests that run at a time.
	Slots int
	// QueueLimit is the number of queued requests at which the server sheds
	// further ones.
	QueueLimit int
	// WarmUp is the time that a cold server takes to reach its full speed and
	// capacity.
	WarmUp time.Duration
	// ReportLag is the age of the reported load.
	ReportLag time.Duration
	// Executions records each execution of a request. Nil means that none is recorded.
	Executions *ExecLog
	// ColdOverloadTimeout is the time after which a cold server that holds more
	// than its capacity crashes. Zero means 150 ms.
	ColdOverloadTimeout time.Duration
	// ColdCapacityDelta is added to the capacity of a cold server.
	ColdCapacityDelta int
	// SwapWithMatchingID makes swapped responses carry the attempt id of the request,
	// so that only the body shows the swap.
	SwapWithMatchingID bool
	// HideRateLimit keeps the rate limit out of responses.
	HideRateLimit bool
	// HideDraining and HidePause keep the announcement of draining, and the time for which
	// the server wants no requests, out of responses.
	HideDraining bool
	HidePause    bool
	// Crash takes the server off the network. Its owner calls Restart later.
	Crash func()
	// Fault returns the fault of the server's version for a request, given the share
	// of slots in use. Nil means no faults.
	Fault func(r *http.Request, load float64) Fault
	// Downstream calls the next layer, if the server has one. Its status and header
	// are passed on.
	Downstream func(r *http.Request) (status int, header http.Header)
}

// Fault is what a bad version does to one request.
type Fault struct {
	// Fail makes the server respond with 500.
	Fail bool
	// SlowFactor multiplies the service time. Values below one count as one.
	SlowFactor float64
	// ShedAfterRun makes the server respond with 503, the shedding status, although
	// it executed the request.
	ShedAfterRun bool
	// RunTwice records a second execution of the request.
	RunTwice bool
}

// Server is one emulated backend server. It is an http.Handler.
type Server struct {
	options Options

	mu              sync.Mutex
	running         int
	waiting         []chan struct{}
	slowdown        float64
	changed         chan struct{} // closed and replaced when slowdown or coldSince is set
	coldSince       time.Time
	overloadedSince time.Time
	// preColdRequests is the number of requests held when the server turned cold,
	// less one for each request that has ended since. Those requests came to a warm
	// server, so they do not count against the capacity of a cold one.
	preColdRequests int
	down            bool
	draining        bool
	truncateNext    int
	swapNext        int
	extraNext       int
	repeatNext      int
	stopInHeadNext  int
	lastID          string
	stats           Stats
	reportedLoad    float64
	// rateLimit is the rate limit in force, or nil.
	rateLimit *RateLimit
	// pause is the time for which the server refuses all requests, or nil.
	pause *pause
}

// Stats counts what a server did.
type Stats struct {
	// Served counts the executed requests, also those that were aborted.
	Served int
	// Shed counts the requests that were refused because the queue was full.
	Shed int
	// OverloadCrashes counts how often the server was found overloaded for too long
	// while cold.
	OverloadCrashes int
	// Probes counts the health checks.
	Probes int
	// Crashes counts the poisonous requests that ran.
	Crashes int
	// MaxOverload is the largest number of requests held beyond the capacity of the
	// cold server.
	MaxOverload int
	// Busy is the total slot time used by requests.
	Busy time.Duration
	// LastStart is when a request last got its slot.
	LastStart time.Time
	// MaxInFlight is the largest number of requests held, running and queued.
	MaxInFlight int
	// MaxDuringPause is the largest number of requests and probes that one entry sent
	// during a pause that it was asked for.
	MaxDuringPause int
}

// New returns a warm server.
func New(o Options) *Server {
	if o.ColdOverloadTimeout == 0 {
		o.ColdOverloadTimeout = defaultColdOverloadTimeout
	}
	return &Server{options: o, slowdown: 1, changed: make(chan struct{})}
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Name returns the server's name.
func (s *Server) Name() string { return s.options.Name }

// SetSlowdown makes the server slower by a factor from now on, also for requests that
// run already. One means full speed.
func (s *Server) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
	s.notifySpeedChange()
}

// TurnCold makes the server cold without a sign to callers or entries. It keeps its
// requests and connections.
func (s *Server) TurnCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldSince = time.Now()
	s.overloadedSince = time.Time{}
	s.preColdRequests = s.running + len(s.waiting)
	s.notifySpeedChange()
}

// SetDraining sets whether responses carry the header that announces draining.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// Draining reports whether the server announces draining.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// TruncateNext truncates the next n responses halfway through the body.
func (s *Server) TruncateNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.truncateNext = n
}

// SwapNext makes the next n responses carry the body for the previous request.
func (s *Server) SwapNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.swapNext = n
}

// SendExtraNext makes the server send an unsolicited second response after each of the
// next n responses.
func (s *Server) SendExtraNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extraNext = n
}

// RepeatRefusalNext makes the server write the refusal of an earlier attempt once more
// before it executes each of the next n requests.
func (s *Server) RepeatRefusalNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repeatNext = n
}

// StopInHeadNext makes the server stop in the middle of the head of its next n responses,
// and close.
func (s *Server) StopInHeadNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopInHeadNext = n
}

// Restart brings a crashed server back, cold, without requests, a rate limit and a pause.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	s.running = 0
	s.preColdRequests = 0
	s.waiting = nil
	s.coldSince = time.Now()
	s.overloadedSince = time.Time{}
	s.rateLimit = nil
	s.pause = nil
	s.notifySpeedChange()
}

func (s *Server) notifySpeedChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// slowFactor returns the factor by which requests take longer now. The caller holds
// the lock.
func (s *Server) slowFactor(now time.Time) (factor float64) {
	factor = s.slowdown
	if w := s.warmth(now); w < 1 {
		factor *= coldSlowdown - (coldSlowdown-1)*w
	}
	return factor
}

// warmth returns the elapsed share of the warm-up: 0 for a server that has just turned
// cold and 1 for a warm one.
func (s *Server) warmth(now time.Time) float64 {
	if s.coldSince.IsZero() || s.options.WarmUp <= 0 {
		return 1
	}
	return min(1, float64(now.Sub(s.coldSince))/float64(s.options.WarmUp))
}

// capacity returns the number of requests that the server can hold now.
func (s *Server) capacity(now time.Time) int {
	w := s.warmth(now)
	if w >= 1 {
		return s.options.Slots + s.options.QueueLimit
	}
	return 1 + int(w*float64(s.options.Slots)) + s.options.ColdCapacityDelta
}

// overloadedTooLong reports whether the server is cold and has held more than its
// capacity for ColdOverloadTimeout. The caller holds the lock.
func (s *Server) overloadedTooLong(now time.Time) (overloaded bool) {
	held := s.running + len(s.waiting)
	s.stats.MaxInFlight = max(s.stats.MaxInFlight, held)
	overload := held - s.preColdRequests - s.capacity(now)
	if s.warmth(now) >= 1 || overload <= 0 {
		s.overloadedSince = time.Time{}
		return false
	}
	s.stats.MaxOverload = max(s.stats.MaxOverload, overload)
	if s.overloadedSince.IsZero() {
		s.overloadedSince = now
	}
	if now.Sub(s.overloadedSince) < s.options.ColdOverloadTimeout {
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
	if s.draining && !s.options.HideDraining {
		w.Header().Set(drainingHeader, "true")
	}
	if s.rateLimit != nil && !s.options.HideRateLimit {
		w.Header().Set(rateLimitHeader, strconv.FormatFloat(s.rateLimit.PerSecond, 'f', -1, 64))
	}
	w.Header().Set(loadHeader, fmt.Sprintf("TEXT application_utilization=%.3f", s.reportedLoad))
	s.mu.Unlock()
	s.recordDuringPause(time.Now(), r)
	if r.URL.Path == "/healthz" {
		s.health(w)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.recordArrival(time.Now())
	if s.refuseForPause(w, r) {
		return
	}
	if !s.acquireSlot(r.Context()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	repeat, stopInHead := s.repeatNext > 0, s.stopInHeadNext > 0
	if repeat {
		s.repeatNext--
	} else if stopInHead {
		s.stopInHeadNext--
	}
	s.mu.Unlock()
	switch {
	case repeat:
		s.repeatRefusal(w, r)
	case stopInHead:
		s.execute(r)
		stopInTheHead(w)
	default:
		s.writeResponse(w, r, s.execute(r))
	}
}

// repeatRefusal writes the refusal of another attempt, and then executes the request and
// responds to it.
func (s *Server) repeatRefusal(w http.ResponseWriter, r *http.Request) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(buffered, "HTTP/1.1 503 Service Unavailable\r\n%s: another\r\nContent-Length: 0\r\n\r\n", attemptIDHeader)
	_ = buffered.Flush()
	s.execute(r)
	body := Body(r.Header.Get(requestIDHeader))
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(buffered)
	_, _ = fmt.Fprintf(buffered, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_ = buffered.Flush()
	time.AfterFunc(extraResponseLinger, func() { _ = conn.Close() })
}

// stopInTheHead writes a part of the head of a response and closes the connection.
func stopInTheHead(w http.ResponseWriter) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(buffered)
	_, _ = buffered.WriteString("\r")
	_ = buffered.Flush()
	_ = conn.Close()
}

func (s *Server) health(w http.ResponseWriter) {
	s.mu.Lock()
	s.stats.Probes++
	s.mu.Unlock()
	time.Sleep(6 * time.Millisecond)
	w.WriteHeader(http.StatusOK)
}

// acquireSlot waits for a slot. It reports false if the server sheds the request.
func (s *Server) acquireSlot(ctx context.Context) bool {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if s.running < s.options.Slots && len(s.waiting) == 0 {
		s.running++
		s.mu.Unlock()
		s.crashIfOverloaded()
		return true
	}
	if len(s.waiting) >= s.options.QueueLimit {
		s.stats.Shed++
		s.mu.Unlock()
		return false
	}
	granted := make(chan struct{})
	s.waiting = append(s.waiting, granted)
	s.mu.Unlock()
	s.crashIfOverloaded()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
		s.leaveQueue(granted)
		panic(http.ErrAbortHandler)
	}
}

// leaveQueue removes a request from the queue, or releases the slot that it was granted
// since.
func (s *Server) leaveQueue(granted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, t := range s.waiting {
		if t == granted {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	s.release()
}

// release passes a slot on to the first queued request, or frees it. The caller holds
// the lock.
func (s *Server) release() {
	s.preColdRequests = max(0, s.preColdRequests-1)
	if len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		return
	}
	if s.running > 0 {
		s.running--
	}
}

func (s *Server) crashIfOverloaded() {
	s.mu.Lock()
	overloaded := s.overloadedTooLong(time.Now())
	s.mu.Unlock()
	if overloaded {
		s.crash()
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) crash() {
	s.mu.Lock()
	wasDown := s.down
	s.down = true
	s.mu.Unlock()
	if !wasDown && s.options.Crash != nil {
		s.options.Crash()
	}
}

// execute runs a request in its slot and returns the fault that applies to its response.
// It aborts the request when the caller disconnects.
func (s *Server) execute(r *http.Request) (fault Fault) {
	started := time.Now()
	s.options.Executions.record(r.Header.Get(requestIDHeader), s.options.Name)
	s.mu.Lock()
	s.stats.LastStart = started
	load := float64(s.running) / float64(s.options.Slots)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.stats.Busy += time.Since(started)
		s.stats.Served++
		s.reportLoad(load)
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
	fault.SlowFactor = 1
	if s.options.Fault != nil {
		fault = s.options.Fault(r, load)
	}
	if fault.RunTwice {
		s.options.Executions.record(r.Header.Get(requestIDHeader), s.options.Name)
	}
	s.run(r.Context(), time.Duration(float64(workOf(r))*max(fault.SlowFactor, 1)))
	return fault
}

// reportLoad sets the load that responses report, after ReportLag.
func (s *Server) reportLoad(load float64) {
	time.AfterFunc(s.options.ReportLag, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reportedLoad = load
	})
}

func workOf(r *http.Request) time.Duration {
	d, err := time.ParseDuration(r.Header.Get(WorkHeader))
	if err != nil {
		return defaultWork
	}
	return d
}

// run takes the time that work needs at the server's speed, which may change during the run.
func (s *Server) run(ctx context.Context, work time.Duration) {
	remaining := float64(work)
	for remaining > 0 {
		s.mu.Lock()
		now := time.Now()
		factor := s.slowFactor(now)
		changed := s.changed
		s.mu.Unlock()
		wait := time.Duration(remaining*factor) + 1
		if s.isCold(now) {
			// The speed of a cold server changes continuously, so it is sampled every
			// 20 ms.
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
		remaining -= float64(time.Since(now)) / factor
		s.crashIfOverloaded()
	}
}

func (s *Server) isCold(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.warmth(now) < 1
}

func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, fault Fault) {
	id := r.Header.Get(requestIDHeader)
	s.mu.Lock()
	truncate, swap, extra := s.truncateNext > 0, s.swapNext > 0, s.extraNext > 0
	if extra {
		s.extraNext--
	}
	if truncate {
		s.truncateNext--
	}
	if swap {
		s.swapNext--
	}
	previous := s.lastID
	s.lastID = id
	s.mu.Unlock()
	switch {
	case swap:
		if !s.options.SwapWithMatchingID {
			w.Header().Set(attemptIDHeader, "another")
		}
		_, _ = io.WriteString(w, Body(previous))
	case truncate:
		body := bodyFor(r)
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case extra:
		writeTwoResponses(w, id)
	case fault.ShedAfterRun:
		w.WriteHeader(http.StatusServiceUnavailable)
	case fault.Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case s.options.Downstream != nil:
		status, header := s.options.Downstream(r)
		for name, values := range header {
			w.Header()[name] = values
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, Body(id))
	default:
		_, _ = io.WriteString(w, bodyFor(r))
	}
}

// bodyFor returns the complete body of the response to a request, in the size that it asks
// for.
func bodyFor(r *http.Request) string {
	body := Body(r.Header.Get(requestIDHeader))
	size, _ := strconv.Atoi(r.Header.Get(SizeHeader))
	return body + strings.Repeat(".", max(0, size-len(body)))
}

// extraResponseLinger is the time for which a connection stays open after an unsolicited
// response.
const extraResponseLinger = time.Second

// writeTwoResponses sends a complete response and an unsolicited one after it.
func writeTwoResponses(w http.ResponseWriter, id string) {
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
	time.AfterFunc(extraResponseLinger, func() { _ = conn.Close() })
}

// Body returns the complete body of the response to a request.
func Body(requestID string) string {
	return "answer to " + requestID + "\n" + strings.Repeat(".", 200) + "\nend of " + requestID + "\n"
}

// ExecLog records the executions of each request over all servers.
type ExecLog struct {
	mu      sync.Mutex
	runs    map[string]int
	servers map[string][]string
}

// NewExecLog returns an empty execution log.
func NewExecLog() *ExecLog { return &ExecLog{runs: map[string]int{}, servers: map[string][]string{}} }

func (l *ExecLog) record(id, server string) {
	if l == nil || id == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	l.servers[id] = append(l.servers[id], server)
}

// Runs returns how often a request was executed.
func (l *ExecLog) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// Servers returns the servers that executed a request, in order.
func (l *ExecLog) Servers(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servers[id]
}

// Total returns the number of executions and the number of distinct requests.
func (l *ExecLog) Total() (runs, requests int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.runs {
		runs += n
	}
	return runs, len(l.runs)
}
