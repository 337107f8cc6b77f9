package balancer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/chooser"
)

func respondLeaving(w io.Writer, id string) bool {
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok", id)
	return err == nil
}

func breakLeavingBody(w io.Writer, id string) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nLeaving: 1\r\nContent-Length: 9\r\n\r\nok", id)
	return false
}

func shedLeaving(w io.Writer, _ string) bool {
	_, err := io.WriteString(w, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// sendMany sends requests one after the other.
func (f *fixture) sendMany(n int) {
	for i := range n {
		f.send(http.MethodGet, "/look/1", fmt.Sprintf("many-%d", i))
	}
}

// TestServerUsedAfterItSaysItLeaves guards against work for a server that said in one
// response that it leaves, while the store, which may be away, and its probes say nothing.
func TestServerUsedAfterItSaysItLeaves(t *testing.T) {
	for _, c := range []struct {
		name    string
		method  string
		respond func(io.Writer, string) bool
	}{
		{"a whole response", http.MethodGet, respondLeaving},
		{"a response whose body breaks off", http.MethodGet, breakLeavingBody},
		{"a refusal", http.MethodGet, shedLeaving},
		{"a refusal of an upload", http.MethodPost, shedLeaving},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				all := servers(3, respondOK)
				for _, b := range all[1:] {
					b.slowness = 200 // so that the first server gets the first request
				}
				all[0].respond = c.respond
				f := newFixture(t, chooser.ExpectedCompletion{}, all...)
				f.send(c.method, map[string]string{http.MethodGet: "/look/1", http.MethodPost: "/book/1"}[c.method], "r1")
				is.Equal(all[0].count(), 1)
				probed := all[0].probed
				f.snapshotter.PutServer(f.snapshotter.Snapshot().Services["stock"][0].Server) // the store's record says nothing of it
				f.sendMany(20)
				is.Equal(all[0].count(), 1)
				is.Equal(all[0].probed, probed)
				f.close()
			})
		})
	}
}

// TestLeavingSaidByHedge guards against news that is lost when it comes in the response to
// the second of two hedged attempts, or in the one that is no longer needed.
func TestLeavingSaidByHedge(t *testing.T) {
	for _, c := range []struct {
		name   string
		leaves int // the order of the attempt whose server says that it leaves
	}{
		{"the first attempt, which loses", 0},
		{"the second attempt", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				all := servers(2, respondOK)
				all[0].work = 300 * time.Millisecond
				all[1].slowness = 110
				if c.leaves == 0 {
					// The head is in time, the body is not.
					all[0].work = 0
					all[0].respond = func(w io.Writer, id string) bool {
						_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nLeaving: 1\r\nContent-Length: 9\r\n\r\nok", id)
						time.Sleep(time.Second)
						return false
					}
				} else {
					all[1].respond = respondLeaving
				}
				f := newFixture(t, chooser.ExpectedCompletion{}, all...)
				is.Equal(f.send(http.MethodGet, "/look/1", "r1").Code, 200)
				is.Equal(all[0].count()+all[1].count(), 2)
				f.sendMany(10)
				is.Equal(all[c.leaves].count(), 1)
				f.close()
				time.Sleep(time.Second)
			})
		})
	}
}

// TestLeavingSaidToCallerThatLeft guards against news that is lost when the caller
// disconnects before the response is whole.
func TestLeavingSaidToCallerThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(2, respondOK)
		all[1].slowness = 200
		all[0].respond = func(w io.Writer, id string) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nLeaving: 1\r\nContent-Length: 9\r\n\r\nok", id)
			time.Sleep(time.Second)
			return false
		}
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		r := httptest.NewRequest(http.MethodPost, "http://h/book/1", http.NoBody).WithContext(ctx)
		r.RequestURI = "/book/1"
		r.Header.Set("Id", "r1")
		f.balancer.ServeHTTP(httptest.NewRecorder(), r)
		f.sendMany(10)
		is.Equal(all[0].count(), 1)
		f.close()
		time.Sleep(time.Second)
	})
}

