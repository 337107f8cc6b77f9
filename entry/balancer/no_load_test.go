package balancer_test

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/chooser"
)

// withoutLoad makes servers report no load.
func withoutLoad(all []*backend) []*backend {
	for _, b := range all {
		b.respondProbe = func(w io.Writer) bool {
			_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nInstance: %s\r\nContent-Length: 0\r\n\r\n", b.id)
			return err == nil
		}
	}
	return all
}

// TestFewServersWithoutLoadUsed guards against requests that all go to the few servers that an
// entry probed first, in a service whose servers report no load.
func TestFewServersWithoutLoadUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 400
		is := is.New(t)
		all := withoutLoad(servers(8, respondOK))
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		defer f.close()
		f.sendMany(calls)
		for _, b := range all {
			is.True(b.count() > calls/8/2) // each gets at least half of an equal part
		}
	})
}

// TestServerWithoutLoadUnusedAfterPause guards against a server without load reports that gets
// nothing for long after a pause.
func TestServerWithoutLoadUnusedAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := withoutLoad(servers(4, respondOK))
		all[0].respond = shedFor("2")
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		defer f.close()
		f.sendFor(time.Second)
		paused := all[0].count()
		is.True(paused > 0)
		all[0].setRespond(respondOK)
		f.sendFor(10 * time.Second)
		is.True(all[0].count() > paused)
	})
}
