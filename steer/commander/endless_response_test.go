package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	"samphiremux/platform/translator"
)

const (
	// smallestVM is the memory in bytes of the smallest VM of the users.
	smallestVM = 184 << 20
	// endlessCallers is the number of callers at the same time whose requests get endless responses.
	endlessCallers = 200
	// endlessRounds is the number of requests that each of them sends, 100 ms apart.
	endlessRounds = 4
)

// heapBytes returns the bytes of objects on the heap, garbage included.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// peakHeap samples the heap until done is closed, and returns the largest growth in bytes.
func peakHeap(done <-chan struct{}) (grown int64) {
	runtime.GC()
	before := int64(heapBytes())
	for {
		select {
		case <-done:
			return grown
		case <-time.After(5 * time.Millisecond):
			grown = max(grown, int64(heapBytes())-before)
		}
	}
}

// sendEndless writes a start and then the same bytes until the entry closes the connection.
func sendEndless(w http.ResponseWriter, start, repeated string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for text := start; ; text = repeated {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// serveEndless lets every second server send endless bytes, to requests with /endless in their
// path or to probes.
func (f *fleet) serveEndless(start, repeated string, toProbes bool) {
	answer := func(w http.ResponseWriter, r *http.Request) {
		text := start
		if strings.Contains(start, "%s") {
			text = fmt.Sprintf(start, r.Header.Get(translator.HeaderRequestID))
		}
		sendEndless(w, text, repeated)
	}
	f.respond = func(w http.ResponseWriter, r *http.Request) {
		if !toProbes && strings.Contains(r.URL.Path, "/endless") {
			answer(w, r)
			return
		}
		time.Sleep(serverWork)
		_, _ = io.WriteString(w, "ok")
	}
	if toProbes {
		f.hijackProbe = func(w http.ResponseWriter, r *http.Request, server string) bool {
			if server[len(server)-1]%2 == 0 {
				return false
			}
			answer(w, r)
			return true
		}
	}
}

// discard sends a request to an entry, and reads for callerTimeout without keeping the bytes.
func (f *fleet) discard(i int, path, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	conn, err := f.network.dialer("caller")(ctx, "tcp", f.entries[i].settings.Load().CallerAddress)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	req, _ := http.NewRequest(http.MethodGet, "http://h"+path, http.NoBody)
	req.Header.Set(translator.HeaderRequestID, id)
	translator.SetDeadline(req.Header, callerTimeout)
	_ = req.Write(conn)
	_, _ = io.Copy(io.Discard, conn)
}

// TestEndlessResponses guards against an entry that runs out of memory, and with it the
// requests of other callers, since servers send bytes without end that are no responses.
func TestEndlessResponses(t *testing.T) {
	debug.SetGCPercent(gcPercent)
	defer debug.SetGCPercent(100)
	head := "HTTP/1.1 200 OK\r\n" + translator.HeaderRequestID + ": %s\r\n" + translator.HeaderSignature + ": s\r\n"
	for _, c := range []struct{ name, start, repeated string }{
		{"status line", "", strings.Repeat("x", 8<<10)},
		{"header line", "HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 8<<10)},
		{"header lines", head, strings.Repeat("X: 1\r\n", 1<<10)},
		{"informational responses", "", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 300)},
		{"chunk size", head + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 8<<10)},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "2000\r\n" + strings.Repeat("x", 8<<10) + "\r\n"},
		{"trailers", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X: 1\r\n", 1<<10)},
		{"body", head + "\r\n", strings.Repeat("x", 8<<10)},
		{"body with a length", head + "Content-Length: 99999999999\r\n\r\n", strings.Repeat("x", 8<<10)},
		{"body without a signature", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 8<<10)},
		{"after a response", head + "Content-Length: 2\r\n\r\nok", strings.Repeat("x", 8<<10)},
	} {
		for _, toProbes := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, to probes %v", c.name, toProbes), func(t *testing.T) {
				withFleet(t, func(t *testing.T, f *fleet) {
					f.serveEndless(c.start, c.repeated, toProbes)
					time.Sleep(settleTime)
					done := make(chan struct{})
					peak := make(chan int64, 1)
					go func() { peak <- peakHeap(done) }()
					var calls sync.WaitGroup
					for i := range endlessCallers {
						for n := range endlessRounds {
							calls.Go(func() {
								time.Sleep(time.Duration(n) * 100 * time.Millisecond)
								f.discard(0, "/look/endless", fmt.Sprintf("endless-%d-%d", i, n))
							})
						}
					}
					for n := range 20 {
						calls.Go(func() {
							time.Sleep(time.Duration(n) * 50 * time.Millisecond)
							ctx, cancel := context.WithTimeout(context.Background(), 2*callerTimeout)
							defer cancel()
							resp, _, err := f.send(ctx, 0, "/look/other", fmt.Sprintf("other-%d", n), "")
							if err != nil || (resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable) {
								t.Errorf("another caller got %v, error %v", resp, err)
							}
						})
					}
					calls.Wait()
					close(done)
					grown := <-peak
					t.Logf("the heap grew by %d MiB", grown>>20)
					if grown > smallestVM {
						t.Errorf("the heap grew by %d bytes, the memory of the smallest VM is %d", grown, smallestVM)
					}
				})
			})
		}
	}
}
