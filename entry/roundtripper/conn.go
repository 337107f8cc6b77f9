package roundtripper

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"samphiremux/entry/peeker"
	"samphiremux/entry/reserver"
	"samphiremux/entry/sanitizer"
)

const (
	// readBufferSize and writeBufferSize, in bytes, are small to limit the memory
	// of an idle connection.
	readBufferSize  = 2 << 10
	writeBufferSize = 1 << 10
	// defaultIdleTimeout applies if the server does not announce a keep-alive
	// timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the keep-alive timeout that the server
	// announces, so that the server does not close a connection that is about to
	// be used.
	idleMargin = 2 * time.Second
	// maxHeadBytes bounds the bytes that are read for the head of a response, with the
	// informational responses before it.
	maxHeadBytes = 64 << 10
	// firstBufferBytes is the size of the first buffer for a body of unknown length. It is
	// doubled as long as the body goes on.
	firstBufferBytes = 4 << 10
	// maxProbeBytes bounds the bytes of a response to a probe, of the head and of the body
	// each. Several servers are probed for each request.
	maxProbeBytes = 16 << 10
	// maxResponses bounds the responses that are read in search of the one to
	// the current request. If none of them matches, the connection is closed.
	maxResponses = 3
)

// Conn is an HTTP/1.1 connection to a backend server that carries one request at
// a time, without pipelining.
type Conn struct {
	net       net.Conn
	head      *headLimiter
	sent      *sendTracker
	reader    *bufio.Reader
	idleUntil time.Time
	fresh     bool
	// refusedID is the id of the last request that the server refused on the connection.
	refusedID string
	// openings counts the connection until ended is set.
	openings *openings
	ended    atomic.Bool
}

func newConn(c net.Conn, o *openings) *Conn {
	head, sent := &headLimiter{source: c}, &sendTracker{conn: c}
	return &Conn{net: c, head: head, sent: sent, reader: bufio.NewReaderSize(head, readBufferSize), fresh: true, openings: o}
}

// sendTracker records whether any byte of the current request was written.
type sendTracker struct {
	conn net.Conn
	mu   sync.Mutex
	any  bool
}

// Write implements io.Writer.
func (t *sendTracker) Write(p []byte) (n int, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, err = t.conn.Write(p)
	t.any = t.any || n > 0
	return n, err
}

// begin starts a request.
func (t *sendTracker) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.any = false
}

// sentNothing reports that no byte of the request was written. The connection must be closed,
// which ends a write that is under way.
func (t *sendTracker) sentNothing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.any
}

// errHeadTooLarge is returned by reads beyond the bound of a head.
var errHeadTooLarge = errors.New("head of the response is too long")

// errMergedHead is returned if the head of a response contains the start of another one.
var errMergedHead = errors.New("received the head of a response within another one")

