package balancer

import (
	"net/http"
	"time"

	"samphiremux/entry/delegator"
	"samphiremux/entry/refuser"
	"samphiremux/entry/roundtripper"
)

// Values of Retry-After on refusals.
const (
	// queueRetryAfter is long enough for a queue of a few requests to drain.
	queueRetryAfter = 50 * time.Millisecond
	// unconfiguredRetryAfter is for an entry that has no configuration yet, or not the
	// newest.
	unconfiguredRetryAfter = 300 * time.Millisecond
	// unreachableRetryAfter is for an entry that reaches no backend server. It exceeds
	// the time between two checks whether it does again.
	unreachableRetryAfter = 300 * time.Millisecond
	// memoryRetryAfter is long enough for one of the largest bodies to be passed on.
	memoryRetryAfter = 500 * time.Millisecond
)

func retryAfter(now time.Time, refusal refuser.Refusal) time.Duration {
	if refusal.RetryAt.After(now) {
		return refusal.RetryAt.Sub(now)
	}
	switch refusal.Reason {
	case refuser.NoDocument, refuser.Outdated:
		return unconfiguredRetryAfter
	case refuser.UnreachableServers:
		return unreachableRetryAfter
	case refuser.MemoryFull:
		return memoryRetryAfter
	default:
		return queueRetryAfter
	}
}

// refuse answers a caller, or the entry that passes the request on, whose request is
// refused. If it has disconnected, it aborts the connection.
func (b *Balancer) refuse(w http.ResponseWriter, r *http.Request, h *hop, refusal refuser.Refusal, t *trace) {
	BoundWrite(w)
	b.metrics.refusals.With(string(refusal.Kind), string(refusal.Reason)).Inc()
	if refusal.Reason == refuser.CallerDisconnected {
		t.add(Refused, "kind", string(refusal.Kind), "reason", string(refusal.Reason))
		b.flush(r.Header.Get(b.opts.Headers.RequestID), t, false)
		panic(http.ErrAbortHandler)
	}
	status := refusal.Status()
	if refusal.Kind == refuser.OutcomeUnknown && refusal.Reason != refuser.ResponseTimeout {
		status = http.StatusBadGateway
	}
	if refusal.Reason == refuser.OwnLinkSaturated {
		now := time.Now()
		refusal = refusal.WithRetryAt(now.Add(b.opts.Link.Delay(now) + queueRetryAfter))
	}
	if status == http.StatusServiceUnavailable {
		b.opts.Headers.SetRetryAfter(w.Header(), retryAfter(time.Now(), refusal))
	}
	if status == http.StatusUnauthorized {
		b.opts.Headers.SetChallenge(w.Header())
	}
	if h != nil {
		w.Header().Set(delegator.OutcomeHeader, hopRefusal(refusal).Header())
		if !refusal.RetryAt.IsZero() {
			w.Header().Set(delegator.RetryHeader, time.Until(refusal.RetryAt).String())
		}
	}
	w.Header().Set(b.opts.Headers.RequestID, r.Header.Get(b.opts.Headers.RequestID))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	inputs := []any{"kind", string(refusal.Kind), "reason", string(refusal.Reason), "status", status}
	unknown := refusal.Reason == refuser.NoSuchRoute || refusal.Reason == refuser.Outdated || refusal.Reason == refuser.UnknownKey
	if table := b.opts.Snapshot().Table; unknown && table != nil {
		inputs = append(inputs, "host", r.Host, "configuration", table.Version)
	}
	t.add(Refused, inputs...)
	b.flush(r.Header.Get(b.opts.Headers.RequestID), t, unknown)
}

// hopRefusal returns a refusal as it is sent to another entry. Entries of earlier versions do
// not know the reason of a saturated link, and would take the request for lost.
func hopRefusal(r refuser.Refusal) refuser.Refusal {
	if r.Reason == refuser.OwnLinkSaturated {
		r.Reason = refuser.UnreachableServers
	}
	return r
}

// writeResponse writes a server's response to the caller. If a streamed
// response ends early, it aborts the caller's connection, so that the caller
// does not take a truncated response for a complete one.
func (b *Balancer) writeResponse(w http.ResponseWriter, resp *roundtripper.Response) {
	if resp.Remainder != nil {
		defer resp.Remainder.Close()
	}
	writeHead(w, resp)
	if err := b.deliver(w, resp); err != nil {
		if resp.Remainder != nil {
			b.opts.Log.Warn("Streamed response ended early; aborting the connection to the caller.", "error", err)
		}
		panic(http.ErrAbortHandler)
	}
}

// writeHead writes the status and the headers of a server's response.
func writeHead(w http.ResponseWriter, resp *roundtripper.Response) {
	h := w.Header()
	for name, values := range endToEndHeader(resp.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if resp.Remainder == nil {
		h.Set("Content-Length", contentLength(resp))
	}
	w.WriteHeader(resp.Status)
}
