package commander

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/delegator"
	"samphiremux/pkg/fixturereader"
	"samphiremux/platform/translator"
)

const (
	stopGrace = 6 * time.Second
	// stopServed is the time after the signal until which requests must be served.
	stopServed = 2400 * time.Millisecond
)

// stopCase is one case of the fixture.
type stopCase struct {
	Name     string
	Isolated []int
	Cuts     map[int]time.Duration
	How      string
	Stops    map[int]time.Duration
}

// stopCaller is a way to send requests to an entry.
type stopCaller struct {
	name string
	// kept is set if the connection carries one request after another.
	kept bool
	// pause is the time between the head and the body.
	pause time.Duration
	close bool
}

// TestFleetStops guards against requests that are lost, run twice or are said not to have
// run, as an entry stops that reaches no servers, or to which requests are passed on.
func TestFleetStops(t *testing.T) {
	for _, c := range fixturereader.Read[[]stopCase](t, "_fixtures/stops.yaml") {
		for _, caller := range []stopCaller{
			{name: "new connections"},
			{name: "new connections, closed", close: true},
			{name: "kept connections", kept: true},
			{name: "slow uploads", pause: 400 * time.Millisecond},
			{name: "slow uploads on kept connections", kept: true, pause: 400 * time.Millisecond},
		} {
			t.Run(c.Name+", "+caller.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { c.run(t, caller) })
			})
		}
	}
}

func (c stopCase) run(t *testing.T, caller stopCaller) {
	f := newFleet()
	defer f.stop()
	f.isolate(c.Isolated...)
	start := time.Now().Add(1500 * time.Millisecond)
	var all sync.WaitGroup
	stop := func(i int, at time.Duration) {
		s := *f.entries[i].settings.Load()
		s.Bounds.GracePeriod = stopGrace
		f.entries[i].settings.Store(&s)
		all.Go(func() {
			time.Sleep(time.Until(start.Add(at)))
			_ = f.entries[i].stop(f.servers[i])
			_ = f.servers[i].callers.Close()
			_ = f.servers[i].delegated.Close()
		})
	}
	stop(0, 0)
	for i, at := range c.Stops {
		stop(i, at)
	}
	for i, at := range c.Cuts {
		time.AfterFunc(time.Until(start.Add(at)), func() { f.network.setCut(f.entries[i].id, cutKind(c.How)) })
	}
	for n, at := 0, -time.Second; at < stopGrace; n, at = n+1, at+20*time.Millisecond {
		all.Go(func() {
			time.Sleep(time.Until(start.Add(at)))
			f.callStopping(t, c, caller, fmt.Sprintf("r%d", n), n%2 == 0, start)
		})
	}
	all.Wait()
}

// mayLose reports whether a request may end without the response of a server: the first entry
// lost the servers between its begin and its end, after it was written whole to a server, and
// if it is safe to as many as its route allows or too late for another one.
func (c stopCase) mayLose(begun, ended time.Duration, safe bool, sends int) bool {
	at, ok := c.Cuts[0]
	if !ok || begun > at || at > ended {
		return false
	}
	return sends >= fleetRoute("look", true).MaxAttempts || (sends > 0 && (!safe || ended-begun >= callerTimeout))
}

// callStopping sends one request to the first entry, or five on one connection, and checks
// what becomes of them.
func (f *fleet) callStopping(t *testing.T, c stopCase, caller stopCaller, name string, safe bool, start time.Time) {
	conn, err := f.network.dialer("caller")(t.Context(), "tcp", f.entries[0].settings.Load().CallerAddress)
	if err != nil {
		if time.Since(start) < stopServed {
			t.Errorf("%s: %v at %v", name, err, time.Since(start))
		}
		return
	}
	defer conn.Close()
	responses := bufio.NewReader(conn)
	count := 1
	if caller.kept {
		count = 5
	}
	for i := range count {
		id := fmt.Sprintf("%s-%d", name, i)
		begun := time.Since(start)
		read, resp := f.exchange(conn, responses, caller, id, safe)
		sent := time.Since(start)
		f.mu.Lock()
		runs := f.runs[id]
		f.mu.Unlock()
		switch {
		case resp == nil && runs > 0, resp == nil && read && sent < stopGrace-2*stopMargin:
			t.Errorf("%s, begun at %v, was lost at %v, %d runs", id, begun, sent, runs)
		case resp != nil && resp.StatusCode == http.StatusServiceUnavailable && runs > 0 && !safe:
			t.Errorf("%s, begun at %v, was refused as not run, %d runs", id, begun, runs)
		case !safe && runs > 1:
			t.Errorf("%s, begun at %v, ran %d times", id, begun, runs)
		case c.mayLose(begun, sent, safe, f.network.sendsOf(id)) && resp != nil && (resp.StatusCode == http.StatusBadGateway || resp.StatusCode == http.StatusGatewayTimeout):
		case resp != nil && resp.StatusCode != http.StatusOK && sent < stopServed:
			t.Errorf("%s, begun at %v, got %d, sent to %d servers", id, begun, resp.StatusCode, f.network.sendsOf(id))
		}
		if resp == nil || resp.Close {
			return
		}
		time.Sleep(400 * time.Millisecond)
	}
}

