// Package parser reads environment documents: the YAML files in which
// operators declare services, failure domains, backend servers and versions.
// It reports every broken rule with its file, line and column.
package parser

import (
	"net/netip"
	"slices"
	"time"
)

// Document is the declared state of one environment. It is immutable: the
// With methods return changed copies.
type Document struct {
	Environment string
	Domains     []Domain
	Services    []Service
}

// Domain is a failure domain. A domain that is out gets no new work.
type Domain struct {
	Name   string
	Region string
	Out    bool
}

// Service is a set of backend servers that answer the same routes.
type Service struct {
	Name string
	// SheddingStatuses are the HTTP statuses by which a backend server says
	// that it refused a request without running it.
	SheddingStatuses []int
	// RetryBudget is the share of first attempts that retries and hedges may
	// add, between 0 and 1.
	RetryBudget float64
	// ProbeBudget is the share of a backend server's slot time that probes may
	// use over all entries together, between 0 and 1.
	ProbeBudget float64
	// EchoesRequestID tells that every answer carries the id of its request.
	EchoesRequestID bool
	// Entries overrides the number of entry VMs that serve the service. Zero
	// derives it from the slots.
	Entries  int
	Routes   []Route
	Servers  []Server
	Versions []Version
	Move     *Move
}

// Route is a class of requests with the same rules.
type Route struct {
	Name       string
	Method     string
	PathPrefix string
	Idempotent bool
	// TimeLimit bounds one request. Each request's deadline is fixed from it
	// on arrival, and only the deadline is kept from then on.
	TimeLimit time.Duration
	// Importance orders routes when capacity is short. Low values are shed
	// first.
	Importance int
}

// Server is one backend server.
type Server struct {
	Name            string
	Address         netip.AddrPort
	Domain          string
	Version         string
	Slots           int
	ConnectionLimit int
	Leaving         bool
}

// Version is a backend server version and its share of work in percent.
type Version struct {
	Name  string
	Share int
}

// Move asks for the traffic of one version to pass to another by a deadline.
type Move struct {
	From     string
	To       string
	Deadline time.Time
}

// Service returns the service with the given name.
func (d Document) Service(name string) (service Service, ok bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Domain returns the failure domain with the given name.
func (d Document) Domain(name string) (domain Domain, ok bool) {
	for _, dom := range d.Domains {
		if dom.Name == name {
			return dom, true
		}
	}
	return Domain{}, false
}

// WithDomainOut returns a copy in which the named domain is out or back.
func (d Document) WithDomainOut(name string, out bool) Document {
	d.Domains = slices.Clone(d.Domains)
	for i := range d.Domains {
		if d.Domains[i].Name == name {
			d.Domains[i].Out = out
		}
	}
	return d
}

// WithEnvironment returns a copy for another environment.
func (d Document) WithEnvironment(name string) Document {
	d.Environment = name
	return d
}

// WithService returns a copy in which the service of the same name is replaced.
func (d Document) WithService(s Service) Document {
	d.Services = slices.Clone(d.Services)
	for i := range d.Services {
		if d.Services[i].Name == s.Name {
			d.Services[i] = s
		}
	}
	return d
}

// WithAddresses returns a copy in which servers take the addresses that the
// overlay gives for their names.
func (d Document) WithAddresses(o Overlay) Document {
	d.Services = slices.Clone(d.Services)
	for i := range d.Services {
		servers := slices.Clone(d.Services[i].Servers)
		for j := range servers {
			if addr, ok := o.Addresses[servers[j].Name]; ok {
				servers[j].Address = addr
			}
		}
		d.Services[i].Servers = servers
	}
	return d
}

// Slots returns the slots of all backend servers of the service.
func (s Service) Slots() (slots int) {
	for _, srv := range s.Servers {
		slots += srv.Slots
	}
	return slots
}

// Route returns the route with the longest matching prefix for a request.
func (s Service) Route(method, path string) (route Route, ok bool) {
	best := -1
	for _, r := range s.Routes {
		if r.Method != "" && r.Method != method {
			continue
		}
		if len(r.PathPrefix) > len(path) || path[:len(r.PathPrefix)] != r.PathPrefix {
			continue
		}
		if len(r.PathPrefix) > best {
			best, route = len(r.PathPrefix), r
		}
	}
	return route, best >= 0
}

// Overlay holds the addresses of one environment, by server name. It is kept
// apart from the document so that the document tried in one environment can be
// promoted unchanged to another.
type Overlay struct {
	Environment string
	Addresses   map[string]netip.AddrPort
}
