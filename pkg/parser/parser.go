package parser

import (
	"errors"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	yamlparser "github.com/goccy/go-yaml/parser"
)

const (
	// MaxDocumentBytes bounds a document. It is the largest value that the platform's
	// store accepts.
	MaxDocumentBytes = 1 << 20

	defaultSlots           = 2
	defaultConnectionLimit = 240
	defaultRetryBudget     = 0.1
	defaultProbeBudget     = 0.01
	defaultImportance      = 5
	defaultTimeLimit       = 2 * time.Second
	maxImportance          = 10
	maxSlots               = 1024
	maxConnections         = 65535
	maxEntries             = 64
)

// Parse parses the document in data. Problems name it by file. If now is zero, Parse does
// not require deadlines to be in the future; entries use that for documents that were
// accepted earlier.
func Parse(file string, data []byte, now time.Time) (doc Document, err error) {
	r := &reader{file: file}
	root, ok := r.root(data)
	if !ok {
		return Document{}, r.err()
	}
	p := &documentReader{reader: r, now: now}
	doc = p.document(root)
	return doc, r.err()
}

// ParseOverlay parses an overlay of addresses.
func ParseOverlay(file string, data []byte) (o Overlay, err error) {
	r := &reader{file: file}
	root, ok := r.root(data)
	if !ok {
		return Overlay{}, r.err()
	}
	m := r.mapping(root, "environment", "addresses")
	o = Overlay{Environment: r.name(m.field("environment")), Addresses: map[string]netip.AddrPort{}}
	addresses := r.mapping(m.field("addresses"))
	for _, key := range addresses.keys {
		o.Addresses[key] = r.address(addresses.fields[key])
	}
	return o, r.err()
}

// root parses the YAML and returns its only document.
func (r *reader) root(data []byte) (n node, ok bool) {
	if len(data) > MaxDocumentBytes {
		r.addProblem(node{}, "the document has %d bytes but must have at most %d", len(data), MaxDocumentBytes)
		return node{}, false
	}
	file, err := yamlparser.ParseBytes(data, 0)
	if err != nil {
		r.addSyntaxProblem(err)
		return node{}, false
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		r.addProblem(node{}, "the file must hold exactly one YAML document")
		return node{}, false
	}
	return node{value: file.Docs[0].Body}, true
}

// addSyntaxProblem records an error of the YAML parser with its position.
func (r *reader) addSyntaxProblem(err error) {
	p := Problem{File: r.file, Line: 1, Column: 1, Rule: "not YAML: " + firstLine(err.Error())}
	var ye yaml.Error
	if errors.As(err, &ye) {
		p.Rule = "not YAML: " + ye.GetMessage()
		if tk := ye.GetToken(); tk != nil && tk.Position != nil {
			p.Line, p.Column = tk.Position.Line, tk.Position.Column
		}
	}
	r.problems = append(r.problems, p)
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}

// documentReader decodes a document and checks the rules that span several fields.
type documentReader struct {
	*reader
	now time.Time
	// domains holds the names of the failure domains declared so far.
	domains map[string]bool
	// serverNames and addresses must be unique in the whole document, since an
	// overlay names servers without their service.
	serverNames map[string]bool
	addresses   map[netip.AddrPort]bool
}

func (p *documentReader) document(root node) (doc Document) {
	m := p.mapping(root, "environment", "failure-domains", "services")
	doc.Environment = p.name(m.field("environment"))
	p.domains = map[string]bool{}
	p.serverNames = map[string]bool{}
	p.addresses = map[netip.AddrPort]bool{}
	for _, n := range p.list(m.field("failure-domains")) {
		doc.Domains = append(doc.Domains, p.domain(n))
	}
	if len(doc.Domains) == 0 {
		p.addProblem(m.field("failure-domains"), "failure-domains must list at least one failure domain")
	}
	if allDomainsOut(doc.Domains) {
		p.addProblem(m.field("failure-domains"), "every failure domain is out; at least one must stay in")
	}
	names := map[string]bool{}
	for _, n := range p.list(m.field("services")) {
		s := p.service(n)
		p.checkUnique(names, n, "service", s.Name)
		doc.Services = append(doc.Services, s)
	}
	if len(doc.Services) == 0 {
		p.addProblem(m.field("services"), "services must list at least one service")
	}
	return doc
}

// allDomainsOut reports whether there are failure domains and all of them are out.
func allDomainsOut(domains []Domain) bool {
	return len(domains) > 0 && !slices.ContainsFunc(domains, func(d Domain) bool { return !d.Out })
}

// checkUnique records a problem if name is already in seen, and adds it.
func (p *documentReader) checkUnique(seen map[string]bool, n node, kind, name string) {
	if name != "" && seen[name] {
		p.addProblem(n, "%s %q is declared twice", kind, name)
	}
	seen[name] = true
}

func (p *documentReader) domain(n node) (d Domain) {
	m := p.mapping(n, "name", "region", "out")
	d = Domain{Name: p.name(m.field("name")), Region: p.name(m.field("region")), Out: p.boolean(m.field("out"), false)}
	p.checkUnique(p.domains, m.field("name"), "failure domain", d.Name)
	return d
}

func (p *documentReader) service(n node) (s Service) {
	m := p.mapping(n, "name", "shedding-statuses", "retry-budget", "probe-budget", "echoes-request-id", "entries",
		"slots", "connection-limit", "routes", "versions", "backend-servers", "move")
	s.Name = p.name(m.field("name"))
	s.RetryBudget = p.number(m.field("retry-budget"), 0, 1, defaultRetryBudget)
	s.ProbeBudget = p.number(m.field("probe-budget"), 0, 0.5, defaultProbeBudget)
	s.EchoesRequestID = p.boolean(m.field("echoes-request-id"), false)
	s.Entries = p.integer(m.field("entries"), 1, maxEntries, 0)
	s.SheddingStatuses = p.statuses(m.field("shedding-statuses"))
	s.Routes = p.routes(m.field("routes"))
	s.Versions = p.versions(m.field("versions"))
	s.Servers = p.servers(m, s.Versions)
	if mv := m.field("move"); mv.present() {
		s.Move = p.move(mv, s)
	}
	return s
}

