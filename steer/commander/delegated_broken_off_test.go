package commander

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/platform/translator"
)

// TestDelegatedResponseBrokenOff guards against a response that looks whole to a caller
// although the server has stopped in its middle, as the request was passed on.
func TestDelegatedResponseBrokenOff(t *testing.T) {
	large := strings.Repeat("0123456789abcde\n", 20_000)
	for _, c := range []struct{ name, path, head, body, whole string }{
		{"with a length", "/book/a", "HTTP/1.1 200 OK\r\n%sContent-Length: 12\r\n\r\n", "hello\r\nworld", "hello\r\nworld"},
		{"with a length, repeated", "/look/a", "HTTP/1.1 200 OK\r\n%sContent-Length: 12\r\n\r\n", "hello\r\nworld", "hello\r\nworld"},
		{"in chunks", "/book/a", "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n0\r\n\r\n", "hello"},
		{"no content", "/book/a", "HTTP/1.1 204 No Content\r\n%s\r\n", "", ""},
		{"after an informational response", "/book/a", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\n", "ok", "ok"},
		{"streamed with a length", "/book/a", fmt.Sprintf("HTTP/1.1 200 OK\r\n%%sContent-Length: %d\r\n\r\n", len(large)), large, large},
		{"streamed, repeated", "/look/a", fmt.Sprintf("HTTP/1.1 200 OK\r\n%%sContent-Length: %d\r\n\r\n", len(large)), large, large},
		{"streamed in chunks", "/book/a", "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(large), large), large},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				is := is.New(t)
				length := 0
				f.respond = func(w http.ResponseWriter, r *http.Request) {
					own := fmt.Sprintf("%s: %s\r\n%s: s\r\n", translator.HeaderRequestID, r.Header.Get(translator.HeaderRequestID), translator.HeaderSignature)
					text := fmt.Sprintf(c.head, own) + c.body
					_, _ = io.Copy(io.Discard, r.Body)
					conn, _, err := http.NewResponseController(w).Hijack()
					is.NoErr(err)
					_, _ = io.WriteString(conn, text[:min(length, len(text))])
					_ = conn.Close()
				}
				f.isolate(0)
				total := len(fmt.Sprintf(c.head, "X-Request-Id: r0000\r\nX-Server-Signature: s\r\n")) + len(c.body)
				for length = 0; length < total; length++ {
					if length > 200 && length < total-20 {
						length = min(length+30_011, total-20)
					}
					id := fmt.Sprintf("r%04d", length)
					resp, body, err := f.send(t.Context(), 0, c.path, id, "")
					is.True(f.runs[id] > 0)
					if err == nil && (resp.StatusCode < http.StatusInternalServerError || resp.Header.Get(translator.HeaderSignature) != "") {
						t.Errorf("cut after %d of %d bytes: status %d, %d bytes", length, total, resp.StatusCode, len(body))
					}
					time.Sleep(time.Second)
				}
				resp, body, err := f.send(t.Context(), 0, c.path, "r9999", "")
				is.NoErr(err)
				is.True(resp.StatusCode < http.StatusMultipleChoices)
				is.Equal(body, c.whole)
			})
		})
	}
}
