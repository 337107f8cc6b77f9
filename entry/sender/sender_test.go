package sender_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/retrier"
	"samphiremux/entry/sender"
)

// serveTCP listens and passes each connection to serve.
func serveTCP(t *testing.T, serve func(c net.Conn)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func newSender() *sender.Sender {
	var d net.Dialer
	return sender.New(func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", a.String())
	})
}

func newRequest(address netip.AddrPort, method, id string, echo bool) sender.Request {
	return sender.Request{
		Method: method, Host: "h", URI: "/", Header: http.Header{}, AttemptID: id, EchoRequired: echo,
		Idempotent: method != http.MethodPost, SheddingStatuses: []int{503}, Address: address, MaxConnections: 8,
	}
}

// TestResponseBrokenOff guards against a response that looks whole although the server
// has stopped in the middle of its head or body.
func TestResponseBrokenOff(t *testing.T) {
	for _, c := range []struct {
		name, method, text, body string
		closeEnds                bool
	}{
		{"with a length", http.MethodGet, "HTTP/1.1 200 OK\r\nSamphire-Attempt-Id: a1\r\nContent-Length: 12\r\n\r\nhello\r\nworld", "hello\r\nworld", false},
		{"length first", http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nSamphire-Attempt-Id: a1\r\n\r\nhello\r\nworld", "hello\r\nworld", false},
		{"without a body", http.MethodGet, "HTTP/1.1 200 OK\r\nSamphire-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n", "", false},
		{"in chunks", http.MethodPost, "HTTP/1.1 200 OK\r\nSamphire-Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", false},
		{"without a length", http.MethodPost, "HTTP/1.1 200 OK\r\nSamphire-Attempt-Id: a1\r\n\r\nhello\r\nworld", "hello\r\nworld", true},
		{"no content", http.MethodPost, "HTTP/1.1 204 No Content\r\nSamphire-Attempt-Id: a1\r\n\r\n", "", false},
		{"not modified", http.MethodPost, "HTTP/1.1 304 Not Modified\r\nSamphire-Attempt-Id: a1\r\nContent-Length: 5\r\n\r\n", "", false},
		{"to HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\nSamphire-Attempt-Id: a1\r\nContent-Length: 5\r\n\r\n", "", false},
		{"after informational responses", http.MethodPost, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nSamphire-Attempt-Id: a1\r\n\r\nhello", "hello", true},
		{"refusal", http.MethodPost, "HTTP/1.1 503 Service Unavailable\r\nSamphire-Attempt-Id: a1\r\n\r\n", "", true},
	} {
		for _, reset := range []bool{false, true} {
			for _, echo := range []bool{false, true} {
				name := c.name
				if reset {
					name += ", reset"
				}
				if echo {
					name += ", id required"
				}
				t.Run(name, func(t *testing.T) {
					final := strings.LastIndex(c.text, "HTTP/1.1")
					bodyStart := final + strings.Index(c.text[final:], "\r\n\r\n") + 4
					for length := range len(c.text) + 1 {
						address := serveTCP(t, func(conn net.Conn) { writeOnce(conn, c.text[:length], reset) })
						ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
						resp, o := newSender().Send(ctx, newRequest(address, c.method, "a1", echo))
						cancel()
						whole := length == len(c.text) && (!reset || !c.closeEnds)
						shorter := c.closeEnds && !reset && length >= bodyStart
						switch o.(type) {
						case retrier.Answered, retrier.Shed:
							if !whole && !shorter {
								t.Errorf("%T after %q", o, c.text[:length])
							} else if got := string(resp.Body); got != c.text[bodyStart:length] && got != c.body {
								t.Errorf("body %q after %q", got, c.text[:length])
							}
						default:
							if whole && !reset {
								t.Errorf("%T after the whole response", o)
							}
							if !retrier.MayHaveRun(o) {
								t.Errorf("%T after %q", o, c.text[:length])
							}
						}
					}
				})
			}
		}
	}
}

// writeOnce reads a request, writes a text and ends or resets the connection.
func writeOnce(c net.Conn, text string, reset bool) {
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, text)
	}
	if reset {
		// The bytes arrive before the reset, which discards what is not read yet.
		time.Sleep(time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
}

// TestRepeatedRefusal guards against a request that is taken for refused although the
// server runs it and has only repeated an earlier refusal.
func TestRepeatedRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
	for _, c := range []struct {
		name, repeated string
		echo           bool
	}{
		{"with the id of another attempt", refusal + "Samphire-Attempt-Id: a1\r\n\r\n", true},
		{"without an id", refusal + "\r\n", true},
		{"with the id of another attempt, no id required", refusal + "Samphire-Attempt-Id: a1\r\n\r\n", false},
		{"without an id, none required", refusal + "\r\n", false},
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(c.name+" "+method, func(t *testing.T) {
				is := is.New(t)
				var reused atomic.Bool
				address := serveTCP(t, func(conn net.Conn) {
					defer conn.Close()
					r := bufio.NewReader(conn)
					for i := 0; ; i++ {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, req.Body)
						text := c.repeated
						reused.Store(i > 0)
						if i == 0 {
							text = refusal + "Samphire-Attempt-Id: a1\r\n\r\n"
							if !c.echo {
								text = refusal + "\r\n"
							}
						}
						_, _ = io.WriteString(conn, text)
					}
				})
				s := newSender()
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				_, o := s.Send(ctx, newRequest(address, method, "a1", c.echo))
				is.Equal(o, retrier.Shed{})
				_, o = s.Send(ctx, newRequest(address, method, "a2", c.echo))
				if method == http.MethodPost {
					// A refusal on a new connection repeats none.
					is.Equal(retrier.MayHaveRun(o), reused.Load())
				}
			})
		}
	}
}

// TestRefusalNotKnownYet guards against a copy of a refusal that is taken for that of the
// next request, since the first one has not been looked at yet.
func TestRefusalNotKnownYet(t *testing.T) {
	is := is.New(t)
	address := serveTCP(t, func(conn net.Conn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}
	})
	s := newSender()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	first, second := newRequest(address, http.MethodPost, "a1", false), newRequest(address, http.MethodPost, "a2", false)
	first.MaxConnections, second.MaxConnections = 1, 1
	first.OnHead = func(sender.Head) {
		_, o := s.Send(ctx, second)
		is.True(retrier.MayHaveRun(o))
	}
	_, o := s.Send(ctx, first)
	is.Equal(o, retrier.Shed{})
}
