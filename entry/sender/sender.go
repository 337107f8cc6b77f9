// Package sender sends one attempt of a request to one backend server and tells
// how it ended. It knows what reached the server, which the rules for retries
// rest on.
package sender

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
)

const (
	// AttemptIDHeader carries an id that is unique to an attempt. Servers echo
	// it.
	AttemptIDHeader = "Samphire-Attempt-Id"
	// DrainingHeader is how a server says that it is leaving.
	DrainingHeader = "Samphire-Draining"

	// MaxBufferedBytes is the largest answer that is held until it is whole. Larger
	// answers are streamed.
	MaxBufferedBytes = 1 << 20

	maxHeaderBytes = 64 << 10
	// dialLimit bounds one dial. http.Transport goes on with a dial after its
	// request was given up, and the system's own limit is minutes, in which
	// the dial would use up one of the connections to the server. A lost SYN is
	// sent again after 1 s.
	dialLimit = 1500 * time.Millisecond
	// idleLife is the time for which an unused connection is kept. A connection
	// that has been unused for longer may have gone silent, and a new one costs a
	// millisecond.
	idleLife = 5 * time.Second
	// freshLife is the time for which a connection counts as proven for
	// requests that must not be sent twice.
	freshLife = time.Second
	// confirmLimit bounds the wait for 100 Continue.
	confirmLimit = 250 * time.Millisecond
	// continueForever keeps the transport from sending a body unasked.
	continueForever = 24 * time.Hour
)

// Dialer opens a connection to a backend server.
type Dialer func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// Sender keeps the connections to backend servers.
type Sender struct {
	dial Dialer

	mu     sync.Mutex
	routes map[netip.AddrPort]*route
}

// route holds the connections to one server. Requests that must not be sent
// twice use connections of their own, which are closed after a short idle time.
type route struct {
	repeatable *http.Transport
	single     *http.Transport
}

// New returns a sender without connections.
func New(dial Dialer) *Sender { return &Sender{dial: dial, routes: map[netip.AddrPort]*route{}} }

func (s *Sender) route(address netip.AddrPort, connections int) *route {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.routes[address]
	if !ok {
		half := max(1, connections/2)
		r = &route{repeatable: s.transport(address, half, idleLife), single: s.transport(address, half, freshLife)}
		s.routes[address] = r
	}
	return r
}

func (s *Sender) transport(address netip.AddrPort, connections int, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialLimit)
			defer cancel()
			return s.dial(ctx, address)
		},
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idle,
		ExpectContinueTimeout:  continueForever,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// Retain closes the connections to all servers that keep rejects.
func (s *Sender) Retain(keep func(netip.AddrPort) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, r := range s.routes {
		if keep(address) {
			continue
		}
		delete(s.routes, address)
		r.repeatable.CloseIdleConnections()
		r.single.CloseIdleConnections()
	}
}

// CloseIdle closes unused connections to a server, as after one of the same
// age went silent.
func (s *Sender) CloseIdle(address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.routes[address]; ok {
		r.repeatable.CloseIdleConnections()
		r.single.CloseIdleConnections()
	}
}

// Reachable tells whether the server still accepts connections.
func (s *Sender) Reachable(ctx context.Context, address netip.AddrPort) bool {
	conn, err := s.dial(ctx, address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// Request is a request to send.
type Request struct {
	Method           string
	Host             string
	URI              string
	Header           http.Header
	Body             []byte
	AttemptID        string
	Idempotent       bool
	EchoRequired     bool
	SheddingStatuses []int
	Address          netip.AddrPort
	// MaxConnections bounds the connections to the server.
	MaxConnections int
}

// Response is a server's answer. Remainder is nil if Body is the whole answer.
type Response struct {
	Status    int
	Header    http.Header
	Body      []byte
	Remainder io.ReadCloser
	Draining  bool
}

// attempt watches one attempt.
type attempt struct {
	gate      *gate
	conn      atomic.Pointer[net.Conn]
	confirmed chan struct{}
	once      sync.Once
	started   atomic.Bool // a header was written
	written   atomic.Bool // the whole request was written
	broken    atomic.Bool // writing failed before the end
}

func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			a.conn.Store(&info.Conn)
			a.started.Store(false)
			a.broken.Store(false)
		},
		WroteHeaderField: func(string, []string) { a.started.Store(true) },
		Got100Continue:   a.confirm,
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			a.broken.Store(info.Err != nil)
			a.written.Store(info.Err == nil)
		},
		GotFirstResponseByte: a.confirm,
	}
}

