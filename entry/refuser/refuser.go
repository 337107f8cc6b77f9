// Package refuser defines the refusals that callers receive in place of a response from
// a backend server. A refusal is either not-run, which guarantees that the request did
// not run, or outcome-unknown. Each has a reason from a fixed list.
package refuser

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// RefusalHeader is the response header with the kind and reason of a refusal, such as
// "not-run; reason=queue-full".
const RefusalHeader = "Samphire-Refusal"

// RetryAfterHeader is the header with the seconds after which a request may be sent again.
const RetryAfterHeader = "Retry-After"

// Kind states whether the refused request may have run.
type Kind string

// Kinds of refusals.
const (
	NotRun         Kind = "not-run"
	OutcomeUnknown Kind = "outcome-unknown"
)

// Reason states why a request was refused.
type Reason string

// Reasons for refusals of kind NotRun.
const (
	NoDocument         Reason = "no-document"
	NoSuchService      Reason = "no-such-service"
	NoSuchRoute        Reason = "no-such-route"
	BadRequest         Reason = "bad-request"
	BodyTooLarge       Reason = "body-too-large"
	HeadersTooLarge    Reason = "headers-too-large"
	QueueFull          Reason = "queue-full"
	CallerOverShare    Reason = "caller-over-share"
	RouteShed          Reason = "route-shed"
	DeadlineTooNear    Reason = "deadline-too-near"
	DeadlinePassed     Reason = "deadline-passed"
	NoBackendServer    Reason = "no-backend-server"
	BackendShedding    Reason = "backend-shedding"
	BackendUnreachable Reason = "backend-unreachable"
	RetryBudgetSpent   Reason = "retry-budget-spent"
	Suspect            Reason = "suspect"
	CallerDisconnected Reason = "caller-gone"
	Misdirected        Reason = "misdirected"
	KeyFromFuture      Reason = "key-from-future"
	EntryUnreachable   Reason = "entry-unreachable"
	Isolated           Reason = "isolated"
	// ColdServers means that only cold servers are available, and that this entry
	// has used up its share of the request rate that cold servers accept during
	// slow start.
	ColdServers Reason = "servers-cold"
	// RateLimitedServers means that only servers are available that state a rate limit,
	// and that this entry has used up its part of it.
	RateLimitedServers Reason = "servers-rate-limited"
	// UnreachableServers means that this entry reaches no backend server of any service,
	// and that no other entry took the request.
	UnreachableServers Reason = "servers-unreachable"
	// Outdated means that the configuration or document in force does not allow the
	// request, and that a newer one may.
	Outdated Reason = "configuration-outdated"
	// Stopping means that the entry stops and might not complete the request.
	Stopping Reason = "stopping"
	// PausedServers means that every server asked this entry for a pause.
	PausedServers Reason = "servers-paused"
	// MemoryFull means that the bodies of other requests take all memory that is meant for
	// them.
	MemoryFull Reason = "memory-full"
	// OwnLinkSaturated means that no backend server answered in time over the link of this
	// entry, which was saturated.
	OwnLinkSaturated Reason = "own-link-saturated"
	// UnknownKey means that a request has no API key that the configuration contains, on a
	// route that needs one.
	UnknownKey Reason = "unknown-key"
)

// Reasons for refusals of kind OutcomeUnknown.
const (
	ConnectionLost     Reason = "connection-lost"
	ResponseTimeout    Reason = "no-answer-in-time"
	TruncatedResponse  Reason = "cut-answer"
	MismatchedResponse Reason = "crossed-answer"
	KeyNotKnown        Reason = "key-not-known"
	KeyOutcomeUnknown  Reason = "key-outcome-unknown"
	PeerLost           Reason = "peer-lost"
	ResponseTooLarge   Reason = "answer-too-large"
)

