package measurer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/refuser"
	"samphiremux/pkg/parser"
	"samphiremux/standin/generator"
	"samphiremux/standin/simulator"
)

// TestRelayedRefusalRunsTwice guards against a refusal that a backend server got itself and
// passes on, and that another entry takes for one of the entry that ran the request.
func TestRelayedRefusalRunsTwice(t *testing.T) {
	for _, reason := range []refuser.Reason{refuser.UnreachableServers, refuser.BackendUnreachable, refuser.Misdirected, refuser.Stopping} {
		for _, keyed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, key %v", reason, keyed), func(t *testing.T) {
				d := simulator.Trust().WithOnlyService("booking")
				relay := func(*simulator.Cluster, parser.Server) func(*http.Request) (int, http.Header) {
					return func(*http.Request) (int, http.Header) {
						return http.StatusServiceUnavailable, http.Header{refuser.RefusalHeader: {refuser.NewNotRun(reason).Header()}}
					}
				}
				withCluster(t, simulator.Options{Deployment: d, Entries: 12, Downstream: relay}, d.Document("test"), func(t *testing.T, cl testCluster) {
					is := is.New(t)
					for i, host := range cl.Entries {
						id, key := fmt.Sprintf("r%d", i), ""
						if keyed {
							key = generator.NewIdempotencyKey(rand.New(rand.NewPCG(uint64(i), 1)), time.Now())
						}
						status, err := post(cl, host, id, key)
						is.NoErr(err)
						is.Equal(status, http.StatusServiceUnavailable)
						if keyed {
							_, err = post(cl, host, id, key)
							is.NoErr(err)
						}
						if runs := cl.Executions.Runs(id); runs > 1 {
							t.Errorf("%s ran %d times", id, runs)
						}
					}
				})
			})
		}
	}
}

// post sends a request that must not be repeated to an entry and returns the status.
func post(cl testCluster, h *simulator.Host, id, key string) (status int, err error) {
	c, err := cl.net.Dial(context.Background(), netip.MustParseAddr("127.0.9.9"), netip.AddrPortFrom(h.Address, simulator.CallerPort))
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST /bookings/1 HTTP/1.1\r\nHost: booking\r\nX-Request-Id: %s\r\nIdempotency-Key: %s\r\nContent-Length: 4\r\n\r\nbody", id, key)
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
