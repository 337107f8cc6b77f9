// Package differ computes the semantic difference between two environment documents, or two
// configurations of the users' platform: the order of lists and the layout of the file do
// not count.
package differ

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"samphiremux/pkg/parser"
)

// Kind is the kind of a change.
type Kind string

// The kinds of changes.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Change is one field that differs. Old is empty for an added field, New for a
// removed one.
type Change struct {
	Path string `json:"path"`
	Kind Kind   `json:"kind"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
	// Text is the change as a sentence. Changes of environment documents have none.
	Text string `json:"text,omitempty"`
}

func (c Change) String() string {
	if c.Text != "" {
		return c.Text
	}
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case Removed:
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
	}
}

// Diff lists the fields that differ between two documents, sorted by path.
func Diff(before, after parser.Document) (changes []Change) {
	a, b := flatten(before), flatten(after)
	paths := map[string]bool{}
	for path := range a {
		paths[path] = true
	}
	for path := range b {
		paths[path] = true
	}
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		oldValue, inBefore := a[path]
		newValue, inAfter := b[path]
		switch {
		case !inBefore:
			changes = append(changes, Change{Path: path, Kind: Added, New: newValue})
		case !inAfter:
			changes = append(changes, Change{Path: path, Kind: Removed, Old: oldValue})
		case oldValue != newValue:
			changes = append(changes, Change{Path: path, Kind: Changed, Old: oldValue, New: newValue})
		}
	}
	return changes
}

// flatten returns the fields of a document by path. Paths hold names instead of list
// indices, so that the order of lists does not matter.
func flatten(d parser.Document) map[string]string {
	fields := map[string]string{}
	if d.Environment != "" {
		fields["environment"] = d.Environment
	}
	for _, dom := range d.Domains {
		prefix := "failure-domains/" + dom.Name
		fields[prefix+"/region"] = dom.Region
		fields[prefix+"/out"] = strconv.FormatBool(dom.Out)
	}
	for _, s := range d.Services {
		flattenService(fields, "services/"+s.Name, s)
	}
	return fields
}

// flattenService adds the fields of a service under prefix.
func flattenService(fields map[string]string, prefix string, s parser.Service) {
	fields[prefix+"/shedding-statuses"] = fmt.Sprint(slices.Sorted(slices.Values(s.SheddingStatuses)))
	fields[prefix+"/retry-budget"] = fmt.Sprint(s.RetryBudget)
	fields[prefix+"/probe-budget"] = fmt.Sprint(s.ProbeBudget)
	fields[prefix+"/echoes-request-id"] = strconv.FormatBool(s.EchoesRequestID)
	fields[prefix+"/entries"] = strconv.Itoa(s.Entries)
	for _, r := range s.Routes {
		path := prefix + "/routes/" + r.Name
		fields[path+"/match"] = r.Method + " " + r.PathPrefix
		fields[path+"/idempotent"] = strconv.FormatBool(r.Idempotent)
		fields[path+"/time-limit"] = r.TimeLimit.String()
		fields[path+"/importance"] = strconv.Itoa(r.Importance)
	}
	for _, v := range s.Versions {
		fields[prefix+"/versions/"+v.Name+"/share"] = strconv.Itoa(v.Share)
	}
	for _, srv := range s.Servers {
		path := prefix + "/backend-servers/" + srv.Name
		fields[path+"/address"] = srv.Address.String()
		fields[path+"/failure-domain"] = srv.Domain
		fields[path+"/version"] = srv.Version
		fields[path+"/slots"] = strconv.Itoa(srv.Slots)
		fields[path+"/connection-limit"] = strconv.Itoa(srv.ConnectionLimit)
		fields[path+"/leaving"] = strconv.FormatBool(srv.Leaving)
	}
	if s.Move != nil {
		fields[prefix+"/move"] = fmt.Sprintf("%s to %s by %s", s.Move.From, s.Move.To, s.Move.Deadline.UTC().Format(time.RFC3339))
	}
}
