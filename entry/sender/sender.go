// Package sender sends single attempts of requests to backend servers over http.Transport
// and classifies their outcomes. It tracks how much of a request reached the server,
// which the rules for retries depend on.
package sender

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"samphiremux/entry/capper"
	"samphiremux/entry/refuser"
	"samphiremux/entry/reserver"
	"samphiremux/entry/retrier"
	"samphiremux/entry/sanitizer"
	"samphiremux/entry/throttler"
	"samphiremux/pkg/describer"
)

const (
	// AttemptIDHeader is the header with the unique id of an attempt. Servers echo
	// it in their responses.
	AttemptIDHeader = "Samphire-Attempt-Id"
	// DrainingHeader is set in the responses of a server that is draining.
	DrainingHeader = "Samphire-Draining"
	// RateLimitHeader states the requests per second that the server accepts from all
	// entries together, for as long as its responses carry it.
	RateLimitHeader = "Samphire-Rate-Limit"

	// MaxBufferedBytes is the size of the largest response body that is buffered.
	// Larger ones are streamed.
	MaxBufferedBytes = 1 << 20

	// maxHeaderBytes bounds the size of response headers.
	maxHeaderBytes = 64 << 10
	// dialTimeout bounds one dial. http.Transport continues a dial after its request
	// was cancelled, and the dial holds one of the server's connections until it ends,
	// for minutes if only the operating system's timeout applies. The timeout exceeds
	// 1 s, the time after which a lost SYN is retransmitted.
	dialTimeout = 1500 * time.Millisecond
	// idleTimeout is the time for which an idle connection for idempotent requests is
	// kept. One that has been idle for longer may no longer work, and a new one costs
	// only a millisecond.
	idleTimeout = 5 * time.Second
	// nonIdempotentIdleTimeout is the shorter time for which an idle connection is
	// considered reliable enough for requests that must not be sent twice.
	nonIdempotentIdleTimeout = time.Second
	// continueTimeout bounds the wait for 100 Continue.
	continueTimeout = 250 * time.Millisecond
	// transportContinueTimeout is so long that http.Transport never sends a body
	// without 100 Continue.
	transportContinueTimeout = 24 * time.Hour
)

// errLost ends attempts at servers that cannot be reached any more.
var errLost = errors.New("no server can be reached")

// Dialer opens a connection to a backend server.
type Dialer func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// Sender is an HTTP client for all backend servers. It pools the connections to each of
// them, and is safe for concurrent use.
type Sender struct {
	dial Dialer
	// buffers holds the response bodies that are being read. It may be nil.
	buffers *reserver.Reserver

	mu    sync.Mutex
	pools map[netip.AddrPort]*pool
}

// pool holds the connections to one server. Non-idempotent requests use separate
// connections, which are closed after a short idle time.
type pool struct {
	idempotent    *http.Transport
	nonIdempotent *http.Transport
	pause         throttler.Pause
}

// New returns a sender without connections.
func New(dial Dialer) *Sender { return &Sender{dial: dial, pools: map[netip.AddrPort]*pool{}} }

// pool returns the pool of a server, which it creates on first use. Each of the two
// transports gets half of the connections, and at least one.
func (s *Sender) pool(address netip.AddrPort, connections int) *pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[address]
	if !ok {
		half := max(1, connections/2)
		p = &pool{idempotent: s.transport(address, half, idleTimeout), nonIdempotent: s.transport(address, half, nonIdempotentIdleTimeout)}
		s.pools[address] = p
	}
	return p
}

func (s *Sender) transport(address netip.AddrPort, connections int, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			c, err := s.dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idle,
		ExpectContinueTimeout:  transportContinueTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// Retain removes the pools of all servers for which keep returns false, and closes their
// idle connections.
func (s *Sender) Retain(keep func(netip.AddrPort) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, p := range s.pools {
		if keep(address) {
			continue
		}
		delete(s.pools, address)
		p.idempotent.CloseIdleConnections()
		p.nonIdempotent.CloseIdleConnections()
	}
}

// CloseIdle closes the idle connections to a server. It is for use after one of them
// stopped responding, since the others may be in the same state.
func (s *Sender) CloseIdle(address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.pools[address]; ok {
		p.idempotent.CloseIdleConnections()
		p.nonIdempotent.CloseIdleConnections()
	}
}

// CloseAllIdle closes the idle connections to all servers.
func (s *Sender) CloseAllIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.idempotent.CloseIdleConnections()
		p.nonIdempotent.CloseIdleConnections()
	}
}

// Reachable reports whether the server still accepts connections, as far as is known: at the
// bound of connections none is opened.
func (s *Sender) Reachable(ctx context.Context, address netip.AddrPort) bool {
	conn, err := s.dial(ctx, address)
	if err != nil {
		return errors.Is(err, capper.ErrTooManyConnections)
	}
	_ = conn.Close()
	return true
}

