package reserver_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"samphiremux/entry/reserver"
)

// TestLargeBodiesLeaveRoom guards against small requests that are refused because of a few
// large ones.
func TestLargeBodiesLeaveRoom(t *testing.T) {
	is := is.New(t)
	r := reserver.New(100 << 20)
	var large []*reserver.Hold
	for range 4 {
		large = append(large, r.Hold())
	}
	is.True(large[0].Resize(45 << 20))
	is.True(large[1].Resize(45 << 20))
	is.True(!large[2].Resize(1 << 20))
	is.True(r.Hold().Resize(64 << 10))
	large[1].Release()
	is.True(large[2].Resize(44 << 20))
	is.True(large[2].Resize(10 << 20)) // shrinks
	is.True(large[3].Resize(34 << 20))
}

// TestHoldsBalance guards against memory that is lost or given back twice.
func TestHoldsBalance(t *testing.T) {
	is := is.New(t)
	r := reserver.New(8 << 20)
	var work sync.WaitGroup
	for range 16 {
		work.Go(func() {
			for n := range 1000 {
				h := r.Hold()
				h.Resize(int64(n) << 10)
				h.Resize(int64(n) << 11)
				h.Release()
				h.Release()
			}
		})
	}
	work.Wait()
	is.True(r.Hold().Resize(7 << 20))
	var unbounded *reserver.Reserver
	is.True(unbounded.Hold().Resize(1 << 40))
}
