// Package differ compares environment documents by meaning.
package differ

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"samphiremux/pkg/parser"
)

// Kind tells what happened to a field.
type Kind string

// Kinds of changes.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Change is one field that differs.
type Change struct {
	Path string `json:"path"`
	Kind Kind   `json:"kind"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case Removed:
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
	}
}

// Diff lists the fields that differ, in the order of their paths.
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
		old, had := a[path]
		now, has := b[path]
		switch {
		case !had:
			changes = append(changes, Change{Path: path, Kind: Added, New: now})
		case !has:
			changes = append(changes, Change{Path: path, Kind: Removed, Old: old})
		case old != now:
			changes = append(changes, Change{Path: path, Kind: Changed, Old: old, New: now})
		}
	}
	return changes
}

// flatten gives each field a path by names, so that order does not matter.
func flatten(d parser.Document) map[string]string {
	fields := map[string]string{}
	if d.Environment != "" {
		fields["environment"] = d.Environment
	}
	for _, dom := range d.Domains {
		p := "failure-domains/" + dom.Name
		fields[p+"/region"] = dom.Region
		fields[p+"/out"] = strconv.FormatBool(dom.Out)
	}
	for _, s := range d.Services {
		flattenService(fields, "services/"+s.Name, s)
	}
	return fields
}

func flattenService(fields map[string]string, p string, s parser.Service) {
	fields[p+"/shedding-statuses"] = fmt.Sprint(slices.Sorted(slices.Values(s.SheddingStatuses)))
	fields[p+"/retry-budget"] = fmt.Sprint(s.RetryBudget)
	fields[p+"/probe-budget"] = fmt.Sprint(s.ProbeBudget)
	fields[p+"/echoes-request-id"] = strconv.FormatBool(s.EchoesRequestID)
	fields[p+"/entries"] = strconv.Itoa(s.Entries)
	for _, r := range s.Routes {
		q := p + "/routes/" + r.Name
		fields[q+"/match"] = r.Method + " " + r.PathPrefix
		fields[q+"/idempotent"] = strconv.FormatBool(r.Idempotent)
		fields[q+"/time-limit"] = r.TimeLimit.String()
		fields[q+"/importance"] = strconv.Itoa(r.Importance)
	}
	for _, v := range s.Versions {
		fields[p+"/versions/"+v.Name+"/share"] = strconv.Itoa(v.Share)
	}
	for _, srv := range s.Servers {
		q := p + "/backend-servers/" + srv.Name
		fields[q+"/address"] = srv.Address.String()
		fields[q+"/failure-domain"] = srv.Domain
		fields[q+"/version"] = srv.Version
		fields[q+"/slots"] = strconv.Itoa(srv.Slots)
		fields[q+"/connection-limit"] = strconv.Itoa(srv.ConnectionLimit)
		fields[q+"/leaving"] = strconv.FormatBool(srv.Leaving)
	}
	if s.Move != nil {
		fields[p+"/move"] = fmt.Sprintf("%s to %s by %s", s.Move.From, s.Move.To, s.Move.Deadline.UTC().Format(time.RFC3339))
	}
}
