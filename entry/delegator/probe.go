package delegator

import (
	"context"
	"math/rand/v2"
	"net"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"samphiremux/entry/linkcounter"
	"samphiremux/entry/linkgauger"
	"samphiremux/entry/roundtripper"
)

// peerState is what this entry keeps of another one.
type peerState struct {
	Peer
	*roundtripper.Client
	link *linkgauger.Gauger

	mu         sync.Mutex
	avoidUntil time.Time
}

func (p *peerState) avoid(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoidUntil = now.Add(avoidTime)
}

func (p *peerState) avoided(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.avoidUntil)
}

// pick probes other entries until one answers that takes the request. It returns that entry
// and the connection of the probe, or nil if there is none. Those that have turned the
// request down are left out.
func (d *Delegator) pick(ctx context.Context, r Request, tried []*peerState) (*peerState, *roundtripper.Conn) {
	candidates := d.candidates(time.Now(), r.search(), tried)
	candidates = candidates[:min(len(candidates), maxProbes)]
	if len(candidates) == 0 {
		return nil, nil
	}
	begun := d.opts.Link.Start(time.Now(), probeTimeout)
	if p, conn := d.probe(ctx, probePath(r), candidates, r.ReachesNone); p != nil {
		return p, conn
	}
	if ctx.Err() == nil && len(tried) == 0 && !begun.IsInconclusive(time.Now()) && !begun.IsStalled(time.Now()) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.unreachedUntil[r.search()] = time.Now().Add(unreachedTime)
	}
	return nil, nil
}

// probePath returns the target of the probes for a request.
func probePath(r Request) string {
	return HealthPath + "?" + url.Values{
		ConfigurationParameter: {strconv.FormatInt(r.Configuration, 10)}, ServiceParameter: {r.Service},
	}.Encode()
}

// peer returns the state of an entry, or nil if it takes no requests.
func (d *Delegator) peer(id string) *peerState {
	peers := d.opts.Peers()
	i := slices.IndexFunc(peers, func(p Peer) bool { return p.ID == id })
	if i < 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state(peers[i])
}

// state returns the state of an entry. The caller holds the lock.
func (d *Delegator) state(p Peer) *peerState {
	state, ok := d.peers[p]
	if !ok {
		state = &peerState{Peer: p, Client: roundtripper.New(p.ID, p.Address, func(ctx context.Context) (net.Conn, error) {
			return d.opts.Dial(ctx, p.Address)
		}, d.headers()), link: d.opts.Link}
		d.peers[p] = state
	}
	return state
}

// candidates returns the other entries in random order, those of the own failure domain
// first, and those that failed lately last. Entries of domains in which one has turned the
// request down come after others.
func (d *Delegator) candidates(now time.Time, s search, tried []*peerState) (candidates []*peerState) {
	peers := d.opts.Peers()
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.unreachedUntil[s]) {
		return nil
	}
	for _, p := range peers {
		state := d.state(p)
		if !slices.Contains(tried, state) {
			candidates = append(candidates, state)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	rank := map[*peerState]int{}
	for _, p := range candidates {
		if p.Domain != d.opts.Domain {
			rank[p]++
		}
		if slices.ContainsFunc(tried, func(t *peerState) bool { return t.Domain == p.Domain }) {
			rank[p] += 2
		}
		if p.avoided(now) {
			rank[p] += 4
		}
	}
	slices.SortStableFunc(candidates, func(a, b *peerState) int { return rank[a] - rank[b] })
	return candidates
}

// probed is the result of a probe. Conn is nil if the entry takes no requests.
type probed struct {
	peer  *peerState
	conn  *roundtripper.Conn
	reach Reach
}

func (p probed) release() {
	if p.conn != nil {
		p.peer.Release(p.conn)
	}
}

// probe probes entries in rounds, and returns the first that takes requests. Answers to
// earlier rounds count until the last one is over. If some is set, an entry that reaches some
// servers only is returned if there is no better one.
func (d *Delegator) probe(ctx context.Context, path string, candidates []*peerState, some bool) (*peerState, *roundtripper.Conn) {
	results := make(chan probed, len(candidates))
	pending := 0
	startRound := func() {
		n := min(probesPerRound, len(candidates))
		d.openProbes.Add(int64(n))
		for _, p := range candidates[:n] {
			go func() {
				defer d.openProbes.Add(-1)
				results <- p.probe(ctx, path)
			}()
		}
		candidates = candidates[n:]
		pending += n
	}
	startNextRound := func() {
		if d.openProbes.Load() < maxOpenProbes {
			startRound()
		}
	}
	startRound()
	next := time.NewTicker(roundTimeout)
	defer next.Stop()
	defer func() { go release(results, pending) }()
	var second probed
	for pending > 0 {
		select {
		case r := <-results:
			pending--
			switch {
			case r.conn == nil:
			case r.reach != ReachSome:
				second.release()
				return r.peer, r.conn
			case some && second.conn == nil:
				second = r
			default:
				r.release()
			}
			if pending == 0 {
				startNextRound()
			}
		case <-next.C:
			if second.conn != nil && len(candidates) == 0 {
				return second.peer, second.conn
			}
			startNextRound()
		case <-ctx.Done():
			second.release()
			return nil, nil
		}
	}
	return second.peer, second.conn
}

// probe probes one entry. It goes on when the request ends first.
func (p *peerState) probe(ctx context.Context, path string) probed {
	timeout := p.link.Start(time.Now(), probeTimeout)
	ctx, cancel := linkcounter.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	h, conn, err := p.Probe(ctx, path)
	if err != nil {
		if now := time.Now(); ctx.Err() == nil || (!timeout.IsInconclusive(now) && !timeout.IsStalled(now)) {
			p.avoid(time.Now())
		}
		return probed{peer: p}
	}
	reach := Reach(h.Header.Get(ReachHeader))
	if reach == ReachSome {
		p.avoid(time.Now())
	}
	return probed{peer: p, conn: conn, reach: reach}
}

// release releases the connections of n probes that end later.
func release(results <-chan probed, n int) {
	for range n {
		(<-results).release()
	}
}