// TestLeavingServerRegisteredAgain guards against a server that an older record of the
// store brings back, after its removal too, and against a restarted server under the same
// address that is taken for the one that left.
func TestLeavingServerRegisteredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(2, respondOK)
		all[1].slowness = 200
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		server := f.snapshotter.Snapshot().Services["stock"][0].Server
		server.Incarnation = 7
		f.snapshotter.PutServer(server)
		all[0].respond = respondLeaving
		f.sendMany(10)
		is.Equal(all[0].count(), 1)
		all[0].respond = respondOK
		f.snapshotter.PutServer(server)
		f.snapshotter.RemoveServer(server.ID)
		f.snapshotter.PutServer(server)
		older := server
		older.Incarnation = 6
		f.snapshotter.PutServer(older)
		f.sendMany(10)
		is.Equal(all[0].count(), 1)
		server.Incarnation = 8
		f.snapshotter.PutServer(server)
		f.snapshotter.PutServer(older)
		f.sendMany(10)
		is.True(all[0].count() > 1)
		f.close()
	})
}

// TestLeavingSaidAfterRemoval guards against a server that an older record brings back, since
// it said only after its removal, to a request that still ran, that it leaves.
func TestLeavingSaidAfterRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(1, respondLeaving)
		all[0].work = 100 * time.Millisecond
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		defer f.close()
		server := f.snapshotter.Snapshot().Services["stock"][0].Server
		server.Incarnation = 7
		f.snapshotter.PutServer(server)
		time.AfterFunc(50*time.Millisecond, func() { f.snapshotter.RemoveServer(server.ID) })
		is.Equal(f.send(http.MethodPost, "/book/1", "r1").Code, 200)
		all[0].setRespond(respondOK)
		f.snapshotter.PutServer(server)
		f.sendMany(10)
		is.Equal(all[0].count(), 1)
	})
}

// TestLateWordOfEarlierIncarnation guards against a restarted server that gets nothing,
// since a response of its earlier incarnation arrives after its registration.
func TestLateWordOfEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(1, respondLeaving)
		all[0].work = 100 * time.Millisecond
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		go f.send(http.MethodPost, "/book/1", "r1")
		time.Sleep(50 * time.Millisecond)
		all[0].mu.Lock()
		all[0].respond = respondOK
		all[0].mu.Unlock()
		server := f.snapshotter.Snapshot().Services["stock"][0].Server
		server.Incarnation = 8
		f.snapshotter.PutServer(server)
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.send(http.MethodPost, "/book/1", "r2").Code, 200)
		f.close()
	})
}

// TestLeavingServerAfterRestartOfEntry guards against an entry that has just started and
// sends to a server that says that it leaves, since only its previous process received that notice.
func TestLeavingServerAfterRestartOfEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(2, respondOK)
		all[1].slowness = 200
		all[0].respond = respondLeaving
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		f.sendMany(10)
		is.Equal(all[0].count(), 1)
		f.close()
		all[0].healthHeader = "Leaving: 1\r\n"
		restarted := newFixture(t, chooser.ExpectedCompletion{}, all...)
		restarted.sendMany(10)
		is.Equal(all[0].count(), 1)
		restarted.close()
	})
}

// TestExitOfLeavingServerTakenForCrash guards against a request that is taken for one that
// crashes servers, and against a probe, since a server that said that it leaves exits under it.
func TestExitOfLeavingServerTakenForCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(2, respondOK)
		all[1].slowness = 110
		all[0].setRespond(func(w io.Writer, _ string) bool {
			time.Sleep(50 * time.Millisecond)
			all[0].mu.Lock()
			all[0].crashed = true
			all[0].mu.Unlock()
			return breakLeavingBody(w, "r1")
		})
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		defer f.close()
		f.send(http.MethodPost, "/book/1", "r1")
		is.Equal(all[0].count(), 1)
		time.Sleep(time.Second)
		is.Equal(len(f.notices), 0)
	})
}

// TestLeavingSaidInProbe guards against a request to a server whose healthy response to the
// probe just before says that it leaves.
func TestLeavingSaidInProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := servers(1, respondOK)
		all[0].healthHeader = "Leaving: 1\r\n"
		f := newFixture(t, chooser.ExpectedCompletion{}, all...)
		w := f.send(http.MethodPost, "/book/1", "r1")
		is.Equal(w.Code, 503)
		is.Equal(all[0].count(), 0)
		f.close()
	})
}
