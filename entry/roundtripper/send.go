package roundtripper

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"samphiremux/entry/retrier"
	"samphiremux/pkg/describer"
)

// Request is one attempt.
type Request struct {
	Method string
	Host   string
	// Target is the request target as the caller sent it.
	Target string
	Header http.Header
	Body   []byte
	ID     string
}

// Response is a server's answer. Remainder is nil if Body is the whole answer.
type Response struct {
	Status    int
	Header    http.Header
	Body      []byte
	Remainder io.ReadCloser
	Load      describer.Load
	HasLoad   bool
}

// target returns a URL that is written as it is.
func target(uri string) *url.URL { return &url.URL{Opaque: uri} }

// Send sends a request and reads its answer until ctx ends. A nil connection
// takes an unused one or opens one.
func (s *Client) Send(ctx context.Context, c *Conn, m Request) (a *Response, o retrier.Outcome) {
	if c == nil {
		if c = s.take(time.Now()); c == nil {
			opened, err := s.open(ctx)
			if err != nil {
				return nil, retrier.NotSent{Cause: err}
			}
			c = opened
		}
	}
	stop := c.watch(ctx)
	req := m.request()
	written := make(chan error, 1)
	if len(m.Body) > inlineBody {
		go func() { written <- c.write(req) }()
	} else {
		written <- c.write(req)
	}
	resp, crossed, err := s.own(c, req, m.ID)
	if err != nil {
		c.close()
		stop()
		return nil, failure(ctx, crossed, err)
	}
	return s.read(ctx, c, resp, written, stop)
}

func (m Request) request() *http.Request {
	h := m.Header
	if h.Get("User-Agent") == "" {
		h["User-Agent"] = nil
	}
	r := &http.Request{Method: m.Method, Host: m.Host, URL: target(m.Target), Header: h}
	if len(m.Body) > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut || m.Method == http.MethodPatch {
		r.ContentLength = int64(len(m.Body))
		r.Body = http.NoBody
		if len(m.Body) > 0 {
			r.Body = io.NopCloser(bytes.NewReader(m.Body))
		}
	}
	return r
}

// own reads answers until one belongs to the request. Answers to other requests
// may come before it.
func (s *Client) own(c *Conn, req *http.Request, id string) (resp reply, crossed string, err error) {
	for range maxCrossed {
		resp, err = c.response(req)
		if err != nil {
			return reply{}, crossed, err
		}
		got := resp.Header.Get(s.words.RequestID)
		if got == id || (got == "" && resp.Header.Get(s.words.Signature) == "") {
			return resp, "", nil
		}
		crossed = got
		if _, whole, err := readWhole(resp, maxHeld); err != nil || !whole || resp.Close {
			return reply{}, crossed, errors.New("an answer to another request came")
		}
	}
	return reply{}, crossed, errors.New("only answers to other requests came")
}

func failure(ctx context.Context, crossed string, err error) retrier.Outcome {
	switch {
	case ctx.Err() != nil:
		return retrier.TimedOut{}
	case crossed != "":
		return retrier.Mismatched{Got: crossed}
	default:
		return retrier.ConnectionLost{Cause: err}
	}
}

// read takes in the answer and keeps the connection if it may be used again.
func (s *Client) read(ctx context.Context, c *Conn, resp reply, written <-chan error, stop func() bool) (*Response, retrier.Outcome) {
	body, whole, err := readWhole(resp, maxHeld)
	if err != nil {
		c.close()
		stop()
		if ctx.Err() != nil {
			return nil, retrier.TimedOut{}
		}
		return nil, retrier.Truncated{Cause: fmt.Errorf("reading the answer: %w", err)}
	}
	a := &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}
	a.Load, a.HasLoad = s.words.ReadLoad(resp.Header)
	if !whole {
		a.Remainder = &rest{ReadCloser: resp.Body, conn: c, stop: stop}
		return a, retrier.Answered{}
	}
	o := s.outcome(a)
	if _, spoilt := o.(retrier.Truncated); spoilt {
		// Nothing more is taken from a server that spoils its answers.
		stop()
		c.close()
		return nil, o
	}
	s.keep(c, resp, written, stop)
	return a, o
}

// keep releases a connection after a whole answer, once the request is written.
func (s *Client) keep(c *Conn, resp reply, written <-chan error, stop func() bool) {
	finish := func(err error) {
		if !stop() || err != nil || !c.reusable(time.Now(), resp) {
			c.close()
			return
		}
		s.Release(c)
	}
	select {
	case err := <-written:
		finish(err)
	default:
		go func() {
			select {
			case err := <-written:
				finish(err)
			case <-time.After(writeGrace):
				stop()
				c.close()
			}
		}()
	}
}

// outcome tells a refusal and a spoilt answer from a good one.
func (s *Client) outcome(a *Response) retrier.Outcome {
	switch {
	case a.Header.Get(s.words.NotExecuted) != "" || a.Status == http.StatusMisdirectedRequest:
		return retrier.Shed{}
	case a.Header.Get(s.words.Signature) == "":
		return retrier.Truncated{Cause: errors.New("the answer has no signature")}
	case a.Header.Get("Content-Encoding") != "":
		return retrier.Truncated{Cause: errors.New("the answer has a content encoding")}
	default:
		return retrier.Answered{}
	}
}

// rest is the unread part of a long answer.
type rest struct {
	io.ReadCloser
	conn *Conn
	stop func() bool
}

// Close ends the connection, which carries nothing after a streamed answer.
func (r *rest) Close() error {
	r.stop()
	return r.conn.net.Close()
}
