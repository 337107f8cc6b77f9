package auditor

import (
	"crypto/sha256"
	"slices"
	"strings"
)

// RetryBudget is the number of retries that all entries together may send to a service in
// a window: a share of the requests plus a constant.
type RetryBudget struct {
	Ratio float64
	Slack float64
}

// perRequest is the number of retries that the budget allows if there is one request in
// the window.
func (b RetryBudget) perRequest() float64 { return b.Ratio + b.Slack }

// Audit checks a configuration by itself. Findings are in the order of the file.
func Audit(file string, d Draft, budget RetryBudget) []Finding {
	a := &audit{file: file}
	a.version(d)
	services := a.services(d)
	for _, r := range d.Routes {
		a.route(r)
		a.destinations(r, services)
		a.attempts(r, budget)
		if r.Public.V && !d.Workspaces.Present {
			a.add(r.Public.At, NoEffect, "%s has no effect: there are no workspaces, so every route is public", r.Public.At.Path)
		}
	}
	a.places(d.Routes)
	a.unusedServices(d)
	a.workspaces(d.Workspaces.V)
	a.closedRoutes(d)
	a.limits(d)
	Sort(a.findings)
	return a.findings
}

// AuditSuccession checks the versions of a configuration against those of the current one.
func AuditSuccession(file string, d, inForce Draft) []Finding {
	a := &audit{file: file}
	if !inForce.Version.Present {
		return nil
	}
	if d.Version.Present && d.Version.V <= inForce.Version.V {
		a.add(d.Version.At, Invalid, "%s is %d but must be above the current version, %d", d.Version.At.Path, d.Version.V, inForce.Version.V)
	}
	if d.Base.Present && d.Base.V != inForce.Version.V {
		a.add(d.Base.At, Invalid, "%s is %d but the current version is %d", d.Base.At.Path, d.Base.V, inForce.Version.V)
	}
	return a.findings
}

func (a *audit) version(d Draft) {
	if d.Base.Present && d.Version.Present && d.Base.V >= d.Version.V {
		a.add(d.Base.At, Contradiction, "%s is %d but must be below the version itself, %d", d.Base.At.Path, d.Base.V, d.Version.V)
	}
}

// services checks the list of services and returns their names.
func (a *audit) services(d Draft) map[string]bool {
	names := map[string]bool{}
	for _, s := range d.Services {
		if !s.Name.Present || s.Name.V == "" {
			a.add(s.Name.At, Invalid, "%s: a service needs a name", s.At.Path)
			continue
		}
		if names[s.Name.V] {
			a.add(s.Name.At, Contradiction, "service %q is declared twice; entries use the last declaration only", s.Name.V)
		}
		names[s.Name.V] = true
		if s.ConnectionLimit.Present && s.ConnectionLimit.V <= 0 {
			a.add(s.ConnectionLimit.At, Invalid, "%s is %d but must be at least 1", s.ConnectionLimit.At.Path, s.ConnectionLimit.V)
		}
		if s.ColdRate.Present && s.ColdRate.V < 0 {
			a.add(s.ColdRate.At, Invalid, "%s must not be negative", s.ColdRate.At.Path)
		}
	}
	return names
}

// unusedServices reports services that no route names.
func (a *audit) unusedServices(d Draft) {
	used := map[string]bool{}
	for _, r := range d.Routes {
		used[r.Service.V] = true
		for _, p := range r.Split.V {
			used[p.Service.V] = true
		}
	}
	for _, s := range d.Services {
		if s.Name.V != "" && !used[s.Name.V] {
			a.add(s.Name.At, NoEffect, "service %q gets no requests: no route names it", s.Name.V)
		}
	}
}

func (a *audit) workspaces(workspaces []Workspace) {
	names := map[string]Place{}
	keys := map[[sha256.Size]byte]Place{}
	for _, w := range workspaces {
		// Servers get names in a header, without the spaces around them.
		name := strings.TrimSpace(w.Name.V)
		switch first, repeated := names[name]; {
		case name == "":
			a.add(w.Name.At, Invalid, "%s has no name", w.At.Path)
		case strings.ContainsFunc(w.Name.V, isControl):
			a.add(w.Name.At, Invalid, "%s has control characters, which a header cannot hold", w.Name.At.Path)
		case repeated:
			a.add(w.Name.At, Invalid, "%s has the name of %s", w.At.Path, first.Path)
		default:
			names[name] = w.At
		}
		if w.Importance.V < 0 {
			a.add(w.Importance.At, Invalid, "%s is %d but must be at least 0, the highest rank", w.Importance.At.Path, w.Importance.V)
		}
		if len(w.Keys) == 0 && !w.Incomplete {
			a.add(w.At, NoEffect, "%s has no API keys, so no request belongs to it", w.At.Path)
		}
		for _, k := range w.Keys {
			a.key(k, keys)
		}
	}
}

// closedRoutes reports that there is no API key although routes need one.
func (a *audit) closedRoutes(d Draft) {
	if !d.Workspaces.Present || !slices.ContainsFunc(d.Routes, func(r Route) bool { return !r.Public.V }) {
		return
	}
	if !slices.ContainsFunc(d.Workspaces.V, func(w Workspace) bool { return len(w.Keys) > 0 || w.Incomplete }) {
		a.add(d.Workspaces.At, Contradiction, "%s contains no API key, so requests are refused on every route that is not public", d.Workspaces.At.Path)
	}
}

func (a *audit) key(k Key, seen map[[sha256.Size]byte]Place) {
	if k.Empty {
		a.add(k.At, Invalid, "%s is empty", k.At.Path)
		return
	}
	if first, ok := seen[k.Hash]; ok {
		a.add(k.At, Invalid, "%s repeats %s", k.At.Path, first.Path)
		return
	}
	seen[k.Hash] = k.At
	if k.Unsendable {
		a.add(k.At, NoEffect, "%s can never be valid: it begins or ends with a space or has control characters, which a header cannot hold", k.At.Path)
	}
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

func (a *audit) limits(d Draft) {
	l := d.Limits
	for _, v := range []Value[int64]{l.HeaderBytes, l.BodyBytes} {
		if v.V < 0 {
			a.add(v.At, Invalid, "%s must not be negative", v.At.Path)
		}
	}
	if l.IdleTimeout.Present && l.HeaderTimeout.Present && l.IdleTimeout.V > 0 && l.IdleTimeout.V < l.HeaderTimeout.V {
		a.add(l.IdleTimeout.At, Contradiction, "%s, %v, is below %s, %v: connections are closed before the head of a request is due",
			l.IdleTimeout.At.Path, l.IdleTimeout.V, l.HeaderTimeout.At.Path, l.HeaderTimeout.V)
	}
	if l.HeaderBytes.V <= 0 {
		return
	}
	var key int64
	for _, w := range d.Workspaces.V {
		for _, k := range w.Keys {
			key = max(key, k.HeadBytes)
		}
	}
	for _, r := range d.Routes {
		needed := r.HeadBytes
		if d.Workspaces.Present && !r.Public.V {
			needed += key
		}
		if needed > l.HeaderBytes.V {
			a.add(l.HeaderBytes.At, Contradiction, "%s is %d but requests on %s need at least %d", l.HeaderBytes.At.Path, l.HeaderBytes.V, r.At.Path, needed)
		}
	}
}
