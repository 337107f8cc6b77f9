package expirer_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"samphiremux/entry/expirer"
	"samphiremux/entry/reserver"
)

// callerConn is the server's end of a connection whose caller sends bytes in pieces of a
// size and reads nothing.
type callerConn struct {
	mu    sync.Mutex
	sent  *bytes.Reader
	piece int
	// closed is closed with the connection.
	closed    chan struct{}
	closeOnce sync.Once
}

func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent.Read(p[:min(len(p), c.piece)])
}

func (c *callerConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}
func (c *callerConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *callerConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *callerConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *callerConn) SetDeadline(time.Time) error      { return nil }
func (c *callerConn) SetReadDeadline(time.Time) error  { return nil }
func (c *callerConn) SetWriteDeadline(time.Time) error { return nil }

// requestsIn returns the requests that a server reads from bytes, with or without bounds.
func requestsIn(t *testing.T, sent []byte, piece int, b expirer.Bounds) (requests []string) {
	t.Helper()
	c := &callerConn{sent: bytes.NewReader(sent), piece: piece, closed: make(chan struct{})}
	l := &chanListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	l.conns <- c
	e := expirer.New(time.Now).WithBounds(b)
	server := &http.Server{ConnState: e.ConnState, ErrorLog: nil, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		requests = append(requests, fmt.Sprintf("%s %s %v %q %v", r.Method, r.RequestURI, r.Header, body, err))
	})}
	go func() { _ = server.Serve(e.WrapListener(l)) }()
	<-c.closed
	_ = server.Close()
	return requests
}

// FuzzRequests guards against requests that change, are lost or are added, since the bounds
// split what a caller sends at the ends of heads, and against memory that is not given back.
func FuzzRequests(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n\r\n\r\nxGET /2 HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: 1\r\n\r\nGET /2 HTTP/1.1\nHost: h\n\n",
		"\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n \r\n\r\n",
		"GET / HTTP/1.0\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n",
	} {
		f.Add([]byte(text), 7)
	}
	f.Fuzz(func(t *testing.T, sent []byte, piece int) {
		if len(sent) > 8<<10 {
			return
		}
		piece = max(1, min(piece, 4096))
		memory := reserver.New(1 << 20)
		want := requestsIn(t, sent, piece, expirer.Bounds{})
		got := requestsIn(t, sent, piece, expirer.Bounds{Memory: memory, Head: func() expirer.HeadLimits { return expirer.HeadLimits{Bytes: 8 << 10, Lines: 8 << 10} }})
		if !slices.Equal(got, want) {
			t.Errorf("got\n%s\nwithout bounds\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
		}
		// The state of a connection changes after it is closed.
		for range 1000 {
			if memory.Used() == 0 {
				return
			}
			time.Sleep(time.Millisecond)
		}
		t.Errorf("%d bytes are not given back", memory.Used())
	})
}
