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

	"samphiremux/entry/reserver"
	"samphiremux/entry/retrier"
	"samphiremux/pkg/describer"
)

// Request is one attempt to run a caller's request.
type Request struct {
	Method string
	Host   string
	// Target is the request target as the caller sent it.
	Target string
	Header http.Header
	Body   []byte
	// ID is the request id that the server echoes in its response.
	ID string
	// Memory holds the body of the response until the request ends. It may be nil.
	Memory *reserver.Group
	// OnInformational is called with the headers of each informational response. It may be
	// nil.
	OnInformational func(http.Header)
}

// Response is the response of a backend server.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, or its start if Remainder is set.
	Body []byte
	// Remainder streams the rest of a body that is too large to buffer. It is nil
	// if Body is whole. The caller must close it.
	Remainder io.ReadCloser
	// Held is the memory of Body.
	Held *reserver.Hold
	// Load is the load that the server reports. It is valid if HasLoad is set.
	Load    describer.Load
	HasLoad bool
	// RateLimit is the rate limit that the server states.
	RateLimit describer.RateLimit
}

// opaqueURL returns a URL that is sent as the request target byte for byte.
func opaqueURL(uri string) *url.URL { return &url.URL{Opaque: uri} }

// Send sends a request and reads its response until ctx is done. If c is nil, it
// uses an idle connection or opens a new one. The response is nil unless the
// outcome is Answered or Shed.
func (cl *Client) Send(ctx context.Context, c *Conn, r Request) (resp *Response, o retrier.Outcome) {
	if c == nil {
		c = cl.popIdle(time.Now())
	}
	if c != nil && c.refusedID == r.ID {
		// A second refusal with this id could not be told from a copy of the first.
		c.close()
		c = nil
	}
	if c == nil {
		opened, err := cl.open(ctx)
		if err != nil {
			return nil, retrier.NotSent{Cause: err}
		}
		c = opened
	}
	stop := c.closeOnDone(ctx)
	req := r.httpRequest()
	written := make(chan error, 1)
	c.sent.begin()
	if len(r.Body) > maxInlineBody {
		go func() { written <- c.write(req) }()
	} else {
		written <- c.write(req)
	}
	rep, mismatched, mismatchedID, err := cl.readMatching(c, req, r)
	if err != nil {
		c.close()
		stop()
		if ctx.Err() == nil && !mismatched && c.sent.sentNothing() {
			return nil, retrier.NotSent{Cause: err}
		}
		return nil, errorOutcome(ctx, mismatched, mismatchedID, err)
	}
	if cl.isRefusal(rep.StatusCode, rep.Header) {
		c.refusedID = r.ID
	}
	return cl.finish(ctx, c, rep, r.Memory.Hold(), written, stop)
}

// httpRequest builds the HTTP request. It keeps net/http from adding a User-Agent
// header.
func (r Request) httpRequest() *http.Request {
	h := r.Header
	if h.Get("User-Agent") == "" {
		h["User-Agent"] = nil
	}
	req := &http.Request{Method: r.Method, Host: r.Host, URL: opaqueURL(r.Target), Header: h}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		req.ContentLength = int64(len(r.Body))
		req.Body = http.NoBody
		if len(r.Body) > 0 {
			req.Body = io.NopCloser(bytes.NewReader(r.Body))
		}
	}
	return req
}

// readMatching reads responses until one belongs to the request. Late responses to
// earlier requests and copies of them may precede it on a reused connection, so only the
// request id makes a response match. On an error, mismatched reports whether a response
// came that did not match, and mismatchedID is the request id of the last one.
func (cl *Client) readMatching(c *Conn, req *http.Request, r Request) (rep reply, mismatched bool, mismatchedID string, err error) {
	for range maxResponses {
		rep, err = c.readResponse(req, maxHeadBytes, r.OnInformational)
		if err != nil {
			return reply{}, mismatched, mismatchedID, err
		}
		cl.observe(rep)
		got := rep.Header.Get(cl.headers.RequestID)
		if got == r.ID || (got == "" && cl.isFromAnother(rep)) {
			return rep, false, "", nil
		}
		mismatched, mismatchedID = true, got
		if _, whole, err := readBody(rep, maxBuffered, cl.buffers, &reserver.Hold{}); err != nil || !whole || rep.Close {
			return reply{}, mismatched, mismatchedID, errors.New("received a response to another request")
		}
	}
	return reply{}, mismatched, mismatchedID, errors.New("received only responses to other requests")
}

// isFromAnother reports whether a response shows that another server has the address. That
// server runs no request on this connection, whichever one the response belongs to.
func (cl *Client) isFromAnother(rep reply) bool {
	instance := rep.Header.Get(cl.headers.Instance)
	return rep.StatusCode == http.StatusMisdirectedRequest && instance != "" && instance != cl.id
}

