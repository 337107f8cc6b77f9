package balancer_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"samphiremux/entry/balancer"
	"samphiremux/entry/chooser"
	"samphiremux/entry/meter"
	"samphiremux/entry/reserver"
	"samphiremux/entry/snapshotter"
	"samphiremux/pkg/describer"
)

// TestUnfinishedBodies guards against the memory and the connections of requests whose
// bodies do not end, and against a body that is cut off and taken for a whole one. It uses
// sockets, since only they end reads at a deadline as a process sees it.
func TestUnfinishedBodies(t *testing.T) {
	const head = "POST /book/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 80_000, strings.Repeat("x", 80_000))
	for _, c := range []struct {
		name, left, sent string
		// closes is set if the caller closes its connection, and other if another request
		// needs the memory.
		closes, other bool
		reason        string
	}{
		{"stated length, until the deadline", "300ms", "Content-Length: 150000\r\n\r\n" + chunk, false, false, "deadline-passed"},
		{"in chunks, until the deadline", "300ms", "Transfer-Encoding: chunked\r\n\r\n" + chunk, false, false, "deadline-passed"},
		{"stated length, for another request", "8s", "Content-Length: 150000\r\n\r\n" + chunk, false, true, "memory-full"},
		{"in chunks, for another request", "8s", "Transfer-Encoding: chunked\r\n\r\n" + chunk, false, true, "memory-full"},
		{"in chunks, cut off", "8s", "Transfer-Encoding: chunked\r\n\r\n" + chunk, true, false, "caller-gone"},
		{"whole", "8s", "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n", false, false, "no-backend-server"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			memory, metrics := reserver.New(200<<10), meter.New()
			address := serveBounded(t, memory, metrics)
			send := func(text string) net.Conn {
				conn, err := net.Dial("tcp", address)
				is.NoErr(err)
				_, err = io.WriteString(conn, text)
				is.NoErr(err)
				return conn
			}
			conn := send(head + "Left: " + c.left + "\r\n" + c.sent)
			defer conn.Close()
			if c.closes {
				time.Sleep(100 * time.Millisecond)
				_ = conn.(*net.TCPConn).CloseWrite()
			}
			if c.other {
				time.Sleep(1200 * time.Millisecond) // longer than a hold may stall
				other := send(head + "Left: 8s\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000))
				defer other.Close()
			}
			want := fmt.Sprintf("samphire_refusals_total{kind=\"not-run\",reason=%q} 1\n", c.reason)
			isRefused := func() bool {
				w := httptest.NewRecorder()
				metrics.ServeHTTP(w, nil)
				return strings.Contains(w.Body.String(), want)
			}
			for range 500 {
				if isRefused() && memory.Used() == 0 {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Errorf("refused as %s: %v; %d bytes are held", c.reason, isRefused(), memory.Used())
		})
	}
}

// serveBounded serves callers on a loopback address with a bound of memory and without
// backend servers. It returns the address.
func serveBounded(t *testing.T, memory *reserver.Reserver, metrics *meter.Registry) string {
	t.Helper()
	snapshots := snapshotter.New(func(describer.Server) *snapshotter.ServerState { return nil })
	route := describer.Route{
		Name: "book", Host: "h", Prefix: "/book/", TimeLimit: 10 * time.Second, TargetLatency: time.Second, MaxAttempts: 1,
		Services: []describer.WeightedService{{Service: "stock", Share: 1}},
	}
	if err := snapshots.SetTable(describer.NewRouteTable(1, []describer.Route{route}, []describer.Service{{Name: "stock", HealthPath: "/health"}}, describer.Limits{})); err != nil {
		t.Fatal(err)
	}
	b := balancer.New(balancer.Options{
		Self: "e0", Domain: "a", Policy: chooser.ExpectedCompletion{}, Snapshot: snapshots.Snapshot, Bodies: memory, Metrics: metrics,
		EntryCount: func() int { return 1 }, Rank: func(string) (int, int) { return 0, 1 },
		RetryLimits: func() balancer.Limits { return balancer.Limits{} }, Log: hclog.NewNullLogger(),
		Headers: balancer.Headers{
			RequestID: "Id", Instance: "Expect", SetDeadline: func(http.Header, time.Duration) {}, SetRetryAfter: func(http.Header, time.Duration) {},
			ReadDeadline: func(h http.Header) (time.Duration, bool) {
				d, err := time.ParseDuration(h.Get("Left"))
				return d, err == nil
			},
		},
	}, rand.New(rand.NewPCG(1, 1)))
	server := httptest.NewServer(b)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}