// Request is one attempt to run a caller's request.
type Request struct {
	Method string
	Host   string
	// URI is the request target as the caller sent it.
	URI    string
	Header http.Header
	Body   []byte
	// AttemptID is the value of AttemptIDHeader.
	AttemptID string
	// Idempotent states that the request may be sent twice. The body of other requests
	// is sent only after 100 Continue.
	Idempotent bool
	// EchoRequired states that a response without AttemptIDHeader is not accepted.
	EchoRequired bool
	// SheddingStatuses are the HTTP statuses by which the server refuses requests
	// without running them.
	SheddingStatuses []int
	// Lost is closed when the servers cannot be reached any more. The attempt then ends
	// unless it has been sent and must not be repeated, in which case the response may
	// still come. It may be nil.
	Lost <-chan struct{}
	// Address is the address of the server.
	Address netip.AddrPort
	// MaxConnections bounds the connections to the server. It takes effect when the
	// first request is sent to the address.
	MaxConnections int
	// OnHead is called with what the head of a response says of the server, as soon as it
	// is read. It may be nil.
	OnHead func(Head)
}

// Head is what a server says of itself in the head of a response, whatever becomes of the
// request.
type Head struct {
	// Draining reports that the server is draining.
	Draining bool
	// Pause is the time for which it wants no more requests from this entry.
	Pause describer.Pause
}

// Response is the response of a backend server.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, or its start if Remainder is set.
	Body []byte
	// Remainder streams the rest of a body that is too large to buffer. It is nil if
	// Body is whole. The caller must close it.
	Remainder io.ReadCloser
	// Draining reports that the server is draining.
	Draining bool
	// RateLimit is the rate limit that the server states.
	RateLimit describer.RateLimit
}

// attempt tracks the progress of one attempt.
type attempt struct {
	body   *requestBody // nil if the request has none
	cancel context.CancelCauseFunc
	conn   atomic.Pointer[net.Conn]
	// mayDiscard is set if a connection on which a request was refused must not be used,
	// and discarded if such a one was closed before anything was written.
	mayDiscard bool
	discarded  atomic.Bool
	// before is the number of requests that have taken the connection before.
	before      atomic.Int64
	confirmed   chan struct{} // closed on 100 Continue or the start of a response
	confirmOnce sync.Once
	started     atomic.Bool // a header was written
	written     atomic.Bool // the whole request was written
	// wrote is closed once the whole request was written.
	wrote       chan struct{}
	wroteOnce   sync.Once
	writeFailed atomic.Bool // the request could not be written whole
}

// trace returns hooks that record the progress of the attempt.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			a.leaveConn()
			a.conn.Store(&info.Conn)
			a.started.Store(false)
			a.writeFailed.Store(false)
			c, ok := info.Conn.(*conn)
			if !ok {
				return
			}
			c.begin(a)
			a.before.Store(c.taken.Add(1) - 1)
			a.discarded.Store(a.mayDiscard && c.refused.Load())
			if a.discarded.Load() {
				_ = c.Close()
			}
		},
		WroteHeaderField: func(string, []string) { a.started.Store(true) },
		Got100Continue:   a.confirm,
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			a.writeFailed.Store(info.Err != nil)
			a.written.Store(info.Err == nil)
			if info.Err == nil {
				a.wroteOnce.Do(func() { close(a.wrote) })
			}
		},
		GotFirstResponseByte: a.confirm,
	}
}

// confirm records that the server has responded to the request headers.
func (a *attempt) confirm() { a.confirmOnce.Do(func() { close(a.confirmed) }) }

// lose ends the attempt, whose connection broke, unless a response has begun.
func (a *attempt) lose(err error) {
	select {
	case <-a.confirmed:
	default:
		a.cancel(err)
	}
}

// leaveConn ends the hold of the attempt on its connection, if it has one.
func (a *attempt) leaveConn() {
	if p := a.conn.Load(); p != nil {
		if c, ok := (*p).(*conn); ok {
			c.end(a)
		}
	}
}

// closeConn closes the connection of the attempt, so that it is not reused.
func (a *attempt) closeConn() {
	if c := a.conn.Load(); c != nil {
		_ = (*c).Close()
	}
}

// classify records whether the response is a refusal. It reports whether a refusal may be a
// copy of one of another request: the transport gives the connection to the next request
// before the response to the last one is looked at, so that one may not be known yet.
func (a *attempt) classify(isRefusal bool) (mayBeCopy bool) {
	p := a.conn.Load()
	if p == nil {
		return false
	}
	c, ok := (*p).(*conn)
	switch {
	case !ok:
		return false
	case !isRefusal:
		c.cleared.Add(1)
		return false
	}
	c.refused.Store(true)
	return c.cleared.Load() < a.before.Load()
}

// Send sends a request and waits for its response until ctx is done. The response is nil
// unless the outcome is Answered or Shed.
func (s *Sender) Send(ctx context.Context, r Request) (resp *Response, o retrier.Outcome) {
	for {
		resp, o, discarded := s.sendOnce(ctx, r)
		if !discarded || ctx.Err() != nil {
			return resp, o
		}
	}
}

