package expirer_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/expirer"
)

var limits = expirer.Timeouts{Header: 2 * time.Second, Idle: 10 * time.Second}

// chanListener accepts the connections that are sent on conns.
type chanListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *chanListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *chanListener) Close() error   { close(l.closed); return nil }
func (l *chanListener) Addr() net.Addr { return &net.TCPAddr{} }

// withServer serves one connection and calls f with the caller's end of it.
func withServer(t *testing.T, f func(e *expirer.Expirer, c net.Conn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := expirer.New(time.Now)
		l := &chanListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		server := &http.Server{ConnState: e.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/long" {
				time.Sleep(time.Minute)
			}
		})}
		go func() { _ = server.Serve(e.WrapListener(l)) }()
		clientConn, serverConn := net.Pipe()
		l.conns <- serverConn
		synctest.Wait()
		f(e, clientConn)
		_ = clientConn.Close()
		_ = server.Shutdown(context.Background())
	})
}

func get(t *testing.T, c net.Conn, path string) {
	t.Helper()
	go func() { _, _ = c.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// TestIdleConnection checks that a connection is closed once it has been idle for
// too long, counted from the last response, and that it is counted once.
func TestIdleConnection(t *testing.T) {
	withServer(t, func(e *expirer.Expirer, c net.Conn) {
		is := is.New(t)
		time.Sleep(9 * time.Second)
		is.Equal(e.CloseExpired(limits), expirer.Closed{})
		get(t, c, "/")
		synctest.Wait()
		time.Sleep(9 * time.Second) // the idle time counts from the response
		is.Equal(e.CloseExpired(limits), expirer.Closed{})
		time.Sleep(2 * time.Second)
		is.Equal(e.CloseExpired(limits), expirer.Closed{Idle: 1})
		is.Equal(e.CloseExpired(limits), expirer.Closed{}) // closed and counted only once
	})
}

// TestSlowHeaders guards against callers that hold connections open by sending
// their headers slowly: further bytes must not extend the timeout.
func TestSlowHeaders(t *testing.T) {
	withServer(t, func(e *expirer.Expirer, c net.Conn) {
		is := is.New(t)
		time.Sleep(5 * time.Second)
		_, err := c.Write([]byte("GET / HTTP/1.1\r\n"))
		is.NoErr(err)
		time.Sleep(1500 * time.Millisecond)
		_, err = c.Write([]byte("Host: h\r\n")) // further bytes do not extend the timeout
		is.NoErr(err)
		is.Equal(e.CloseExpired(limits), expirer.Closed{})
		time.Sleep(time.Second)
		is.Equal(e.CloseExpired(limits), expirer.Closed{Header: 1})
		_, err = c.Read(make([]byte, 1))
		is.Equal(err, io.EOF) // no response
	})
}

// TestActiveRequestNotClosed checks that a connection with a request in progress
// is not closed, however long the request takes.
func TestActiveRequestNotClosed(t *testing.T) {
	withServer(t, func(e *expirer.Expirer, c net.Conn) {
		is := is.New(t)
		go func() {
			time.Sleep(30 * time.Second)
			is.Equal(e.CloseExpired(limits), expirer.Closed{}) // a request has its own deadline
		}()
		get(t, c, "/long")
	})
}

// TestIdleConnectionsAtStop checks which connections a process closes as it stops.
func TestIdleConnectionsAtStop(t *testing.T) {
	for _, c := range []struct {
		name, before, part string
		open               bool
	}{
		{"unused", "", "", true},
		{"first request begun", "", "GET", true},
		{"idle", "/", "", false},
		{"next request begun", "/", "GET / HTTP/1.1\r\n", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			withServer(t, func(e *expirer.Expirer, conn net.Conn) {
				is := is.New(t)
				if c.before != "" {
					get(t, conn, c.before)
					synctest.Wait()
				}
				_, _ = conn.Write([]byte(c.part))
				synctest.Wait()
				e.CloseIdle()
				synctest.Wait()
				is.Equal(e.Open() == 1, c.open)
			})
		})
	}
}

// heldConn is a connection that holds back what has been read until it is released.
type heldConn struct {
	net.Conn
	release chan struct{}
}

func (c *heldConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	<-c.release
	return n, err
}

// TestRequestCutAsItsConnectionExpires guards against a request that is passed on although its
// connection has been closed while its last bytes were read.
func TestRequestCutAsItsConnectionExpires(t *testing.T) {
	for _, part := range []string{"", "GET / HTTP/1.1\r\n"} {
		t.Run(part, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := expirer.New(time.Now)
				l := &chanListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				served := false
				server := &http.Server{ConnState: e.ConnState, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served = true })}
				go func() { _ = server.Serve(e.WrapListener(l)) }()
				caller, serverConn := net.Pipe()
				held := &heldConn{Conn: serverConn, release: make(chan struct{})}
				l.conns <- held
				go func() {
					if part != "" {
						_, _ = caller.Write([]byte(part))
						held.release <- struct{}{}
						time.Sleep(limits.Header + time.Second)
					} else {
						time.Sleep(limits.Idle + time.Second)
					}
					_, _ = caller.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"[len(part):]))
				}()
				time.Sleep(limits.Idle + 2*time.Second)
				synctest.Wait()
				e.CloseExpired(limits)
				close(held.release)
				resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
				is.NoErr(err)
				is.True(served)
				_ = resp.Body.Close()
				_ = caller.Close()
				_ = server.Shutdown(context.Background())
			})
		})
	}
}

// TestArrivedRequestCutAsIdle guards against an idle connection that is closed although a
// request has arrived on it while the process did not run.
func TestArrivedRequestCutAsIdle(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	now := time.Unix(1000, 0)
	e := expirer.New(func() time.Time { return now })
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	c, err := e.WrapListener(l).Accept()
	is.NoErr(err)
	e.ConnState(c, http.StateNew)
	_, err = caller.Write([]byte("GET / HTTP/1.1\r\n"))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	now = now.Add(limits.Idle + time.Second)
	is.Equal(e.CloseExpired(limits), expirer.Closed{})
	b := make([]byte, 100)
	n, err := c.Read(b)
	is.NoErr(err)
	is.Equal(n, 16)
	is.Equal(e.CloseExpired(limits), expirer.Closed{}) // the time for the headers has just begun
	now = now.Add(limits.Header + time.Second)
	is.Equal(e.CloseExpired(limits), expirer.Closed{Header: 1})
}
