package platformemulator

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// VMList emulates the platform's list of live and leaving VMs. The list that it
// serves lags behind the one that was set by a fixed time.
type VMList struct {
	lag time.Duration

	mu      sync.Mutex
	current []VM
	served  []VM
}

// VM is one VM in the list.
type VM struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// NewVMList returns an empty list whose changes are served after lag.
func NewVMList(lag time.Duration) *VMList { return &VMList{lag: lag} }

// Set replaces the list. The new list is served after the lag.
func (l *VMList) Set(vms []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = vms
	time.AfterFunc(l.lag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.served = vms
	})
}

// ServeHTTP implements http.Handler. It responds with the served list as JSON.
func (l *VMList) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	vms := l.served
	l.mu.Unlock()
	writeJSON(w, struct {
		VMs []VM `json:"vms"`
	}{vms})
}

// Served returns the list that ServeHTTP sends now.
func (l *VMList) Served() []VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served
}
