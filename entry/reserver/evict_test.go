package reserver_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/reserver"
)

// TestEviction guards against memory that peers keep by messages that they do not end, and
// against the eviction of those that make progress.
func TestEviction(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	r := reserver.New(1000)
	evicted := map[string]bool{}
	hold := func(name string, n int64) *reserver.Hold {
		h := r.HoldUntilEvicted(start, func() { evicted[name] = true })
		is.True(h.ResizeAt(start, n))
		return h
	}
	stalled, slow, fast := hold("stalled", 300), hold("slow", 300), hold("fast", 300)
	now := start.Add(1500 * time.Millisecond)
	slow.Progress(now, 10)
	fast.Progress(now, 100_000)
	next := r.Hold()
	is.True(!r.Hold().ResizeAt(start.Add(time.Second/2), 300)) // no hold stalls yet
	is.True(next.ResizeAt(now, 300))
	is.Equal(evicted, map[string]bool{"stalled": true})
	is.True(stalled.IsEvicted())
	is.True(!stalled.Resize(1)) // it holds nothing any more
	is.True(next.ResizeAt(now, 600))
	is.Equal(evicted, map[string]bool{"stalled": true, "slow": true})
	is.True(!next.ResizeAt(now, 900)) // the fast one stays
	is.True(fast.Keep())
	is.True(!next.ResizeAt(now.Add(time.Hour), 900)) // a whole message stays
	for _, h := range []*reserver.Hold{stalled, slow, fast, next} {
		h.Release()
	}
	is.Equal(r.Used(), int64(0))
}

// TestLone guards against a large body within the limits that is never served, and against
// several of them at once.
func TestLone(t *testing.T) {
	is := is.New(t)
	r := reserver.New(1 << 20).WithLone(4 << 20)
	lone, other := r.Hold(), r.Hold()
	is.True(lone.Resize(3 << 20))
	is.True(!other.Resize(3 << 20))
	is.True(r.Hold().Resize(60 << 10)) // small ones have their part
	lone.Release()
	is.True(other.Resize(3 << 20))
	is.True(!lone.Resize(3 << 20))
}

// TestOthersBesideLone guards against callers that are refused or cut off while one large body
// is held, and against a large body that is refused since a few others are in progress.
func TestOthersBesideLone(t *testing.T) {
	is := is.New(t)
	r := reserver.New(1 << 20).WithLone(4 << 20)
	lone, other, second := r.Hold(), r.Hold(), r.Hold()
	is.True(other.Resize(100 << 10))
	is.True(lone.Resize(3 << 20))
	is.True(other.Resize(600 << 10)) // others have the room that they have without it
	is.True(second.Resize(200 << 10))
	is.True(!second.Resize(400 << 10)) // together they keep to the bound of large ones
	is.True(!lone.Resize(4 << 20))     // and with the lone one to its bound
	other.Release()
	is.True(!second.Resize(2 << 20)) // there is one lone hold at a time
	lone.Release()
	is.True(second.Resize(2 << 20))
	second.Release()
	is.Equal(r.Used(), int64(0))
}
