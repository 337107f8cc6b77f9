package platformemulator

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
)

// ClientFault is how the store treats the calls of one caller.
type ClientFault string

// Ways to turn a caller away.
const (
	// Throttled answers 429.
	Throttled ClientFault = "throttled"
	// Unavailable answers 503.
	Unavailable ClientFault = "unavailable"
	// Reset ends the connection without an answer.
	Reset ClientFault = "reset"
	// Silent takes calls and never answers.
	Silent ClientFault = "silent"
)

// ErrNoSuchClientFault says that there is no such way to turn a caller away.
type ErrNoSuchClientFault struct{ Name string }

func (e ErrNoSuchClientFault) Error() string {
	return fmt.Sprintf("no way %q to turn a caller away", e.Name)
}

// ParseClientFault returns the way with a name.
func ParseClientFault(name string) (ClientFault, error) {
	switch t := ClientFault(name); t {
	case Throttled, Unavailable, Reset, Silent:
		return t, nil
	default:
		return "", ErrNoSuchClientFault{Name: name}
	}
}

// FaultHandler stands before the store's handler and turns some callers away.
type FaultHandler struct {
	next http.Handler

	mu   sync.Mutex
	away map[netip.Addr]ClientFault
}

// NewFaultHandler returns a fault handler that lets every caller in.
func NewFaultHandler(next http.Handler) *FaultHandler { return &FaultHandler{next: next} }

// Set replaces the callers that are turned away, by their IP numbers.
func (d *FaultHandler) Set(away map[netip.Addr]ClientFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = away
}

func (d *FaultHandler) treatment(r *http.Request) ClientFault {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return ""
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.away[from.Addr().Unmap()]
}

// ServeHTTP implements http.Handler.
func (d *FaultHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch d.treatment(r) {
	case Throttled:
		w.WriteHeader(http.StatusTooManyRequests)
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Reset:
		panic(http.ErrAbortHandler)
	case Silent:
		// The context ends with the connection only once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
		d.next.ServeHTTP(w, r)
	}
}
