// Package roundtripper sends one attempt of a request to one backend server over
// connections of its own, and tells how it ended. Nothing is sent twice unasked,
// and no header is added.
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
	// maxHeld is the largest answer that is held until it is whole. Larger ones
	// are streamed.
	maxHeld = 256 << 10
	// maxIdle bounds the unused connections to one server.
	maxIdle = 8
	// inlineBody is the largest body that is written before the answer is
	// awaited. A server may answer before it has read a longer one.
	inlineBody = 4 << 10
	// writeGrace bounds the wait for the end of a body whose answer came early.
	writeGrace = 200 * time.Millisecond
)

// Dialer opens a connection to a backend server.
type Dialer func(ctx context.Context) (net.Conn, error)

// Headers are the names that backend servers use in headers.
type Headers struct {
	// RequestID carries the id of the request that is answered.
	RequestID string
	// Instance names the server that answers a probe.
	Instance string
	// NotExecuted says that the server did not run the request.
	NotExecuted string
	// Signature proves that the answer is the server's.
	Signature string
	// ReadLoad reads the load that an answer tells of.
	ReadLoad func(http.Header) (describer.Load, bool)
	// ReadColdRemaining reads how long the server stays cold from an answer to a probe.
	ReadColdRemaining func(http.Header) time.Duration
}

// Client keeps the connections to one backend server.
type Client struct {
	id    string
	host  string
	dial  Dialer
	words Headers

	mu   sync.Mutex
	idle []*Conn
}

// New returns a server without connections. ID is the instance that must
// answer, and host its address.
func New(id, host string, dial Dialer, w Headers) *Client {
	return &Client{id: id, host: host, dial: dial, words: w}
}

// Close closes the unused connections.
func (s *Client) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.idle {
		c.close()
	}
	s.idle = nil
}

// CloseExpired closes connections that were unused for too long.
func (s *Client) CloseExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.idle[:0]
	for _, c := range s.idle {
		if now.Before(c.idleUntil) {
			kept = append(kept, c)
			continue
		}
		c.close()
	}
	clear(s.idle[len(kept):])
	s.idle = kept
}

// take returns a connection that was unused, the last used first.
func (s *Client) take(now time.Time) *Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.idle) > 0 {
		c := s.idle[len(s.idle)-1]
		s.idle[len(s.idle)-1] = nil
		s.idle = s.idle[:len(s.idle)-1]
		if now.Before(c.idleUntil) && c.clean() {
			return c
		}
		c.close()
	}
	return nil
}

// Release keeps a connection for the next request.
func (s *Client) Release(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle) >= maxIdle {
		c.close()
		return
	}
	s.idle = append(s.idle, c)
}

func (s *Client) open(ctx context.Context) (*Conn, error) {
	c, err := s.dial(ctx)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}
