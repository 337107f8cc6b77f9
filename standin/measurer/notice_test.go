package measurer_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/standin/simulator"
)

// TestNoticesOfServersNotLogged guards against an entry whose log does not say why servers get
// nothing: since they said that they leave, or asked for a pause, also for an absurd one.
func TestNoticesOfServersNotLogged(t *testing.T) {
	var log bytes.Buffer
	d := simulator.Trust().WithOnlyService("booking")
	o := simulator.Options{Deployment: d, Entries: 1, Log: hclog.New(&hclog.LoggerOptions{Output: &log, JSONFormat: true})}
	withCluster(t, o, d.Document("test"), func(t *testing.T, cl testCluster) {
		cl.Servers["booking-1"].ShedFor(2 * time.Hour)
		cl.Servers["booking-2"].ShedFor(2 * time.Second)
		cl.Servers["booking-3"].SetDraining(true)
		client := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return cl.net.Dial(ctx, netip.MustParseAddr("127.0.9.9"), netip.AddrPortFrom(cl.Entries[0].Address, simulator.CallerPort))
		}}
		defer client.CloseIdleConnections()
		var calls sync.WaitGroup
		for n := range 200 {
			calls.Go(func() {
				req, err := http.NewRequestWithContext(cl.ctx, http.MethodPost, fmt.Sprintf("http://booking/bookings/%d", n), http.NoBody)
				if err != nil {
					t.Error(err)
					return
				}
				if resp, err := client.RoundTrip(req); err == nil {
					_ = resp.Body.Close()
				}
			})
		}
		calls.Wait()
	})
	for _, want := range []struct {
		message, server string
		most            int
	}{
		{"Pause of a backend server does not hold as stated.", "booking-1", 2},
		{"Backend server asks for a pause.", "booking-2", 4},
		{"Backend server is leaving by its own response.", "booking-3", 1},
	} {
		n := 0
		for line := range strings.Lines(log.String()) {
			if strings.Contains(line, want.message) && strings.Contains(line, want.server) {
				n++
			}
		}
		if n < 1 || n > want.most {
			t.Errorf("%d lines %q of %s, want 1 to %d", n, want.message, want.server, want.most)
		}
	}
}
