// Package locator tells callers which entries to use for a service.
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
	// Path is where callers ask, at the caller address of any entry.
	Path = "/.samphire/locate"
	// AnswerTTL is the time for which callers may keep an answer. A stopping
	// entry serves for as long.
	AnswerTTL = 5 * time.Second
)

// Answer tells a caller which entries to use, best first.
type Answer struct {
	Service    string    `json:"service"`
	Revision   uint64    `json:"revision"`
	ValidUntil time.Time `json:"valid-until"`
	Entries    []Entry   `json:"entries"`
}

// Entry is one entry to use.
type Entry struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Domain  string `json:"failure-domain"`
}

// Locator is the http.Handler of Path.
type Locator struct{ node *reconciler.Node }

// New returns a locator.
func New(n *reconciler.Node) *Locator { return &Locator{node: n} }

// ServeHTTP implements http.Handler.
func (l *Locator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	snapshot := l.node.Snapshot()
	if snapshot == nil {
		l.refuse(w, refuser.NoDocument)
		return
	}
	sv, ok := snapshot.Services[r.URL.Query().Get("service")]
	if !ok {
		l.refuse(w, refuser.NoSuchService)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{
		Service: sv.Declared.Name, Revision: uint64(snapshot.Revision),
		ValidUntil: l.node.Now().Add(AnswerTTL), Entries: l.entries(snapshot.Document, sv.Subset),
	})
}

func (l *Locator) refuse(w http.ResponseWriter, reason refuser.Reason) {
	r := refuser.NewNotRun(reason)
	l.node.Metrics().Refused(r)
	r.Write(w)
}

// entries orders the subset: usable entries in failure domains that are in, then
// usable ones elsewhere. If none is usable, any may answer by the time a caller
// comes.
func (l *Locator) entries(doc parser.Document, subset []tracker.Member) (all []Entry) {
	var good, outside, rest []Entry
	l.node.WithTracker(func(now time.Time, t *tracker.Tracker) bool {
		for _, m := range subset {
			e := Entry{ID: m.ID, Address: m.Address, Domain: m.Domain}
			domain, _ := doc.Domain(m.Domain)
			switch {
			case !t.Usable(now, m.ID):
				rest = append(rest, e)
			case domain.Out:
				outside = append(outside, e)
			default:
				good = append(good, e)
			}
		}
		return false
	})
	switch {
	case len(good) > 0:
		return good
	case len(outside) > 0:
		return outside
	default:
		return rest
	}
}
