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
	keyed := describer.NewRouteTable(1, []describer.Route{route("reads", "stock", 2), route("more reads", "stock", 2), route("other", "rara", 0)}, nil, describer.Limits{}).
		WithWorkspaces([]describer.KeyedWorkspace{{Workspace: describer.Workspace{Name: "first"}}, {Workspace: describer.Workspace{Name: "second", Importance: 3}}})
	is.Equal(keyed.Ranks("stock"), []describer.Rank{{Route: 2}, {Workspace: 3, Route: 2}})
	is.Equal(keyed.Ranks("rara"), []describer.Rank{{}, {Workspace: 3}})
	is.Equal(len(keyed.Ranks("none")), 0)
}
