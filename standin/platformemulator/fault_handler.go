package platformemulator

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
)

// ClientFault is a fault injected into the store calls of one client.
type ClientFault string

// Client faults that a FaultHandler injects.
const (
	// Throttled responds with 429 Too Many Requests.
	Throttled ClientFault = "throttled"
	// Unavailable responds with 503 Service Unavailable.
	Unavailable ClientFault = "unavailable"
	// Reset closes the connection without a response.
	Reset ClientFault = "reset"
	// Silent reads requests and never responds.
	Silent ClientFault = "silent"
)

// ErrNoSuchClientFault reports a client fault name that is not known.
type ErrNoSuchClientFault struct{ Name string }

func (e ErrNoSuchClientFault) Error() string {
	return fmt.Sprintf("client fault %q does not exist", e.Name)
}

// ParseClientFault returns the client fault with the given name, or
// ErrNoSuchClientFault.
func ParseClientFault(name string) (ClientFault, error) {
	switch fault := ClientFault(name); fault {
	case Throttled, Unavailable, Reset, Silent:
		return fault, nil
	default:
		return "", ErrNoSuchClientFault{Name: name}
	}
}

// FaultHandler is middleware before the store's handler that injects faults into
// the calls of some clients.
type FaultHandler struct {
	next http.Handler

	mu     sync.Mutex
	faults map[netip.Addr]ClientFault
}

// NewFaultHandler returns a fault handler that passes every call on to next.
func NewFaultHandler(next http.Handler) *FaultHandler { return &FaultHandler{next: next} }

// Set replaces the injected faults, by IP address of the client.
func (h *FaultHandler) Set(faults map[netip.Addr]ClientFault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = faults
}

func (h *FaultHandler) faultOf(r *http.Request) ClientFault {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return ""
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faults[from.Addr().Unmap()]
}

// ServeHTTP implements http.Handler.
func (h *FaultHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch h.faultOf(r) {
	case Throttled:
		w.WriteHeader(http.StatusTooManyRequests)
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Reset:
		panic(http.ErrAbortHandler)
	case Silent:
		// Only after the body has been read does the server cancel the request's
		// context when the connection closes.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
		h.next.ServeHTTP(w, r)
	}
}
