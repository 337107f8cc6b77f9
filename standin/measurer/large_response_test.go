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

	"samphiremux/standin/generator"
	"samphiremux/standin/responder"
	"samphiremux/standin/simulator"
)

// TestLargeResponseCut guards against large responses that are cut by the entry, or look
// whole although the server has broken them off, on the entry's own servers and over a hop.
func TestLargeResponseCut(t *testing.T) {
	for _, c := range []struct {
		name, method string
		keyed        bool
	}{
		{"may be repeated", http.MethodGet, false},
		{"must not be repeated", http.MethodPost, false},
		{"with a key", http.MethodPost, true},
	} {
		for _, size := range []int{1000, 100_000, 3 << 20} {
			for _, truncated := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d bytes, truncated %v", c.name, size, truncated), func(t *testing.T) {
					d := simulator.Trust().WithOnlyService("booking")
					withCluster(t, simulator.Options{Deployment: d, Entries: 12}, d.Document("test"), func(t *testing.T, cl testCluster) {
						is := is.New(t)
						if truncated {
							for _, b := range cl.Servers {
								b.TruncateNext(1000)
							}
						}
						for i, host := range cl.Entries {
							lines := ""
							if c.keyed {
								lines = "Idempotency-Key: " + generator.NewIdempotencyKey(rand.New(rand.NewPCG(uint64(i), 1)), time.Now()) + "\r\n"
							}
							status, got, err := fetch(cl, host, c.method, fmt.Sprintf("r%d", i), lines, size)
							switch {
							case truncated:
								is.True(err != nil || status >= http.StatusInternalServerError)
							case err != nil || status != http.StatusOK || got != size:
								t.Errorf("entry %d: status %d, %d of %d bytes, %v", i, status, got, size, err)
							}
							time.Sleep(time.Second)
						}
					})
				})
			}
		}
	}
}

// fetch sends a request to an entry and reads a response of a size.
func fetch(cl testCluster, h *simulator.Host, method, id, lines string, size int) (status, got int, err error) {
	c, err := cl.net.Dial(context.Background(), netip.MustParseAddr("127.0.9.9"), netip.AddrPortFrom(h.Address, simulator.CallerPort))
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	_, err = fmt.Fprintf(c, "%s /bookings/1 HTTP/1.1\r\nHost: booking\r\nX-Request-Id: %s\r\n%s: %d\r\n%sContent-Length: 0\r\n\r\n", method, id, responder.SizeHeader, size, lines)
	if err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, int(n), err
}
