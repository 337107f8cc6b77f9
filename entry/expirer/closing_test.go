package expirer_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/buffersizer"
	"samphiremux/entry/expirer"
	"samphiremux/entry/reserver"
	"samphiremux/pkg/fixturereader"
)

// closingCase is a request whose response closes the connection while the caller sends more.
type closingCase struct {
	Name, Request, Headers, Ahead string
	Repeat, Window, Status, Size  int
	// Endless is set if the head of the request does not end.
	Endless bool
}

// closingServer is a server that responds on paths with the size of the body: /close/SIZE and
// /keep/SIZE.
type closingServer struct {
	expirer *expirer.Expirer
	server  *http.Server
	address string
	// received gets a value once a request is handled, which then waits for respond.
	received, respond chan struct{}
	handled           atomic.Int32
}

func newClosingServer(t *testing.T, b expirer.Bounds) *closingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &closingServer{
		expirer: expirer.New(time.Now).WithBounds(b), address: l.Addr().String(),
		received: make(chan struct{}, 100), respond: make(chan struct{}),
	}
	s.server = &http.Server{Handler: http.HandlerFunc(s.handle), ConnState: s.expirer.ConnState}
	conns := s.expirer.WrapListener(buffersizer.New(64<<20, time.Now).WrapListener(l))
	go func() { _ = s.server.Serve(conns) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

func (s *closingServer) handle(w http.ResponseWriter, r *http.Request) {
	s.handled.Add(1)
	s.received <- struct{}{}
	<-s.respond
	verb, size, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	n, _ := strconv.Atoi(size)
	if verb == "close" {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Length", size)
	_, _ = w.Write(make([]byte, n))
}

// dial opens a connection with a receive buffer of some bytes, or that of the system for zero.
func (s *closingServer) dial(t *testing.T, window int) net.Conn {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if window > 0 {
			_ = raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window) })
		}
		return err
	}}
	c, err := d.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// TestSentAheadOfClose guards against responses that are cut off by a reset, since the caller
// has sent bytes behind its request that the server does not read, and against requests among
// these bytes that run.
func TestSentAheadOfClose(t *testing.T) {
	for _, c := range fixturereader.Read[[]closingCase](t, "_fixtures/closing.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			head := func() expirer.HeadLimits { return expirer.NewHeadLimits(16 << 10) }
			s := newClosingServer(t, expirer.Bounds{Head: head, Memory: reserver.New(1 << 20)})
			conn := s.dial(t, c.Window)
			first := c.Request + "\r\nHost: h\r\n" + c.Headers
			if !c.Endless {
				first += "\r\n"
			}
			_, err := io.WriteString(conn, first)
			is.NoErr(err)
			runs := c.Status == http.StatusOK
			if runs {
				<-s.received
			}
			// The whole text is written before the response is read.
			_, err = io.WriteString(conn, strings.Repeat(c.Ahead, max(1, c.Repeat)))
			close(s.respond)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.Status)
			is.True(resp.Close)
			time.Sleep(50 * time.Millisecond) // a reset drops what is still on its way
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(len(body), c.Size)
			_ = conn.Close()
			awaitEnded(t, s.expirer)
			is.Equal(s.handled.Load() == 1, runs)
		})
	}
}

// awaitEnded waits until the expirer holds no connection.
func awaitEnded(t *testing.T, e *expirer.Expirer) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); e.Open() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are open", e.Open())
		}
	}
}

// TestNextRequestCrossesIdleClose guards against a response that is cut off since its caller,
// which has not read it whole, sends the next request as the connection is closed as idle.
func TestNextRequestCrossesIdleClose(t *testing.T) {
	is := is.New(t)
	s := newClosingServer(t, expirer.Bounds{})
	close(s.respond)
	conn := s.dial(t, 4<<10)
	_, err := io.WriteString(conn, "GET /keep/9000 HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-s.received
	time.Sleep(50 * time.Millisecond) // the server has written the response and awaits a request
	s.expirer.CloseIdle()
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(conn, "GET /keep/1 HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(len(body), 9000)
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(s.handled.Load(), int32(1))
}

// TestCallersThatNeverClose guards against connections that callers keep after the last
// response, whether they read it or not: they hold descriptors, and delay the exit of a process.
func TestCallersThatNeverClose(t *testing.T) {
	for _, c := range []struct {
		name          string
		reads, floods bool
	}{{"response read", true, false}, {"response not read", false, false}, {"further bytes without end", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newClosingServer(t, expirer.Bounds{})
			close(s.respond)
			for range 20 {
				conn := s.dial(t, 4<<10)
				_, err := io.WriteString(conn, "GET /close/9000 HTTP/1.1\r\nHost: h\r\n\r\n")
				is.NoErr(err)
				if c.floods {
					go func() { _, _ = io.Copy(conn, endless{}) }()
				}
				if c.reads {
					_, err = io.Copy(io.Discard, conn)
					is.NoErr(err)
				}
			}
			awaitEnded(t, s.expirer)
		})
	}
}

// endless is a reader without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestEndingConnectionsAtBound guards against new callers that are turned away while
// connections whose last response is on its way hold all descriptors.
func TestEndingConnectionsAtBound(t *testing.T) {
	is := is.New(t)
	s := newClosingServer(t, expirer.Bounds{Connections: 4})
	close(s.respond)
	for range 4 {
		_, err := io.WriteString(s.dial(t, 4<<10), "GET /close/9000 HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		<-s.received
	}
	time.Sleep(50 * time.Millisecond) // the responses are written
	is.Equal(s.expirer.Open(), 4)
	conn := s.dial(t, 0)
	_, err := io.WriteString(conn, "GET /close/1 HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}

// TestBrokenOffResponse guards against a response without a length that looks complete to its
// caller, although it was given up.
func TestBrokenOffResponse(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	e := expirer.New(time.Now)
	server := &http.Server{ConnState: e.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 60000))
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now())
		panic(http.ErrAbortHandler)
	})}
	go func() { _ = server.Serve(e.WrapListener(buffersizer.New(64<<20, time.Now).WrapListener(l))) }()
	defer func() { _ = server.Shutdown(context.Background()) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
	is.NoErr(err)
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = io.Copy(io.Discard, conn)
	is.True(errors.Is(err, syscall.ECONNRESET))
}
