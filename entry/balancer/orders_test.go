package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/subsetter"
	"samphiremux/pkg/placer"
)

// TestOrderKept guards against a small VM that is kept busy with the order of the servers while
// those of a failure domain return one after the other, and against members that are gone.
func TestOrderKept(t *testing.T) {
	is := is.New(t)
	fleet := subsetter.Fleet{Self: placer.Member{ID: "e0", Domain: "a"}, Others: []placer.Member{{ID: "e1", Domain: "a"}}}
	for i := range 40 {
		fleet.Servers = append(fleet.Servers, subsetter.Server{ID: fmt.Sprint("s", i), Domain: "a", Slots: 2})
	}
	o := orders{byVersion: map[string]order{}}
	now := time.Unix(1000, 0)
	first := o.of(now, "v1", fleet)
	is.Equal(len(first), 40)
	gone := first[0]
	fleet.Servers = slices.DeleteFunc(fleet.Servers, func(s subsetter.Server) bool { return s.ID == gone })
	fleet.Servers = append(fleet.Servers, subsetter.Server{ID: "new", Domain: "a", Slots: 2})
	is.Equal(o.of(now.Add(orderInterval-time.Millisecond), "v1", fleet), first[1:])
	later := o.of(now.Add(orderInterval), "v1", fleet)
	is.True(slices.Contains(later, "new"))
	is.True(!slices.Contains(later, gone))
}
