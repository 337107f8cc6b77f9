package drainer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// connectionInterval is the time between two looks for open connections.
const connectionInterval = 20 * time.Millisecond

// Connections counts the open connections of an http.Server. The zero value is ready for
// use.
type Connections struct{ open atomic.Int64 }

// ConnState counts a connection. It is the ConnState hook of an http.Server.
func (c *Connections) ConnState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// Open returns the number of open connections.
func (c *Connections) Open() int { return int(c.open.Load()) }

// AwaitClosed waits until no connection is open, or ctx ends.
func AwaitClosed(ctx context.Context, open func() int) {
	t := time.NewTicker(connectionInterval)
	defer t.Stop()
	for open() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
