package simulator

import (
	"fmt"
	"net/netip"
	"time"

	"samphiremux/pkg/parser"
)

// Deployment describes one of the users' deployments at its current size.
type Deployment struct {
	Name     string
	Region   string
	Domains  []string
	Services []ServiceSpec
	// Slots is the number of requests that a backend server runs at a time.
	Slots int
	// ConnectionLimit is the connection limit of a backend server.
	ConnectionLimit int
	// DomainDelay is the one-way network delay between failure domains.
	DomainDelay time.Duration
	// CallerDelay is the one-way network delay between callers and entries.
	CallerDelay time.Duration
	// subnet is the second byte of the deployment's loopback addresses.
	subnet byte
}

// ServiceSpec describes one service: its routes and its number of backend servers.
type ServiceSpec struct {
	Name    string
	Servers int
	Routes  []parser.Route
}

// readRoute returns an idempotent GET route.
func readRoute(name, path string) parser.Route {
	return parser.Route{Name: name, Method: "GET", PathPrefix: path, Idempotent: true, TimeLimit: 2 * time.Second, Importance: 8}
}

// writeRoute returns a POST route, which is not idempotent.
func writeRoute(name, path string) parser.Route {
	return parser.Route{Name: name, Method: "POST", PathPrefix: path, TimeLimit: 3 * time.Second, Importance: 10}
}

// Trust returns the deployment of the Commons Rack Lending Gateway.
func Trust() Deployment {
	return Deployment{
		Name: "trust", Region: "bengal", Domains: []string{"howrah", "salt-lake", "barasat", "durgapur"},
		Services: []ServiceSpec{
			{"catalogue", 20, []parser.Route{readRoute("lookup", "/catalogue/")}},
			{"booking", 8, []parser.Route{readRoute("list", "/bookings/"), writeRoute("reserve", "/bookings/")}},
			{"photos", 8, []parser.Route{readRoute("show", "/photos/"), writeRoute("report", "/photos/")}},
		},
		Slots: 2, ConnectionLimit: 240, DomainDelay: 500 * time.Microsecond, CallerDelay: 3 * time.Millisecond, subnet: 1,
	}
}

// Association returns the deployment of the Ballast Order Gateway.
func Association() Deployment {
	return Deployment{
		Name: "association", Region: "latvia", Domains: []string{"riga-a", "jelgava-b", "ogre-c"},
		Services: []ServiceSpec{
			{"stock", 24, []parser.Route{readRoute("enquire", "/stock/")}},
			{"orders", 9, []parser.Route{readRoute("list", "/orders/"), writeRoute("confirm", "/orders/")}},
			{"certificates", 6, []parser.Route{readRoute("show", "/certificates/"), writeRoute("report", "/certificates/")}},
		},
		Slots: 4, ConnectionLimit: 260, DomainDelay: time.Millisecond, CallerDelay: 8 * time.Millisecond, subnet: 2,
	}
}

// WithOnlyService returns a copy of d with only the named service.
func (d Deployment) WithOnlyService(service string) Deployment {
	var kept []ServiceSpec
	for _, s := range d.Services {
		if s.Name == service {
			kept = append(kept, s)
		}
	}
	d.Services = kept
	return d
}

// WithServers returns a copy of d in which each service has n backend servers.
func (d Deployment) WithServers(n int) Deployment {
	sizes := make([]ServiceSpec, len(d.Services))
	copy(sizes, d.Services)
	for i := range sizes {
		sizes[i].Servers = n
	}
	d.Services = sizes
	return d
}

// WithoutDelays returns a copy of d without network delays, for real sockets.
func (d Deployment) WithoutDelays() Deployment {
	d.DomainDelay, d.CallerDelay = 0, 0
	return d
}

// ServerPort is the port that backend servers listen on.
const ServerPort = 8000

// ServerAddress returns the address of a backend server, given the index of its
// service and its index in that service.
func (d Deployment) ServerAddress(service, index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, d.subnet, byte(10 + service), byte(1 + index)}), ServerPort)
}

func (d Deployment) entryHost(index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.subnet, 1, byte(1 + index)})
}

func (d Deployment) callerHost(index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.subnet, 2, byte(1 + index)})
}

// Document returns the document of an environment that runs the deployment. The
// servers of a service are spread over the failure domains in turn.
func (d Deployment) Document(environment string) (doc parser.Document) {
	doc.Environment = environment
	for _, name := range d.Domains {
		doc.Domains = append(doc.Domains, parser.Domain{Name: name, Region: d.Region})
	}
	for si, size := range d.Services {
		s := parser.Service{
			Name: size.Name, SheddingStatuses: []int{503}, RetryBudget: 0.1, ProbeBudget: 0.01, EchoesRequestID: true,
			Routes: size.Routes, Versions: []parser.Version{{Name: "v1", Share: 100}},
		}
		for i := range size.Servers {
			s.Servers = append(s.Servers, parser.Server{
				Name: fmt.Sprintf("%s-%d", size.Name, i+1), Address: d.ServerAddress(si, i),
				Domain: d.Domains[i%len(d.Domains)], Version: "v1", Slots: d.Slots, ConnectionLimit: d.ConnectionLimit,
			})
		}
		doc.Services = append(doc.Services, s)
	}
	return doc
}
