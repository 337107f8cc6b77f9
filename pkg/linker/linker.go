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

// Server handles the calls of other entries. Each kind of entry implements it.
type Server = linkpb.DRPCLinkServer

// Serve accepts connections on l and handles their calls until ctx ends.
func Serve(ctx context.Context, l net.Listener, s Server) (err error) {
	mux := drpcmux.New()
	if err := linkpb.DRPCRegisterLink(mux, s); err != nil {
		return fmt.Errorf("link server: %w", err)
	}
	return drpcserver.New(mux).Serve(ctx, l)
}

// Pool is a connection pool with one connection per peer address.
type Pool struct {
	dial Dialer

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is the connection to one address. It runs one call at a time, since a drpc
// connection carries only one stream.
type peer struct {
	// sem is a semaphore of one. Its holder may use conn.
	sem  chan struct{}
	conn *drpcconn.Conn
}

// NewPool returns an empty pool.
func NewPool(dial Dialer) *Pool { return &Pool{dial: dial, peers: map[string]*peer{}} }

func (p *Pool) peer(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr, ok := p.peers[address]
	if !ok {
		pr = &peer{sem: make(chan struct{}, 1)}
		p.peers[address] = pr
	}
	return pr
}

// Call runs f with a client of the peer at address, dialing it if necessary. A failed
// call closes the connection, so that the next call dials again.
func (p *Pool) Call(ctx context.Context, address string, f func(context.Context, linkpb.DRPCLinkClient) error) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("link call to %s: %w", address, err)
		}
	}()
	pr := p.peer(address)
	select {
	case pr.sem <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-pr.sem }()
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

// Notify sends a notice to the peer at address.
func (p *Pool) Notify(ctx context.Context, address string, n *linkpb.TellRequest) error {
	return p.Call(ctx, address, func(ctx context.Context, c linkpb.DRPCLinkClient) error {
		_, err := c.Tell(ctx, n)
		return err
	})
}

// NotifyAll sends a notice to the peers at addresses concurrently, and waits for all of
// them. It calls onError, possibly concurrently, for each peer that failed.
func (p *Pool) NotifyAll(ctx context.Context, addresses []string, n *linkpb.TellRequest, onError func(address string, err error)) {
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() {
			if err := p.Notify(ctx, address, n); err != nil {
				onError(address, err)
			}
		})
	}
	wg.Wait()
}

// connect dials the peer unless the connection is still open.
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

// Retain closes the connections to all addresses for which keep returns false.
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

// close closes the connection once the call in progress has ended. It keeps the
// semaphore, so that later calls on the peer wait until their context ends.
func (pr *peer) close() {
	pr.sem <- struct{}{}
	if pr.conn != nil {
		_ = pr.conn.Close()
	}
}
