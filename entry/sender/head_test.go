package sender_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/sender"
)

// TestHeadOfLostResponse guards against what a server says of itself that is lost with its
// response, and against a pause that an inner entry's refusal asks for.
func TestHeadOfLostResponse(t *testing.T) {
	for _, c := range []struct {
		name, writes string
		draining     bool
		pause        time.Duration
	}{
		{"whole", "HTTP/1.1 200 OK\r\nSamphire-Draining: true\r\nContent-Length: 0\r\n\r\n", true, 0},
		{"body breaks off", "HTTP/1.1 200 OK\r\nSamphire-Draining: true\r\nContent-Length: 9\r\n\r\nhi", true, 0},
		{"another attempt", "HTTP/1.1 200 OK\r\nSamphire-Attempt-Id: a0\r\nSamphire-Draining: true\r\nContent-Length: 0\r\n\r\n", true, 0},
		{"shed", "HTTP/1.1 503 Full\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n", false, 1500 * time.Millisecond},
		{"shed and broken off", "HTTP/1.1 503 Full\r\nRetry-After: 2\r\nContent-Length: 9\r\n\r\nhi", false, 2 * time.Second},
		{"served", "HTTP/1.1 200 OK\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", false, 0},
		{"refusal that is passed on", "HTTP/1.1 503 Full\r\nSamphire-Refusal: not-run; reason=servers-paused\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := sender.New(func(context.Context, netip.AddrPort) (net.Conn, error) {
					client, server := net.Pipe()
					go func() {
						_, _ = http.ReadRequest(bufio.NewReader(server))
						_, _ = io.WriteString(server, c.writes)
						_ = server.Close()
					}()
					return client, nil
				})
				address := netip.MustParseAddrPort("10.0.0.1:80")
				began := time.Now()
				var head sender.Head
				_, _ = s.Send(context.Background(), sender.Request{
					Method: http.MethodGet, Host: "h", URI: "/", Header: http.Header{}, AttemptID: "a1", Idempotent: true,
					SheddingStatuses: []int{http.StatusServiceUnavailable}, Address: address, MaxConnections: 2,
					OnHead: func(h sender.Head) { head = h },
				})
				is.Equal(head.Draining, c.draining)
				is.Equal(s.Paused(address), c.pause > 0)
				if c.pause > 0 {
					is.Equal(head.Pause.Until.Sub(began), c.pause)
				}
			})
		})
	}
}
