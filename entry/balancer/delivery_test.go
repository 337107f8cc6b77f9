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
// reading nothing.
func TestSlowReader(t *testing.T) {
	large := strings.Repeat("0123456789abcde\n", 240<<10/16)
	for _, c := range []struct {
		name  string
		pause time.Duration
		whole bool
	}{
		{"with pauses", 5 * time.Second, true},
		{"not at all", time.Minute, false},
	} {
		t.Run(c.name, func(t *testing.T) {
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
				_, err := io.WriteString(caller, "GET /look/1 HTTP/1.1\r\nHost: h\r\nId: r1\r\nLeft: 400ms\r\n\r\n")
				is.NoErr(err)
				resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
				is.NoErr(err)
				got := 0
				for err == nil && got < len(large) {
					time.Sleep(c.pause)
					var n int64
					n, err = io.CopyN(io.Discard, resp.Body, 60<<10)
					got += int(n)
				}
				is.Equal(got == len(large), c.whole)
			})
		})
	}
}
