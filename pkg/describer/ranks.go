package describer

import "slices"

// Ranks returns the ranks that requests to a service can have, the most urgent first.
func (t *RouteTable) Ranks(service string) (ranks []Rank) {
	workspaces := []Workspace{{}}
	workspaces = append(workspaces, t.access.workspaces...)
	for _, routes := range t.hosts {
		for _, r := range routes {
			if !slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Service == service }) {
				continue
			}
			for _, w := range workspaces {
				ranks = append(ranks, t.Rank(r, w))
			}
		}
	}
	slices.SortFunc(ranks, Rank.Compare)
	return slices.Compact(ranks)
}
