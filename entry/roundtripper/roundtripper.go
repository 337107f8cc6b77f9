// Package roundtripper sends single attempts of requests to one backend server over
// a pool of HTTP/1.1 connections, and classifies their outcomes. In contrast to
// http.Transport it never resends a request on its own and adds no headers.
package roundtripper

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"samphiremux/pkg/describer"
)

const (
	// maxBuffered is the size in bytes of the largest response body that is
	// buffered. Larger ones are streamed.
	maxBuffered = 256 << 10
	// maxIdle bounds the idle connections to one server.
	maxIdle = 8
	// maxInlineBody is the size in bytes of the largest request body that is
	// written before the response is read. A longer body is written concurrently,
	// since a server may respond before it has read it.
	maxInlineBody = 4 << 10
	// writeTimeout bounds the wait for the end of the request body after an early
	// response. The connection is closed if it passes.
	writeTimeout = 200 * time.Millisecond
)

// Dialer opens a connection to a backend server.
type Dialer func(ctx context.Context) (net.Conn, error)

// Headers holds the names of the response headers of backend servers, and the
// functions that decode headers with structured values.
type Headers struct {
	// RequestID holds the id of the request that the response belongs to.
	RequestID string
	// Instance holds the instance id of the server, in responses to probes.
	Instance string
	// NotExecuted is set if the server did not run the request.
	NotExecuted string
	// Signature proves that the response comes from the server itself.
	Signature string
	// ReadLoad returns the load that the server reports in a response, if any.
	ReadLoad func(http.Header) (describer.Load, bool)
	// ReadRateLimit returns the rate limit that the server states in a response.
	ReadRateLimit func(http.Header) describer.RateLimit
	// ReadColdRemaining returns the remaining warm-up time that the server reports
	// in the response to a probe.
	ReadColdRemaining func(http.Header) time.Duration
	// ReadLeaving reports whether the server says in a response that it is shutting down.
	ReadLeaving func(http.Header) bool
	// ReadPause returns the time for which the server wants no requests from this entry,
	// as it says in a response with status 503 that was received at now.
	ReadPause func(now time.Time, h http.Header) describer.Pause
}

// Client is an HTTP/1.1 client for one backend server. It pools idle connections,
// and is safe for concurrent use.
type Client struct {
	id       string
	host     string
	dial     Dialer
	headers  Headers
	onNotice func(Notice)
	onOpen   func(OpenCause)
	buffers  *Buffers
	openings openings

	mu   sync.Mutex
	idle []*Conn // in the order of release, the latest last
}

// New returns a client without connections. ID is the instance id that the server
// must return in its responses to probes, and host the value of the Host header of
// probes.
func New(id, host string, dial Dialer, h Headers) *Client {
	return &Client{id: id, host: host, dial: dial, headers: h, onNotice: func(Notice) {}, onOpen: func(OpenCause) {}, buffers: NewBuffers(defaultBufferBytes)}
}

// ShareBuffers makes the client read response bodies into buffers that other clients use
// too.
func (cl *Client) ShareBuffers(b *Buffers) { cl.buffers = b }

// Close closes the idle connections.
func (cl *Client) Close() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, c := range cl.idle {
		c.close()
	}
	cl.idle = nil
}

// CloseExpired closes the connections whose idle timeout has passed.
func (cl *Client) CloseExpired(now time.Time) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	kept := cl.idle[:0]
	for _, c := range cl.idle {
		if now.Before(c.idleUntil) {
			kept = append(kept, c)
			continue
		}
		_ = c.end(OpenedExpired)
	}
	clear(cl.idle[len(kept):])
	cl.idle = kept
}

// popIdle removes the most recently released connection from the pool and returns
// it, or nil if there is none. It closes expired and broken connections on the way.
func (cl *Client) popIdle(now time.Time) *Conn {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for len(cl.idle) > 0 {
		c := cl.idle[len(cl.idle)-1]
		cl.idle[len(cl.idle)-1] = nil
		cl.idle = cl.idle[:len(cl.idle)-1]
		switch {
		case !now.Before(c.idleUntil):
			_ = c.end(OpenedExpired)
		case c.clean():
			return c
		default:
			c.close()
		}
	}
	return nil
}

// Release returns a connection to the pool, or closes it if the pool is full.
func (cl *Client) Release(c *Conn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.idle) >= maxIdle {
		c.close()
		return
	}
	cl.idle = append(cl.idle, c)
}

// open dials a new connection.
func (cl *Client) open(ctx context.Context) (*Conn, error) {
	cause := cl.openings.cause()
	c, err := cl.dial(ctx)
	if err != nil {
		return nil, err
	}
	cl.openings.open.Add(1)
	cl.onOpen(cause)
	return newConn(c, &cl.openings), nil
}
