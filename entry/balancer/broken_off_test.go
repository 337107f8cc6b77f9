package balancer_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/balancer"
	"samphiremux/entry/chooser"
	"samphiremux/pkg/pipelistener"
)

// exchange sends a request to the balancer over a connection. It returns an error if the
// response is not whole.
func exchange(b *balancer.Balancer, method, path string) (status int, signed bool, body string, err error) {
	l := pipelistener.New()
	server := &http.Server{Handler: b, ErrorLog: hclog.NewNullLogger().StandardLogger(&hclog.StandardLoggerOptions{})}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	c := l.Open()
	defer c.Close()
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nId: r1\r\nLeft: 400ms\r\nContent-Length: 0\r\n\r\n", method, path); err != nil {
		return 0, false, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return 0, false, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("Signature") != "", string(data), err
}

// TestBrokenOffResponseLooksWhole guards against a success with an empty or short body
// after a server has stopped in the middle of its response.
func TestBrokenOffResponseLooksWhole(t *testing.T) {
	large := strings.Repeat("0123456789abcde\n", 20_000)
	for _, c := range []struct {
		name, method, path, text, body string
		status                         int
	}{
		{"with a length", http.MethodGet, "/look/1", "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Length: 12\r\n\r\nhello\r\nworld", "hello\r\nworld", 200},
		{"with a length, not repeated", http.MethodPost, "/book/1", "HTTP/1.1 201 Created\r\nId: r1\r\nSignature: s\r\nContent-Length: 12\r\n\r\nhello\r\nworld", "hello\r\nworld", 201},
		{"in chunks", http.MethodPost, "/book/1", "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", 200},
		{"no content", http.MethodPost, "/book/1", "HTTP/1.1 204 No Content\r\nId: r1\r\nSignature: s\r\n\r\n", "", 204},
		{"to HEAD", http.MethodHead, "/look/1", "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Length: 12\r\n\r\n", "", 200},
		{"streamed with a length", http.MethodPost, "/book/1", fmt.Sprintf("HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", len(large), large), large, 200},
		{"streamed, may be repeated", http.MethodGet, "/look/1", fmt.Sprintf("HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", len(large), large), large, 200},
		{"streamed in chunks", http.MethodPost, "/book/1", fmt.Sprintf("HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(large), large), large, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			for length := 1; length <= len(c.text); length++ {
				if length > 200 && length < len(c.text)-20 {
					length = min(length+30_011, len(c.text)-20)
				}
				synctest.Test(t, func(t *testing.T) {
					all := servers(2, func(w io.Writer, _ string) bool {
						_, _ = io.WriteString(w, c.text[:length])
						return false
					})
					f := newFixture(t, chooser.ExpectedCompletion{}, all...)
					status, signed, body, err := exchange(f.balancer, c.method, c.path)
					switch {
					case length == len(c.text):
						if err != nil || status != c.status || !signed || body != c.body {
							t.Errorf("whole: status %d, signed %v, %d bytes, %v", status, signed, len(body), err)
						}
					case err == nil && (status < 500 || signed):
						t.Errorf("cut after %d of %d bytes: status %d, signed %v, %d bytes", length, len(c.text), status, signed, len(body))
					}
					f.close()
				})
			}
		})
	}
}

// TestLargeResponseOfRetryCut guards against a large response that is cut as its attempt
// follows another one, or a hedge.
func TestLargeResponseOfRetryCut(t *testing.T) {
	large := strings.Repeat("0123456789abcde\n", 20_000)
	respond := func(status string) func(io.Writer, string) bool {
		return func(w io.Writer, id string) bool {
			_, err := fmt.Fprintf(w, "HTTP/1.1 %s\r\nId: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", status, id, len(large), large)
			return err == nil
		}
	}
	for _, c := range []struct {
		name  string
		first func(io.Writer, string) bool
		work  time.Duration
	}{
		{"after a failure", respondError, 20 * time.Millisecond},
		{"after a large failure", respond("500 Internal Server Error"), 20 * time.Millisecond},
		{"after a refusal", respondShed, 20 * time.Millisecond},
		{"of a hedge", respond("200 OK"), 300 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := servers(2, respond("200 OK"))
				all[0].respond, all[0].work, all[1].probeDelay = c.first, c.work, 4*time.Millisecond
				f := newFixture(t, chooser.ExpectedCompletion{}, all...)
				status, _, body, err := exchange(f.balancer, http.MethodGet, "/look/1")
				if status != http.StatusOK || body != large || err != nil {
					t.Errorf("status %d, %d of %d bytes, %v", status, len(body), len(large), err)
				}
				time.Sleep(c.work)
				f.close()
			})
		})
	}
}
