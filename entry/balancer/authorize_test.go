package balancer_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"samphiremux/entry/chooser"
	"samphiremux/pkg/describer"
	"samphiremux/pkg/fixturereader"
)

// secretKey is a valid key of workspace "first" in guardedTable.
const secretKey = "secret-1"

// guardedTable returns a table like that of the fixture, but with workspaces. The route
// "open" is public. Without workspaces no key is valid.
func guardedTable(version int64, workspaces ...describer.KeyedWorkspace) *describer.RouteTable {
	open := routeOf("open", true)
	open.Public = true
	return tableOf(version, describer.Limits{}, routeOf("look", true), routeOf("book", false), open).WithWorkspaces(workspaces)
}

func firstWorkspace() describer.KeyedWorkspace {
	return describer.KeyedWorkspace{Workspace: describer.Workspace{Name: "first"}, Keys: []string{secretKey}}
}

// sendWith sends a request with further headers.
func (f *fixture) sendWith(method, path, id string, more http.Header) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://h"+path, strings.NewReader(""))
	r.RequestURI = path
	r.Header.Set("Id", id)
	r.Header.Set("Left", "400ms")
	for name, values := range more {
		r.Header[name] = values
	}
	w := httptest.NewRecorder()
	f.balancer.ServeHTTP(w, r)
	return w
}

// withGuardedFixture runs a test with a table that holds secretKey, in virtual time.
func withGuardedFixture(t *testing.T, all []*backend, test func(*is.I, *fixture)) {
	t.Helper()
	withFixture(t, all, func(is *is.I, f *fixture) {
		f.setTable(guardedTable(2, firstWorkspace()))
		test(is, f)
	})
}

// TestAccess guards against requests that are served without a valid key, and against
// headers with which a caller poses as a workspace or shows its key to a server.
func TestAccess(t *testing.T) {
	type access struct {
		Name, Path string
		Sent       http.Header
		Outdated   bool
		Status     int
		Workspace  []string
	}
	for _, c := range fixturereader.Read[[]access](t, "_fixtures/access.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			all := servers(1, respondOK)
			withGuardedFixture(t, all, func(is *is.I, f *fixture) {
				f.outdated = c.Outdated
				w := f.sendWith(http.MethodGet, c.Path, "r1", c.Sent)
				is.Equal(w.Code, c.Status)
				is.Equal(w.Header().Get("Challenge") != "", c.Status == 401)
				is.Equal(arrivals(all) == 1, c.Status == 200)
				if c.Status == 200 {
					is.Equal(all[0].arrived[0].Header.Values("Workspace"), append([]string(nil), c.Workspace...))
					is.Equal(all[0].arrived[0].Header.Values("Key"), []string(nil))
				}
			})
		})
	}
}

// TestHeadersWithoutWorkspaces guards against headers that are withheld from servers of a
// configuration without workspaces.
func TestHeadersWithoutWorkspaces(t *testing.T) {
	all := servers(1, respondOK)
	withFixture(t, all, func(is *is.I, f *fixture) {
		sent := http.Header{"Key": {"a", "b"}, "Workspace": {"c", "d"}}
		is.Equal(f.sendWith(http.MethodGet, "/look/1", "r1", sent).Code, http.StatusOK)
		is.Equal(all[0].arrived[0].Header["Key"], []string{"a", "b"})
		is.Equal(all[0].arrived[0].Header["Workspace"], []string{"c", "d"})
	})
}

// TestKeyRevokedBeforeRetry guards against a retry of a request whose key a newer
// configuration no longer contains, and against the key at a server after workspaces came
// into force.
func TestKeyRevokedBeforeRetry(t *testing.T) {
	for _, c := range []struct {
		name     string
		begin    *describer.RouteTable
		next     *describer.RouteTable
		respond  func(io.Writer, string) bool
		status   int
		arrivals int
		// raw is the number of attempts that carry the headers as the caller sent them.
		raw int
	}{
		{"revoked, not run", guardedTable(2, firstWorkspace()), guardedTable(3), respondShed, 401, 1, 0},
		{"revoked, may have run", guardedTable(2, firstWorkspace()), guardedTable(3), breakConn, 502, 1, 0},
		{"kept", guardedTable(2, firstWorkspace()), guardedTable(3, firstWorkspace()), respondShed, 503, 2, 0},
		{"workspaces come into force", nil, guardedTable(3, firstWorkspace()), respondShed, 503, 2, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			all := servers(2, nil)
			withFixture(t, all, func(is *is.I, f *fixture) {
				if c.begin != nil {
					f.setTable(c.begin)
				}
				for _, b := range all {
					b.respond = func(w io.Writer, id string) bool {
						if f.snapshotter.Snapshot().Table.Version < c.next.Version {
							f.setTable(c.next)
						}
						return c.respond(w, id)
					}
				}
				w := f.sendWith(http.MethodGet, "/look/1", "r1", http.Header{"Key": {secretKey}, "Workspace": {"second"}})
				is.Equal(w.Code, c.status)
				is.Equal(arrivals(all), c.arrivals)
				raw := 0
				for _, b := range all {
					for _, r := range b.arrived {
						want := "first"
						if r.Header.Get("Key") != "" {
							raw++
							want = "second"
						}
						is.Equal(r.Header["Workspace"], []string{want})
					}
				}
				is.Equal(raw, c.raw)
			})
		})
	}
}

