package forwarder_test

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"samphiremux/entry/chooser"
	"samphiremux/entry/collector"
	"samphiremux/entry/forwarder"
	"samphiremux/entry/reconciler"
	"samphiremux/entry/tracker"
	"samphiremux/pkg/pipelistener"
)

// TestUnreadRefusal guards against connections that callers keep for ever, since they send
// requests and read none of the refusals: no bound closes a connection in use.
func TestUnreadRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		node := reconciler.New(reconciler.Options{
			Self: tracker.Member{ID: "e1"}, Policy: chooser.ExpectedCompletion{}, Now: time.Now, Metrics: collector.New(),
		})
		server := &http.Server{Handler: forwarder.New(node, nil, nil, nil, nil, nil, hclog.NewNullLogger())}
		l := pipelistener.New()
		go func() { _ = server.Serve(l) }()
		defer server.Close()
		caller := l.Open()
		defer caller.Close()
		_, err := io.WriteString(caller, "GET /none HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		time.Sleep(time.Minute)
		_, err = caller.Read(make([]byte, 1))
		is.True(err != nil) // the entry still waits for the caller to read
	})
}
