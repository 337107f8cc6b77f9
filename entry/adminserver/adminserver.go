// Package adminserver serves the admin endpoints of an entry, for operators:
// metrics, health, readiness and status.
package adminserver

import (
	"encoding/json"
	"net/http"
	"time"

	"samphiremux/entry/dispatcher"
	"samphiremux/entry/mover"
	"samphiremux/entry/reconciler"
	"samphiremux/entry/tracker"
)

// Status is the state of an entry, as /status returns it.
type Status struct {
	ID           string                         `json:"id"`
	Domain       string                         `json:"failure-domain"`
	Revision     uint64                         `json:"revision"`
	Digest       string                         `json:"digest"`
	StoreReached bool                           `json:"store-reached"`
	Isolated     bool                           `json:"isolated"`
	Stopping     bool                           `json:"stopping"`
	Members      []Member                       `json:"members"`
	Moves        map[string]mover.Record        `json:"moves"`
	Servers      map[string][]dispatcher.Status `json:"servers"`
}

// Member is an entry in the member list, as this entry sees it. The list includes
// this entry.
type Member struct {
	tracker.Member
	// Usable reports whether the member may be named to callers.
	Usable bool `json:"usable"`
}

// NewStatus returns the status of the entry with state n.
func NewStatus(n *reconciler.Node) (s Status) {
	e := n.Envelope()
	s = Status{
		ID: n.Self().ID, Domain: n.Self().Domain, Revision: uint64(e.Revision), Digest: e.Digest, Isolated: n.Isolated(),
		Moves: map[string]mover.Record{}, Servers: map[string][]dispatcher.Status{},
	}
	n.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		s.StoreReached = t.StoreReached(now)
		s.Stopping = t.Stopping()
		for _, m := range t.Members() {
			s.Members = append(s.Members, Member{Member: m, Usable: t.Usable(now, m.ID)})
		}
		return false
	})
	snapshot := n.Snapshot()
	if snapshot == nil {
		return s
	}
	for name, sv := range snapshot.Services {
		if r, ok := n.MoveRecord(name); ok && sv.Spec.Move != nil {
			s.Moves[name] = r
		}
		if sv.Dispatcher != nil {
			s.Servers[name] = sv.Dispatcher.Status()
		}
	}
	return s
}

// Handler returns the handler of the admin endpoints:
//
//   - /metrics returns the metrics in the Prometheus text format.
//   - /healthz responds with status 200 as long as the process runs.
//   - /readyz responds with status 200 once a document is in force, and 503 before.
//   - /status returns the Status as JSON.
func Handler(n *reconciler.Node) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.Metrics().Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if n.Snapshot() == nil {
			http.Error(w, "no document is in force yet", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(NewStatus(n))
	})
	return mux
}
