package roundtripper_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/retrier"
	"samphiremux/entry/roundtripper"
	"samphiremux/pkg/fixturereader"
)

// repeatedAt is the moment at which a server writes an earlier response once more.
type repeatedAt string

const (
	beforeRequest repeatedAt = "before the request"
	duringUpload  repeatedAt = "during the upload"
	afterRequest  repeatedAt = "after the request"
)

// faultyServer writes an earlier response once more.
type faultyServer struct {
	repeated string
	at       repeatedAt
	// next is what the server writes after it has run the request, and end is what it does
	// to the connection then.
	next string
	end  func(net.Conn)
}

func (s faultyServer) serve(c net.Conn) {
	in := bufio.NewReaderSize(c, 16)
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	_, _ = io.WriteString(c, healthy)
	// Writes of in-memory connections wait for the reader.
	repeat := func() { go func() { _, _ = io.WriteString(c, s.repeated) }() }
	if s.at == beforeRequest {
		repeat()
	}
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	if s.at == duringUpload {
		repeat()
		time.Sleep(time.Millisecond)
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	if s.at == afterRequest {
		repeat()
	}
	time.Sleep(time.Millisecond)
	if _, err := io.WriteString(c, s.next); err == nil {
		s.end(c)
	}
}

// TestResponseOnceMore guards against a request that a server has run, and that is taken
// for refused or answered by a response to another request.
func TestResponseOnceMore(t *testing.T) {
	for i, response := range fixturereader.Read[[]string](t, "_fixtures/repeated.yaml") {
		head, body, _ := strings.Cut(response, "\r\n\r\n")
		head = strings.TrimSuffix(head, "\r\n") + "\r\n"
		for _, id := range []string{"", "X-Request-Id: r0\r\n"} {
			for _, closing := range []string{"", "Connection: close\r\n"} {
				for _, at := range []repeatedAt{beforeRequest, duringUpload, afterRequest} {
					text := head + id + closing + "\r\n" + body
					t.Run(fmt.Sprintf("%d, %s%s%s", i, id, closing, at), func(t *testing.T) { checkOnceMore(t, text, at, closing == "") })
				}
			}
		}
	}
}

func checkOnceMore(t *testing.T, text string, at repeatedAt, kept bool) {
	keep := func(net.Conn) {}
	for _, next := range []string{"", ranResponse, text + ranResponse} {
		for _, size := range []int{0, 100, 100_000} {
			for _, end := range []func(net.Conn){keep, func(c net.Conn) { _ = c.Close() }} {
				synctest.Test(t, func(t *testing.T) {
					cl, srv := newClient()
					s := faultyServer{repeated: text, at: at, next: next, end: end}
					go func() { s.serve(<-srv.conns) }()
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					_, conn, err := cl.Probe(ctx, "/health")
					if err != nil {
						t.Fatal(err)
					}
					time.Sleep(time.Microsecond)
					r := newRequest()
					r.Method, r.Body = http.MethodPost, bytes.Repeat([]byte("x"), size)
					resp, o := cl.Send(ctx, conn, r)
					answered := outcomeName(o) == "answered"
					switch {
					case answered && (resp.Header.Get("X-Server-Signature") != "s" || string(resp.Body) != "hi"):
						t.Errorf("status %d, body %q, next %q", resp.Status, resp.Body, next)
					case !answered && !retrier.MayHaveRun(o):
						t.Errorf("%T, next %q, body of %d bytes", o, next, size)
					case !answered && next == ranResponse && kept:
						t.Errorf("%T, but the response followed, body of %d bytes", o, size)
					}
					cl.Close()
					time.Sleep(time.Second)
				})
			}
		}
	}
}

// TestProbeBehindRepeatedResponse guards against a server that is taken for another one, and
// gets no more work, as it answers a probe with an earlier response once more.
func TestProbeBehindRepeatedResponse(t *testing.T) {
	for i, response := range fixturereader.Read[[]string](t, "_fixtures/repeated.yaml") {
		for _, id := range []string{"", "X-Request-Id: r0\r\n"} {
			t.Run(fmt.Sprintf("%d, %s", i, id), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					cl, srv := newClient()
					text := strings.Replace(response, "\r\n", "\r\n"+id, 1)
					if !strings.Contains(text, "\r\n\r\n") {
						text += "\r\n"
					}
					go func() { serveScript(<-srv.conns, healthy, text+healthy) }()
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					_, conn, err := cl.Probe(ctx, "/health")
					is.NoErr(err)
					cl.Release(conn)
					go func() {
						select {
						case c := <-srv.conns:
							serveScript(c, healthy)
						case <-ctx.Done():
						}
					}()
					_, _, err = cl.Probe(ctx, "/health")
					var wrong roundtripper.ErrWrongInstance
					if errors.As(err, &wrong) {
						t.Errorf("%v, behind %q", err, text)
					}
					cl.Close()
					time.Sleep(time.Second)
				})
			})
		}
	}
}
