package capper

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// ErrTooManyConnections is returned for a connection that is not opened at the bound.
var ErrTooManyConnections = errors.New("too many connections are open")

// DialFunc opens a connection to an address.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer bounds the connections that a process has opened. It is safe for concurrent use.
type Dialer struct {
	dial DialFunc
	max  int64
	// makeRoom closes connections that are not in use.
	makeRoom func()
	open     atomic.Int64
	refused  atomic.Int64
}

// NewDialer returns a dialer of up to a number of connections at the same time, which calls
// makeRoom at that number.
func NewDialer(dial DialFunc, connections int, makeRoom func()) *Dialer {
	return &Dialer{dial: dial, max: int64(connections), makeRoom: makeRoom}
}

// Open returns the number of connections that are open.
func (d *Dialer) Open() int64 { return d.open.Load() }

// Refused returns the number of connections that were not opened at the bound.
func (d *Dialer) Refused() int64 { return d.refused.Load() }

// DialContext opens a connection.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if !d.take() {
		d.makeRoom()
		if !d.take() {
			d.refused.Add(1)
			return nil, ErrTooManyConnections
		}
	}
	c, err := d.dial(ctx, network, address)
	if err != nil {
		d.open.Add(-1)
		return nil, err
	}
	counted := &dialed{Conn: c, release: sync.OnceFunc(func() { d.open.Add(-1) })}
	if socket, ok := c.(syscall.Conn); ok {
		return &dialedSocket{counted, socket}, nil
	}
	return counted, nil
}

func (d *Dialer) take() bool {
	if d.open.Add(1) <= d.max {
		return true
	}
	d.open.Add(-1)
	return false
}

// dialed is a connection that counts until it is closed.
type dialed struct {
	net.Conn
	release func()
}

// Close implements io.Closer.
func (c *dialed) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// dialedSocket is a dialed connection with a socket, which callers may look at.
type dialedSocket struct {
	*dialed
	syscall.Conn
}
