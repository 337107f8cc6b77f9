// Package locator answers locate queries, with which callers ask which entries
// serve a service.
package locator

import (
	"encoding/json"
	"net/http"
	"time"

	"samphiremux/entry/reconciler"
	"samphiremux/entry/refuser"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/parser"
)

const (
	// Path is the path of locate queries. Any entry answers them at its caller
	// address.
	Path = "/.samphire/locate"
	// AnswerTTL is the time for which callers may cache an answer. A stopping
	// entry keeps serving at least that long.
	AnswerTTL = 5 * time.Second
)

// Answer is the answer to a locate query. Entries come in rank order, best first.
type Answer struct {
	Service    string    `json:"service"`
	Revision   uint64    `json:"revision"`
	ValidUntil time.Time `json:"valid-until"`
	Entries    []Entry   `json:"entries"`
}

// Entry is one entry that serves the service.
type Entry struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Domain  string `json:"failure-domain"`
}

// Locator is the http.Handler for Path.
type Locator struct{ node *reconciler.Node }

// New returns a locator that answers from the state of n.
func New(n *reconciler.Node) *Locator { return &Locator{node: n} }

// ServeHTTP implements http.Handler. The query parameter "service" names the
// service.
func (l *Locator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	snapshot := l.node.Snapshot()
	if snapshot == nil {
		l.refuse(w, refuser.NewNotRun(refuser.NoDocument))
		return
	}
	sv, ok := snapshot.Services[r.URL.Query().Get("service")]
	if !ok {
		l.refuse(w, l.node.NotFound(snapshot, refuser.NoSuchService))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{
		Service: sv.Spec.Name, Revision: uint64(snapshot.Revision),
		ValidUntil: l.node.Now().Add(AnswerTTL), Entries: l.entries(snapshot.Document, sv.Subset),
	})
}

// refuse answers with a refusal and counts it.
func (l *Locator) refuse(w http.ResponseWriter, r refuser.Refusal) {
	l.node.Metrics().Refused(r)
	r.Write(w)
}

// entries returns the members of the subset that callers should use, in the order
// of the subset: the usable ones in failure domains that are in service, or else
// the usable ones in domains that are out, or else all of them, since any may be
// usable again by the time a caller connects.
func (l *Locator) entries(doc parser.Document, subset []tracker.Member) (chosen []Entry) {
	var preferred, outOfService, unusable []Entry
	l.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		for _, m := range subset {
			e := Entry{ID: m.ID, Address: m.Address, Domain: m.Domain}
			domain, _ := doc.Domain(m.Domain)
			switch {
			case !t.Usable(now, m.ID):
				unusable = append(unusable, e)
			case domain.Out:
				outOfService = append(outOfService, e)
			default:
				preferred = append(preferred, e)
			}
		}
		return false
	})
	switch {
	case len(preferred) > 0:
		return preferred
	case len(outOfService) > 0:
		return outOfService
	default:
		return unusable
	}
}
