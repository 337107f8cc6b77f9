package balancer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/delegator"
	"samphiremux/entry/linkcounter"
	"samphiremux/pkg/fixturereader"
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
// until a number of pieces are under way.
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

func newSlowConn(c net.Conn, l *slowLink, window int) *slowConn {
	s := &slowConn{Conn: c, link: l, pieces: make(chan slowPiece, window), done: make(chan struct{})}
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
type slowLinks struct {
	up, down slowLink
	// window is the number of pieces of a response that are under way to a caller.
	window int
}

// connect returns both ends of a connection that the entry opens, after the time that it
// takes.
func (l *slowLinks) connect(ctx context.Context, entry, server net.Conn) (net.Conn, net.Conn, error) {
	time.Sleep(time.Until(l.up.reserve(60)))
	time.Sleep(time.Until(l.down.reserve(60)))
	if ctx.Err() != nil {
		return nil, nil, ctx.Err()
	}
	return newSlowConn(entry, &l.up, slowLinkWindow), newSlowConn(server, &l.down, slowLinkWindow), nil
}

// slowCaller receives a response over the link of the entry.
type slowCaller struct {
	*httptest.ResponseRecorder
	conn net.Conn
}

func (f *fixture) newSlowCaller(l *slowLinks) *slowCaller {
	entry, caller := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, caller) }()
	return &slowCaller{httptest.NewRecorder(), linkcounter.Wrap(newSlowConn(entry, &l.up, l.window), f.gauger)}
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

// slowLinkResult is what became of requests over a slow link.
type slowLinkResult struct {
	// statuses holds the number of responses by status, and latencies the times of the
	// small requests.
	statuses  map[int]int
	latencies []time.Duration
	// ejected is the set of servers that were ejected at some time.
	ejected map[string]bool
}

// playSlowLink sends one small request every 20 ms for 1.2 s beside downloads.
func (f *fixture) playSlowLink(downloads int) (result slowLinkResult) {
	var requests sync.WaitGroup
	var mu sync.Mutex
	result.statuses, result.ejected = map[int]int{}, map[string]bool{}
	send := func(method, path, id string) {
		requests.Go(func() {
			caller := f.newSlowCaller(f.link)
			defer caller.conn.Close()
			r := httptest.NewRequest(method, "http://h"+path, http.NoBody)
			r.RequestURI = path
			r.Header.Set("Id", id)
			start := time.Now()
			f.balancer.ServeHTTP(caller, r)
			mu.Lock()
			defer mu.Unlock()
			result.statuses[caller.Code]++
			if method == http.MethodPost {
				result.latencies = append(result.latencies, time.Since(start))
			}
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
				result.ejected[b.ID] = true
			}
		}
	}
	requests.Wait()
	slices.Sort(result.latencies)
	return result
}

// TestSaturatedLinkTakenForDeadServers guards against refusals and ejections of healthy
// servers since large responses fill the entry's own link, so that probes time out, against
// requests that are sent though their responses cannot arrive in time, and against small
// requests that wait behind large responses, all of which the kernel takes at once. A server
// that is dead is to be found once the link is free, half a second after one download.
func TestSaturatedLinkTakenForDeadServers(t *testing.T) {
	type play struct {
		Name                          string
		Downloads, Window, Unanswered int
		Dead, Refused                 bool
		Bound                         time.Duration
	}
	for _, c := range fixturereader.Read[[]play](t, "_fixtures/slow_link.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			all := servers(8, respondBig)
			ejected := map[string]bool{}
			if c.Dead {
				all[0].probeDelay, ejected[all[0].id] = time.Hour, true
			}
			withFixture(t, all, func(is *is.I, f *fixture) {
				f.link = &slowLinks{window: c.Window}
				f.gauger.SetRate(slowLinkRate)
				defer time.Sleep(2 * time.Hour)
				result := f.playSlowLink(c.Downloads)
				n := len(result.latencies)
				f.t.Log(result.statuses, result.latencies[n/2], result.latencies[n*9/10], result.latencies[n-1])
				for _, reason := range f.refusals() {
					is.True(strings.Contains(reason, "own-link-saturated") || strings.Contains(reason, "no-answer-in-time"))
				}
				is.Equal(result.ejected, ejected)
				refused, unanswered := result.statuses[http.StatusServiceUnavailable], result.statuses[http.StatusGatewayTimeout]
				is.Equal(refused > 0, c.Refused)
				is.True(unanswered <= c.Unanswered)
				is.Equal(result.statuses[http.StatusOK]+refused+unanswered, c.Downloads+60)
				is.True(result.latencies[n*9/10] <= c.Bound)
			})
		})
	}
}

// TestRequestForwardedFromSaturatedLink guards against a request that waits, or is refused
// without a try at another entry, while the own link is saturated for as long as its caller
// waits, and against one that is refused as if the servers were not reached.
func TestRequestForwardedFromSaturatedLink(t *testing.T) {
	all := servers(4, respondOK)
	for _, b := range all {
		b.probeDelay = time.Second
	}
	withFixture(t, all, func(is *is.I, f *fixture) {
		defer time.Sleep(2 * time.Second)
		f.gauger.SetRate(slowLinkRate)
		f.gauger.Sent(time.Now(), slowLinkRate)
		asked := f.addPeer(f.t)
		start := time.Now()
		w := f.send(http.MethodPost, "/book/1", "r1")
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.True(time.Since(start) < 20*time.Millisecond)
		is.Equal(f.refusals(), []string{`kind="not-run",reason="own-link-saturated"`})
		is.True(strings.HasPrefix(<-asked, "GET "+delegator.HealthPath))
		wait, err := time.ParseDuration(w.Header().Get("Retry-After"))
		is.NoErr(err)
		is.True(wait > 500*time.Millisecond) // the rest of a second of saturation
		is.Equal(f.health("stock"), http.StatusOK)
	})
}
