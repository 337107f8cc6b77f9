package differ

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"samphiremux/pkg/auditor"
)

// field is one property of an item, worded for operators.
type field struct {
	name  string
	value string
}

// item is a part of a configuration that is compared as a whole if only one version has it.
type item struct {
	// title names the item, such as route "search".
	title  string
	fields []field
	keys   map[string]bool
}

// DiffDrafts lists the differences between two configurations of the users' platform, in the
// order of the newer one, with a sentence for each. Routes, services and workspaces are
// matched by name. API keys are counted and never shown.
func DiffDrafts(before, after auditor.Draft) (changes []Change) {
	older, newer := items(before), items(after)
	find := func(items []item, title string) (item, bool) {
		for _, i := range items {
			if i.title == title {
				return i, true
			}
		}
		return item{}, false
	}
	for _, n := range newer {
		o, ok := find(older, n.title)
		if !ok {
			changes = append(changes, Change{Path: n.title, Kind: Added, New: n.summary(), Text: n.title + " is added: " + n.summary()})
			continue
		}
		changes = append(changes, compareItems(o, n)...)
	}
	for _, o := range older {
		if _, ok := find(newer, o.title); !ok {
			changes = append(changes, Change{Path: o.title, Kind: Removed, Old: o.summary(), Text: o.title + " is removed: " + o.summary()})
		}
	}
	return changes
}

// compareItems compares two versions of an item, which have the same fields.
func compareItems(o, n item) (changes []Change) {
	for i, f := range n.fields {
		old := o.fields[i].value
		if old == f.value {
			continue
		}
		changes = append(changes, Change{
			Path: n.title + ", " + f.name, Kind: Changed, Old: old, New: f.value,
			Text: fmt.Sprintf("%s: %s is now %s instead of %s", n.title, f.name, f.value, old),
		})
	}
	added, removed := 0, 0
	for k := range n.keys {
		if !o.keys[k] {
			added++
		}
	}
	for k := range o.keys {
		if !n.keys[k] {
			removed++
		}
	}
	if added > 0 {
		text := fmt.Sprintf("%d added", added)
		changes = append(changes, Change{Path: n.title + ", API keys", Kind: Added, New: text, Text: n.title + ": API keys: " + text})
	}
	if removed > 0 {
		text := fmt.Sprintf("%d removed, which are revoked unless another workspace has them", removed)
		changes = append(changes, Change{Path: n.title + ", API keys", Kind: Removed, Old: text, Text: n.title + ": API keys: " + text})
	}
	return changes
}

func (i item) summary() string {
	texts := make([]string, 0, len(i.fields)+1)
	for _, f := range i.fields {
		texts = append(texts, f.name+" "+f.value)
	}
	if i.keys != nil {
		texts = append(texts, fmt.Sprintf("API keys %d", len(i.keys)))
	}
	return strings.Join(texts, ", ")
}

func items(d auditor.Draft) (all []item) {
	access := "without an API key"
	if d.Workspaces.Present {
		access = "with an API key (except on public routes)"
	}
	all = append(all, item{title: "the configuration", fields: []field{{"version", show(d.Version)}, {"access", access}}})
	for _, r := range d.Routes {
		// A route without a name, which the entries accept, is matched by its place.
		title := fmt.Sprintf("route %q", cmp.Or(r.Name.V, strings.ToLower(r.Host.V)+r.Prefix.V))
		all = append(all, item{title: title, fields: []field{
			{"place", strings.ToLower(r.Host.V) + r.Prefix.V},
			{"service", destinations(r)},
			{"kind", cmp.Or(r.Kind.V, "not set")},
			{"timeout", show(r.TimeLimit)},
			{"latency objective", show(r.TargetLatency)},
			{"attempts", show(r.MaxAttempts)},
			{"rank", fmt.Sprint(r.Importance.V)},
			{"public", map[bool]string{true: "yes", false: "no"}[r.Public.V]},
		}})
	}
	for _, s := range d.Services {
		all = append(all, item{title: fmt.Sprintf("service %q", s.Name.V), fields: []field{
			{"health path", cmp.Or(s.HealthPath.V, "not set")},
			{"connections to a server", show(s.ConnectionLimit)},
			{"requests per second to a cold server", show(s.ColdRate)},
		}})
	}
	for _, w := range d.Workspaces.V {
		keys := map[string]bool{}
		for _, k := range w.Keys {
			keys[string(k.Hash[:])] = true
		}
		all = append(all, item{title: fmt.Sprintf("workspace %q", w.Name.V), fields: []field{{"rank", fmt.Sprint(w.Importance.V)}}, keys: keys})
	}
	return append(all, item{title: "limits", fields: []field{
		{"bytes of a request's head", show(d.Limits.HeaderBytes)},
		{"bytes of a request's body", show(d.Limits.BodyBytes)},
		{"time for a request's head", show(d.Limits.HeaderTimeout)},
		{"time for which idle connections stay open", show(d.Limits.IdleTimeout)},
	}})
}

// show returns the text of a value, or that it is not set.
func show[T int64 | float64 | time.Duration](v auditor.Value[T]) string {
	if !v.Present {
		return "not set"
	}
	return fmt.Sprint(v.V)
}

// destinations returns the services of a route with their shares in percent.
func destinations(r auditor.Route) string {
	sum := 0.0
	for _, p := range r.Split.V {
		sum += max(0, p.Weight.V)
	}
	if sum == 0 {
		return cmp.Or(r.Service.V, "not set")
	}
	parts := make([]string, len(r.Split.V))
	for i, p := range r.Split.V {
		parts[i] = fmt.Sprintf("%s %.4g %%", p.Service.V, max(0, p.Weight.V)/sum*100)
	}
	return strings.Join(parts, " and ")
}
