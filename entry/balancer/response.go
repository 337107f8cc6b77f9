package balancer

import (
	"io"
	"net/http"
	"time"

	"samphiremux/entry/refuser"
	"samphiremux/entry/roundtripper"
)

// Waits that refused callers are told, by reason.
const (
	// shortWait lets a queue of a few requests pass.
	shortWait = 50 * time.Millisecond
	// unknownWait is for an entry that knows no configuration yet.
	unknownWait = 300 * time.Millisecond
)

func retryAfter(reason refuser.Reason) time.Duration {
	if reason == refuser.NoDocument {
		return unknownWait
	}
	return shortWait
}

// refuse answers a caller that gets no server's answer.
func (s *Balancer) refuse(w http.ResponseWriter, r *http.Request, refusal refuser.Refusal, t *trail) {
	s.counts.refusals.With(string(refusal.Kind), string(refusal.Reason)).Inc()
	if refusal.Reason == refuser.CallerDisconnected {
		t.add(Refused, "kind", string(refusal.Kind), "reason", string(refusal.Reason))
		s.flush(r.Header.Get(s.o.Headers.RequestID), t, false)
		panic(http.ErrAbortHandler)
	}
	status := refusal.Status()
	if refusal.Kind == refuser.OutcomeUnknown && refusal.Reason != refuser.ResponseTimeout {
		status = http.StatusBadGateway
	}
	if status == http.StatusServiceUnavailable {
		s.o.Headers.SetRetryAfter(w.Header(), retryAfter(refusal.Reason))
	}
	w.Header().Set(s.o.Headers.RequestID, r.Header.Get(s.o.Headers.RequestID))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	t.add(Refused, "kind", string(refusal.Kind), "reason", string(refusal.Reason), "status", status)
	s.flush(r.Header.Get(s.o.Headers.RequestID), t, refusal.Reason == refuser.NoSuchRoute)
}

// pass writes an answer to the caller. A streamed answer that ends early ends the
// caller's connection, so that it is never taken as whole.
func (s *Balancer) pass(w http.ResponseWriter, a *roundtripper.Response) {
	h := w.Header()
	for name, values := range cleanHeader(a.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if a.Remainder == nil {
		h.Set("Content-Length", lengthText(a))
		w.WriteHeader(a.Status)
		_, _ = w.Write(a.Body)
		return
	}
	defer a.Remainder.Close()
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(w, a.Remainder); err != nil {
		s.o.Log.Warn("Streamed answer ended early.", "error", err)
		panic(http.ErrAbortHandler)
	}
}
