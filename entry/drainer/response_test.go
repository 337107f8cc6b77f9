package drainer_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/drainer"
)

// TestResponsesOfStoppingProcess checks that callers get whole responses that tell them to
// close their connections, and the end of the connection behind them.
func TestResponsesOfStoppingProcess(t *testing.T) {
	for _, c := range []struct{ name, path, request string }{
		{"HTTP/1.1", "/status", "HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"HTTP/1.0", "/status", "HTTP/1.0\r\n\r\n"},
		{"HTTP/1.0 kept", "/status", "HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"},
		{"the caller closes", "/status", "HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"},
		{"no status written", "/write", "HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"streamed", "/stream", "HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"streamed, HTTP/1.0 kept", "/stream", "HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"},
		{"body not asked for", "/status", "HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody"},
		{"body not read", "/status", "HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("b", 1000000)},
		{"chunked body not read", "/status", "HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nf4240\r\n" + strings.Repeat("b", 1000000) + "\r\n0\r\n\r\n"},
		{"next request sent ahead", "/status", "HTTP/1.1\r\nHost: h\r\n\r\nGET /status HTTP/1.1\r\nHost: h\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := drainer.New()
			mux := http.NewServeMux()
			mux.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "4")
				w.WriteHeader(http.StatusOK)
				_, _ = io.WriteString(w, "done")
			})
			mux.HandleFunc("/write", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
			mux.HandleFunc("/stream", func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.Copy(w, io.LimitReader(strings.NewReader("done"), 4))
			})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			server := &http.Server{Handler: d.Handler(mux)}
			go func() { _ = server.Serve(l) }()
			defer server.Close()
			conn, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
			d.Announce()
			go func() { _, _ = io.WriteString(conn, "GET "+c.path+" "+c.request) }()
			reader := bufio.NewReader(conn)
			resp, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.True(resp.Close)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(body), "done")
			rest, err := io.ReadAll(reader)
			is.Equal(string(rest), "")                       // no further response
			is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // the connection has ended
		})
	}
}
