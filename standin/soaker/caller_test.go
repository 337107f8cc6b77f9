package soaker

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"samphiremux/platform/translator"
)

// record is what a caller saw of one request.
type record struct {
	id     string
	method string
	// key is the API key, or empty.
	key  string
	work time.Duration
	size int
	// kept is set if the connection has carried a request before.
	kept bool
	// ahead is set if it was sent before the previous request was answered, and unread if the
	// response to that one closed the connection.
	ahead, unread bool
	process       *process
	began         time.Time
	// sent is when the last byte was sent, zero if it was not.
	sent     time.Time
	ended    time.Time
	deadline time.Time
	// status is zero if there was no complete response.
	status    int
	signature string
	// bodySize and bodySum are those of the body.
	bodySize int
	bodySum  string
	err      error
}

// wasReset reports whether the connection was closed with bytes that were not read.
func (r record) wasReset() bool {
	return errors.Is(r.err, syscall.ECONNRESET) || errors.Is(r.err, syscall.EPIPE)
}

// caller sends one request after another.
type caller struct {
	name  string
	fleet *fleet
	rand  *rand.Rand
	// keyRand draws API keys, so that they change nothing else that is drawn.
	keyRand *rand.Rand
	// keeps is set if it keeps its connection for as long as the entry does.
	keeps bool
	// hurries is set if it sends small requests one right after another.
	hurries bool
	// sendsAhead is set if it sends some requests before the previous ones are answered.
	sendsAhead bool
	// next is a request that was sent ahead, or nil.
	next *request
	sent int

	conn    net.Conn
	reader  *bufio.Reader
	entry   *entryProcess
	process *process
	used    int
}

// call runs the caller until ctx ends.
func (c *caller) call(ctx context.Context) {
	for ctx.Err() == nil || c.next != nil {
		if c.conn == nil && !c.connect() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		r, keep := c.send()
		c.fleet.checks.add(r)
		if !keep || !c.keeps {
			_ = c.conn.Close()
			c.conn = nil
			c.dropAhead(r.status != 0)
		}
		pause := time.Duration(c.rand.IntN(80)) * time.Millisecond
		if c.hurries {
			pause /= 20
		}
		c.await(pause)
	}
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// rushSpread is the time over which callers spread their requests when a signal comes.
const rushSpread = 2 * time.Millisecond

// await waits for a pause, or until the entry gets a signal.
func (c *caller) await(pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-c.entry.rushed():
		time.Sleep(time.Duration(c.rand.Int64N(int64(rushSpread))))
	}
}

// connect opens a connection, to the same entry as before while it accepts one.
func (c *caller) connect() bool {
	if c.entry == nil || !c.keeps {
		c.entry = c.fleet.entries[c.rand.IntN(len(c.fleet.entries))]
	}
	p := c.entry.current()
	dialer := net.Dialer{Timeout: time.Second}
	if c.sendsAhead {
		// Most of a response is on its way when the entry has written it.
		dialer.Control = func(_, _ string, raw syscall.RawConn) (err error) {
			_ = raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
			return err
		}
	}
	conn, err := dialer.Dial("tcp", c.entry.callerAddress())
	// A restart between the two would count the request at the wrong process.
	if err != nil || p == nil || c.entry.current() != p {
		if err == nil {
			_ = conn.Close()
		}
		c.entry = nil
		return false
	}
	c.conn, c.reader, c.process, c.used = conn, bufio.NewReader(conn), p, 0
	return true
}

// request is a request as it is sent, in pieces with a pause before each but the first.
type request struct {
	record
	pieces []string
	gap    time.Duration
}

// draw draws the next request.
func (c *caller) draw() request {
	c.sent++
	works := []time.Duration{0, 0, 0, 5 * time.Millisecond, 5 * time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond, 1200 * time.Millisecond}
	r := request{record: record{
		id: fmt.Sprintf("%s-%d-%d", c.name, c.fleet.script.seed, c.sent), method: http.MethodGet, process: c.process, kept: c.used > 0,
		work: works[c.rand.IntN(len(works))], size: []int{0, 0, 1000, 100_000}[c.rand.IntN(4)],
	}}
	path, body := "/catalogue/", ""
	if c.rand.IntN(2) == 0 {
		r.method, path = http.MethodPost, "/booking/"
		body = strings.Repeat("b", []int{0, 10, 10, 3000, 200_000}[c.rand.IntN(5)])
	}
	if c.hurries {
		r.work, r.size, body = 0, 0, body[:min(10, len(body))]
	}
	left := 5 * time.Second
	r.began = time.Now()
	r.deadline = r.began.Add(left)
	identity := c.drawIdentity(&r.record)
	head := fmt.Sprintf("%s %s?%s HTTP/1.1\r\nHost: soak.example\r\n"+identity+"%s: %s\r\n%s: %d\r\n%s: %v\r\n%s: %d\r\n%s: %d\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
		r.method, path, r.id, translator.HeaderRequestID, r.id, translator.HeaderDeadline, left.Milliseconds(), workHeader, r.work,
		sentHeader, r.began.UnixNano(), sizeHeader, r.size, sumHeader, sumOf(body), len(body))
	r.pieces = []string{head + body}
	if body != "" && !c.hurries && c.rand.IntN(3) == 0 {
		r.pieces = []string{head, body[:len(body)/2], body[len(body)/2:]}
		r.gap = time.Duration(c.rand.IntN(500)) * time.Millisecond
	}
	return r
}

