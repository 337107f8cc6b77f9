// Package pipelistener provides a listener of connections in memory for tests.
package pipelistener

import (
	"net"
	"sync"
)

// Listener accepts the connections that Open opens.
type Listener struct {
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// New returns a listener without connections.
func New() *Listener { return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})} }

// Open returns the caller's end of a new connection once it is accepted.
func (l *Listener) Open() net.Conn {
	caller, accepted := net.Pipe()
	l.conns <- accepted
	return caller
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }
