package balancer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"samphiremux/entry/chooser"
)

// TestRequestSentAfterCallerLeft guards against a request that is sent to a server although
// its caller, or the connection to the caller, is gone.
func TestRequestSentAfterCallerLeft(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := servers(3, respondOK)
				for _, b := range all {
					b.probeDelay = 5 * time.Millisecond
				}
				f := newFixture(t, chooser.ExpectedCompletion{}, all...)
				path := map[string]string{http.MethodGet: "/look/1", http.MethodPost: "/book/1"}[method]
				for range 100 {
					ctx, cancel := context.WithTimeout(t.Context(), 3*time.Millisecond)
					r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(""))
					r.Host = "h"
					r.Header.Set("Id", "r1")
					f.balancer.ServeHTTP(httptest.NewRecorder(), r)
					cancel()
					time.Sleep(time.Second)
				}
				for _, b := range all {
					if n := b.count(); n > 0 {
						t.Errorf("%s got %d requests of 100", b.id, n)
					}
				}
				f.close()
			})
		})
	}
}
