package linkcounter_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/linkcounter"
	"samphiremux/entry/linkgauger"
)

// TestSocketKept guards against connections whose socket can no longer be looked at, so that
// idle ones with unread bytes would be reused, and against bytes that do not count.
func TestSocketKept(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	g := linkgauger.New(1000)
	l := linkcounter.WrapListener(inner, g)
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer peer.Close()
	c, err := l.Accept()
	is.NoErr(err)
	defer c.Close()
	_, hasSocket := c.(syscall.Conn)
	is.True(hasSocket)
	_, err = c.Write(make([]byte, 1000))
	is.NoErr(err)
	is.True(g.Delay(time.Now()) > 500*time.Millisecond)
	is.NoErr(c.(interface{ CloseWrite() error }).CloseWrite())
}

// TestTimeout guards against a context that ends while the link is saturated, or does not end
// afterwards.
func TestTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := linkgauger.New(1000)
		start := time.Now()
		ctx, cancel := linkcounter.WithTimeout(t.Context(), g.Start(start, 60*time.Millisecond))
		defer cancel()
		time.Sleep(30 * time.Millisecond)
		g.Sent(time.Now(), 100)
		<-ctx.Done()
		is.Equal(time.Since(start), 160*time.Millisecond)
		is.True(errors.Is(context.Cause(ctx), context.DeadlineExceeded))
	})
}
