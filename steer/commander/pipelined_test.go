package commander

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/pkg/describer"
	"samphiremux/pkg/fixturereader"
	"samphiremux/platform/translator"
)

// pipelinedCase is a series of requests on one connection, and what must come of them.
type pipelinedCase struct {
	Name     string
	Requests []struct {
		Line, Body, Raw string
		Headers         []string
		Fill            int
	}
	Responses []int
	Stops     bool
}

// text returns the bytes that the caller writes.
func (c pipelinedCase) text() string {
	var b strings.Builder
	for i, r := range c.Requests {
		lines := append([]string{r.Line, "Host: h", fmt.Sprintf("X-Request-Id: r%d", i+1), "X-Deadline-Ms: 450"}, r.Headers...)
		body := r.Body + strings.Repeat(r.Body, max(0, r.Fill-1)/max(1, len(r.Body)))
		if body != "" {
			lines = append(lines, "Content-Length: "+strconv.Itoa(len(body)))
		}
		b.WriteString(strings.Join(lines, "\r\n") + "\r\n\r\n" + body + r.Raw)
	}
	return b.String()
}

// readPipelined reads responses until the connection ends. A response that is broken off has
// the status 0. It fails for one that does not belong to the request at its place.
func (c pipelinedCase) readPipelined(t *testing.T, in *bufio.Reader) (statuses []int) {
	t.Helper()
	for i := 0; ; i++ {
		if _, err := in.Peek(1); err != nil {
			return statuses
		}
		method := ""
		if i < len(c.Requests) {
			method, _, _ = strings.Cut(strings.TrimSpace(c.Requests[i].Line), " ")
		}
		resp, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			return append(statuses, 0)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return append(statuses, 0)
		}
		statuses = append(statuses, resp.StatusCode)
		want := fmt.Sprintf("r%d", i+1)
		// net/http itself answers malformed requests, without an id.
		if got := resp.Header.Get(translator.HeaderRequestID); got != want && resp.StatusCode != http.StatusBadRequest {
			t.Errorf("response %d is to %q", i+1, got)
		}
		if resp.StatusCode == http.StatusOK && method != http.MethodHead && string(body) != want {
			t.Errorf("response %d has the body %q", i+1, body)
		}
	}
}

// respondPipelined is the handler of the servers: paths tell what they do.
func respondPipelined(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	switch {
	case strings.HasSuffix(r.URL.Path, "/slow"):
		time.Sleep(serverWork) // less than the delay of a hedge
	case strings.HasSuffix(r.URL.Path, "/broken"):
		w.Header().Set("Content-Length", "540000")
		_, _ = io.WriteString(w, strings.Repeat("b", 400_000))
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, r.Header.Get(translator.HeaderRequestID))
}

// TestPipelined guards against responses that come in another order than their requests were
// sent on one connection, and against requests that run though they stand behind a response
// that closes the connection, or within a body that was refused.
func TestPipelined(t *testing.T) {
	keyed := fleetRoute("keyed", false)
	look, book := fleetRoute("look", true), fleetRoute("book", false)
	look.Public, book.Public = true, true
	table := describer.NewRouteTable(2, []describer.Route{look, book, keyed},
		[]describer.Service{{Name: "stock", HealthPath: "/health", ColdRate: 9.3}}, describer.Limits{BodyBytes: 1 << 20}).WithWorkspaces(nil)
	for _, c := range fixturereader.Read[[]pipelinedCase](t, "_fixtures/pipelined.yaml") {
		for _, delegated := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, delegated %v", c.Name, delegated), func(t *testing.T) {
				withFleet(t, func(t *testing.T, f *fleet) {
					is := is.New(t)
					f.respond = respondPipelined
					if delegated {
						f.isolate(0)
					}
					for _, e := range f.entries {
						is.NoErr(e.snapshots.SetTable(table))
					}
					c.play(t, f)
				})
			})
		}
	}
}

// play writes the requests to the first entry and checks what comes of them.
func (c pipelinedCase) play(t *testing.T, f *fleet) {
	is := is.New(t)
	conn, err := f.network.dialer("caller")(t.Context(), "tcp", f.entries[0].settings.Load().CallerAddress)
	is.NoErr(err)
	defer conn.Close()
	go func() { _, _ = io.WriteString(conn, c.text()) }()
	if c.Stops {
		time.Sleep(serverWork / 2)
		s := *f.entries[0].settings.Load()
		s.Bounds.GracePeriod = 4 * time.Second
		f.entries[0].settings.Store(&s)
		go func() { _ = f.entries[0].stop(f.servers[0]) }()
	}
	closes := len(c.Responses) < len(c.Requests) || c.Responses[len(c.Responses)-1] == 0
	if !closes {
		// The entry would keep the connection. Its end shows that nothing else follows.
		time.AfterFunc(10*time.Second, func() { _ = conn.Close() })
	}
	began := time.Now()
	if got := c.readPipelined(t, bufio.NewReader(conn)); !slices.Equal(got, c.Responses) {
		t.Errorf("statuses %v, want %v", got, c.Responses)
	}
	if took := time.Since(began); closes && took > 5*time.Second {
		t.Errorf("the connection was closed after %v", took)
	}
	time.Sleep(5 * time.Second) // a request that was passed on has run by now
	for i := range c.Requests {
		want := 0
		if i < len(c.Responses) && (c.Responses[i] == http.StatusOK || c.Responses[i] == 0) {
			want = 1
		}
		if got := f.runsOf(fmt.Sprintf("r%d", i+1)); got != want {
			t.Errorf("request %d ran %d times, want %d", i+1, got, want)
		}
	}
	is.Equal(f.runsOf("r9"), 0) // it stands in the body of another one
}
