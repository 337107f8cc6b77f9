package measurer_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/standin/responder"
	"samphiremux/standin/simulator"
)

// TestCallersConnectionClosed guards against connections that are closed while they may be
// used: since their first request comes late, or their request takes long.
func TestCallersConnectionClosed(t *testing.T) {
	for _, c := range []struct {
		name string
		// pauses are the times before the request, within its head, and before the body.
		pauses [3]time.Duration
		work   time.Duration
		// status is zero if the connection is closed without a response.
		status int
	}{
		{"used at once", [3]time.Duration{}, 0, http.StatusOK},
		{"used after the time for a head", [3]time.Duration{7 * time.Second}, 0, http.StatusOK},
		{"used after the time for a body", [3]time.Duration{40 * time.Second}, 0, http.StatusOK},
		{"a slow head within its time", [3]time.Duration{7 * time.Second, 3 * time.Second}, 0, http.StatusOK},
		{"a head that is too slow", [3]time.Duration{0, 8 * time.Second}, 0, 0},
		{"a slow body within its time", [3]time.Duration{0, 0, 20 * time.Second}, 0, http.StatusOK},
		{"a body that is too slow", [3]time.Duration{0, 0, 40 * time.Second}, 0, http.StatusServiceUnavailable},
		{"a long request", [3]time.Duration{}, 50 * time.Second, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := simulator.Trust().WithOnlyService("booking")
			doc := d.Document("test")
			s, _ := doc.Service("booking")
			s.Routes = slices.Clone(s.Routes)
			for i := range s.Routes {
				s.Routes[i].TimeLimit = 2 * time.Minute
			}
			withCluster(t, simulator.Options{Deployment: d, Entries: 3}, doc.WithService(s), func(t *testing.T, cl testCluster) {
				is := is.New(t)
				conn, err := cl.net.Dial(cl.ctx, netip.MustParseAddr("127.0.9.9"), netip.AddrPortFrom(cl.Entries[0].Address, simulator.CallerPort))
				is.NoErr(err)
				defer conn.Close()
				head := fmt.Sprintf("POST /bookings/1 HTTP/1.1\r\nHost: booking\r\nX-Request-Id: r1\r\n%s: %v\r\nContent-Length: 4\r\n\r\n", responder.WorkHeader, c.work)
				for i, text := range []string{head[:20], head[20:], "body"} {
					time.Sleep(c.pauses[i])
					_, _ = io.WriteString(conn, text)
				}
				status := 0
				if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
					status = resp.StatusCode
					_ = resp.Body.Close()
				}
				is.Equal(status, c.status)
			})
		})
	}
}

// TestUnusedConnectionHoldsStop guards against a stop that waits for a connection on which
// no request comes.
func TestUnusedConnectionHoldsStop(t *testing.T) {
	d := simulator.Trust().WithOnlyService("booking")
	withCluster(t, simulator.Options{Deployment: d, Entries: 3}, d.Document("test"), func(t *testing.T, cl testCluster) {
		is := is.New(t)
		host := cl.Entries[0]
		entry := host.Entry
		host.Entry = nil
		start := time.Now()
		time.AfterFunc(5*time.Second, func() {
			conn, err := cl.net.Dial(cl.ctx, netip.MustParseAddr("127.0.9.9"), netip.AddrPortFrom(host.Address, simulator.CallerPort))
			if err == nil {
				time.AfterFunc(time.Minute, func() { _ = conn.Close() })
			}
		})
		entry.Stop(cl.ctx)
		is.True(time.Since(start) < 12*time.Second)
		time.Sleep(time.Minute)
	})
}