// errorOutcome classifies an attempt without a matching response.
func errorOutcome(ctx context.Context, mismatched bool, mismatchedID string, err error) retrier.Outcome {
	switch {
	case ctx.Err() != nil:
		return retrier.TimedOut{}
	case mismatched, errors.Is(err, errMergedHead):
		return retrier.Mismatched{Got: mismatchedID}
	default:
		return retrier.ConnectionLost{Cause: err}
	}
}

// finish reads the body of a response, classifies the response, and returns the
// connection to the pool if it is reusable.
func (cl *Client) finish(ctx context.Context, c *Conn, rep reply, held *reserver.Hold, written <-chan error, stop func() bool) (*Response, retrier.Outcome) {
	body, whole, err := readBody(rep, maxBuffered, cl.buffers, held)
	if err != nil {
		held.Release()
		c.close()
		stop()
		if ctx.Err() != nil {
			return nil, retrier.TimedOut{}
		}
		return nil, retrier.Truncated{Cause: fmt.Errorf("reading response body: %w", err)}
	}
	resp := &Response{Status: rep.StatusCode, Header: rep.Header, Body: body, Held: held}
	resp.Load, resp.HasLoad = cl.headers.ReadLoad(rep.Header)
	resp.RateLimit = cl.headers.ReadRateLimit(rep.Header)
	o := cl.outcome(resp)
	switch o.(type) {
	case retrier.Truncated:
		// Nothing more is read from a connection that delivered an invalid response.
		stop()
		c.close()
		return nil, o
	case retrier.Answered:
		if !whole {
			begun := time.Now()
			resp.Remainder = &streamedBody{ReadCloser: rep.Body, conn: c, stop: stop, end: rep.end(written), release: func() {
				cl.releaseWritten(begun, c, rep, written, stop)
			}}
			return resp, o
		}
		if rep.endsWithConnection() {
			err := rep.end(written)()
			stop()
			c.close()
			if err != nil {
				return nil, retrier.Truncated{Cause: err}
			}
			return resp, o
		}
	}
	if !whole {
		// The rest of the body of a refusal is not needed.
		stop()
		c.close()
		return resp, o
	}
	cl.releaseWritten(time.Now(), c, rep, written, stop)
	return resp, o
}

// releaseWritten returns a connection to the pool after a whole response, once the
// request is written too. The server may count it as idle since a time. It does not block:
// after an early response a goroutine waits for the rest of the request, for at most
// writeTimeout.
func (cl *Client) releaseWritten(idleSince time.Time, c *Conn, rep reply, written <-chan error, stop func() bool) {
	release := func(err error) {
		if !stop() || err != nil || !c.reusable(idleSince, rep) {
			c.close()
			return
		}
		cl.Release(c)
	}
	select {
	case err := <-written:
		release(err)
	default:
		go func() {
			select {
			case err := <-written:
				release(err)
			case <-time.After(writeTimeout):
				stop()
				c.close()
			}
		}()
	}
}

// outcome classifies a response by its head. One without a signature, or with a content
// encoding that nobody requested, counts as truncated.
func (cl *Client) outcome(resp *Response) retrier.Outcome {
	switch {
	case resp.Status > maxStatus:
		return retrier.Truncated{Cause: fmt.Errorf("response has the status %d", resp.Status)}
	case cl.isRefusal(resp.Status, resp.Header):
		return retrier.Shed{}
	case resp.Header.Get(cl.headers.Signature) == "":
		return retrier.Truncated{Cause: errors.New("response has no signature")}
	case resp.Header.Get("Content-Encoding") != "":
		return retrier.Truncated{Cause: errors.New("response has a content encoding")}
	default:
		return retrier.Answered{}
	}
}

// isRefusal reports whether a response states that the server did not run its request.
func (cl *Client) isRefusal(status int, h http.Header) bool {
	return h.Get(cl.headers.NotExecuted) != "" || status == http.StatusMisdirectedRequest
}

// streamedBody is the unread rest of a large response body. It is not safe for concurrent use.
type streamedBody struct {
	io.ReadCloser
	conn *Conn
	stop func() bool
	// end reports whether the end of the body is that of a whole response.
	end func() error
	// release returns the connection to the pool. Whole reports that the body was read to its
	// end, and ended that Close was called.
	release func()
	whole   bool
	ended   bool
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if endErr := b.end(); endErr != nil {
			return n, endErr
		}
		b.whole = true
	}
	return n, err
}

// Close closes the connection, or returns it to the pool if the body was read to its end.
func (b *streamedBody) Close() error {
	if b.ended {
		return nil
	}
	b.ended = true
	if b.whole {
		b.release()
		return nil
	}
	b.stop()
	return b.conn.end(OpenedClosed)
}
