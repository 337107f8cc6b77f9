package delegator_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/delegator"
	"samphiremux/entry/linkgauger"
	"samphiremux/entry/roundtripper"
)

// peer is another entry whose answers take some time. It declines probes unless it takes
// requests.
type peer struct {
	takes bool
	// trials counts the requests that it is to run as trials. It may be nil.
	trials *atomic.Int32
	reach  delegator.Reach
	delay  time.Duration
}

// dial connects to a peer.
func (p peer) dial(id string, conns chan<- net.Conn) net.Conn {
	client, server := net.Pipe()
	conns <- server
	l := &oneConn{conn: server}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(p.delay)
		if r.URL.Path == delegator.HealthPath {
			w.Header().Set(delegator.EntryHeader, id)
			w.Header().Set(delegator.ReachHeader, string(p.reach))
			if !p.takes {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		}
		if p.trials != nil && r.Header.Get(delegator.TrialHeader) != "" {
			p.trials.Add(1)
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Served-By", id)
		w.Header().Set(delegator.OutcomeHeader, delegator.Passed)
	})}
	go func() { _ = srv.Serve(l) }()
	return client
}

// oneConn is a listener of one connection.
type oneConn struct{ conn net.Conn }

func (l *oneConn) Accept() (net.Conn, error) {
	if l.conn == nil {
		return nil, net.ErrClosed
	}
	c := l.conn
	l.conn = nil
	return c, nil
}
func (l *oneConn) Close() error   { return nil }
func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// send passes a request on to one of some peers.
func send(peers map[string]peer, reachesNone bool) delegator.Result {
	return sendOverLink(peers, reachesNone, nil)
}

// sendOverLink sends a request over a link.
func sendOverLink(peers map[string]peer, reachesNone bool, link *linkgauger.Gauger) delegator.Result {
	conns := make(chan net.Conn, 100)
	var all []delegator.Peer
	for id := range peers {
		all = append(all, delegator.Peer{ID: id, Domain: "a", Address: id})
	}
	d := delegator.New(delegator.Options{
		Link: link,
		Self: "e0", Domain: "a", RequestID: "Id", Peers: func() []delegator.Peer { return all },
		Dial: func(_ context.Context, address string) (net.Conn, error) {
			return peers[address].dial(address, conns), nil
		},
	})
	result := d.Send(context.Background(), delegator.Request{
		Request: roundtripper.Request{
			Method: http.MethodGet, Host: "h", Target: "/", Header: http.Header{"Id": {"r1"}, delegator.TrialHeader: {"1"}}, ID: "r1",
		},
		ReachesNone: reachesNone,
	})
	time.Sleep(time.Second)
	d.CloseExpired(time.Now().Add(time.Hour))
	for len(conns) > 0 {
		_ = (<-conns).Close()
	}
	return result
}

// TestLateAnswerToProbeTakenForNone guards against requests that are refused since the
// entries that take them answer a probe later than its round.
func TestLateAnswerToProbeTakenForNone(t *testing.T) {
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				_, responded := send(map[string]peer{"e1": {takes: true, delay: delay}, "e2": {}, "e3": {}}, true).(delegator.Responded)
				is.True(responded)
			})
		})
	}
}

// TestSaturatedLinkTakenForNone guards against requests that no other entry takes since the
// answers to the probes wait for the own link.
func TestSaturatedLinkTakenForNone(t *testing.T) {
	for saturated, wanted := range map[time.Duration]bool{300 * time.Millisecond: true, 100 * time.Millisecond: false} {
		t.Run(saturated.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				link := linkgauger.New(1000)
				link.Sent(time.Now(), int(saturated.Milliseconds()))
				_, responded := sendOverLink(map[string]peer{"e1": {takes: true, delay: 200 * time.Millisecond}}, true, link).(delegator.Responded)
				is.Equal(responded, wanted)
			})
		})
	}
}

// TestTrialByCaller guards against a caller that marks its own request as a trial, which
// would run although another trial may be under way.
func TestTrialByCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var trials atomic.Int32
		_, responded := send(map[string]peer{"e1": {takes: true, trials: &trials}}, true).(delegator.Responded)
		is.True(responded)
		is.Equal(trials.Load(), int32(0))
	})
}

func TestNoEntryTakesRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		is.Equal(send(map[string]peer{"e1": {}, "e2": {delay: 20 * time.Millisecond}, "e3": {takes: true, delay: time.Second}}, true), delegator.Unreached{})
	})
}

// TestPartlyReachingEntryTakesRequest checks that entries that reach some servers of a service
// only get requests if no better one takes them, and none of an entry like them.
func TestPartlyReachingEntryTakesRequest(t *testing.T) {
	some := peer{takes: true, reach: delegator.ReachSome}
	for _, c := range []struct {
		name        string
		peers       map[string]peer
		reachesNone bool
		takes       string
	}{
		{"a better one", map[string]peer{"e1": some, "e2": some, "e3": {}, "e4": {takes: true, reach: delegator.ReachAll, delay: 5 * time.Millisecond}}, true, "e4"},
		{"an entry of an earlier version", map[string]peer{"e1": some, "e2": {takes: true}}, true, "e2"},
		{"no better one", map[string]peer{"e1": some, "e2": {}, "e3": {delay: time.Second}}, true, "e1"},
		{"from an entry that reaches some", map[string]peer{"e1": some, "e2": {}}, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				start := time.Now()
				takes := ""
				if r, ok := send(c.peers, c.reachesNone).(delegator.Responded); ok {
					takes = r.Response.Header.Get("Served-By")
				}
				is.Equal(takes, c.takes)
				is.True(time.Since(start) < 2*time.Second)
			})
		})
	}
}

// TestSlowEntryProbesAllOthers guards against an entry that becomes ever slower since each of
// its requests probes many others while no answer comes in time.
func TestSlowEntryProbesAllOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const requests, peers = 100, 20
		var mu sync.Mutex
		probes, open, mostOpen := 0, 0, 0
		count := func(n int) {
			mu.Lock()
			defer mu.Unlock()
			open += n
			mostOpen = max(mostOpen, open)
			probes += max(0, n)
		}
		var all []delegator.Peer
		for i := range peers {
			id := fmt.Sprintf("e%d", i+1)
			all = append(all, delegator.Peer{ID: id, Domain: "a", Address: id})
		}
		d := delegator.New(delegator.Options{
			Self: "e0", Domain: "a", RequestID: "Id", Peers: func() []delegator.Peer { return all },
			Dial: func(ctx context.Context, _ string) (net.Conn, error) {
				count(1)
				defer count(-1)
				<-ctx.Done()
				return nil, ctx.Err()
			},
		})
		var sent sync.WaitGroup
		for i := range requests {
			sent.Go(func() {
				id := fmt.Sprintf("r%d", i)
				is.Equal(d.Send(context.Background(), delegator.Request{
					Request: roundtripper.Request{Method: http.MethodGet, Host: "h", Target: "/", Header: http.Header{"Id": {id}}, ID: id},
				}), delegator.Unreached{})
			})
		}
		sent.Wait()
		// Two for each request, and 32 at once in each of the rounds after the first.
		is.True(mostOpen <= 2*requests+32)
		is.True(probes <= 2*requests+7*32)
	})
}
