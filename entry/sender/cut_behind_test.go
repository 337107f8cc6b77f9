package sender_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"samphiremux/entry/retrier"
	"samphiremux/pkg/fixturereader"
)

// TestResponseBehindBrokenOffHead guards against a response that is read together with the
// start of an earlier one before it, and taken for a refusal or for another status.
func TestResponseBehindBrokenOffHead(t *testing.T) {
	type fixtureCase struct {
		Name, Cut, Writes string
		Status            int
	}
	cases := fixturereader.Read[[]fixtureCase](t, "_fixtures/cut_behind.yaml")
	for _, c := range cases {
		for _, echo := range []bool{true, false} {
			t.Run(c.Name, func(t *testing.T) {
				for length := range len(c.Cut) {
					text := c.Cut[:length] + c.Writes
					address := serveTCP(t, func(conn net.Conn) {
						defer conn.Close()
						r := bufio.NewReader(conn)
						for _, writes := range []string{"HTTP/1.1 200 OK\r\nSamphire-Attempt-Id: a0\r\nContent-Length: 0\r\n\r\n", text} {
							req, err := http.ReadRequest(r)
							if err != nil {
								return
							}
							_, _ = io.Copy(io.Discard, req.Body)
							_, _ = io.WriteString(conn, writes)
						}
					})
					s := newSender()
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					_, o := s.Send(ctx, newRequest(address, http.MethodPost, "a0", echo))
					if _, ok := o.(retrier.Answered); !ok {
						t.Fatalf("%T", o)
					}
					resp, o := s.Send(ctx, newRequest(address, http.MethodPost, "a1", echo))
					_, answered := o.(retrier.Answered)
					switch {
					case !retrier.MayHaveRun(o):
						t.Errorf("%T behind %q", o, text[:length])
					case answered && (resp.Status != c.Status || string(resp.Body) != "hi"):
						t.Errorf("status %d, body %q behind %q", resp.Status, resp.Body, text[:length])
					case !answered && length == 0:
						t.Errorf("%T alone", o)
					}
					cancel()
					s.Retain(func(netip.AddrPort) bool { return false })
				}
			})
		}
	}
}
