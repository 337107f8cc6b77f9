// Package describer holds the types that describe what entries steer: routes,
// services, backend servers with their loads, and orders of the operators. All are
// immutable.
package describer

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Route is a class of requests with the same rules.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent tells that a request may run more than once.
	Idempotent bool
	// TimeLimit bounds the time for which a caller is kept waiting.
	TimeLimit time.Duration
	// TargetLatency is the latency within which an answer is in time.
	TargetLatency time.Duration
	// MaxAttempts bounds the backend servers to which one request is sent.
	MaxAttempts int
	// Importance orders routes when capacity is short. Zero is the highest.
	Importance int
	// Services are the services that share the route's requests.
	Services []WeightedService
}

// WeightedService is one service of a route and its part of the requests. The parts of a
// route add up to one.
type WeightedService struct {
	Service string
	Share   float64
}

// Service holds what the operators declare of a service.
type Service struct {
	Name string
	// HealthPath is where backend servers answer probes.
	HealthPath string
	// ConnectionLimit bounds the connections of one backend server from all
	// callers together.
	ConnectionLimit int
	// ColdRate is the requests a second that a cold backend server bears.
	ColdRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RouteTable is one version of the configuration. It is immutable, so that a request
// sees one configuration from start to end.
type RouteTable struct {
	Version  int64
	Services map[string]Service
	Limits   Limits
	hosts    map[string][]Route
}

// NewRouteTable returns a table of routes and services.
func NewRouteTable(version int64, routes []Route, services []Service, l Limits) *RouteTable {
	t := &RouteTable{Version: version, Services: map[string]Service{}, Limits: l, hosts: map[string][]Route{}}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, all := range t.hosts {
		slices.SortStableFunc(all, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route with the longest prefix that begins the path. Host
// may carry a port.
func (t *RouteTable) Match(host, path string) (r Route, ok bool) {
	name, _, _ := strings.Cut(host, ":")
	for _, r := range t.hosts[strings.ToLower(name)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// PickService returns the service for a draw between zero and one.
func (r Route) PickService(draw float64) string {
	for _, p := range r.Services {
		if draw < p.Share {
			return p.Service
		}
		draw -= p.Share
	}
	return r.Services[len(r.Services)-1].Service
}
