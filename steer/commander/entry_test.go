package commander

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"samphiremux/entry/chooser"
	"samphiremux/entry/tracker"
	"samphiremux/platform/translator"
)

func member(id, domain string) tracker.Member {
	return tracker.Member{ID: id, Domain: domain, Address: id}
}

func TestCallerAddresses(t *testing.T) {
	all := []tracker.Member{member("a1", "a"), member("a2", "a"), member("b1", "b"), member("c1", "c")}
	for _, c := range []struct{ domain, want string }{
		{"a", "a1 a2"},
		{"b", "a1 a2 b1 c1"}, // a single entry in the domain is too few
		{"z", "a1 a2 b1 c1"},
	} {
		t.Run(c.domain, func(t *testing.T) {
			is := is.New(t)
			is.Equal(strings.Join(callerAddresses(all, c.domain), " "), c.want)
		})
	}
}

func TestCallerAddressesBounded(t *testing.T) {
	is := is.New(t)
	is.Equal(len(callerAddresses(make([]tracker.Member, 100), "a")), maxAddresses)
}

const settingsText = `{"node": "e1", "zone": "a",
 "listen": {"front": "10.0.0.1:1", "ready": "10.0.0.1:2", "control": "10.0.0.1:3", "directory": "10.0.0.1:4"},
 "seeds": ["10.0.0.2:3"], "bounds": ["budget-slack=60"], "provider": {"address": "10.0.0.9:1"}}`

func newTestEntry(t *testing.T) (e *entry, file string) {
	t.Helper()
	file = filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, []byte(settingsText), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := translator.ReadSettings(file)
	if err != nil {
		t.Fatal(err)
	}
	return newEntry(s, chooser.ExpectedCompletion{}, dialer().DialContext, hclog.NewNullLogger()), file
}

// TestReload checks that a changed settings file takes effect in a running entry, and
// that an incomplete one leaves the settings as they were.
func TestReload(t *testing.T) {
	is := is.New(t)
	e, file := newTestEntry(t)
	is.Equal(e.retryLimits().Slack, 60.0)
	is.NoErr(os.WriteFile(file, []byte(strings.Replace(settingsText, "slack=60", "slack=30", 1)), 0o600))
	e.reload(file)
	is.Equal(e.retryLimits().Slack, 30.0)
	is.NoErr(os.WriteFile(file, []byte("{"), 0o600))
	e.reload(file)
	is.Equal(e.retryLimits().Slack, 30.0) // an incomplete file changes nothing
}

// TestConfigurationHeldBackAfterRestore guards against a configuration that the operators
// write right after a restore and that comes into force only when others could have written
// their keys again.
func TestConfigurationHeldBackAfterRestore(t *testing.T) {
	e, _ := newTestEntry(t)
	for _, c := range []struct {
		key                   string
		afterOutage, restored time.Duration
	}{
		{"op/config", 0, 0},
		{"servers/i-1", 2 * time.Second, 2 * time.Second},
		{"op/evacuate/a", 0, 2 * time.Second},
		{"op/rollout/stock", 0, 2 * time.Second},
		{"samphiremux/entries/e1", 0, 0},
		{"samphiremux/moves/stock", 0, 0},
	} {
		t.Run(c.key, func(t *testing.T) {
			is := is.New(t)
			is.Equal(e.holdTime(c.key, false), c.afterOutage)
			is.Equal(e.holdTime(c.key, true), c.restored)
		})
	}
}

// pipeListener is a net.Listener of in-memory connections.
type pipeListener struct {
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// get sends a request over a new connection. It reports whether the answer was
// complete and OK.
// open returns a new connection.
func (l *pipeListener) open() net.Conn {
	clientConn, serverConn := net.Pipe()
	l.conns <- serverConn
	return clientConn
}

func (l *pipeListener) get(ctx context.Context) bool {
	client := &http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		select {
		case l.conns <- serverConn:
			return clientConn, nil
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}, DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://h/", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// TestStop guards against requests that are accepted in the last second of the grace
// period and cut off at its end: every accepted request must be answered, and later
// ones refused. A fault search of the Association found it.
func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e, _ := newTestEntry(t)
		l := newPipeListener()
		callers := e.server(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(1500 * time.Millisecond) }))
		go func() { _ = callers.Serve(l) }()
		start := time.Now()
		ended := make(chan time.Duration, 1)
		go func() {
			_ = e.stop(servers{callers: callers, delegated: e.server(e.balancer), listener: l})
			ended <- time.Since(start)
		}()
		time.Sleep(2900 * time.Millisecond)
		is.True(e.isStopping())
		is.True(l.get(context.Background())) // accepted in the first half of the grace period
		is.True(!l.get(context.Background()))
		is.True(<-ended < 6*time.Second)
	})
}
