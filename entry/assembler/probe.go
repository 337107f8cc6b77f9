package assembler

import (
	"context"
	"net/http"
	"net/netip"

	"samphiremux/entry/granter"
	"samphiremux/entry/retrier"
	"samphiremux/entry/sender"
)

const (
	// healthPath is where backend servers answer probes.
	healthPath = "/healthz"
	// probeAttemptID marks probes in the logs of servers.
	probeAttemptID = "probe"
	// probeConnections bounds the connections that probes may add.
	probeConnections = 2
)

// sendProbe asks a server for its health. A server says that it is leaving by
// the draining header or by status 503.
func sendProbe(ctx context.Context, s *sender.Sender, address netip.AddrPort) granter.ProbeResult {
	answer, o := s.Send(ctx, sender.Request{
		Method: http.MethodGet, Host: address.String(), URI: healthPath, Header: http.Header{}, AttemptID: probeAttemptID,
		Idempotent: true, Address: address, MaxConnections: probeConnections,
	})
	if _, ok := o.(retrier.Answered); !ok {
		return granter.ProbeResult{}
	}
	if answer.Remainder != nil {
		_ = answer.Remainder.Close()
	}
	draining := answer.Draining || answer.Status == http.StatusServiceUnavailable
	return granter.ProbeResult{Reachable: true, Draining: draining}
}
