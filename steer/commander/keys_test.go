package commander

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"samphiremux/entry/chooser"
	"samphiremux/entry/reflector"
	"samphiremux/pkg/describer"
	"samphiremux/pkg/fixturereader"
	"samphiremux/platform/translator"
)

// keyedTable returns a table in which the routes "look" and "book" need a key and "open" is
// public. The keys are those of workspace "first".
func keyedTable(version int64, keys ...string) *describer.RouteTable {
	open := fleetRoute("open", true)
	open.Public = true
	return describer.NewRouteTable(version, []describer.Route{fleetRoute("look", true), fleetRoute("book", false), open},
		[]describer.Service{{Name: "stock", HealthPath: "/health", ColdRate: 9.3}}, describer.Limits{}).
		WithWorkspaces([]describer.KeyedWorkspace{{Workspace: describer.Workspace{Name: "first"}, Keys: keys}})
}

// serveRecording makes the servers respond at once and returns a function that returns the
// headers of the last request.
func (f *fleet) serveRecording() (last func() http.Header) {
	var mu sync.Mutex
	var header http.Header
	f.respond = func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		header = r.Header
		_, _ = io.WriteString(w, "ok")
	}
	return func() http.Header {
		mu.Lock()
		defer mu.Unlock()
		return header
	}
}

// sendLines sends a request with header lines to an entry, and returns the status of the
// response.
func (f *fleet) sendLines(t *testing.T, i int, path, id string, lines []string) int {
	t.Helper()
	is := is.New(t)
	conn, err := f.network.dialer("caller")(t.Context(), "tcp", f.entries[i].settings.Load().CallerAddress)
	is.NoErr(err)
	defer conn.Close()
	head := append([]string{"GET " + path + " HTTP/1.1", "Host: h", "X-Request-Id: " + id, "X-Deadline-Ms: 400"}, lines...)
	_, err = io.WriteString(conn, strings.Join(head, "\r\n")+"\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer resp.Body.Close()
	return resp.StatusCode
}

// TestKeyForms guards against unusual forms of a key that are refused though valid or served
// though not, and against headers of the caller that reach a server, at an entry that reaches
// the servers and at one that passes requests on.
func TestKeyForms(t *testing.T) {
	type keyForm struct {
		Name, Path, Workspace string
		Lines                 []string
		Status                int
	}
	cases := fixturereader.Read[[]keyForm](t, "_fixtures/keys.yaml")
	for _, delegated := range []bool{false, true} {
		t.Run(fmt.Sprintf("delegated %v", delegated), func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				last := f.serveRecording()
				if delegated {
					f.isolate(0)
				}
				for _, e := range f.entries {
					is.New(t).NoErr(e.snapshots.SetTable(keyedTable(2, "k-1")))
				}
				for n, c := range cases {
					id := fmt.Sprintf("r%d", n)
					if got := f.sendLines(t, 0, cmp.Or(c.Path, "/look/1"), id, c.Lines); got != c.Status {
						t.Errorf("%s: status %d, want %d", c.Name, got, c.Status)
					}
					if runs := f.runsOf(id); runs != map[bool]int{true: 1}[c.Status == http.StatusOK] {
						t.Errorf("%s: ran %d times", c.Name, runs)
					}
					if c.Status != http.StatusOK {
						continue
					}
					if got := strings.Join(last().Values(translator.HeaderWorkspace), "|"); got != c.Workspace {
						t.Errorf("%s: workspace %q, want %q", c.Name, got, c.Workspace)
					}
					if got := last().Values(translator.HeaderKey); got != nil {
						t.Errorf("%s: the server got the key", c.Name)
					}
				}
			})
		})
	}
}

// TestEntriesDisagreeOnKeys guards against an entry that serves a request passed on to it
// by the configuration of the entry that passed it on.
func TestEntriesDisagreeOnKeys(t *testing.T) {
	for _, c := range []struct {
		name        string
		here, there *describer.RouteTable
		status      int
		workspace   string
	}{
		{"the other one knows that the key was revoked", keyedTable(2, "k-1"), keyedTable(3), http.StatusUnauthorized, ""},
		{"the other one is behind", keyedTable(3, "k-1"), keyedTable(2, "k-1"), http.StatusServiceUnavailable, ""},
		{"the key is new at the other one", keyedTable(2, "k-0"), keyedTable(3, "k-0", "k-1"), http.StatusUnauthorized, ""},
		{"workspaces are new at the other one", nil, keyedTable(2, "k-1"), http.StatusOK, "first"},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				is := is.New(t)
				last := f.serveRecording()
				f.isolate(0)
				for i, e := range f.entries {
					table := c.there
					if i == 0 {
						table = c.here
					}
					if table != nil {
						is.NoErr(e.snapshots.SetTable(table))
					}
				}
				is.Equal(f.sendLines(t, 0, "/look/1", "r1", []string{"Authorization: Bearer k-1", "X-Tenant: second"}), c.status)
				is.Equal(f.runsOf("r1") == 1, c.status == http.StatusOK)
				if c.status == http.StatusOK {
					is.Equal(last()[translator.HeaderWorkspace], []string{c.workspace})
					is.Equal(last().Values(translator.HeaderKey), []string(nil))
				}
			})
		})
	}
}

// TestKeyRevokedOnOpenConnection guards against a connection that keeps the rights of an
// earlier request on it.
func TestKeyRevokedOnOpenConnection(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.serveRecording()
		is.NoErr(f.entries[0].snapshots.SetTable(keyedTable(2, "k-1")))
		c := dialKept(t.Context(), f)
		defer c.Close()
		send := func() int {
			_, err := io.WriteString(c, "GET /look/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nAuthorization: Bearer k-1\r\n\r\n")
			is.NoErr(err)
			return (<-c.responses).StatusCode
		}
		is.Equal(send(), http.StatusOK)
		is.NoErr(f.entries[0].snapshots.SetTable(keyedTable(3, "k-2")))
		is.Equal(send(), http.StatusUnauthorized)
		is.NoErr(f.entries[0].snapshots.SetTable(keyedTable(4, "k-1")))
		is.Equal(send(), http.StatusOK)
	})
}

// TestInvalidKeysInConfiguration guards against a configuration with a key of two workspaces
// that comes into force, is not counted, or puts the key into the log.
func TestInvalidKeysInConfiguration(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	e := newEntry(fleetSettings(0), chooser.ExpectedCompletion{}, dialer().DialContext, hclog.New(&hclog.LoggerOptions{Output: &log, Level: hclog.Trace}))
	configure := func(version int, tenants string) {
		value := fmt.Sprintf(`{"version":%d,"tenants":%s}`, version, tenants)
		e.applyChange(time.Now(), reflector.Change{Key: translator.ConfigurationKey, Value: []byte(value), Revision: 1})
	}
	configure(1, `[{"name":"first","api-keys":["secret-1"]}]`)
	configure(2, `[{"name":"first","api-keys":["secret-2"]},{"name":"second","api-keys":["secret-2"]}]`)
	is.Equal(e.invalidChanges.Load(), int64(1))
	table := e.snapshots.Snapshot().Table
	is.Equal(table.Version, int64(1))
	_, ok := table.Authorize("secret-1")
	is.True(ok)
	is.True(strings.Contains(log.String(), "tenants[1].api-keys[0] repeats tenants[0].api-keys[0]"))
	is.True(!strings.Contains(log.String(), "secret-"))
}
