package describer

import "slices"

// Ranks returns the ranks that requests to a service can have, the most urgent first.
func (t *RouteTable) Ranks(service string) (ranks []Rank) {
	// Requests without a workspace rank with the lowest-ranking one.
	workspaces := []int{t.access.lowest}
	for _, w := range t.access.workspaces {
		workspaces = append(workspaces, w.Importance)
	}
	var routes []int
	for _, hostRoutes := range t.hosts {
		for _, r := range hostRoutes {
			if slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Service == service }) {
				routes = append(routes, r.Importance)
			}
		}
	}
	workspaces, routes = distinct(workspaces), distinct(routes)
	for _, w := range workspaces {
		for _, r := range routes {
			ranks = append(ranks, Rank{Workspace: w, Route: r})
		}
	}
	return ranks
}

// distinct returns the values in order, each once.
func distinct(values []int) []int {
	slices.Sort(values)
	return slices.Compact(values)
}
