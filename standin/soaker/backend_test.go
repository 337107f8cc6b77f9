package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"samphiremux/platform/translator"
	"samphiremux/standin/platformemulator"
)

// Headers from the callers to the backend servers.
const (
	workHeader = "Work"
	// sentHeader holds when the caller began to send, in Unix nanoseconds.
	sentHeader = "Sent"
	sizeHeader = "Size"
	sumHeader  = "Sum"
)

const (
	// drainTime is the time after its announcement until which a leaving server gets work.
	drainTime = 2 * time.Second
	// drainExtra is the time for which it serves beyond that.
	drainExtra  = time.Second
	serverSlots = 64
	serverPort  = 8100
)

// run is one execution of a request.
type run struct {
	server    string
	signature string
	workspace string
	began     time.Time
	// brokenOff is set if the entry closed the connection while the server was at work.
	brokenOff bool
}

// runLog records the executions of each request over all servers, and what servers got that
// they must not get.
type runLog struct {
	mu     sync.Mutex
	runs   map[string][]*run
	faults []violation
}

func (l *runLog) begin(id, server, workspace string) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &run{server: server, signature: signatureOf(id, server), workspace: workspace, began: time.Now()}
	l.runs[id] = append(l.runs[id], r)
	return r
}

func (l *runLog) breakOff(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.brokenOff = true
}

func (l *runLog) report(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, violation{rule, fmt.Sprintf(format, args...)})
}

func signatureOf(id, server string) string {
	return fmt.Sprintf("%s.%08x", server, crc32.ChecksumIEEE([]byte(id+"/"+server)))
}

// bodyOf returns the body of a server's response.
func bodyOf(id, server string, size int) string {
	head := "answer of " + server + " to " + id + "\n"
	return head + strings.Repeat(".", max(0, size-len(head))) + "end\n"
}

// backend is one address at which servers run, one after another.
type backend struct {
	service string
	address string
	zone    string
	name    string
	store   *platformemulator.Store
	log     *runLog
	plant   string

	mu        sync.Mutex
	starts    int
	sequence  int
	id        string
	leavingAt time.Time
	paused    time.Time
	running   int
	server    *http.Server
}

// start starts a server with a new id and registers it.
func (b *backend) start() (err error) {
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.starts++
	b.id = fmt.Sprintf("%s-%d", b.name, b.starts)
	b.leavingAt = time.Time{}
	b.server = &http.Server{Handler: b}
	server := b.server
	b.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	b.register("ready")
	return nil
}

func (b *backend) register(state string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	value, _ := json.Marshal(map[string]any{
		"address": b.address, "born": b.starts,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": serverSlots},
		"status": map[string]any{"state": state, "sequence": b.sequence, "cold-left-ms": 0},
	})
	b.store.PutUnguarded("servers/"+b.id, value)
}

// leave announces that the server leaves, lets it end its work, and starts another one at
// its address.
func (b *backend) leave(ctx context.Context) {
	b.mu.Lock()
	if !b.leavingAt.IsZero() {
		b.mu.Unlock()
		return
	}
	id, server := b.id, b.server
	b.leavingAt = time.Now()
	b.mu.Unlock()
	b.register("draining")
	select {
	case <-time.After(drainTime + drainExtra):
	case <-ctx.Done():
		return
	}
	b.store.Commit(ctx, deleteOf("servers/"+id))
	_ = server.Shutdown(ctx)
	select {
	case <-time.After(drainTime):
	case <-ctx.Done():
		return
	}
	if err := b.start(); err != nil {
		b.log.report("HARNESS", "server %s: %v", b.name, err)
	}
}

func (b *backend) pause(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.paused = time.Now().Add(d)
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	id, leavingAt, pause := b.id, b.leavingAt, time.Until(b.paused)
	h := w.Header()
	h.Set(translator.HeaderLoad, fmt.Sprintf("%d,0,%d", b.running, serverSlots))
	b.mu.Unlock()
	if !leavingAt.IsZero() {
		h.Set(translator.HeaderLeaving, "1")
	}
	if r.URL.Path == "/health" {
		h.Set(translator.HeaderInstance, id)
		if !leavingAt.IsZero() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	requestID := r.Header.Get(translator.HeaderRequestID)
	h.Set(translator.HeaderRequestID, requestID)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get(translator.HeaderExpectInstance); want != "" && want != id {
		h.Set(translator.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if sum := r.Header.Get(sumHeader); sum != sumOf(string(body)) || !strings.HasSuffix(r.URL.RawQuery, requestID) {
		b.log.report("UNASKED", "request %s reached %s changed: %s %s, %d bytes", requestID, id, r.Method, r.URL, len(body))
	}
	b.log.checkIdentity(r, id)
	sent, _ := strconv.ParseInt(r.Header.Get(sentHeader), 10, 64)
	if late := time.Unix(0, sent).Sub(leavingAt); !leavingAt.IsZero() && late > drainTime {
		b.log.report("DRAIN", "request %s, sent %v after %s began to leave, reached it", requestID, late, id)
	}
	if pause > 0 {
		h.Set(translator.HeaderNotExecuted, "1")
		h.Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.execute(w, r, id)
}

func (b *backend) execute(w http.ResponseWriter, r *http.Request, id string) {
	requestID := r.Header.Get(translator.HeaderRequestID)
	workspace := r.Header.Get(translator.HeaderWorkspace)
	execution := b.log.begin(requestID, id, workspace)
	if b.plant == "run-twice" {
		b.log.begin(requestID, id, workspace)
	}
	b.mu.Lock()
	b.running++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.running--
		b.mu.Unlock()
	}()
	work, _ := time.ParseDuration(r.Header.Get(workHeader))
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		b.log.breakOff(execution)
		panic(http.ErrAbortHandler)
	}
	if b.plant == "refuse-after-run" {
		w.Header().Set(translator.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	size, _ := strconv.Atoi(r.Header.Get(sizeHeader))
	body := bodyOf(requestID, id, size)
	w.Header().Set(translator.HeaderSignature, execution.signature)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

func sumOf(body string) string { return fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(body))) }
