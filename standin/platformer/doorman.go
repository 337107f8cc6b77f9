package platformer

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
)

// TurnAway is how the store treats the calls of one caller.
type TurnAway string

// Ways to turn a caller away.
const (
	// Throttled answers 429.
	Throttled TurnAway = "throttled"
	// Unavailable answers 503.
	Unavailable TurnAway = "unavailable"
	// Reset ends the connection without an answer.
	Reset TurnAway = "reset"
	// Silent takes calls and never answers.
	Silent TurnAway = "silent"
)

// ErrNoSuchTurnAway says that there is no such way to turn a caller away.
type ErrNoSuchTurnAway struct{ Name string }

func (e ErrNoSuchTurnAway) Error() string {
	return fmt.Sprintf("no way %q to turn a caller away", e.Name)
}

// ParseTurnAway returns the way with a name.
func ParseTurnAway(name string) (TurnAway, error) {
	switch t := TurnAway(name); t {
	case Throttled, Unavailable, Reset, Silent:
		return t, nil
	default:
		return "", ErrNoSuchTurnAway{Name: name}
	}
}

// Doorman stands before the store's handler and turns some callers away.
type Doorman struct {
	next http.Handler

	mu   sync.Mutex
	away map[netip.Addr]TurnAway
}

// NewDoorman returns a doorman that lets every caller in.
func NewDoorman(next http.Handler) *Doorman { return &Doorman{next: next} }

// Set replaces the callers that are turned away, by their IP numbers.
func (d *Doorman) Set(away map[netip.Addr]TurnAway) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = away
}

func (d *Doorman) treatment(r *http.Request) TurnAway {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return ""
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.away[from.Addr().Unmap()]
}

// ServeHTTP implements http.Handler.
func (d *Doorman) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
