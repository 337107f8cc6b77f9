package roundtripper

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// readBuffer and writeBuffer keep an unused connection small.
	readBuffer  = 2 << 10
	writeBuffer = 1 << 10
	// unknownIdle is the time for which a connection is kept if the server
	// does not say how long it keeps it.
	unknownIdle = 4 * time.Second
	// idleMargin is taken off the time that the server states, so that it does
	// not close a connection that is about to be used.
	idleMargin = 2 * time.Second
	// maxCrossed bounds the answers to other requests that are read before the
	// connection is given up.
	maxCrossed = 3
)

// Conn is a connection that carries one request at a time.
type Conn struct {
	net       net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleUntil time.Time
	fresh     bool
}

func newConn(c net.Conn) *Conn {
	return &Conn{net: c, reader: bufio.NewReaderSize(c, readBuffer), writer: bufio.NewWriterSize(c, writeBuffer), fresh: true}
}

func (c *Conn) close() { _ = c.net.Close() }

// clean tells whether an unused connection is open and has nothing to read. A
// byte before the next request belongs to no request.
func (c *Conn) clean() bool {
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var b [1]byte
	open := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// write sends a request. It writes the whole of it or fails.
func (c *Conn) write(r *http.Request) error {
	if err := r.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// reply is an answer whose body is not read yet.
type reply struct {
	*http.Response
}

// response reads the next final answer.
func (c *Conn) response(r *http.Request) (reply, error) {
	for {
		resp, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return reply{}, err
		}
		if resp.StatusCode >= http.StatusOK {
			return reply{resp}, nil
		}
		// Informational answers have no body.
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return reply{}, fmt.Errorf("the server switches protocols unasked")
		}
	}
}

// reusable tells whether the connection may carry another request after an
// answer that was read whole, and notes until when.
func (c *Conn) reusable(now time.Time, resp reply) bool {
	if resp.Close || c.reader.Buffered() > 0 {
		return false
	}
	c.fresh = false
	c.idleUntil = now.Add(keepAlive(resp.Header.Get("Keep-Alive")))
	return true
}

// keepAlive returns the time for which a connection may stay unused.
func keepAlive(header string) time.Duration {
	for _, field := range strings.Split(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds <= 0 {
			return unknownIdle
		}
		return max(0, time.Duration(seconds)*time.Second-idleMargin)
	}
	return unknownIdle
}

// watch closes the connection when ctx ends, which ends reads and writes.
func (c *Conn) watch(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, c.close)
}

// readWhole reads an answer's body up to a limit. Remainder is set if there is more.
func readWhole(resp reply, limit int64) (body []byte, whole bool, err error) {
	defer func() {
		if whole || err != nil {
			_ = resp.Body.Close()
		}
	}()
	if resp.ContentLength >= 0 && resp.ContentLength <= limit {
		body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, body)
		if err != nil {
			return nil, false, err
		}
		// Reaches the end of the framing, so that the connection is reusable.
		_, err = io.Copy(io.Discard, resp.Body)
		return body, true, err
	}
	body, err = io.ReadAll(io.LimitReader(resp.Body, limit+1))
	return body, int64(len(body)) <= limit, err
}
