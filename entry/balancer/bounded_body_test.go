package balancer_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"samphiremux/entry/balancer"
	"samphiremux/entry/chooser"
	"samphiremux/entry/meter"
	"samphiremux/entry/reserver"
	"samphiremux/entry/roundtripper"
	"samphiremux/entry/snapshotter"
	"samphiremux/pkg/describer"
	"samphiremux/pkg/fixturereader"
)

// TestUnfinishedBodies guards against the memory and the connections of requests whose
// bodies do not end, and against a body that is cut off and taken for a whole one. It uses
// sockets, since only they end reads at a deadline as a process sees it.
func TestUnfinishedBodies(t *testing.T) {
	const head = "POST /book/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 80_000, strings.Repeat("x", 80_000))
	type upload struct {
		Name, Left, States, End, Reason string
		Closes, Other                   bool
	}
	for _, c := range fixturereader.Read[[]upload](t, "_fixtures/unfinished_bodies.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			memory, metrics := reserver.New(200<<10), meter.New()
			address := serveBounded(t, memory, metrics, nil)
			send := func(text string) net.Conn {
				conn, err := net.Dial("tcp", address)
				is.NoErr(err)
				_, err = io.WriteString(conn, text)
				is.NoErr(err)
				return conn
			}
			conn := send(head + "Left: " + c.Left + "\r\n" + c.States + "\r\n\r\n" + chunk + c.End)
			defer conn.Close()
			if c.Closes {
				time.Sleep(100 * time.Millisecond)
				_ = conn.(*net.TCPConn).CloseWrite()
			}
			if c.Other {
				time.Sleep(1200 * time.Millisecond) // longer than a hold may stall
				other := send(head + "Left: 8s\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000))
				defer other.Close()
			}
			isRefused := func() bool {
				return metricOf(metrics, fmt.Sprintf("refusals_total{kind=\"not-run\",reason=%q}", c.Reason)) == "1"
			}
			for range 500 {
				if isRefused() && memory.Used() == 0 {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Errorf("refused as %s: %v; %d bytes are held", c.Reason, isRefused(), memory.Used())
		})
	}
}

// TestUnreadResponse guards against a caller that keeps a connection, and what is held for
// it, since it reads nothing of its response.
func TestUnreadResponse(t *testing.T) {
	is := is.New(t)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Instance", "i-1")
		w.Header().Set("Load", "0,100")
		if r.URL.Path == "/health" {
			return
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
		// More than the buffers of both connections take.
		w.Header().Set("Content-Length", strconv.Itoa(64<<20))
		for range 64 {
			if _, err := w.Write(make([]byte, 1<<20)); err != nil {
				return
			}
		}
	}))
	defer backend.Close()
	memory, metrics := reserver.New(1<<20), meter.New()
	address := serveBounded(t, memory, metrics, backend.Listener.Addr())
	// A probe may fail on a busy machine.
	for range 10 {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer conn.Close()
		_, err = io.WriteString(conn, "GET /book/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nLeft: 9s\r\n\r\n")
		is.NoErr(err)
		// A caller is given up after 15 s without progress, however short the idle timeout is.
		for range 2000 {
			if metricOf(metrics, `undelivered_responses_total{cause="stalled"}`) != "0" && memory.Used() == 0 {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	t.Errorf("responses are still being written; %d bytes are held", memory.Used())
}

// serveBounded serves callers on a loopback address with a bound of memory, and a backend
// server at an address or none. It returns the address.
func serveBounded(t *testing.T, memory *reserver.Reserver, metrics *meter.Registry, backend net.Addr) string {
	t.Helper()
	snapshots := snapshotter.New(func(s describer.Server) *snapshotter.ServerState {
		return snapshotter.NewServerState(roundtripper.New(s.ID, "h", func(ctx context.Context) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", s.Address.String())
		}, headers))
	})
	route := routeOf("book", false)
	route.TimeLimit, route.TargetLatency, route.MaxAttempts = 10*time.Second, time.Second, 1
	if err := snapshots.SetTable(tableOf(1, describer.Limits{}, route)); err != nil {
		t.Fatal(err)
	}
	if backend != nil {
		srv := serverOf("i-1", 1)
		srv.Address = netip.MustParseAddrPort(backend.String())
		snapshots.PutServer(srv)
	}
	headers := callerHeaders
	headers.Instance = "Expect-Instance" // the backend is of net/http, which refuses other values of Expect
	b := balancer.New(balancer.Options{
		Self: "e0", Domain: "a", Policy: chooser.ExpectedCompletion{}, Snapshot: snapshots.Snapshot, Bodies: memory, Metrics: metrics,
		EntryCount: func() int { return 1 }, Rank: func(string) (int, int) { return 0, 1 },
		IdleTimeout: func() time.Duration { return 300 * time.Millisecond },
		RetryLimits: func() balancer.Limits { return balancer.Limits{Ratio: 0.2, Slack: 60, Window: 10 * time.Second} }, Log: hclog.NewNullLogger(),
		Headers: headers,
	}, rand.New(rand.NewPCG(1, 1)))
	server := httptest.NewServer(b)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}
