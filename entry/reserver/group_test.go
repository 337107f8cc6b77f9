package reserver_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/reserver"
)

// TestGroup guards against memory that is never given back, since a response grows after
// its request has ended, and against a response that is not read and keeps its memory. Responses leave the
// most of it to bodies.
func TestGroup(t *testing.T) {
	is := is.New(t)
	r := reserver.New(1000 << 10)
	g := r.Group()
	first, second := g.Hold(), g.Hold()
	is.True(first.Resize(200 << 10))
	is.True(!second.Resize(100 << 10)) // responses get a quarter of the memory
	is.True(second.Resize(50 << 10))
	body := r.Hold()
	is.True(!body.ResizeAt(time.Time{}.Add(time.Minute), 800<<10)) // both are being read
	evicted := false
	first.AllowEviction(time.Time{}, func() { evicted = true })
	is.True(body.ResizeAt(time.Time{}.Add(time.Minute), 800<<10))
	is.True(evicted)
	g.Release()
	is.Equal(r.Used(), int64(800<<10))
	is.True(!second.Resize(1))
	is.True(!g.Hold().Resize(1))
	is.Equal(r.Used(), int64(800<<10))
}

// TestNilGroup guards against requests without a bound that are not served.
func TestNilGroup(t *testing.T) {
	is := is.New(t)
	var none *reserver.Reserver
	g := none.Group()
	is.True(g.Hold().Resize(1 << 30))
	g.Release()
	is.True((*reserver.Group)(nil).Hold().Resize(1 << 30))
}
