package simulator

import (
	"fmt"
	"net/netip"
	"time"

	"samphiremux/pkg/parser"
)

// Deployment describes one of the users' deployments at today's size.
type Deployment struct {
	Name     string
	Region   string
	Domains  []string
	Services []ServiceSize
	Slots    int
	// Connections is the connection limit of a backend server.
	Connections int
	// DomainDelay is the one-way time between failure domains.
	DomainDelay time.Duration
	// CallerDelay is the one-way time between callers and entries.
	CallerDelay time.Duration
	// net is the second number of the deployment's loopback addresses.
	net byte
}

// ServiceSize is the size of one service.
type ServiceSize struct {
	Name    string
	Servers int
	// Routes are the service's routes.
	Routes []parser.Route
}

func lookup(name, path string) parser.Route {
	return parser.Route{Name: name, Method: "GET", PathPrefix: path, Idempotent: true, TimeLimit: 2 * time.Second, Importance: 8}
}

func booking(name, path string) parser.Route {
	return parser.Route{Name: name, Method: "POST", PathPrefix: path, TimeLimit: 3 * time.Second, Importance: 10}
}

// Trust returns the deployment of the Commons Rack Lending Gateway.
func Trust() Deployment {
	return Deployment{
		Name: "trust", Region: "bengal", Domains: []string{"howrah", "salt-lake", "barasat", "durgapur"},
		Services: []ServiceSize{
			{"catalogue", 20, []parser.Route{lookup("lookup", "/catalogue/")}},
			{"booking", 8, []parser.Route{lookup("list", "/bookings/"), booking("reserve", "/bookings/")}},
			{"photos", 8, []parser.Route{lookup("show", "/photos/"), booking("report", "/photos/")}},
		},
		Slots: 2, Connections: 240, DomainDelay: 500 * time.Microsecond, CallerDelay: 3 * time.Millisecond, net: 1,
	}
}

// Association returns the deployment of the Ballast Order Gateway.
func Association() Deployment {
	return Deployment{
		Name: "association", Region: "latvia", Domains: []string{"riga-a", "jelgava-b", "ogre-c"},
		Services: []ServiceSize{
			{"stock", 24, []parser.Route{lookup("enquire", "/stock/")}},
			{"orders", 9, []parser.Route{lookup("list", "/orders/"), booking("confirm", "/orders/")}},
			{"certificates", 6, []parser.Route{lookup("show", "/certificates/"), booking("report", "/certificates/")}},
		},
		Slots: 4, Connections: 260, DomainDelay: time.Millisecond, CallerDelay: 8 * time.Millisecond, net: 2,
	}
}

// WithOnlyService returns a copy with one service.
func (d Deployment) WithOnlyService(service string) Deployment {
	var kept []ServiceSize
	for _, s := range d.Services {
		if s.Name == service {
			kept = append(kept, s)
		}
	}
	d.Services = kept
	return d
}

// WithServers returns a copy in which each service has n servers.
func (d Deployment) WithServers(n int) Deployment {
	sizes := make([]ServiceSize, len(d.Services))
	copy(sizes, d.Services)
	for i := range sizes {
		sizes[i].Servers = n
	}
	d.Services = sizes
	return d
}

// WithLoopback returns a copy without delays, for real sockets.
func (d Deployment) WithLoopback() Deployment {
	d.DomainDelay, d.CallerDelay = 0, 0
	return d
}

// ServerPort is the port of backend servers.
const ServerPort = 8000

// ServerAddress returns the address of a service's server by their indexes.
func (d Deployment) ServerAddress(service, index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, d.net, byte(10 + service), byte(1 + index)}), ServerPort)
}

func (d Deployment) entryHost(index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.net, 1, byte(1 + index)})
}

func (d Deployment) callerHost(index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.net, 2, byte(1 + index)})
}

// Document returns the environment document of the deployment.
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
				Domain: d.Domains[i%len(d.Domains)], Version: "v1", Slots: d.Slots, ConnectionLimit: d.Connections,
			})
		}
		doc.Services = append(doc.Services, s)
	}
	return doc
}
