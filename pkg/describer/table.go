// Package describer holds the types that describe what entries balance: routes,
// services, backend servers with their loads, and operators' orders. All are immutable.
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
	// Idempotent reports that a request may run more than once.
	Idempotent bool
	// TimeLimit bounds the time that a caller waits for its response.
	TimeLimit time.Duration
	// TargetLatency is the latency objective: a later response counts as late.
	TargetLatency time.Duration
	// MaxAttempts bounds the attempts of one request, the first one included.
	MaxAttempts int
	// Importance ranks routes when capacity is short. Zero is the highest rank.
	Importance int
	// Public reports that requests need no API key although there are workspaces.
	Public bool
	// Services holds the services that share the route's requests.
	Services []WeightedService
}

// WeightedService is one service of a route with its share of the requests. The shares
// of a route add up to one.
type WeightedService struct {
	Service string
	Share   float64
}

// Service holds the properties of a service that operators declare.
type Service struct {
	Name string
	// HealthPath is the path on which backend servers respond to health probes.
	HealthPath string
	// ConnectionLimit bounds the connections to one backend server, over all its
	// clients together.
	ConnectionLimit int
	// ColdRate is the number of requests per second that a cold backend server can
	// take.
	ColdRate float64
}

// Limits bounds the sizes of callers' requests and the time for which their connections
// wait for headers or stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RouteTable is one version of the configuration. It is immutable, so that a request
// uses the same configuration from start to end.
type RouteTable struct {
	Version  int64
	Services map[string]Service
	Limits   Limits
	hosts    map[string][]Route
	access   access
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
	for _, hostRoutes := range t.hosts {
		slices.SortStableFunc(hostRoutes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path. The host may
// have a port, and its case does not matter.
func (t *RouteTable) Match(host, path string) (r Route, ok bool) {
	name, _, _ := strings.Cut(host, ":")
	for _, r := range t.hosts[strings.ToLower(name)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// PickService returns the service for a random number between zero and one, in
// proportion to the shares.
func (r Route) PickService(draw float64) string {
	for _, s := range r.Services {
		if draw < s.Share {
			return s.Service
		}
		draw -= s.Share
	}
	return r.Services[len(r.Services)-1].Service
}
