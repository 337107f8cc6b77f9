package roundtripper_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/roundtripper"
	"samphiremux/pkg/fixturereader"
)

// TestNoticeInAnyResponse guards against what a server says of itself that is lost with
// the response in which it says so.
func TestNoticeInAnyResponse(t *testing.T) {
	type fixtureCase struct {
		Name      string `yaml:"name"`
		Probe     bool   `yaml:"probe"`
		Writes    string `yaml:"writes"`
		Closes    bool   `yaml:"closes"`
		BodyBytes int    `yaml:"body-bytes"`
		Leaving   bool   `yaml:"leaving"`
		PauseMS   int64  `yaml:"pause-ms"`
	}
	cases := fixturereader.Read[[]fixtureCase](t, "_fixtures/notices.yaml")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cl, srv := newClient()
				leaving := false
				began := time.Now()
				var pause time.Duration
				cl.OnNotice(func(n roundtripper.Notice) {
					switch n := n.(type) {
					case roundtripper.Leaving:
						leaving = true
					case roundtripper.Paused:
						pause = n.Until.Sub(began)
					}
				})
				go func() {
					conn := <-srv.conns
					_, _ = http.ReadRequest(bufio.NewReaderSize(conn, 16))
					_, _ = io.WriteString(conn, c.Writes)
					if c.Closes {
						_ = conn.Close()
					}
				}()
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				if c.Probe {
					if _, conn, err := cl.Probe(ctx, "/health"); err == nil {
						cl.Release(conn)
					}
				} else {
					r := newRequest()
					r.Body = []byte(strings.Repeat("b", c.BodyBytes))
					_, _ = cl.Send(ctx, nil, r)
				}
				time.Sleep(time.Second)
				synctest.Wait()
				is.Equal(leaving, c.Leaving)
				is.Equal(pause.Milliseconds(), c.PauseMS)
				cl.Close()
			})
		})
	}
}
