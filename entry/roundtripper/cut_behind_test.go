package roundtripper_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"samphiremux/entry/retrier"
	"samphiremux/pkg/fixturereader"
)

// TestResponseBehindBrokenOffHead guards against a response that is read together with the
// start of an earlier one before it, and taken for a refusal or for another status.
func TestResponseBehindBrokenOffHead(t *testing.T) {
	type fixtureCase struct {
		Name, Cut, Writes string
		Status            int
	}
	cases := fixturereader.Read[[]fixtureCase](t, "_fixtures/cut_behind.yaml")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for length := range len(c.Cut) + 1 {
					cl, srv := newClient()
					go func() { serveScript(<-srv.conns, healthy, c.Cut[:length]+c.Writes) }()
					_, conn, err := cl.Probe(context.Background(), "/health")
					if err != nil {
						t.Fatal(err)
					}
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					r := newRequest()
					r.Method = http.MethodPost
					resp, o := cl.Send(ctx, conn, r)
					answered := outcomeName(o) == "answered"
					switch {
					case !retrier.MayHaveRun(o):
						t.Errorf("%T behind %q", o, c.Cut[:length])
					case answered && (resp.Status != c.Status || string(resp.Body) != "hi"):
						t.Errorf("status %d, body %q behind %q", resp.Status, resp.Body, c.Cut[:length])
					case !answered && length == 0:
						t.Errorf("%T alone", o)
					}
					cancel()
					cl.Close()
				}
			})
		})
	}
}
