package balancer_test

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"samphiremux/entry/chooser"
)

// TestColdAttemptIsLogged guards against attempts at cold servers that no log shows, with the
// part that the entry took itself to have in their rate.
func TestColdAttemptIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(1, respondOK)
		all[0].cold = 3 * time.Second
		var log bytes.Buffer
		f := newLoggingFixture(t, hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: &log, JSONFormat: true}), chooser.ExpectedCompletion{}, all...)
		is.Equal(f.send(http.MethodGet, "/look/1", "r1").Code, http.StatusOK)
		chosen := ""
		for line := range strings.Lines(log.String()) {
			if strings.Contains(line, `"event":"chosen"`) {
				chosen = line
			}
		}
		is.True(strings.Contains(chosen, `"cold-rank":`))
		is.True(strings.Contains(chosen, `"cold-holders":10,`))
		is.True(strings.Contains(chosen, `"entries":16,`))
		f.close()
	})
}

// TestRefusalsAreSummedUp guards against refusals whose reason no log line tells, since there
// are more of them than lines in a second.
func TestRefusalsAreSummedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log bytes.Buffer
		f := newLoggingFixture(t, hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: &log, JSONFormat: true}), chooser.ExpectedCompletion{}, servers(1, respondOK)...)
		for range 500 {
			is.Equal(f.send(http.MethodGet, "/none", "r1").Code, http.StatusNotFound)
		}
		f.balancer.LogRefusals(time.Now())
		f.balancer.LogRefusals(time.Now().Add(time.Minute)) // none since
		is.Equal(strings.Count(log.String(), "Refused requests."), 1)
		is.True(strings.Contains(log.String(), `"reason":"no-such-route","requests":500`))
		f.close()
	})
}