// TestKeyRevokedWhileProbing guards against a request that is sent after its key was revoked
// while a server was picked.
func TestKeyRevokedWhileProbing(t *testing.T) {
	all := servers(1, respondOK)
	all[0].probeDelay = 8 * time.Millisecond
	withGuardedFixture(t, all, func(is *is.I, f *fixture) {
		time.AfterFunc(4*time.Millisecond, func() { f.setTable(guardedTable(3)) })
		is.Equal(f.sendWith(http.MethodPost, "/book/1", "r1", http.Header{"Key": {secretKey}}).Code, http.StatusUnauthorized)
		is.Equal(arrivals(all), 0)
	})
}

// TestKeyRevokedBeforeHedge guards against a hedge that begins after the key was revoked,
// and against a response that is withheld since the key was revoked while the server ran.
func TestKeyRevokedBeforeHedge(t *testing.T) {
	for _, c := range []struct {
		name     string
		revoked  bool
		arrivals int
	}{{"valid", false, 2}, {"revoked", true, 1}} {
		t.Run(c.name, func(t *testing.T) {
			all := servers(2, respondOK)
			for _, b := range all {
				b.work = 300 * time.Millisecond
			}
			withGuardedFixture(t, all, func(is *is.I, f *fixture) {
				if c.revoked {
					time.AfterFunc(50*time.Millisecond, func() { f.setTable(guardedTable(3)) })
				}
				is.Equal(f.sendWith(http.MethodGet, "/look/1", "r1", http.Header{"Key": {secretKey}}).Code, http.StatusOK)
				is.Equal(arrivals(all), c.arrivals)
				time.Sleep(time.Second) // the server of the cancelled attempt ends its work
			})
		})
	}
}

// TestWorkspaceLabels guards against a metric that grows with each workspace that ever was
// in a configuration.
func TestWorkspaceLabels(t *testing.T) {
	withGuardedFixture(t, servers(1, respondOK), func(is *is.I, f *fixture) {
		for n := range 250 {
			key := fmt.Sprintf("key-%d", n)
			w := describer.KeyedWorkspace{Workspace: describer.Workspace{Name: fmt.Sprintf("w-%d", n)}, Keys: []string{key}}
			f.setTable(guardedTable(int64(n+3), w))
			is.Equal(f.sendWith(http.MethodGet, "/look/1", fmt.Sprintf("r%d", n), http.Header{"Key": {key}}).Code, http.StatusOK)
		}
		out := httptest.NewRecorder()
		f.metrics.ServeHTTP(out, nil)
		is.Equal(strings.Count(out.Body.String(), "samphire_workspace_requests_total{"), 200)
		is.Equal(f.metric(`workspace_requests_total{workspace="(others)"}`), "51")
	})
}

// TestKeyInLog guards against a key in the log, whatever becomes of its request.
func TestKeyInLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log bytes.Buffer
		all := servers(2, respondOK)
		f := newLoggingFixture(t, hclog.New(&hclog.LoggerOptions{Output: &log, Level: hclog.Trace}), chooser.ExpectedCompletion{}, all...)
		defer f.close()
		f.setTable(guardedTable(2, firstWorkspace()))
		for n, respond := range []func(io.Writer, string) bool{respondOK, respondShed, breakConn, respondRefusalOfAnother} {
			for _, b := range all {
				b.respond = respond
			}
			for _, key := range []string{secretKey, "secret-2"} {
				f.sendWith(http.MethodPost, "/book/1", fmt.Sprintf("r%d", n), http.Header{"Key": {key}})
			}
		}
		is.True(strings.Contains(log.String(), "workspace=first"))
		is.True(!strings.Contains(log.String(), "secret"))
	})
}
