package commander

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/allotter"
)

// TestUnreadSmallResponses guards against connections that their callers keep for ever, since
// they send requests and read none of the responses that the entry makes itself: the bound of
// connections closes none with a request in progress, so that these take all of them.
func TestUnreadSmallResponses(t *testing.T) {
	serve := map[string]func(e *entry, l net.Listener){
		"callers": func(e *entry, l net.Listener) { _ = e.callerServer(e.balancer).Serve(e.expirer.WrapListener(l)) },
		"delegated": func(e *entry, l net.Listener) {
			_ = e.server(http.HandlerFunc(e.serveDelegated)).Serve(l)
		},
		"readiness": func(e *entry, l net.Listener) {
			s, conns := e.boundServer(http.HandlerFunc(e.serveReady), l, readyListener, allotter.OtherShare)
			_ = s.Serve(conns)
		},
	}
	for name, run := range serve {
		for _, request := range []string{"GET /none", "OPTIONS *"} {
			t.Run(name+" "+request, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					e, _ := newTestEntry(t)
					l := newPipeListener()
					defer l.Close()
					go run(e, l)
					conn := l.open()
					defer conn.Close()
					_, err := io.WriteString(conn, request+" HTTP/1.1\r\nHost: h\r\n\r\n")
					is.NoErr(err)
					time.Sleep(time.Minute)
					_, err = conn.Read(make([]byte, 1))
					is.True(err != nil) // the entry still waits for the caller to read
				})
			})
		}
	}
}
