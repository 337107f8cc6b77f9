package describer_test

import (
	"testing"

	"github.com/matryer/is"

	"samphiremux/pkg/describer"
)

// TestRanks guards against ranks of other services' routes, and against requests of a
// workspace or without one whose rank is missing.
func TestRanks(t *testing.T) {
	is := is.New(t)
	route := func(name, service string, importance int) describer.Route {
		return describer.Route{Name: name, Host: "h", Importance: importance, Services: []describer.WeightedService{{Service: service, Share: 1}}}
	}
	plain := describer.NewRouteTable(1, []describer.Route{
		route("reads", "stock", 2), route("more reads", "stock", 2), route("transfers", "stock", 1), route("other", "rara", 0),
	}, nil, describer.Limits{})
	is.Equal(plain.Ranks("stock"), []describer.Rank{{Route: 1}, {Route: 2}})
	is.Equal(plain.Ranks("rara"), []describer.Rank{{}})
	is.Equal(len(plain.Ranks("none")), 0)
	keyed := plain.WithWorkspaces([]describer.KeyedWorkspace{
		{Workspace: describer.Workspace{Name: "first"}}, {Workspace: describer.Workspace{Name: "second", Importance: 3}},
	})
	is.Equal(keyed.Ranks("stock"), []describer.Rank{{Route: 1}, {Route: 2}, {Workspace: 3, Route: 1}, {Workspace: 3, Route: 2}})
}