// exchange sends a request. It returns a response if it is whole, and whether the entry has
// read the request.
func (f *fleet) exchange(conn net.Conn, responses *bufio.Reader, caller stopCaller, id string, safe bool) (read bool, resp *http.Response) {
	path, lines := "/book/a", ""
	if safe {
		path = "/look/a"
	}
	if caller.close {
		lines = "Connection: close\r\n"
	}
	whole := make(chan *http.Response, 1)
	go func() {
		defer close(whole)
		resp, err := http.ReadResponse(responses, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, resp.Body); err == nil {
			whole <- resp
		}
	}()
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%sContent-Length: 4\r\n\r\nbo", path, translator.HeaderRequestID, id, lines)
	if err == nil {
		time.Sleep(caller.pause)
		_, err = io.WriteString(conn, "dy")
	}
	return err == nil, <-whole
}

// TestProbedEntryStops guards against a request that is cut since the entry that has just
// answered the probe for it begins to stop.
func TestProbedEntryStops(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.isolate(0)
		conn, err := f.network.dialer("e0")(t.Context(), "tcp", f.entries[3].settings.Load().DelegationAddress)
		is.NoErr(err)
		defer conn.Close()
		responses := bufio.NewReader(conn)
		get := func(path, headers string) (status int, err error) {
			_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n%s\r\n", path, headers)
			resp, err := http.ReadResponse(responses, nil)
			if err != nil {
				return 0, err
			}
			_, err = io.Copy(io.Discard, resp.Body)
			return resp.StatusCode, err
		}
		status, err := get(delegator.HealthPath, "")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		s := *f.entries[3].settings.Load()
		s.Bounds.GracePeriod = stopGrace
		f.entries[3].settings.Store(&s)
		go func() { _ = f.entries[3].stop(f.servers[3]) }()
		synctest.Wait()
		status, err = get("/look/a", fmt.Sprintf("%s: r1\r\n%s: e0\r\n", translator.HeaderRequestID, delegator.HopHeader))
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		status, err = get(delegator.HealthPath, "")
		is.NoErr(err)
		is.Equal(status, http.StatusServiceUnavailable)
		time.Sleep(stopGrace)
	})
}

// TestStoppingEntryNamed guards against callers that are sent to an entry which stops: it
// says at once that it is not ready, and nobody names it by the time at which the last
// answers that callers keep must be given for them to end before the intake does.
func TestStoppingEntryNamed(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		get := func(address, path string) (status int, body string) {
			transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
				return f.network.dialer("caller")(ctx, network, address)
			}}
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://h"+path, http.NoBody)
			is.NoErr(err)
			resp, err := transport.RoundTrip(req)
			is.NoErr(err)
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			return resp.StatusCode, string(data)
		}
		stopping := f.entries[3].settings.Load()
		named := func(e *entry) bool {
			_, body := get(e.settings.Load().LocateAddress, translator.LocatePath+"?name=h&zone=z")
			return strings.Contains(body, stopping.CallerAddress)
		}
		time.Sleep(time.Second)
		for _, e := range f.entries {
			is.True(named(e))
		}
		s := *stopping
		s.Bounds.GracePeriod = stopGrace
		f.entries[3].settings.Store(&s)
		go func() { _ = f.entries[3].stop(f.servers[3]) }()
		synctest.Wait()
		status, _ := get(stopping.ReadyAddress, translator.ReadyPath)
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(!named(f.entries[3]))
		time.Sleep(stopGrace/2 - maxLocateTTL)
		for _, e := range f.entries {
			is.True(!named(e))
		}
		time.Sleep(stopGrace)
	})
}
