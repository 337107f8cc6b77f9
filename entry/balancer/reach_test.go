package balancer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/chooser"
	"samphiremux/entry/delegator"
	"samphiremux/pkg/describer"
)

// health returns the status with which the entry answers another one's probe for a service.
func (f *fixture) health(service string) int {
	r := httptest.NewRequest(http.MethodGet, fmt.Sprintf("http://h%s?%s=%s", delegator.HealthPath, delegator.ServiceParameter, service), http.NoBody)
	w := httptest.NewRecorder()
	f.balancer.ServeDelegated(w, r)
	return w.Code
}

// addPeer adds another entry, which breaks the connection once it is asked something, and
// returns what it is asked.
func (f *fixture) addPeer(t *testing.T) <-chan string {
	peer, taken := net.Pipe()
	t.Cleanup(func() { _ = peer.Close() })
	asked := make(chan string, 1)
	go func() {
		r := make([]byte, 1024)
		n, _ := taken.Read(r)
		asked <- string(r[:n])
		_ = taken.Close()
	}()
	f.peers = []delegator.Peer{{ID: "e1", Domain: "a", Address: "e1"}}
	f.dialPeer = func(context.Context, string) (net.Conn, error) { return peer, nil }
	return asked
}

// TestEntryWithoutServersTakesRequests guards against an entry that takes requests of
// others for a service whose servers it does not reach, since it reaches those of another.
func TestEntryWithoutServersTakesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(4, respondOK)
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		for i := range 10 {
			f.snapshotter.PutServer(describer.Server{ID: fmt.Sprintf("o-%d", i), Service: "other", Slots: 2})
		}
		defer func() { time.Sleep(time.Second); f.close() }()
		is.Equal(f.health("stock"), http.StatusOK)
		for _, b := range all {
			b.silent = true
		}
		is.Equal(f.send(http.MethodPost, "/book/1", "r1").Code, http.StatusServiceUnavailable)
		is.Equal(f.health("stock"), http.StatusServiceUnavailable)
		is.Equal(f.health("other"), http.StatusOK)
		time.Sleep(time.Second)
		is.Equal(f.health("stock"), http.StatusOK)
	})
}

// TestFullServersRefuseAtPartitionedEntry guards against refusals since the few servers that
// an entry still reaches are full, although another entry reaches free ones.
func TestFullServersRefuseAtPartitionedEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(4, respondOK)
		for _, b := range all[1:] {
			b.silent = true
		}
		all[0].running = 40
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		defer func() { time.Sleep(time.Second); f.close() }()
		asked := f.addPeer(t)
		is.Equal(f.send(http.MethodPost, "/book/1", "r1").Code, http.StatusServiceUnavailable)
		select {
		case <-asked:
		default:
			t.Error("no other entry was asked")
		}
	})
}
