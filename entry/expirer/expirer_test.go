package expirer_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/expirer"
)

var limits = expirer.Timeouts{Header: 2 * time.Second, Idle: 10 * time.Second}

// oneListener accepts the connections that it is given.
type oneListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *oneListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *oneListener) Close() error   { close(l.closed); return nil }
func (l *oneListener) Addr() net.Addr { return &net.TCPAddr{} }

// withServer serves one connection, and passes the caller's end of it.
func withServer(t *testing.T, f func(e *expirer.Expirer, c net.Conn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := expirer.New(time.Now)
		l := &oneListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		server := &http.Server{ConnState: e.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/long" {
				time.Sleep(time.Minute)
			}
		})}
		go func() { _ = server.Serve(e.WrapListener(l)) }()
		own, other := net.Pipe()
		l.conns <- other
		synctest.Wait()
		f(e, own)
		_ = own.Close()
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

func TestUnusedConnection(t *testing.T) {
	withServer(t, func(e *expirer.Expirer, c net.Conn) {
		is := is.New(t)
		time.Sleep(9 * time.Second)
		is.Equal(e.CloseExpired(limits), expirer.Closed{})
		get(t, c, "/")
		synctest.Wait()
		time.Sleep(9 * time.Second) // counts from the answer on
		is.Equal(e.CloseExpired(limits), expirer.Closed{})
		time.Sleep(2 * time.Second)
		is.Equal(e.CloseExpired(limits), expirer.Closed{Idle: 1})
		is.Equal(e.CloseExpired(limits), expirer.Closed{}) // closed once
	})
}

func TestSlowHeaders(t *testing.T) {
	withServer(t, func(e *expirer.Expirer, c net.Conn) {
		is := is.New(t)
		time.Sleep(5 * time.Second)
		_, err := c.Write([]byte("GET / HTTP/1.1\r\n"))
		is.NoErr(err)
		time.Sleep(1500 * time.Millisecond)
		_, err = c.Write([]byte("Host: h\r\n")) // more bytes do not extend the time
		is.NoErr(err)
		is.Equal(e.CloseExpired(limits), expirer.Closed{})
		time.Sleep(time.Second)
		is.Equal(e.CloseExpired(limits), expirer.Closed{Header: 1})
	})
}

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
