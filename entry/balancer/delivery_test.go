package balancer_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/pkg/pipelistener"
)

// TestSlowReader guards against a whole response that is broken off since its caller reads
// with pauses longer than the idle timeout, and against a caller that keeps a response by
// reading nothing. A streamed response over a slow link is whole within its deadline.
func TestSlowReader(t *testing.T) {
	for _, c := range []struct {
		name, head string
		size       int
		pause      time.Duration
		read       int64
		whole      bool
	}{
		{"with pauses", "GET /look/1 HTTP/1.1\r\nLeft: 400ms", 240 << 10, 5 * time.Second, 60 << 10, true},
		{"not at all", "GET /look/1 HTTP/1.1\r\nLeft: 400ms", 240 << 10, time.Minute, 60 << 10, false},
		{"540 KB at 1 Mbit/s", "GET /download/1 HTTP/1.1\r\nLeft: 5s", 540_000, 100 * time.Millisecond, 12_500, true},
		{"540 KB not at all", "GET /download/1 HTTP/1.1\r\nLeft: 5s", 540_000, time.Minute, 12_500, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			large := strings.Repeat("0123456789abcde\n", c.size/16)
			all := servers(1, func(w io.Writer, id string) bool {
				_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(large), large)
				return err == nil
			})
			withFixture(t, all, func(is *is.I, f *fixture) {
				f.idle = 2 * time.Second
				l := pipelistener.New()
				server := &http.Server{Handler: f.balancer}
				go func() { _ = server.Serve(l) }()
				defer server.Close()
				caller := l.Open()
				defer caller.Close()
				_, err := io.WriteString(caller, c.head+"\r\nHost: h\r\nId: r1\r\n\r\n")
				is.NoErr(err)
				resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
				is.NoErr(err)
				got := 0
				for err == nil && got < len(large) {
					time.Sleep(c.pause)
					var n int64
					n, err = io.CopyN(io.Discard, resp.Body, c.read)
					got += int(n)
				}
				is.Equal(got == len(large), c.whole)
			})
		})
	}
}
