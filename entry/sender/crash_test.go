package sender_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/retrier"
	"samphiremux/entry/sender"
)

// crashingServer answers requests on in-memory connections. The request with the id kill
// crashes it: its connection ends without a response and new ones are refused. The other
// connections end with closeAll.
type crashingServer struct {
	// held is closed when responses may be sent.
	held chan struct{}

	mu      sync.Mutex
	conns   []net.Conn
	crashed bool
	runs    int
}

func (s *crashingServer) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return nil, syscall.ECONNREFUSED
	}
	own, other := net.Pipe()
	s.conns = append(s.conns, other)
	go s.serve(other)
	return own, nil
}

func (s *crashingServer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get(sender.AttemptIDHeader)
		if id == "kill" {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.runs++
			s.crashed = true
			return
		}
		<-s.held
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", sender.AttemptIDHeader, id)
	}
}

func (s *crashingServer) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

// TestCrashTakenForNotSent guards against a request that counts as not sent although the
// server ran it and crashed, since its connections ended one after another.
func TestCrashTakenForNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashingServer{held: make(chan struct{})}
		sd := sender.New(s.dial)
		send := func(ctx context.Context, id string) retrier.Outcome {
			_, o := sd.Send(ctx, newRequest(netip.MustParseAddrPort("10.0.0.1:80"), http.MethodGet, id, true))
			return o
		}
		var wg sync.WaitGroup
		for _, id := range []string{"first", "second"} {
			wg.Go(func() { send(context.Background(), id) })
		}
		synctest.Wait()
		close(s.held)
		wg.Wait()
		taken := 0
		ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
			if taken++; taken > 1 {
				s.closeAll()
				time.Sleep(time.Millisecond)
			}
		}})
		o := send(ctx, "kill")
		is.Equal(s.runs, 1)
		if !retrier.MayHaveRun(o) {
			t.Errorf("the server ran the request, but its outcome is %T", o)
		}
		s.closeAll()
	})
}
