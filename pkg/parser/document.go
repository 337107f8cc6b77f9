// Package parser parses environment documents: the YAML files in which operators
// declare services, failure domains, backend servers and versions. It reports every
// violated rule with its file, line and column.
package parser

import (
	"net/netip"
	"slices"
	"time"
)

// Document is the declared state of one environment. It is immutable: the With methods
// return modified copies.
type Document struct {
	Environment string
	Domains     []Domain
	Services    []Service
}

// Domain is a failure domain. A domain that is out receives no new work.
type Domain struct {
	Name   string
	Region string
	Out    bool
}

// Service is a set of backend servers that serve the same routes.
type Service struct {
	Name string
	// SheddingStatuses holds the HTTP statuses with which a backend server refuses
	// a request without running it.
	SheddingStatuses []int
	// RetryBudget bounds retries and hedged attempts, as a share of the first
	// attempts between 0 and 1.
	RetryBudget float64
	// ProbeBudget bounds the slot time of a backend server that the probes of all
	// entries together may use, as a share between 0 and 0.5.
	ProbeBudget float64
	// EchoesRequestID reports that every response carries the ID of its request.
	EchoesRequestID bool
	// Entries is the number of entry VMs that serve the service. Zero derives it
	// from the slots.
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
	// TimeLimit bounds the duration of one request. It sets the deadline of the
	// request on arrival; from then on only the deadline counts.
	TimeLimit time.Duration
	// Importance ranks routes when capacity is short. Low values are shed first.
	Importance int
}

// Server is one backend server. A server that is leaving receives no new work.
type Server struct {
	Name            string
	Address         netip.AddrPort
	Domain          string
	Version         string
	Slots           int
	ConnectionLimit int
	Leaving         bool
}

// Version is a version of the backend servers with its share of the work in percent.
type Version struct {
	Name  string
	Share int
}

// Move declares that the traffic of one version moves to another by a deadline.
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

// WithDomainOut returns a copy in which the named domain is out, or back in use if out
// is false.
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

// WithService returns a copy in which s replaces the service of the same name.
func (d Document) WithService(s Service) Document {
	d.Services = slices.Clone(d.Services)
	for i := range d.Services {
		if d.Services[i].Name == s.Name {
			d.Services[i] = s
		}
	}
	return d
}

// WithAddresses returns a copy in which the overlay replaces the addresses of the
// servers that it names.
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

// Slots returns the total number of slots of the service's backend servers.
func (s Service) Slots() (slots int) {
	for _, srv := range s.Servers {
		slots += srv.Slots
	}
	return slots
}

// Route returns the route with the longest path prefix that matches a request.
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

// Overlay holds the server addresses of one environment, by server name. It is separate
// from the document, so that a document tested in one environment can be promoted to
// another unchanged.
type Overlay struct {
	Environment string
	Addresses   map[string]netip.AddrPort
}
