package describer_test

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"samphiremux/pkg/describer"
)

func table() *describer.RouteTable {
	return describer.NewRouteTable(1, nil, nil, describer.Limits{})
}

// TestAuthorize guards against a key of one workspace that counts for another one, and
// against a table that changes when another one is derived from it.
func TestAuthorize(t *testing.T) {
	is := is.New(t)
	first, second := describer.Workspace{Name: "first"}, describer.Workspace{Name: "second", Importance: 2}
	plain := table()
	keyed := plain.WithWorkspaces([]describer.KeyedWorkspace{
		{Workspace: first, Keys: []string{"k-1", "k-2"}}, {Workspace: second, Keys: []string{"k-3"}},
	})
	is.True(!plain.HasWorkspaces())
	is.True(keyed.HasWorkspaces())
	is.True(plain.WithWorkspaces(nil).HasWorkspaces())
	for key, want := range map[string]describer.Workspace{"k-1": first, "k-2": first, "k-3": second, "k-4": {}, "k-": {}, "": {}} {
		got, ok := keyed.Authorize(key)
		is.Equal(got, want)
		is.Equal(ok, want.Name != "")
	}
	_, ok := plain.Authorize("k-1")
	is.True(!ok)
}

// TestRank guards against a route's rank that outweighs the workspace's, and against
// requests without a key that rank above those with one.
func TestRank(t *testing.T) {
	is := is.New(t)
	keyed := table().WithWorkspaces([]describer.KeyedWorkspace{
		{Workspace: describer.Workspace{Name: "first"}}, {Workspace: describer.Workspace{Name: "second", Importance: 2}},
	})
	reads := describer.Route{Importance: 2}
	got := []describer.Rank{
		keyed.Rank(reads, describer.Workspace{}),
		keyed.Rank(describer.Route{}, describer.Workspace{Name: "second", Importance: 2}),
		keyed.Rank(reads, describer.Workspace{Name: "first"}),
		keyed.Rank(describer.Route{}, describer.Workspace{Name: "first"}),
	}
	slices.SortFunc(got, describer.Rank.Compare)
	is.Equal(got, []describer.Rank{{}, {Route: 2}, {Workspace: 2}, {Workspace: 2, Route: 2}})
	is.Equal(table().Rank(reads, describer.Workspace{}), describer.Rank{Route: 2})
}

// TestTableMemory guards against a table that holds the keys or an index of them: with 90
// workspaces of 4 keys each it may take 0.1 MB. It also checks that no key can be printed.
func TestTableMemory(t *testing.T) {
	is := is.New(t)
	build := func() *describer.RouteTable {
		var workspaces []describer.KeyedWorkspace
		for i := range 90 {
			w := describer.KeyedWorkspace{Workspace: describer.Workspace{Name: fmt.Sprintf("workspace-%d", i)}}
			for j := range 4 {
				w.Keys = append(w.Keys, fmt.Sprintf("secret-%032d-%d", i, j))
			}
			workspaces = append(workspaces, w)
		}
		return table().WithWorkspaces(workspaces)
	}
	heap := func() int64 {
		// A second collection frees what finalizers of the first one kept.
		runtime.GC()
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	before := heap()
	keyed := build()
	grown := heap() - before
	t.Logf("%d bytes", grown)
	is.True(grown < 100_000)
	is.True(!strings.Contains(fmt.Sprintf("%+v", keyed), "secret-"))
}
