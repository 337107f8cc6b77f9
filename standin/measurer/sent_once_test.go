package measurer_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"samphiremux/entry/retrier"
	"samphiremux/entry/sender"
)

// lossyServer responds to requests on in-memory connections and counts their arrivals
// by attempt id. After it has read a request listed in lose, it closes the connection
// without a response.
type lossyServer struct {
	lose map[string]bool

	mu       sync.Mutex
	arrivals map[string]int
}

func (s *lossyServer) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	own, other := net.Pipe()
	go s.serve(other)
	return own, nil
}

func (s *lossyServer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get(sender.AttemptIDHeader)
		s.mu.Lock()
		s.arrivals[id]++
		s.mu.Unlock()
		if s.lose[id] {
			return
		}
		resp := &http.Response{ProtoMajor: 1, ProtoMinor: 1, StatusCode: http.StatusOK, Header: http.Header{
			sender.AttemptIDHeader: {id}, "Content-Length": {"0"},
		}}
		if err := resp.Write(c); err != nil {
			return
		}
	}
}

// TestSentOnce loses a request on a connection that was used before. It fails when the
// server receives the request more than once, since only the entry decides on retries.
func TestSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &lossyServer{lose: map[string]bool{"lost": true}, arrivals: map[string]int{}}
				sd := sender.New(s.dial)
				send := func(id string) retrier.Outcome {
					_, o := sd.Send(context.Background(), sender.Request{
						Method: method, Host: "h", URI: "/1", Header: http.Header{}, AttemptID: id, Idempotent: true,
						Address: netip.MustParseAddrPort("10.0.0.1:80"), MaxConnections: 4,
					})
					return o
				}
				_, answered := send("first").(retrier.Answered)
				is.True(answered)
				_, lost := send("lost").(retrier.ConnectionLost)
				is.True(lost)
				if n := s.arrivals["lost"]; n != 1 {
					t.Errorf("one attempt of %s arrived %d times", method, n)
				}
				sd.Retain(func(netip.AddrPort) bool { return false })
				synctest.Wait()
			})
		})
	}
}