// headLimiter bounds the bytes that are read while the head of a response is. Without it
// a head without end would be buffered whole.
type headLimiter struct {
	source io.Reader
	// inHead reports whether the head is being read, and remaining is the number of
	// bytes that it may still have.
	inHead    bool
	remaining int
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (n int, err error) {
	if !l.inHead {
		return l.source.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err = l.source.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

func (c *Conn) close() { _ = c.end(OpenedClosed) }

// clean reports whether an idle connection is open and has no unread bytes. Bytes
// that arrive before the next request is sent cannot be its response.
func (c *Conn) clean() bool {
	switch peeker.Peek(c.net) {
	case peeker.Empty:
		return true
	case peeker.Unknown:
		_, hasSocket := c.net.(syscall.Conn)
		return !hasSocket
	default:
		return false
	}
}

// writers holds the buffers of requests that are being written. A connection that is idle or
// waits for a response has none.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferSize) }}

// write sends the whole request, or returns an error.
func (c *Conn) write(r *http.Request) error {
	writer := writers.Get().(*bufio.Writer)
	writer.Reset(c.sent)
	defer func() {
		writer.Reset(nil)
		writers.Put(writer)
	}()
	var out io.Writer = writer
	if strings.HasPrefix(r.URL.Opaque, "//") {
		// Request.Write would put the scheme and a colon before it.
		if _, err := fmt.Fprintf(writer, "%s %s HTTP/1.1\r\n", r.Method, r.URL.Opaque); err != nil {
			return err
		}
		out = &lineSkipper{writer: writer}
	}
	if err := r.Write(out); err != nil {
		return err
	}
	return writer.Flush()
}

// lineSkipper writes everything but the first line. It implements io.ByteWriter, without
// which http.Request.Write would use a buffer of its own.
type lineSkipper struct {
	writer  *bufio.Writer
	skipped bool
}

// Write implements io.Writer.
func (s *lineSkipper) Write(p []byte) (n int, err error) {
	if !s.skipped {
		n = bytes.IndexByte(p, '\n') + 1
		if n == 0 {
			return len(p), nil
		}
		s.skipped = true
	}
	written, err := s.writer.Write(p[n:])
	return n + written, err
}

// WriteByte implements io.ByteWriter.
func (s *lineSkipper) WriteByte(b byte) (err error) {
	_, err = s.Write([]byte{b})
	return err
}

// reply is a response whose body has not been read yet.
type reply struct {
	*http.Response
}

// readResponse reads the next final response, whose head has up to a number of bytes, with
// those of the informational ones before it. OnInformational, which may be nil, is called
// with the headers of the informational ones (1xx) before it.
func (c *Conn) readResponse(r *http.Request, headBytes int, onInformational func(http.Header)) (reply, error) {
	c.head.inHead, c.head.remaining = true, headBytes
	defer func() { c.head.inHead = false }()
	for {
		resp, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return reply{}, err
		}
		if sanitizer.HasMergedHead(resp) {
			return reply{}, errMergedHead
		}
		if resp.StatusCode >= http.StatusOK {
			return reply{resp}, nil
		}
		if resp.StatusCode < http.StatusContinue {
			return reply{}, fmt.Errorf("response has the status %d", resp.StatusCode)
		}
		// Informational responses have no body.
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return reply{}, fmt.Errorf("server switched protocols without a request to upgrade")
		}
		if onInformational != nil {
			onInformational(resp.Header)
		}
	}
}

// reusable reports whether the connection may carry another request after a
// response that was read whole. If so, it sets the end of the idle time.
func (c *Conn) reusable(now time.Time, rep reply) bool {
	if rep.Close || c.reader.Buffered() > 0 {
		return false
	}
	c.fresh = false
	c.idleUntil = now.Add(keepAliveTimeout(rep.Header.Get("Keep-Alive")))
	return true
}

// keepAliveTimeout returns the time for which a connection may stay idle, from
// the value of a Keep-Alive header.
func keepAliveTimeout(header string) time.Duration {
	for _, field := range strings.Split(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds <= 0 {
			return defaultIdleTimeout
		}
		return max(0, time.Duration(seconds)*time.Second-idleMargin)
	}
	return defaultIdleTimeout
}

// closeOnDone closes the connection when ctx is done, which aborts reads and
// writes in progress. Stop reports false if that has already begun.
func (c *Conn) closeOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, c.close)
}

// readBody reads the body of a response up to a limit in bytes, or less if there is no room
// in the buffers or for its hold. If the body is longer, whole is false, body holds its start and the rest
// can be read from the response. Otherwise the body is closed.
func readBody(rep reply, limit int64, b *Buffers, held *reserver.Hold) (body []byte, whole bool, err error) {
	taken := int64(0)
	defer func() {
		b.give(taken)
		if taken > freeBytes {
			// The buffers that the body outgrew are garbage.
			held.Resize(int64(cap(body)))
		}
		if whole || err != nil {
			_ = rep.Body.Close()
		}
	}()
	if rep.Body == http.NoBody {
		// The response to HEAD has no body, though it may state a length.
		return nil, true, nil
	}
	size := int64(firstBufferBytes)
	if rep.ContentLength >= 0 {
		// Buffers that grow would leave as much garbage as the last one holds.
		size = min(rep.ContentLength, limit+1)
	}
	for {
		size = min(size, limit+1)
		if !b.take(size) {
			return body, false, nil
		}
		taken += size
		if taken > freeBytes && !held.Resize(taken) {
			return body, false, nil
		}
		body = append(make([]byte, 0, size), body...)
		for int64(len(body)) < size {
			n, err := rep.Body.Read(body[len(body):size])
			body = body[:len(body)+n]
			if errors.Is(err, io.EOF) {
				return body, true, nil
			}
			if err != nil {
				return nil, false, err
			}
		}
		if size == rep.ContentLength {
			// Reads to the end of the message, so that the connection is reusable.
			_, err = io.Copy(io.Discard, rep.Body)
			return body, true, err
		}
		if size > limit {
			return body, false, nil
		}
		size *= 2
	}
}