// drawIdentity draws the API key of a request and returns its header lines. Some requests
// claim a workspace.
func (c *caller) drawIdentity(r *record) (lines string) {
	key, workspace := c.fleet.checks.keys.draw(c.keyRand)
	r.key = key
	if c.fleet.script.plant == "other-workspace" {
		workspace = "other"
	}
	if key != "" {
		lines = fmt.Sprintf("%s: Bearer %s\r\n%s: %s\r\n", translator.HeaderKey, key, workspaceHeader, workspace)
	}
	if c.keyRand.IntN(3) == 0 {
		lines += translator.HeaderWorkspace + ": claimed\r\n"
	}
	return lines
}

// sendAhead draws the next request, and sends it if it is safe.
func (c *caller) sendAhead() {
	q := c.draw()
	if q.method != http.MethodGet || len(q.pieces) > 1 {
		return
	}
	if _, err := io.WriteString(c.conn, q.pieces[0]); err == nil {
		q.ahead, q.kept, q.sent = true, true, time.Now()
		c.next = &q
	}
}

// dropAhead records a request that was sent ahead on a connection that has ended. Answered is set
// if the previous one got the response that closed it.
func (c *caller) dropAhead(answered bool) {
	if c.next == nil {
		return
	}
	r := c.next.record
	r.unread, r.ended, r.err = answered, time.Now(), io.EOF
	c.fleet.checks.add(r)
	c.next = nil
}

// takeNext returns the request to send or, if it was sent ahead, to await.
func (c *caller) takeNext() (q request) {
	if c.next == nil {
		return c.draw()
	}
	q, c.next = *c.next, nil
	return q
}

// send sends a request and waits for its response or the end of the connection. Keep is set
// if the connection may be used on.
func (c *caller) send() (r record, keep bool) {
	q := c.takeNext()
	c.used++
	type response struct {
		*http.Response
		body []byte
		err  error
		at   time.Time
	}
	_ = c.conn.SetDeadline(q.deadline.Add(answerSlack))
	responses := make(chan response, 1)
	go func() {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
		if err != nil {
			responses <- response{err: err, at: time.Now()}
			return
		}
		body, err := io.ReadAll(resp.Body)
		responses <- response{resp, body, err, time.Now()}
	}()
	var got response
	answered := false
	pieces := q.pieces
	if q.ahead {
		pieces = nil
	}
	for i, piece := range pieces {
		if i > 0 {
			select {
			case got = <-responses:
				answered = true
			case <-time.After(q.gap):
			case <-c.entry.rushed():
				time.Sleep(time.Duration(c.rand.Int64N(int64(rushSpread))))
			}
		}
		if answered {
			break
		}
		if _, err := io.WriteString(c.conn, piece); err != nil {
			break
		}
		if i == len(q.pieces)-1 {
			q.sent = time.Now()
		}
	}
	if !answered {
		if c.sendsAhead && !q.sent.IsZero() && q.method == http.MethodGet {
			c.sendAhead()
		}
		got = <-responses
	}
	r = q.record
	r.ended, r.err = got.at, got.err
	if got.err != nil {
		return r, false
	}
	if c.fleet.script.plant == "cut-body" {
		got.body = got.body[:len(got.body)/2]
	}
	r.status, r.signature = got.StatusCode, got.Header.Get(translator.HeaderSignature)
	r.bodySize, r.bodySum = len(got.body), sumOf(string(got.body))
	if id := got.Header.Get(translator.HeaderRequestID); id != "" && id != r.id {
		r.err = errors.New("response has the id " + strconv.Quote(id))
	}
	c.distort(&r)
	return r, !got.Close && !q.sent.IsZero()
}

// distort changes what the caller saw if the script plants a fault there.
func (c *caller) distort(r *record) {
	if r.status != http.StatusOK {
		return
	}
	switch c.fleet.script.plant {
	case "lose-response":
		r.status, r.err = 0, io.EOF
	case "drop-signature":
		r.signature = ""
	}
}
