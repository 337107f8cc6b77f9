package commander

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// smallWindow opens connections with small receive buffers.
var smallWindow = net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
	_ = raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	return err
}}

// TestStopWhileCallersSendAhead guards against responses that are cut off by a reset when an
// entry stops and their callers have sent the next request, and against callers that never
// close their connections and delay the exit beyond the grace period.
func TestStopWhileCallersSendAhead(t *testing.T) {
	const callers, size = 20, 9000
	for _, c := range []struct {
		name   string
		closes bool
	}{{"callers close", true}, {"callers never close", false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e, file := newTestEntry(t)
			is.NoErr(os.WriteFile(file, []byte(strings.Replace(settingsText, "budget-slack=60", `grace-s=2`, 1)), 0o600))
			e.reload(file)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			var handled atomic.Int32
			server := e.callerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				handled.Add(1)
				time.Sleep(300 * time.Millisecond)
				_, _ = w.Write(make([]byte, size))
			}))
			go func() { _ = server.Serve(e.expirer.WrapListener(e.boundRequests(l))) }()
			var asked, answered sync.WaitGroup
			var lost atomic.Int32
			asked.Add(callers)
			for range callers {
				answered.Go(func() {
					conn, err := smallWindow.Dial("tcp", l.Addr().String())
					if err != nil {
						lost.Add(1)
						return
					}
					if !c.closes {
						defer t.Cleanup(func() { _ = conn.Close() })
					} else {
						defer conn.Close()
					}
					_, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
					time.Sleep(100 * time.Millisecond)
					_, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
					asked.Done()
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil {
						lost.Add(1)
						return
					}
					if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != size || !resp.Close {
						lost.Add(1)
					}
				})
			}
			asked.Wait()
			start := time.Now()
			is.NoErr(e.stop(servers{callers: server, delegated: e.server(e.balancer), listener: l}))
			is.True(time.Since(start) < e.settings.Load().Bounds.GracePeriod)
			is.Equal(e.expirer.Open(), 0)
			answered.Wait()
			is.Equal(lost.Load(), int32(0))
			is.Equal(handled.Load(), int32(callers)) // requests behind a response that closes do not run
		})
	}
}
