package roundtripper

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"samphiremux/pkg/describer"
)

// ErrWrongInstance says that another backend server has the address.
type ErrWrongInstance struct{ Want, Got string }

func (e ErrWrongInstance) Error() string {
	return fmt.Sprintf("instance %q answered in place of %q", e.Got, e.Want)
}

// ErrUnhealthy says that a server refused a probe.
type ErrUnhealthy struct{ Status int }

func (e ErrUnhealthy) Error() string {
	return fmt.Sprintf("the probe was answered with status %d", e.Status)
}

// Health is a server's answer to a probe.
type Health struct {
	Load describer.Load
	// HasLoad tells that the server told its load.
	HasLoad bool
	// ColdRemaining is how long the server stays cold.
	ColdRemaining time.Duration
}

// Probe probes the server. The connection that answered is returned, so that a
// request can follow on a connection that is known to work. The caller releases
// it or sends on it.
func (s *Client) Probe(ctx context.Context, path string) (h Health, c *Conn, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("probe of %s: %w", s.id, err)
		}
	}()
	if c = s.take(time.Now()); c != nil {
		h, err = s.askOn(ctx, c, path)
		if err == nil || ctx.Err() != nil || answered(err) {
			return h, c, err
		}
	}
	c, err = s.open(ctx)
	if err != nil {
		return Health{}, nil, err
	}
	h, err = s.askOn(ctx, c, path)
	return h, c, err
}

func answered(err error) bool {
	var unhealthy ErrUnhealthy
	var wrong ErrWrongInstance
	return errors.As(err, &unhealthy) || errors.As(err, &wrong)
}

// askOn probes over one connection, and closes it unless the probe succeeds.
func (s *Client) askOn(ctx context.Context, c *Conn, path string) (h Health, err error) {
	stop := c.watch(ctx)
	defer func() {
		if !stop() && err == nil {
			err = context.Cause(ctx)
		}
		if err != nil {
			c.close()
		}
	}()
	req := &http.Request{Method: http.MethodGet, Host: s.host, URL: target(path), Header: http.Header{"User-Agent": nil}}
	if err := c.write(req); err != nil {
		return Health{}, err
	}
	for range maxCrossed {
		resp, err := c.response(req)
		if err != nil {
			return Health{}, err
		}
		if _, whole, err := readWhole(resp, maxHeld); err != nil || !whole {
			return Health{}, fmt.Errorf("the answer to the probe was cut: %w", err)
		}
		if resp.Header.Get(s.words.Signature) != "" || resp.Header.Get(s.words.RequestID) != "" {
			// A late second answer to an earlier request.
			continue
		}
		return s.health(c, resp)
	}
	return Health{}, errors.New("only answers to other requests came")
}

func (s *Client) health(c *Conn, resp reply) (h Health, err error) {
	if got := resp.Header.Get(s.words.Instance); got != s.id {
		return Health{}, ErrWrongInstance{Want: s.id, Got: got}
	}
	if resp.StatusCode != http.StatusOK {
		return Health{}, ErrUnhealthy{Status: resp.StatusCode}
	}
	h.Load, h.HasLoad = s.words.ReadLoad(resp.Header)
	h.ColdRemaining = s.words.ReadColdRemaining(resp.Header)
	if !c.reusable(time.Now(), resp) {
		return h, errors.New("the server closes the connection")
	}
	return h, nil
}
