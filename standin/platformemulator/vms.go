package platformemulator

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

func writeAnswer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// VMList stands in for the platform's list of live and leaving VMs. What it
// serves lags behind what was set by a fixed time.
type VMList struct {
	lag time.Duration

	mu      sync.Mutex
	current []VM
	served  []VM
}

// VM is one line of the list.
type VM struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// NewVMList returns an empty list that lags by lag.
func NewVMList(lag time.Duration) *VMList { return &VMList{lag: lag} }

// Set changes the list. It is served after the lag.
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

// ServeHTTP answers with the list.
func (l *VMList) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	vms := l.served
	l.mu.Unlock()
	writeAnswer(w, struct {
		VMs []VM `json:"vms"`
	}{vms})
}

// Served returns the list as it is served.
func (l *VMList) Served() []VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served
}
