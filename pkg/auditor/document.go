package auditor

import (
	"fmt"

	"samphiremux/pkg/parser"
)

// AuditDocument checks a valid environment document for items that can never take effect and
// for values that contradict each other. The positions are those of parser.Positions.
func AuditDocument(file string, doc parser.Document, positions map[string]parser.Position) []Finding {
	a := &documentAudit{audit: audit{file: file}, positions: positions, out: map[string]bool{}}
	for _, d := range doc.Domains {
		a.out[d.Name] = d.Out
	}
	for i, s := range doc.Services {
		path := fmt.Sprintf("services[%d]", i)
		a.routes(path, s.Routes)
		a.versions(path, s)
	}
	Sort(a.findings)
	return a.findings
}

type documentAudit struct {
	audit
	positions map[string]parser.Position
	// out holds the failure domains that are out.
	out map[string]bool
}

func (a *documentAudit) addAt(path string, kind Kind, format string, args ...any) {
	p := a.positions[path]
	a.add(Place{Path: path, Line: max(1, p.Line), Column: max(1, p.Column)}, kind, format, args...)
}

// routes reports routes that an earlier one hides. Of two routes with the same prefix that
// both match a request, the first is used.
func (a *documentAudit) routes(service string, routes []parser.Route) {
	for i, r := range routes {
		for j, earlier := range routes[:i] {
			if earlier.PathPrefix == r.PathPrefix && earlier.Method == "" && r.Method != "" {
				a.addAt(fmt.Sprintf("%s.routes[%d].path-prefix", service, i), NoEffect,
					"route %q is hidden by %s.routes[%d], which has the same path-prefix and matches every method", r.Name, service, j)
				break
			}
		}
	}
}

// versions reports versions that get no requests although they are declared, and versions
// that should get requests although none of their backend servers takes work.
func (a *documentAudit) versions(service string, s parser.Service) {
	for i, v := range s.Versions {
		path := fmt.Sprintf("%s.versions[%d].share", service, i)
		moved := s.Move != nil && (s.Move.From == v.Name || s.Move.To == v.Name)
		switch {
		case v.Share == 0 && !moved:
			a.addAt(path, NoEffect, "version %q has a share of 0 and no move names it, so it gets no requests", v.Name)
		case v.Share > 0 && !a.takesWork(s.Servers, v.Name):
			a.addAt(path, Contradiction, "version %q has a share of %d, but all of its backend servers are leaving or in failure domains that are out", v.Name, v.Share)
		}
	}
}

// takesWork reports whether a backend server of a version takes new work.
func (a *documentAudit) takesWork(servers []parser.Server, version string) bool {
	for _, s := range servers {
		if s.Version == version && !s.Leaving && !a.out[s.Domain] {
			return true
		}
	}
	return false
}
