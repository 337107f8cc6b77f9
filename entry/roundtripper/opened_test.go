package roundtripper_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/roundtripper"
)

// TestCausesOfConnections guards against new connections that are counted under the wrong
// cause, or not at all: the size of a subset is judged by these counts.
func TestCausesOfConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var conns []net.Conn
		cl := roundtripper.New("i-1", "h", func(context.Context) (net.Conn, error) {
			client, server := net.Pipe()
			conns = append(conns, server)
			go func() {
				for range 2 { // the requests that the server takes on a connection
					if r, _ := serve(server, "HTTP/1.1 200 OK\r\nX-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n", false); r == nil {
						break
					}
				}
				_ = server.Close()
			}()
			return client, nil
		}, headers)
		defer cl.Close()
		var causes []roundtripper.OpenCause
		cl.OnOpen(func(c roundtripper.OpenCause) { causes = append(causes, c) })
		probe := func() *roundtripper.Conn {
			_, c, err := cl.Probe(context.Background(), "/health")
			is.NoErr(err)
			return c
		}
		first := probe()
		is.True(!cl.HasIdle(time.Now())) // the connection is in use
		second := probe()
		cl.Release(first)
		is.True(cl.HasIdle(time.Now()))
		cl.Release(probe())              // the second probe on this connection
		cl.Release(second)               // of the two, used first
		time.Sleep(time.Minute)          // both expire
		is.True(!cl.HasIdle(time.Now())) // though they are not closed yet
		third := probe()                 // expired
		cl.Release(third)                // not expired
		third = probe()                  // the server closes it after this
		cl.Release(third)
		synctest.Wait()
		cl.Release(probe()) // on a new one, since the idle one is closed
		is.Equal(causes, []roundtripper.OpenCause{
			roundtripper.OpenedFirst, roundtripper.OpenedInUse, roundtripper.OpenedExpired, roundtripper.OpenedClosed,
		})
	})
}