// sendOnce is Send. Discarded is set if nothing was sent, because the transport chose a
// connection that must not be used.
func (s *Sender) sendOnce(ctx context.Context, r Request) (resp *Response, o retrier.Outcome, discarded bool) {
	// Without an id, a copy of an earlier refusal on the connection looks like a refusal
	// of this request.
	a := &attempt{confirmed: make(chan struct{}), wrote: make(chan struct{}), mayDiscard: !r.Idempotent && !r.EchoRequired}
	sendCtx, cancel := context.WithCancelCause(httptrace.WithClientTrace(ctx, a.trace()))
	a.cancel = cancel
	req, expectsContinue := r.httpRequest(sendCtx, a)
	p := s.pool(r.Address, r.MaxConnections)
	transport := p.idempotent
	if !r.Idempotent {
		transport = p.nonIdempotent
	}
	if expectsContinue {
		stop := a.watchContinue(cancel)
		defer stop()
	}
	if r.Lost != nil {
		stop := a.watchLost(r, cancel)
		defer stop()
	}
	httpResp, err := transport.RoundTrip(req)
	a.leaveConn()
	if err != nil {
		cancel(nil)
		if a.discarded.Load() {
			return nil, retrier.NotSent{Cause: err}, true
		}
		return nil, a.errorOutcome(ctx, expectsContinue, err), false
	}
	s.observeHead(r, httpResp)
	resp, o = r.readResponse(httpResp, a, s.buffers, cancel)
	return resp, o, false
}

// observeHead reads what a response says of the server itself. A pause counts with status
// 503, but not in a refusal that the server passes on.
func (s *Sender) observeHead(r Request, httpResp *http.Response) {
	if sanitizer.HasMergedHead(httpResp) {
		return
	}
	now := time.Now()
	head := Head{Draining: httpResp.Header.Get(DrainingHeader) != ""}
	if httpResp.StatusCode == http.StatusServiceUnavailable && httpResp.Header.Get(refuser.RefusalHeader) == "" {
		head.Pause = describer.ParsePause(now, httpResp.Header.Get(refuser.RetryAfterHeader))
		s.pauseServer(now, r.Address, head.Pause)
	}
	if r.OnHead != nil {
		r.OnHead(head)
	}
}

func (s *Sender) pauseServer(now time.Time, address netip.AddrPort, stated describer.Pause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.pools[address]; ok {
		p.pause.Observe(now, stated, rand.Float64())
	}
}

// Paused reports whether the server asked this entry for a pause that is not over.
func (s *Sender) Paused(address netip.AddrPort) (paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.pools[address]; ok {
		_, paused = p.pause.ResumesAt(time.Now())
	}
	return paused
}

// httpRequest builds the HTTP request. It has no GetBody, so that http.Transport never
// resends a request with a body on its own; conn keeps it from resending the others.
// ExpectsContinue is set if the body is sent only after 100 Continue.
func (r Request) httpRequest(ctx context.Context, a *attempt) (req *http.Request, expectsContinue bool) {
	req = (&http.Request{
		Method: r.Method, Host: r.Host, Header: r.Header.Clone(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	req.URL = requestURL(r.URI, r.Address)
	req.Header.Set(AttemptIDHeader, r.AttemptID)
	if !r.Idempotent || len(r.Body) > 0 {
		a.body = newRequestBody(r.Body)
		req.Body = a.body
		req.ContentLength = int64(len(r.Body))
	}
	expectsContinue = !r.Idempotent && len(r.Body) > 0
	if expectsContinue {
		req.Header.Set("Expect", "100-continue")
	}
	return req, expectsContinue
}

// watchContinue cancels the attempt if the server does not send 100 Continue within
// continueTimeout, unless the transmission of the body has begun.
func (a *attempt) watchContinue(cancel context.CancelCauseFunc) (stop func()) {
	timer := time.AfterFunc(continueTimeout, func() {
		select {
		case <-a.confirmed:
		default:
			if a.body.withhold() {
				cancel(errWithheld)
			}
		}
	})
	return func() { timer.Stop() }
}

// watchLost cancels the attempt when r.Lost is closed, as described there.
func (a *attempt) watchLost(r Request, cancel context.CancelCauseFunc) (stop func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-r.Lost:
			if r.Idempotent || !a.started.Load() {
				cancel(errLost)
			}
		case <-done:
		}
	}()
	return func() { close(done) }
}

// errorOutcome classifies an attempt without a response, and closes its connection.
func (a *attempt) errorOutcome(ctx context.Context, expectsContinue bool, err error) retrier.Outcome {
	defer a.closeConn()
	switch {
	case a.conn.Load() == nil, !a.started.Load():
		return retrier.NotSent{Cause: err}
	case expectsContinue && a.body.withhold():
		return retrier.Unconfirmed{}
	case a.writeFailed.Load() && !a.written.Load() && ctx.Err() == nil:
		return retrier.NotSent{Cause: err}
	case ctx.Err() != nil:
		return retrier.TimedOut{}
	default:
		return retrier.ConnectionLost{Cause: err}
	}
}