func (p *documentReader) statuses(n node) (statuses []int) {
	for _, item := range p.list(n) {
		status := p.integer(item, 400, 599, 0)
		if slices.Contains(statuses, status) {
			p.addProblem(item, "%s: status %d is listed twice", item.path, status)
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (p *documentReader) routes(n node) (routes []Route) {
	names := map[string]bool{}
	for _, item := range p.list(n) {
		m := p.mapping(item, "name", "method", "path-prefix", "idempotent", "time-limit", "importance")
		r := Route{
			Name:       p.name(m.field("name")),
			Idempotent: p.boolean(m.field("idempotent"), false),
			TimeLimit:  defaultTimeLimit,
			Importance: p.integer(m.field("importance"), 1, maxImportance, defaultImportance),
			PathPrefix: p.text(m.field("path-prefix")),
		}
		if f := m.field("method"); f.present() {
			r.Method = p.method(f)
		}
		if f := m.field("time-limit"); f.present() {
			r.TimeLimit = p.duration(f)
		}
		if r.PathPrefix != "" && r.PathPrefix[0] != '/' {
			p.addProblem(m.field("path-prefix"), "path-prefix %q must begin with /", r.PathPrefix)
		}
		p.checkUnique(names, m.field("name"), "route", r.Name)
		if slices.ContainsFunc(routes, func(o Route) bool { return o.Method == r.Method && o.PathPrefix == r.PathPrefix }) {
			p.addProblem(item, "route %q repeats the method and path-prefix of an earlier route", r.Name)
		}
		routes = append(routes, r)
	}
	if len(routes) == 0 {
		p.addProblem(n, "%s must list at least one route", n.path)
	}
	return routes
}

func (p *documentReader) method(n node) string {
	methods := []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
	s := p.text(n)
	if s != "" && !slices.Contains(methods, s) {
		p.addProblem(n, "%s %q must be one of %s", n.path, s, strings.Join(methods, ", "))
	}
	return s
}

func (p *documentReader) versions(n node) (versions []Version) {
	names := map[string]bool{}
	sum := 0
	for _, item := range p.list(n) {
		m := p.mapping(item, "name", "share")
		v := Version{Name: p.name(m.field("name")), Share: p.integer(m.field("share"), 0, 100, 0)}
		p.checkUnique(names, m.field("name"), "version", v.Name)
		sum += v.Share
		versions = append(versions, v)
	}
	if len(versions) == 0 {
		p.addProblem(n, "%s must list at least one version", n.path)
	} else if sum != 100 {
		p.addProblem(n, "the shares of %s add up to %d but must add up to 100", n.path, sum)
	}
	return versions
}

func (p *documentReader) servers(service mapping, versions []Version) (servers []Server) {
	slots := p.integer(service.field("slots"), 1, maxSlots, defaultSlots)
	connections := p.integer(service.field("connection-limit"), 1, maxConnections, defaultConnectionLimit)
	n := service.field("backend-servers")
	for _, item := range p.list(n) {
		m := p.mapping(item, "name", "address", "failure-domain", "version", "slots", "connection-limit", "leaving")
		srv := Server{
			Name:            p.name(m.field("name")),
			Address:         p.address(m.field("address")),
			Domain:          p.name(m.field("failure-domain")),
			Version:         p.name(m.field("version")),
			Slots:           p.integer(m.field("slots"), 1, maxSlots, slots),
			ConnectionLimit: p.integer(m.field("connection-limit"), 1, maxConnections, connections),
			Leaving:         p.boolean(m.field("leaving"), false),
		}
		p.checkUnique(p.serverNames, m.field("name"), "backend server", srv.Name)
		if srv.Address.IsValid() && p.addresses[srv.Address] {
			p.addProblem(m.field("address"), "address %s is declared twice", srv.Address)
		}
		p.addresses[srv.Address] = true
		if srv.Domain != "" && !p.domains[srv.Domain] {
			p.addProblem(m.field("failure-domain"), "failure domain %q does not exist", srv.Domain)
		}
		if srv.Version != "" && !hasVersion(versions, srv.Version) {
			p.addProblem(m.field("version"), "version %q does not exist in service %q", srv.Version, service.field("name").stringValue())
		}
		if srv.ConnectionLimit < srv.Slots {
			p.addProblem(item, "connection-limit %d of backend server %q is below its %d slots", srv.ConnectionLimit, srv.Name, srv.Slots)
		}
		servers = append(servers, srv)
	}
	if len(servers) == 0 {
		p.addProblem(n, "%s must list at least one backend server", n.path)
	}
	for _, v := range versions {
		if v.Share > 0 && len(servers) > 0 && !hasServer(servers, v.Name) {
			p.addProblem(n, "version %q has a share of %d but no backend server", v.Name, v.Share)
		}
	}
	return servers
}

// stringValue returns the value of a string node, or "" for any other node.
func (n node) stringValue() string {
	if s, ok := n.value.(*ast.StringNode); ok {
		return s.Value
	}
	return ""
}

// hasVersion reports whether a version of the given name is declared.
func hasVersion(versions []Version, name string) bool {
	return slices.ContainsFunc(versions, func(v Version) bool { return v.Name == name })
}

// hasServer reports whether a backend server of the version is declared.
func hasServer(servers []Server, version string) bool {
	return slices.ContainsFunc(servers, func(s Server) bool { return s.Version == version })
}

func (p *documentReader) move(n node, s Service) *Move {
	m := p.mapping(n, "from", "to", "deadline")
	mv := &Move{From: p.name(m.field("from")), To: p.name(m.field("to")), Deadline: p.timestamp(m.field("deadline"))}
	for _, field := range []string{"from", "to"} {
		name := m.field(field).stringValue()
		if name == "" {
			continue
		}
		if !hasVersion(s.Versions, name) {
			p.addProblem(m.field(field), "version %q does not exist in service %q", name, s.Name)
			continue
		}
		if !hasServer(s.Servers, name) {
			p.addProblem(m.field(field), "version %q has no backend server to move %s", name, field)
		}
	}
	if mv.From != "" && mv.From == mv.To {
		p.addProblem(m.field("to"), "a move must name two different versions")
	}
	if !p.now.IsZero() && !mv.Deadline.IsZero() && !mv.Deadline.After(p.now) {
		p.addProblem(m.field("deadline"), "the deadline %s is in the past", mv.Deadline.Format(time.RFC3339))
	}
	return mv
}
