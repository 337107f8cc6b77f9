package measurer_test

import (
	"bufio"
	"io"
	"net/http"
	"net/netip"
	"testing"

	"samphiremux/standin/simulator"
)

// TestLegalRequestFormsDenied guards against redirects and client errors for requests whose
// form is unusual but legal.
func TestLegalRequestFormsDenied(t *testing.T) {
	d := simulator.Trust()
	for _, c := range []struct {
		name, request string
		status        int
	}{
		{"empty segment", "GET /catalogue//1 HTTP/1.1\r\nHost: catalogue\r\n\r\n", http.StatusOK},
		{"dot segment", "GET /catalogue/./1 HTTP/1.1\r\nHost: catalogue\r\n\r\n", http.StatusOK},
		{"two dots", "GET /catalogue/a/../1 HTTP/1.1\r\nHost: catalogue\r\n\r\n", http.StatusOK},
		{"encoded octets", "GET /catalogue/%2e%2e/%2F HTTP/1.1\r\nHost: catalogue\r\n\r\n", http.StatusOK},
		{"empty segment before a body", "POST /bookings//1 HTTP/1.1\r\nHost: booking\r\nContent-Length: 4\r\n\r\nbody", http.StatusOK},
		{"body in chunks", "POST /bookings/1 HTTP/1.1\r\nHost: booking\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\n\r\n", http.StatusOK},
		{"upper case", "GET /catalogue/1 HTTP/1.1\r\nHost: CataLogue\r\n\r\n", http.StatusOK},
		{"port", "GET /catalogue/1 HTTP/1.1\r\nHost: catalogue:8080\r\n\r\n", http.StatusOK},
		{"absolute form", "GET http://catalogue/catalogue/1 HTTP/1.1\r\nHost: other\r\n\r\n", http.StatusOK},
		{"asterisk form", "OPTIONS * HTTP/1.1\r\nHost: catalogue\r\n\r\n", http.StatusNotFound},
	} {
		t.Run(c.name, func(t *testing.T) {
			withCluster(t, simulator.Options{Deployment: d, Entries: 2}, d.Document("test"), func(t *testing.T, cl testCluster) {
				conn, err := cl.net.Dial(cl.ctx, netip.MustParseAddr("127.0.9.9"), netip.AddrPortFrom(cl.Entries[0].Address, simulator.CallerPort))
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				if _, err := io.WriteString(conn, c.request); err != nil {
					t.Fatal(err)
				}
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Body.Close()
				if resp.StatusCode != c.status {
					t.Errorf("status %d, location %q, refusal %q", resp.StatusCode, resp.Header.Get("Location"), resp.Header.Get("Samphire-Refusal"))
				}
			})
		})
	}
}
