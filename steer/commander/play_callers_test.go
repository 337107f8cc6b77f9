package commander

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"samphiremux/platform/translator"
)

const (
	// newConnInterval and keptInterval are the times between two calls to an entry, on new
	// connections and on each kept one.
	newConnInterval = 50 * time.Millisecond
	keptInterval    = 100 * time.Millisecond
	// keptConns is the number of kept connections to an entry.
	keptConns = 2
	// answerBound is the time after the end of a request by which it has a response.
	answerBound = 500 * time.Millisecond
)

// scriptCall is a call of a script, and what became of it.
type scriptCall struct {
	id    string
	entry int
	safe  bool
	kept  bool
	// sent is when the caller sent the request, read when the entry had read it whole and
	// ended when the caller had the response, or gave up. Read is zero if it was not read.
	sent, read, ended time.Time
	// status is zero if there is no whole response.
	status int
	header http.Header
	body   string
	// held is set if there was no response in time.
	held bool
	// class says what the call counts for while entries are cut off.
	class callClass
}

// served reports whether the call got the response of a server to it.
func (c *scriptCall) served() bool {
	return c.status == http.StatusOK && c.body == responseText(c.id)
}

// runCallers calls each entry on new and kept connections until a time.
func (p *play) runCallers(callers *sync.WaitGroup, end time.Time) {
	for i := range fleetSize {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				callers.Go(func() { p.callNew(i, fmt.Sprintf("n%d-%d", i, n), n%2 == 0) })
				time.Sleep(newConnInterval)
			}
		})
		for k := range keptConns {
			callers.Go(func() { p.callKept(i, fmt.Sprintf("k%d-%d", i, k), end) })
		}
	}
}

// callFinally calls each entry once all faults are healed.
func (p *play) callFinally() {
	p.oracle.healed()
	var callers sync.WaitGroup
	for n := range finalCalls {
		for i := range fleetSize {
			callers.Go(func() { p.callNew(i, fmt.Sprintf("f%d-%d", i, n), n%2 == 0) })
		}
		time.Sleep(newConnInterval)
	}
	callers.Wait()
}

// connect opens a caller's connection to an entry.
func (p *play) connect(i int) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(p.ctx, time.Second)
	defer cancel()
	return p.network.dialer("caller")(ctx, "tcp", fleetSettings(i).CallerAddress)
}

// callNew sends one request on a new connection.
func (p *play) callNew(i int, id string, safe bool) {
	c := p.oracle.sending(&scriptCall{id: id, entry: i, safe: safe})
	defer p.oracle.ended(c)
	conn, err := p.connect(i)
	if err != nil {
		return
	}
	defer conn.Close()
	c.exchange(conn, bufio.NewReader(conn))
}

// callKept sends one request after another on a connection, and opens another one when the
// entry closes it.
func (p *play) callKept(i int, name string, end time.Time) {
	for n := 0; time.Now().Before(end); {
		conn, err := p.connect(i)
		if err != nil {
			time.Sleep(keptInterval)
			continue
		}
		responses := bufio.NewReader(conn)
		for isOpen := true; isOpen && time.Now().Before(end); n++ {
			c := p.oracle.sending(&scriptCall{id: fmt.Sprintf("%s-%d", name, n), entry: i, safe: n%2 == 0, kept: true})
			isOpen = c.exchange(conn, responses)
			p.oracle.ended(c)
			time.Sleep(keptInterval)
		}
		_ = conn.Close()
	}
}

// exchange sends the request and reads its response. It reports whether the connection can
// be used again.
func (c *scriptCall) exchange(conn net.Conn, responses *bufio.Reader) (isOpen bool) {
	_ = conn.SetDeadline(c.sent.Add(callerTimeout + answerBound))
	method, path, text := http.MethodPost, "/book/", "body"
	if c.safe {
		method, path, text = http.MethodGet, "/look/", ""
	}
	req, err := http.NewRequest(method, "http://h"+path+c.id, strings.NewReader(text))
	if err != nil {
		panic(err)
	}
	req.Header.Set(translator.HeaderRequestID, c.id)
	translator.SetDeadline(req.Header, callerTimeout)
	var head bytes.Buffer
	if err := req.Write(&head); err != nil {
		panic(err)
	}
	var writing sync.WaitGroup
	writing.Go(func() {
		if _, err := conn.Write(head.Bytes()); err == nil {
			c.read = time.Now()
		}
	})
	resp, err := http.ReadResponse(responses, req)
	if err == nil {
		defer resp.Body.Close()
		var body []byte
		if body, err = io.ReadAll(resp.Body); err == nil {
			c.status, c.header, c.body = resp.StatusCode, resp.Header, string(body)
			isOpen = !resp.Close
		}
	}
	c.held = errors.Is(err, os.ErrDeadlineExceeded)
	writing.Wait()
	return isOpen
}
