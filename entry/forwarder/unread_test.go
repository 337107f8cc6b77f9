package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"samphiremux/entry/chooser"
	"samphiremux/entry/collector"
	"samphiremux/entry/forwarder"
	"samphiremux/entry/reconciler"
	"samphiremux/entry/tracker"
)

// oneConn is a listener of one connection.
type oneConn struct {
	net.Listener
	conns chan net.Conn
}

func (l oneConn) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l oneConn) Close() error { return nil }

// TestUnreadRefusal guards against connections that callers keep for ever, since they send
// requests and read none of the refusals: no bound closes a connection in use.
func TestUnreadRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		node := reconciler.New(reconciler.Options{
			Self: tracker.Member{ID: "e1"}, Policy: chooser.ExpectedCompletion{}, Now: time.Now, Metrics: collector.New(),
		})
		server := &http.Server{Handler: forwarder.New(node, nil, nil, nil, nil, nil, hclog.NewNullLogger())}
		l := oneConn{conns: make(chan net.Conn, 1)}
		caller, conn := net.Pipe()
		l.conns <- conn
		go func() { _ = server.Serve(l) }()
		defer server.Close()
		defer close(l.conns)
		defer caller.Close()
		_, err := io.WriteString(caller, "GET /none HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		time.Sleep(time.Minute)
		_, err = caller.Read(make([]byte, 1))
		is.True(err != nil) // the entry still waits for the caller to read
	})
}