// NotRunReasons lists the reasons for refusals of kind NotRun.
func NotRunReasons() []Reason {
	return []Reason{
		BackendUnreachable, BackendShedding, BadRequest, BodyTooLarge, CallerDisconnected, CallerOverShare, DeadlinePassed,
		DeadlineTooNear, EntryUnreachable, HeadersTooLarge, Isolated, KeyFromFuture, MemoryFull, Misdirected, NoBackendServer, NoDocument,
		NoSuchRoute, NoSuchService, Outdated, OwnLinkSaturated, QueueFull, RetryBudgetSpent, RouteShed, ColdServers, PausedServers, RateLimitedServers, Stopping, Suspect, UnknownKey, UnreachableServers,
	}
}

// OutcomeUnknownReasons lists the reasons for refusals of kind OutcomeUnknown, in the
// alphabetical order of their values.
func OutcomeUnknownReasons() []Reason {
	return []Reason{
		ResponseTooLarge, ConnectionLost, MismatchedResponse, TruncatedResponse, KeyNotKnown, KeyOutcomeUnknown, ResponseTimeout, PeerLost,
	}
}

// Refusal is the error response to a request that gets no response from a backend
// server. It implements error and is immutable.
type Refusal struct {
	Kind   Kind
	Reason Reason
	Detail string
	// RetryAt is the time at which the caller may be served. It is zero if unknown.
	RetryAt time.Time
}

// NewNotRun returns a refusal of a request that certainly did not run.
func NewNotRun(reason Reason) Refusal { return Refusal{Kind: NotRun, Reason: reason} }

// NewOutcomeUnknown returns a refusal of a request that may have run.
func NewOutcomeUnknown(reason Reason) Refusal { return Refusal{Kind: OutcomeUnknown, Reason: reason} }

// WithDetail returns a copy with a formatted message for the caller.
func (r Refusal) WithDetail(format string, args ...any) Refusal {
	r.Detail = fmt.Sprintf(format, args...)
	return r
}

// WithRetryAt returns a copy with the time at which the caller may be served.
func (r Refusal) WithRetryAt(t time.Time) Refusal {
	r.RetryAt = t
	return r
}

func (r Refusal) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("%s: %s", r.Kind, r.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", r.Kind, r.Reason, r.Detail)
}

// Header returns the value of RefusalHeader.
func (r Refusal) Header() string { return fmt.Sprintf("%s; reason=%s", r.Kind, r.Reason) }

// ErrInvalidHeader reports a value of RefusalHeader that cannot be parsed.
type ErrInvalidHeader struct{ Value string }

func (e ErrInvalidHeader) Error() string { return fmt.Sprintf("%q is not a refusal", e.Value) }

// ParseHeader returns the refusal with a value of RefusalHeader, or ErrInvalidHeader.
func ParseHeader(value string) (Refusal, error) {
	kind, reason, ok := strings.Cut(value, "; reason=")
	r := Refusal{Kind: Kind(kind), Reason: Reason(reason)}
	known := r.Kind == NotRun && slices.Contains(NotRunReasons(), r.Reason) ||
		r.Kind == OutcomeUnknown && slices.Contains(OutcomeUnknownReasons(), r.Reason)
	if !ok || !known {
		return Refusal{}, ErrInvalidHeader{Value: value}
	}
	return r, nil
}

// Status returns the HTTP status code of the refusal.
func (r Refusal) Status() int {
	switch r.Reason {
	case NoSuchService, NoSuchRoute:
		return http.StatusNotFound
	case BadRequest, KeyFromFuture:
		return http.StatusBadRequest
	case UnknownKey:
		return http.StatusUnauthorized
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case HeadersTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	}
	if r.Kind == OutcomeUnknown {
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// Write sends the refusal to the caller as a plain text response.
func (r Refusal) Write(w http.ResponseWriter) {
	w.Header().Set(RefusalHeader, r.Header())
	if wait := time.Until(r.RetryAt); wait > 0 && r.Status() == http.StatusServiceUnavailable {
		w.Header().Set(RetryAfterHeader, strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(r.Status())
	_, _ = fmt.Fprintln(w, r.Error())
}
