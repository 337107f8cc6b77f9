package linker

import (
	"context"
	"fmt"
	"net"
	"sync"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"samphiremux/pkg/linker/linkpb"
)

// Dialer opens connections to other entries.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Server answers calls of other entries. It is the part of an entry that the
// link's service interface asks for.
type Server = linkpb.DRPCLinkServer

// Serve answers calls on l until ctx ends.
func Serve(ctx context.Context, l net.Listener, s Server) (err error) {
	mux := drpcmux.New()
	if err := linkpb.DRPCRegisterLink(mux, s); err != nil {
		return fmt.Errorf("link server: %w", err)
	}
	return drpcserver.New(mux).Serve(ctx, l)
}

// Pool keeps one connection to each peer address.
type Pool struct {
	dial Dialer

	mu    sync.Mutex
	peers map[string]*peer
}

// peer runs one call at a time, since a drpc connection carries one stream.
type peer struct {
	turn chan struct{}
	conn *drpcconn.Conn
}

// NewPool returns an empty pool.
func NewPool(dial Dialer) *Pool { return &Pool{dial: dial, peers: map[string]*peer{}} }

func (p *Pool) peer(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr, ok := p.peers[address]
	if !ok {
		pr = &peer{turn: make(chan struct{}, 1)}
		p.peers[address] = pr
	}
	return pr
}

// Call runs f with a client for the peer at address. A failed call closes the
// connection, so that the next one dials anew.
func (p *Pool) Call(ctx context.Context, address string, f func(context.Context, linkpb.DRPCLinkClient) error) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("link call to %s: %w", address, err)
		}
	}()
	pr := p.peer(address)
	select {
	case pr.turn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-pr.turn }()
	if err := pr.connect(ctx, p.dial, address); err != nil {
		return err
	}
	if err := f(ctx, linkpb.NewDRPCLinkClient(pr.conn)); err != nil {
		_ = pr.conn.Close()
		pr.conn = nil
		return err
	}
	return nil
}

// Notify gives a notice to the peer at address.
func (p *Pool) Notify(ctx context.Context, address string, n *linkpb.TellRequest) error {
	return p.Call(ctx, address, func(ctx context.Context, c linkpb.DRPCLinkClient) error {
		_, err := c.Tell(ctx, n)
		return err
	})
}

// NotifyAll gives a notice to the peers at addresses, all at the same time. Failed
// hears of each that did not take it.
func (p *Pool) NotifyAll(ctx context.Context, addresses []string, n *linkpb.TellRequest, failed func(address string, err error)) {
	var work sync.WaitGroup
	for _, address := range addresses {
		work.Go(func() {
			if err := p.Notify(ctx, address, n); err != nil {
				failed(address, err)
			}
		})
	}
	work.Wait()
}

func (pr *peer) connect(ctx context.Context, dial Dialer, address string) error {
	if pr.conn != nil {
		select {
		case <-pr.conn.Closed():
			pr.conn = nil
		default:
			return nil
		}
	}
	conn, err := dial(ctx, address)
	if err != nil {
		return err
	}
	pr.conn = drpcconn.New(conn)
	return nil
}

// Retain closes the connections to all addresses that keep rejects.
func (p *Pool) Retain(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pr := range p.peers {
		if keep(address) {
			continue
		}
		delete(p.peers, address)
		go pr.close()
	}
}

func (pr *peer) close() {
	pr.turn <- struct{}{}
	if pr.conn != nil {
		_ = pr.conn.Close()
	}
}
