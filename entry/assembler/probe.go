package assembler

import (
	"context"
	"errors"
	"net/http"
	"net/netip"

	"samphiremux/entry/capper"
	"samphiremux/entry/granter"
	"samphiremux/entry/retrier"
	"samphiremux/entry/sender"
)

const (
	// healthPath is the path at which backend servers answer probes.
	healthPath = "/healthz"
	// probeAttemptID identifies probes in the logs of backend servers.
	probeAttemptID = "probe"
	// probeConnections bounds the connections to one backend server that probes
	// add to those of requests.
	probeConnections = 2
)

// sendProbe sends a health probe to the backend server at address. A server that
// answers at all is reachable, whatever the status. It is draining if it sends the
// draining header or status 503.
func sendProbe(ctx context.Context, s *sender.Sender, address netip.AddrPort) granter.ProbeResult {
	resp, outcome := s.Send(ctx, sender.Request{
		Method: http.MethodGet, Host: address.String(), URI: healthPath, Header: http.Header{}, AttemptID: probeAttemptID,
		Idempotent: true, Address: address, MaxConnections: probeConnections,
	})
	if _, ok := outcome.(retrier.Answered); !ok {
		if notSent, ok := outcome.(retrier.NotSent); ok && errors.Is(notSent.Cause, capper.ErrTooManyConnections) {
			// Nothing is known, as of a server that asked for a pause.
			return granter.ProbeResult{Paused: true}
		}
		return granter.ProbeResult{}
	}
	if resp.Remainder != nil {
		_ = resp.Remainder.Close()
	}
	draining := resp.Draining || resp.Status == http.StatusServiceUnavailable
	return granter.ProbeResult{Reachable: true, Draining: draining, RateLimit: resp.RateLimit}
}
