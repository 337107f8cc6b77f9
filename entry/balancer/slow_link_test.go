package balancer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/chooser"
	"samphiremux/entry/linkcounter"
)

const (
	// slowLinkRate is 10 Mbit/s in bytes per second.
	slowLinkRate = 1.25e6
	// slowLinkPiece is the size in bytes of the pieces that a link carries one after the
	// other, and slowLinkWindow the number of them that one connection has under way.
	slowLinkPiece  = 4 << 10
	slowLinkWindow = 16
)

// slowLink is one direction of the link of an entry. All connections share it.
type slowLink struct {
	mu   sync.Mutex
	free time.Time
}

// reserve returns when the last of n bytes arrive that are sent now.
func (l *slowLink) reserve(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / slowLinkRate * float64(time.Second)))
	return l.free
}

// slowConn is a connection whose writes go over a link. They return before the bytes arrive,
// until slowLinkWindow is full.
type slowConn struct {
	net.Conn
	link   *slowLink
	pieces chan slowPiece
	done   chan struct{}
	once   sync.Once
}

type slowPiece struct {
	data []byte
	due  time.Time
}

func newSlowConn(c net.Conn, l *slowLink) *slowConn {
	s := &slowConn{Conn: c, link: l, pieces: make(chan slowPiece, slowLinkWindow), done: make(chan struct{})}
	go func() {
		for {
			select {
			case p := <-s.pieces:
				time.Sleep(time.Until(p.due))
				_, _ = c.Write(p.data)
			case <-s.done:
				return
			}
		}
	}()
	return s
}

func (c *slowConn) Write(p []byte) (n int, err error) {
	for n < len(p) {
		piece := bytes.Clone(p[n:min(len(p), n+slowLinkPiece)])
		select {
		case c.pieces <- slowPiece{piece, c.link.reserve(len(piece))}:
			n += len(piece)
		case <-c.done:
			return n, net.ErrClosed
		}
	}
	return n, nil
}

func (c *slowConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// slowLinks are both directions of the link of an entry.
type slowLinks struct{ up, down slowLink }

// connect returns both ends of a connection that the entry opens, after the time that it
// takes.
func (l *slowLinks) connect(ctx context.Context, entry, server net.Conn) (net.Conn, net.Conn, error) {
	time.Sleep(time.Until(l.up.reserve(60)))
	time.Sleep(time.Until(l.down.reserve(60)))
	if ctx.Err() != nil {
		return nil, nil, ctx.Err()
	}
	return newSlowConn(entry, &l.up), newSlowConn(server, &l.down), nil
}

// slowCaller receives a response over the link of the entry.
type slowCaller struct {
	*httptest.ResponseRecorder
	conn net.Conn
}

func (f *fixture) newSlowCaller(l *slowLinks) *slowCaller {
	entry, caller := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, caller) }()
	return &slowCaller{httptest.NewRecorder(), linkcounter.Wrap(newSlowConn(entry, &l.up), f.gauger)}
}

func (c *slowCaller) Write(p []byte) (int, error) {
	if _, err := c.conn.Write(p); err != nil {
		return 0, err
	}
	return c.ResponseRecorder.Write(p)
}

// respondBig answers requests whose ids begin with "big" with 540 KB, and others as
// respondOK.
func respondBig(w io.Writer, id string) bool {
	if !strings.HasPrefix(id, "big") {
		return respondOK(w, id)
	}
	body := make([]byte, 540_000)
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	return err == nil
}

// refusals returns the reasons for which requests were refused.
func (f *fixture) refusals() (reasons []string) {
	w := httptest.NewRecorder()
	f.metrics.ServeHTTP(w, nil)
	for line := range strings.Lines(w.Body.String()) {
		rest, ok := strings.CutPrefix(line, "samphire_refusals_total{")
		if labels, n, _ := strings.Cut(rest, "} "); ok && strings.TrimSpace(n) != "0" {
			reasons = append(reasons, labels)
		}
	}
	return reasons
}

// playSlowLink sends one small request every 20 ms for 1.2 s beside downloads, and returns
// the number of responses by status and the servers that were ejected at some time.
func (f *fixture) playSlowLink(downloads int) (statuses map[int]int, ejected map[string]bool) {
	var requests sync.WaitGroup
	var mu sync.Mutex
	statuses, ejected = map[int]int{}, map[string]bool{}
	send := func(method, path, id string) {
		requests.Go(func() {
			caller := f.newSlowCaller(f.link)
			defer caller.conn.Close()
			r := httptest.NewRequest(method, "http://h"+path, http.NoBody)
			r.RequestURI = path
			r.Header.Set("Id", id)
			f.balancer.ServeHTTP(caller, r)
			mu.Lock()
			defer mu.Unlock()
			statuses[caller.Code]++
		})
	}
	for i := range downloads {
		send(http.MethodGet, "/download/1", fmt.Sprintf("big-%d", i))
	}
	for i := range 60 {
		send(http.MethodPost, "/book/1", fmt.Sprintf("r%d", i))
		time.Sleep(20 * time.Millisecond)
		for _, b := range f.snapshotter.Snapshot().Services["stock"] {
			if b.State.Snapshot(time.Now()).Unanswered {
				ejected[b.ID] = true
			}
		}
	}
	requests.Wait()
	return statuses, ejected
}

// TestSaturatedLinkTakenForDeadServers guards against refusals and ejections of healthy
// servers since large responses fill the entry's own link, so that probes time out, and
// against requests that are sent though their responses cannot arrive in time.
func TestSaturatedLinkTakenForDeadServers(t *testing.T) {
	for _, c := range []struct {
		downloads int
		// refused reports that requests are refused: 256 KB are under way at any time, which
		// take 210 ms for each probe and response, of 400 ms until the deadline.
		refused bool
		// unanswered is the number of requests that may run without a response in time.
		unanswered int
	}{
		{1, false, 0},
		{2, false, 0},
		{4, true, 5},
		{6, true, 5},
	} {
		t.Run(fmt.Sprint(c.downloads), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, chooser.ExpectedCompletion{}, servers(8, respondBig)...)
				f.link = &slowLinks{}
				f.gauger.SetRate(slowLinkRate)
				defer func() { time.Sleep(2 * time.Second); f.close() }()
				go f.balancer.RunReachChecks(t.Context())
				statuses, ejected := f.playSlowLink(c.downloads)
				t.Log(statuses)
				for _, reason := range f.refusals() {
					is.True(strings.Contains(reason, "own-link-saturated") || strings.Contains(reason, "no-answer-in-time"))
				}
				is.Equal(len(ejected), 0)
				is.Equal(statuses[http.StatusServiceUnavailable] > 0, c.refused)
				is.True(statuses[http.StatusGatewayTimeout] <= c.unanswered)
				is.Equal(statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable]+statuses[http.StatusGatewayTimeout], c.downloads+60)
			})
		})
	}
}

// TestDeadServerBesideSaturatedLink guards against a dead server that is not found since the
// link was saturated when it died.
func TestDeadServerBesideSaturatedLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(8, respondBig)
		all[0].probeDelay = time.Hour
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		f.link = &slowLinks{}
		f.gauger.SetRate(slowLinkRate)
		defer func() { time.Sleep(2 * time.Hour); f.close() }()
		statuses, ejected := f.playSlowLink(1)
		is.Equal(statuses[http.StatusOK], 61)
		is.Equal(ejected, map[string]bool{"i-0": true}) // the link is free after half a second
	})
}
