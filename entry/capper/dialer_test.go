package capper_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"samphiremux/entry/capper"
)

// TestDialer guards against connections to servers that use up the descriptors, and against
// a count that does not fall when they are closed, or is lowered twice.
func TestDialer(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	var idle []net.Conn
	d := capper.NewDialer((&net.Dialer{}).DialContext, 2, func() {
		for _, c := range idle {
			_ = c.Close()
		}
		idle = nil
	})
	dial := func(address string) (net.Conn, error) { return d.DialContext(context.Background(), "tcp", address) }
	first, err := dial(l.Addr().String())
	is.NoErr(err)
	_, hasSocket := first.(syscall.Conn)
	is.True(hasSocket) // the pool of connections looks for unread bytes
	second, err := dial(l.Addr().String())
	is.NoErr(err)
	_, err = dial(l.Addr().String())
	is.True(errors.Is(err, capper.ErrTooManyConnections))
	idle = append(idle, second)
	_, err = dial(l.Addr().String())
	is.NoErr(err) // in place of the idle one
	is.NoErr(first.Close())
	_ = first.Close()
	_, err = dial("127.0.0.1:1")
	is.True(err != nil)
	is.Equal(d.Open(), int64(1))
	is.Equal(d.Refused(), int64(1))
}
