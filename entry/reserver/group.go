package reserver

import "sync"

// Group is the memory of the responses to one request, which is given back with it. It handles
// responses that end after the request, such as that of an attempt that was abandoned. Its holds
// leave most of the memory to messages that would be refused without it, since a response that
// is not held can be streamed. It is safe for concurrent use. A nil Group has no bound.
type Group struct {
	reserver *Reserver

	mu       sync.Mutex
	holds    []*Hold
	released bool
}

// Group returns a group without holds.
func (r *Reserver) Group() *Group { return &Group{reserver: r} }

// Hold returns a hold without bytes. It can hold none once the group is released.
func (g *Group) Hold() *Hold {
	if g == nil {
		return &Hold{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.reserver.Hold()
	h.yields = true
	if g.released {
		h.close()
		return h
	}
	g.holds = append(g.holds, h)
	return h
}

// Release gives all bytes back.
func (g *Group) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.released = true
	for _, h := range g.holds {
		h.close()
	}
	g.holds = nil
}

// close gives all bytes back for good.
func (h *Hold) close() {
	r := h.reserver
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resize(h, 0)
	delete(r.evictable, h)
	h.evicted = true
}
