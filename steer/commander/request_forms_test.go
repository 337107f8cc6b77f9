package commander

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/reflector"
	"samphiremux/pkg/describer"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/platform/translator"
)

// TestLegalRequestFormsDenied guards against redirects and client errors for requests whose
// form is unusual but legal, and against targets that are changed on the way.
func TestLegalRequestFormsDenied(t *testing.T) {
	for _, c := range []struct {
		name, request string
		status        int
		target, body  string
	}{
		{"empty segment", "GET /look//1 HTTP/1.1\r\nHost: h\r\n", http.StatusOK, "/look//1", ""},
		{"dot segment", "GET /look/./1 HTTP/1.1\r\nHost: h\r\n", http.StatusOK, "/look/./1", ""},
		{"two dots", "GET /look/a/../1 HTTP/1.1\r\nHost: h\r\n", http.StatusOK, "/look/a/../1", ""},
		{"encoded octets", "GET /look/%2e%2e/%2F?a=/b/ HTTP/1.1\r\nHost: h\r\n", http.StatusOK, "/look/%2e%2e/%2F?a=/b/", ""},
		{"upper case", "GET /look/1 HTTP/1.1\r\nHost: H\r\n", http.StatusOK, "/look/1", ""},
		{"port", "GET /look/1 HTTP/1.1\r\nHost: h:8080\r\n", http.StatusOK, "/look/1", ""},
		{"empty body", "POST /book/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n", http.StatusOK, "/book/1", ""},
		{"no length", "POST /book/1 HTTP/1.1\r\nHost: h\r\n", http.StatusOK, "/book/1", ""},
		{"head", "HEAD /look/1 HTTP/1.1\r\nHost: h\r\n", http.StatusOK, "/look/1", ""},
		{"body in chunks", "POST /book/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n", http.StatusOK, "/book/1", "2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\nSum: 1\r\n\r\n"},
		{"empty body in chunks", "POST /book/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n", http.StatusOK, "/book/1", "0\r\n\r\n"},
		{"continue expected", "POST /book/1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n", http.StatusOK, "/book/1", "body"},
		{"body of a safe request", "GET /look/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n", http.StatusOK, "/look/1", "body"},
		{"unknown method", "PURGE /look/1 HTTP/1.1\r\nHost: h\r\n", http.StatusOK, "/look/1", ""},
		{"options", "OPTIONS /look/1 HTTP/1.1\r\nHost: h\r\n", http.StatusOK, "/look/1", ""},
		{"absolute form", "GET http://h/look/1?q HTTP/1.1\r\nHost: other\r\n", http.StatusOK, "/look/1?q", ""},
		{"absolute form, address in the query", "GET http://h/look/?u=http://x/ HTTP/1.1\r\nHost: h\r\n", http.StatusOK, "/look/?u=http://x/", ""},
		{"address in the path", "GET /look/http://x/ HTTP/1.1\r\nHost: h\r\n", http.StatusOK, "/look/http://x/", ""},
		{"absolute form without a path", "GET http://h HTTP/1.1\r\nHost: h\r\n", http.StatusNotFound, "", ""},
		{"absolute form without a path but a query", "GET http://h?/look/ HTTP/1.1\r\nHost: h\r\n", http.StatusNotFound, "", ""},
		{"asterisk form", "OPTIONS * HTTP/1.1\r\nHost: h\r\n", http.StatusNotFound, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				is := is.New(t)
				var mu sync.Mutex
				target := ""
				f.respond = func(w http.ResponseWriter, r *http.Request) {
					mu.Lock()
					defer mu.Unlock()
					target = r.RequestURI
					_, _ = io.WriteString(w, "ok")
				}
				conn, err := f.network.dialer("caller")(t.Context(), "tcp", f.entries[0].settings.Load().CallerAddress)
				is.NoErr(err)
				defer conn.Close()
				_, err = io.WriteString(conn, c.request+"X-Request-Id: r1\r\nX-Deadline-Ms: 900\r\n\r\n")
				is.NoErr(err)
				go func() { _, _ = io.WriteString(conn, c.body) }()
				in := bufio.NewReader(conn)
				resp, err := http.ReadResponse(in, nil)
				is.NoErr(err)
				if resp.StatusCode == http.StatusContinue {
					resp, err = http.ReadResponse(in, nil)
					is.NoErr(err)
				}
				defer resp.Body.Close()
				is.Equal(resp.StatusCode, c.status)
				mu.Lock()
				defer mu.Unlock()
				is.Equal(target, c.target)
			})
		})
	}
}

// TestHeadersWithinLimitDenied guards against 431 for headers that are as long as the
// configuration allows, however they are written.
func TestHeadersWithinLimitDenied(t *testing.T) {
	for _, c := range []struct{ name, separator string }{{"spaces", ": "}, {"no spaces", ":"}} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				is := is.New(t)
				request := "GET /look/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 900\r\nA: b\r\nC: d\r\nE: f\r\n\r\n"
				request = strings.ReplaceAll(request, ": ", c.separator)
				is.NoErr(f.entries[0].snapshots.SetTable(describer.NewRouteTable(2, []describer.Route{fleetRoute("look", true)},
					[]describer.Service{{Name: "stock", HealthPath: "/health", ColdRate: 9.3}}, describer.Limits{HeaderBytes: len(request)})))
				conn, err := f.network.dialer("caller")(t.Context(), "tcp", f.entries[0].settings.Load().CallerAddress)
				is.NoErr(err)
				defer conn.Close()
				_, err = io.WriteString(conn, request)
				is.NoErr(err)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
				defer resp.Body.Close()
				is.Equal(resp.StatusCode, http.StatusOK)
			})
		})
	}
}

// TestRouteOfNamedConfigurationDenied guards against 404 from an entry to which a newer
// configuration has been named.
func TestRouteOfNamedConfigurationDenied(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		status := func() int {
			resp, _, err := f.send(t.Context(), 0, "/never/a", "r1", "")
			is.NoErr(err)
			return resp.StatusCode
		}
		r := f.entries[0].reflector
		is.Equal(status(), http.StatusNotFound)
		r.ApplyBatch(time.Now(), reflector.Batch{Full: true, Revision: 5})
		is.Equal(status(), http.StatusServiceUnavailable) // the other entry may be behind
		time.Sleep(2 * time.Second)
		is.Equal(status(), http.StatusNotFound)
		r.ApplyBatch(time.Now(), reflector.Batch{Above: 5, Revision: 7, Omitted: []*linkpb.Change{{Key: translator.ConfigurationKey, Revision: 7}}})
		is.Equal(status(), http.StatusServiceUnavailable)
		time.Sleep(11 * time.Second)
		is.Equal(status(), http.StatusNotFound) // nobody has given what was named
	})
}
