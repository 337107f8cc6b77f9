package sender_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"samphiremux/entry/retrier"
)

// TestResetWhileWriting guards against a part of a response that is taken for a complete
// one: the server responds at once to a long upload, without a length, and resets the
// connection while the upload is being written.
func TestResetWhileWriting(t *testing.T) {
	const runs = 20
	for _, after := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond} {
		for _, method := range []string{http.MethodPut, http.MethodPost} {
			t.Run(method+" after "+after.String(), func(t *testing.T) {
				t.Parallel()
				complete := 0
				for range runs {
					address := serveTCP(t, func(conn net.Conn) {
						_, _ = http.ReadRequest(bufio.NewReader(conn))
						_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nSamphire-Attempt-Id: a1\r\n\r\npart")
						time.Sleep(after)
						_ = conn.(*net.TCPConn).SetLinger(0)
						_ = conn.Close()
					})
					ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
					r := newRequest(address, method, "a1", true)
					r.Body = []byte(strings.Repeat("x", 16<<20))
					_, o := newSender().Send(ctx, r)
					cancel()
					if _, ok := o.(retrier.Answered); ok {
						complete++
					}
				}
				if complete > 0 {
					t.Errorf("%d of %d responses that were reset count as complete", complete, runs)
				}
			})
		}
	}
}

// TestInvalidStatuses guards against a response whose status is none, which also ends the
// handler that passes it on with a panic.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "600", "999", "101", "-10", "20", "2000", "2x0"} {
		t.Run(status, func(t *testing.T) {
			address := serveTCP(t, func(conn net.Conn) {
				defer conn.Close()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Status\r\nSamphire-Attempt-Id: a1\r\nContent-Length: 2\r\n\r\nok")
			})
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, o := newSender().Send(ctx, newRequest(address, http.MethodGet, "a1", true))
			if _, ok := o.(retrier.Answered); ok {
				t.Errorf("status %s counts as a response", status)
			}
		})
	}
}
