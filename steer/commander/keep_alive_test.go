package commander

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/pkg/describer"
)

// TestRequestCrossesIdleClose guards against requests that arrive on a kept connection just
// after the entry has closed it as idle, though the caller keeps to what it was told.
func TestRequestCrossesIdleClose(t *testing.T) {
	const delay = 20 * time.Millisecond // from the caller to the entry
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		limits := describer.Limits{IdleTimeout: 15 * time.Second}
		is.NoErr(f.entries[0].snapshots.SetTable(describer.NewRouteTable(2, []describer.Route{fleetRoute("look", true)},
			[]describer.Service{{Name: "stock", HealthPath: "/health", ColdRate: 9.3}}, limits)))
		f.respond = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }
		var reused, cut atomic.Int64
		var callers sync.WaitGroup
		for wait := 13 * time.Second; wait < 16500*time.Millisecond; wait += delay / 2 {
			callers.Go(func() {
				c := dialKept(t.Context(), f)
				defer c.Close()
				if !c.get() {
					t.Error("the first request got no response")
					return
				}
				time.Sleep(wait)
				if c.isClosed() || (c.timeout > 0 && wait > c.timeout) {
					return
				}
				time.Sleep(delay)
				reused.Add(1)
				if !c.get() {
					cut.Add(1)
				}
			})
		}
		callers.Wait()
		is.True(reused.Load() > 0)
		is.Equal(cut.Load(), int64(0))
	})
}

// keptConn is a caller's connection that carries several requests.
type keptConn struct {
	net.Conn
	// responses holds what the entry sent, and is closed when the entry closes the connection.
	responses chan *http.Response
	// timeout is the time for which the entry keeps the connection by its last response. It
	// is zero if that was not told.
	timeout time.Duration
}

func dialKept(ctx context.Context, f *fleet) *keptConn {
	conn, err := f.network.dialer("caller")(ctx, "tcp", f.entries[0].settings.Load().CallerAddress)
	if err != nil {
		panic(err)
	}
	c := &keptConn{Conn: conn, responses: make(chan *http.Response)}
	go func() {
		defer close(c.responses)
		in := bufio.NewReader(conn)
		for {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			c.responses <- resp
		}
	}()
	return c
}

// get sends a request and reports whether a response came.
func (c *keptConn) get() bool {
	_, err := io.WriteString(c, "GET /look/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 900\r\n\r\n")
	resp, ok := <-c.responses
	if err != nil || !ok {
		return false
	}
	seconds := 0
	_, _ = fmt.Sscanf(strings.TrimPrefix(resp.Header.Get("Keep-Alive"), "timeout="), "%d", &seconds)
	c.timeout = time.Duration(seconds) * time.Second
	return true
}

func (c *keptConn) isClosed() bool {
	select {
	case _, open := <-c.responses:
		return !open
	default:
		return false
	}
}
