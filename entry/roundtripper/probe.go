package roundtripper

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"samphiremux/entry/reserver"
	"samphiremux/pkg/describer"
)

// ErrWrongInstance is returned if the probed address now belongs to another backend
// server. Want and Got are instance ids.
type ErrWrongInstance struct{ Want, Got string }

func (e ErrWrongInstance) Error() string {
	return fmt.Sprintf("instance %q responded instead of %q", e.Got, e.Want)
}

// ErrUnhealthy is returned if the server responded to a probe with an HTTP status
// other than 200.
type ErrUnhealthy struct{ Status int }

func (e ErrUnhealthy) Error() string {
	return fmt.Sprintf("server responded to the health probe with status %d", e.Status)
}

// Health is the state that a backend server reports in response to a probe.
type Health struct {
	// Load is the reported load. It is valid if HasLoad is set.
	Load    describer.Load
	HasLoad bool
	// RateLimit is the rate limit that the server states.
	RateLimit describer.RateLimit
	// ColdRemaining is the remaining warm-up time of the server.
	ColdRemaining time.Duration
	// Header holds the headers of the response.
	Header http.Header
}

// Probe sends a health probe to the server. On success it returns the connection
// that was used, so that a request can follow on a connection that is known to
// work; the caller must pass it to Release or Send. If a probe over an idle
// connection fails for any reason but ErrUnhealthy, ErrWrongInstance or the end of
// ctx, Probe tries once more over a new connection.
func (cl *Client) Probe(ctx context.Context, path string) (h Health, c *Conn, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("probe of %s: %w", cl.id, err)
		}
	}()
	if c = cl.popIdle(time.Now()); c != nil {
		h, err = cl.probeOn(ctx, c, path)
		if err == nil || ctx.Err() != nil || responded(err) {
			return h, c, err
		}
	}
	return cl.probeNew(ctx, path)
}

// ProbeNew is Probe over a new connection.
func (cl *Client) ProbeNew(ctx context.Context, path string) (h Health, c *Conn, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("probe of %s: %w", cl.id, err)
		}
	}()
	return cl.probeNew(ctx, path)
}

func (cl *Client) probeNew(ctx context.Context, path string) (h Health, c *Conn, err error) {
	c, err = cl.open(ctx)
	if err != nil {
		return Health{}, nil, err
	}
	h, err = cl.probeOn(ctx, c, path)
	return h, c, err
}

// responded reports whether a probe failed because of the server's response, and
// not because of the connection. A new connection would not help then.
func responded(err error) bool {
	var unhealthy ErrUnhealthy
	var wrong ErrWrongInstance
	return errors.As(err, &unhealthy) || errors.As(err, &wrong)
}

// probeOn probes over one connection, and closes it unless the probe succeeds.
func (cl *Client) probeOn(ctx context.Context, c *Conn, path string) (h Health, err error) {
	stop := c.closeOnDone(ctx)
	defer func() {
		if !stop() && err == nil {
			err = context.Cause(ctx)
		}
		if err != nil {
			c.close()
		}
	}()
	req := &http.Request{Method: http.MethodGet, Host: cl.host, URL: opaqueURL(path), Header: http.Header{"User-Agent": nil}}
	if err := c.write(req); err != nil {
		return Health{}, err
	}
	for range maxResponses {
		rep, err := c.readResponse(req, maxProbeBytes, nil)
		if err != nil {
			return Health{}, err
		}
		cl.observe(rep)
		if _, whole, err := readBody(rep, maxProbeBytes, cl.buffers, &reserver.Hold{}); err != nil || !whole {
			return Health{}, fmt.Errorf("response to the health probe truncated: %w", err)
		}
		if rep.Header.Get(cl.headers.Signature) != "" || rep.Header.Get(cl.headers.RequestID) != "" {
			// A late duplicate response to an earlier request.
			continue
		}
		return cl.health(c, rep)
	}
	return Health{}, errors.New("received only responses to other requests")
}

// health checks and decodes the response to a probe.
func (cl *Client) health(c *Conn, rep reply) (h Health, err error) {
	got := rep.Header.Get(cl.headers.Instance)
	if got != cl.id && (got != "" || rep.StatusCode == http.StatusOK) {
		// A failure that names nobody may be a copy of one of another request.
		return Health{}, ErrWrongInstance{Want: cl.id, Got: got}
	}
	if rep.StatusCode != http.StatusOK {
		return Health{}, ErrUnhealthy{Status: rep.StatusCode}
	}
	h.Load, h.HasLoad = cl.headers.ReadLoad(rep.Header)
	h.RateLimit = cl.headers.ReadRateLimit(rep.Header)
	h.ColdRemaining = cl.headers.ReadColdRemaining(rep.Header)
	h.Header = rep.Header
	if !c.reusable(time.Now(), rep) {
		return h, errors.New("server closes the connection after its response")
	}
	return h, nil
}