func (a *attempt) confirm() { a.once.Do(func() { close(a.confirmed) }) }

// hangUp closes the connection of the attempt.
func (a *attempt) hangUp() {
	if c := a.conn.Load(); c != nil {
		_ = (*c).Close()
	}
}

// Send sends a message and waits for its answer until ctx ends. The answer is
// set if the outcome is Answered.
func (s *Sender) Send(ctx context.Context, m Request) (answer *Response, o retrier.Outcome) {
	a := &attempt{confirmed: make(chan struct{})}
	sendCtx, cancel := context.WithCancelCause(httptrace.WithClientTrace(ctx, a.trace()))
	req, expects := m.request(sendCtx, a)
	r := s.route(m.Address, m.MaxConnections)
	transport := r.repeatable
	if !m.Idempotent {
		transport = r.single
	}
	if expects {
		stop := a.watchConfirmation(cancel)
		defer stop()
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		cancel(nil)
		return nil, a.failed(ctx, expects, err)
	}
	answer, o = m.read(resp, a, cancel)
	return answer, o
}

// request builds the HTTP request. It has no GetBody, so that the transport
// never sends it twice on its own.
func (m Request) request(ctx context.Context, a *attempt) (req *http.Request, expects bool) {
	req = (&http.Request{
		Method: m.Method, Host: m.Host, Header: m.Header.Clone(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	req.URL = requestURL(m.URI, m.Address)
	req.Header.Set(AttemptIDHeader, m.AttemptID)
	if !m.Idempotent || len(m.Body) > 0 {
		a.gate = newGate(m.Body)
		req.Body = a.gate
		req.ContentLength = int64(len(m.Body))
	}
	expects = !m.Idempotent && len(m.Body) > 0
	if expects {
		req.Header.Set("Expect", "100-continue")
	}
	return req, expects
}

// watchConfirmation ends an attempt whose server does not confirm the request
// in time, unless its body has already been sent.
func (a *attempt) watchConfirmation(cancel context.CancelCauseFunc) (stop func()) {
	timer := time.AfterFunc(confirmLimit, func() {
		select {
		case <-a.confirmed:
		default:
			if a.gate.withhold() {
				cancel(errGateClosed)
			}
		}
	})
	return func() { timer.Stop() }
}

// failed classifies an attempt without an answer.
func (a *attempt) failed(ctx context.Context, expects bool, err error) retrier.Outcome {
	defer a.hangUp()
	switch {
	case a.conn.Load() == nil, !a.started.Load():
		return retrier.NotSent{Cause: err}
	case expects && a.gate.withhold():
		return retrier.Unconfirmed{}
	case a.broken.Load() && !a.written.Load() && ctx.Err() == nil:
		return retrier.NotSent{Cause: err}
	case ctx.Err() != nil:
		return retrier.TimedOut{}
	default:
		return retrier.ConnectionLost{Cause: err}
	}
}

// read takes in the answer. It stays within MaxBufferedBytes, and leaves the rest of
// a larger answer to be streamed.
func (m Request) read(resp *http.Response, a *attempt, cancel context.CancelCauseFunc) (answer *Response, o retrier.Outcome) {
	if got := resp.Header.Get(AttemptIDHeader); got != m.AttemptID && (got != "" || m.EchoRequired) {
		a.hangUp()
		cancel(nil)
		return nil, retrier.Mismatched{Got: got}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBufferedBytes+1))
	if err != nil {
		a.hangUp()
		cancel(nil)
		return nil, cutOutcome(err)
	}
	answer = &Response{
		Status: resp.StatusCode, Header: resp.Header, Body: body,
		Draining: resp.Header.Get(DrainingHeader) != "",
	}
	if len(body) > MaxBufferedBytes {
		answer.Remainder = &streamedBody{ReadCloser: resp.Body, cancel: cancel}
		return answer, retrier.Answered{}
	}
	_ = resp.Body.Close()
	cancel(nil)
	if slices.Contains(m.SheddingStatuses, resp.StatusCode) && resp.Header.Get(refuser.RefusalHeader) == "" {
		return answer, retrier.Shed{}
	}
	return answer, retrier.Answered{}
}

func cutOutcome(err error) retrier.Outcome {
	if errors.Is(err, context.DeadlineExceeded) {
		return retrier.TimedOut{}
	}
	return retrier.Truncated{Cause: fmt.Errorf("reading the answer: %w", err)}
}

type streamedBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

func (b *streamedBody) Close() error {
	defer b.cancel(nil)
	return b.ReadCloser.Close()
}
