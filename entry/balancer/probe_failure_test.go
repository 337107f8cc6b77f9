package balancer_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/chooser"
)

// failedProbes returns the causes for which the metrics count failed probes.
func (f *fixture) failedProbes() (causes []string) {
	w := httptest.NewRecorder()
	f.metrics.ServeHTTP(w, nil)
	for line := range strings.Lines(w.Body.String()) {
		rest, ok := strings.CutPrefix(line, `samphire_failed_probes_total{cause="`)
		if cause, n, _ := strings.Cut(rest, `"} `); ok && strings.TrimSpace(n) != "0" {
			causes = append(causes, cause)
		}
	}
	return causes
}

// probeSilent and probeBreak are responses to a probe: none, and the end of the
// connection.
func probeSilent(io.Writer) bool { return true }
func probeBreak(io.Writer) bool  { return false }

func probeRespond(status, instance string) func(io.Writer) bool {
	return func(w io.Writer) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 %s\r\nInstance: %s\r\nContent-Length: 0\r\n\r\n", status, instance)
		return err == nil
	}
}

// probeEnd is longer than a probe may take.
const probeEnd = 100 * time.Millisecond

// TestFailedProbeCauses sends one request while one of two servers fails its probes. The
// other one works for 100 ms, which is longer than a probe may take, unless both fail.
func TestFailedProbeCauses(t *testing.T) {
	for _, c := range []struct {
		cause   string
		probed  func(io.Writer) bool
		crashed bool
		both    bool
		status  int
	}{
		{cause: "refused", crashed: true, status: 200},
		{cause: "reset", probed: probeBreak, status: 200},
		{cause: "no-answer", probed: probeSilent, status: 200},
		{cause: "no-answer", probed: probeSilent, both: true, status: 503}, // the request ends first
		{cause: "unhealthy", probed: probeRespond("503 Service Unavailable", "i-0"), status: 200},
		{cause: "wrong-instance", probed: probeRespond("200 OK", "i-7"), status: 200},
		{cause: "other", probed: func(w io.Writer) bool { _, err := io.WriteString(w, "no response\r\n\r\n"); return err == nil }, status: 200},
	} {
		t.Run(c.cause, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				all := servers(2, respondOK)
				all[1].work = 100 * time.Millisecond
				all[0].respondProbe, all[0].crashed = c.probed, c.crashed
				if c.both {
					all[1].respondProbe = c.probed
				}
				f := newFixture(t, chooser.ExpectedCompletion{}, all...)
				is.Equal(f.send(http.MethodPost, "/book/1", "r1").Code, c.status)
				time.Sleep(probeEnd)
				is.Equal(f.failedProbes(), []string{c.cause})
				f.close()
			})
		})
	}
}
