package measurer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/locator"
	"samphiremux/standin/generator"
	"samphiremux/standin/responder"
	"samphiremux/standin/simulator"
)

// TestLateRequestsLost guards against requests that come after an entry has closed its
// listener and are read and dropped, or cut when the entry ends.
func TestLateRequestsLost(t *testing.T) {
	d := simulator.Trust().WithOnlyService("booking")
	withCluster(t, simulator.Options{Deployment: d, Entries: 3}, d.Document("test"), func(t *testing.T, cl testCluster) {
		is := is.New(t)
		host := cl.Entries[0]
		const closing = locator.AnswerTTL + time.Second
		start := time.Now()
		results := make(chan string, 1000)
		sent := 0
		for at := closing - time.Second; at < closing+4*time.Second; at += 50 * time.Millisecond {
			for _, early := range []int{0, 20, -2} {
				sent += 2
				go func() { results <- sendLate(cl, host, start, at, early) }()
				go func() { results <- sendLateOnKept(cl, host, start, at, early, closing) }()
			}
		}
		stopped := make(chan time.Duration, 1)
		entry := host.Entry
		host.Entry = nil
		go func() {
			entry.Stop(context.Background())
			stopped <- time.Since(start)
		}()
		for range sent {
			if fault := <-results; fault != "" {
				t.Error(fault)
			}
		}
		is.True(<-stopped < 45*time.Second)
	})
}

// sendLate opens a connection 4 s before at, sends a part of a request then, the rest at
// the given time after start, and returns what was wrong with the response.
func sendLate(cl testCluster, h *simulator.Host, start time.Time, at time.Duration, early int) (fault string) {
	time.Sleep(time.Until(start.Add(at - 4*time.Second)))
	c, err := cl.net.Dial(cl.ctx, netip.MustParseAddr("127.0.9.9"), netip.AddrPortFrom(h.Address, simulator.CallerPort))
	if err != nil {
		return fmt.Sprintf("opened at %v: %v", at-4*time.Second, err)
	}
	defer c.Close()
	if err := finishLate(c, bufio.NewReader(c), lateText(fmt.Sprintf("r%v", at)), start.Add(at), early); err != nil {
		return fmt.Sprintf("sent at %v, %d bytes of it early: %v", at, early, err)
	}
	return ""
}

// sendLateOnKept does the same on a connection that has carried a request, which the entry
// may close once it is idle after closing.
func sendLateOnKept(cl testCluster, h *simulator.Host, start time.Time, at time.Duration, early int, closing time.Duration) (fault string) {
	time.Sleep(time.Until(start.Add(at - 4*time.Second)))
	c, err := cl.net.Dial(cl.ctx, netip.MustParseAddr("127.0.9.9"), netip.AddrPortFrom(h.Address, simulator.CallerPort))
	if err != nil {
		return fmt.Sprintf("opened at %v: %v", at-4*time.Second, err)
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	id := fmt.Sprintf("kept-%v-%d", at, early)
	if _, err := io.WriteString(c, lateText("first-"+id)); err != nil {
		return err.Error()
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return fmt.Sprintf("first request of %s: %v", id, err)
	}
	_ = resp.Body.Close()
	if resp.Close {
		return ""
	}
	err = finishLate(c, reader, lateText(id), start.Add(at), early)
	runs := cl.Executions.Runs(id)
	if err != nil && (runs > 0 || at < closing || early != 0) {
		return fmt.Sprintf("%s: %v, %d runs", id, err, runs)
	}
	return ""
}

func lateText(id string) string {
	return "POST /bookings/1 HTTP/1.1\r\nHost: booking\r\nX-Request-Id: " + id + "\r\nContent-Length: 4\r\n\r\nbody"
}

// finishLate sends a part of a request now, the rest at a time, and reads the response.
func finishLate(c net.Conn, reader *bufio.Reader, text string, at time.Time, early int) error {
	early = (early + len(text)) % len(text)
	if _, err := io.WriteString(c, text[:early]); err != nil {
		return err
	}
	time.Sleep(time.Until(at))
	_, _ = io.WriteString(c, text[early:])
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// TestLongRequestsCutAtExit guards against requests that are cut without an answer as the
// drain ends.
func TestLongRequestsCutAtExit(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		t.Run(fmt.Sprintf("key %v", keyed), func(t *testing.T) {
			d := simulator.Trust().WithOnlyService("booking")
			doc := d.Document("test")
			s, _ := doc.Service("booking")
			s.Routes = slices.Clone(s.Routes)
			for i := range s.Routes {
				s.Routes[i].TimeLimit = 2 * time.Minute
			}
			withCluster(t, simulator.Options{Deployment: d, Entries: 3}, doc.WithService(s), func(t *testing.T, cl testCluster) {
				host := cl.Entries[0]
				// More than the servers can hold, so that some wait here.
				results := make(chan string, 120)
				for i := range cap(results) {
					lines := responder.WorkHeader + ": 100s\r\n"
					if keyed {
						lines += "Idempotency-Key: " + generator.NewIdempotencyKey(rand.New(rand.NewPCG(uint64(i), 1)), time.Now()) + "\r\n"
					}
					go func() {
						id := fmt.Sprintf("r%d", i)
						status, _, err := fetch(cl, host, http.MethodPost, id, lines, 0)
						switch runs := cl.Executions.Runs(id); {
						case err != nil, status != http.StatusGatewayTimeout && status != http.StatusServiceUnavailable, status == http.StatusServiceUnavailable && runs > 0:
							results <- fmt.Sprintf("%s: status %d, %d runs, %v", id, status, runs, err)
						case status == http.StatusServiceUnavailable:
							results <- "refused"
						default:
							results <- ""
						}
					}()
				}
				time.Sleep(time.Second)
				entry := host.Entry
				host.Entry = nil
				entry.Stop(context.Background())
				refused := 0
				for range cap(results) {
					switch fault := <-results; fault {
					case "":
					case "refused":
						refused++
					default:
						t.Error(fault)
					}
				}
				t.Logf("%d refused", refused)
				time.Sleep(3 * time.Minute)
			})
		})
	}
}
