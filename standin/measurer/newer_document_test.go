package measurer_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/forwarder"
	"samphiremux/entry/locator"
	"samphiremux/pkg/parser"
	"samphiremux/standin/netemulator"
	"samphiremux/standin/platformemulator"
	"samphiremux/standin/simulator"
)

// addedPath returns the path of a route that withManyRoutes adds.
func addedPath(route int) string {
	return fmt.Sprintf("/added-%d/%x/", route, uint32(route)*2654435761)
}

// withManyRoutes returns a document in which a service has a number of further routes, whose
// names hardly compress, and which has a further service.
func withManyRoutes(doc parser.Document, service string, routes int) parser.Document {
	s, _ := doc.Service(service)
	for i := range routes {
		r := s.Routes[0]
		r.Name = fmt.Sprintf("added-%d", i)
		r.PathPrefix = addedPath(i)
		s.Routes = append(s.Routes, r)
	}
	doc = doc.WithService(s)
	added, srv := s, s.Servers[0]
	srv.Name, srv.Address = "added-1", netip.AddrPortFrom(netip.MustParseAddr("127.1.99.1"), simulator.ServerPort)
	added.Name, added.Servers, added.Routes = "added", []parser.Server{srv}, s.Routes[:1]
	doc.Services = append(doc.Services, added)
	return doc
}

// statuses sends one request after the other, with a header line, to an entry for a time, and returns how many
// responses had each status, and whether those with 503 said when to come back.
func statuses(t *testing.T, cl testCluster, h *simulator.Host, path, header string, lasts time.Duration) (count map[int]int, retryAfter bool) {
	t.Helper()
	count, retryAfter = map[int]int{}, true
	c, err := cl.net.Dial(cl.ctx, netip.MustParseAddr("127.0.9.9"), netip.AddrPortFrom(h.Address, simulator.CallerPort))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: catalogue\r\nX-Request-Id: r\r\n"+header+"\r\n"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		count[resp.StatusCode]++
		if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
			retryAfter = false
		}
	}
	return count, retryAfter
}

// TestRouteOfPeersDocumentDenied guards against 404 for a route of a document that other
// entries have and that an entry, or the one it forwards to, has not fetched yet.
func TestRouteOfPeersDocumentDenied(t *testing.T) {
	for _, c := range []struct {
		name, path, never string
		forwarded         bool
	}{
		{"direct", addedPath(7), "/never/", false},
		{"forwarded", addedPath(7), "/never/", true},
		{"located", locator.Path + "?service=added", locator.Path + "?service=never", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := simulator.Trust().WithOnlyService("catalogue")
			doc := d.Document("test")
			s, _ := doc.Service("catalogue")
			s.Entries = 1
			doc = doc.WithService(s)
			withCluster(t, simulator.Options{Deployment: d, Entries: 4}, doc, func(t *testing.T, cl testCluster) {
				is := is.New(t)
				var behind, other *simulator.Host
				for _, h := range cl.Entries {
					if h.Entry.Node().Snapshot().Services["catalogue"].InSubset {
						behind = h
					} else {
						other = h
					}
				}
				behind.SetStorePartitioned(true)
				cl.net.SetBandwidth(behind.Address, 20_000)
				for _, h := range cl.Entries {
					if h != behind {
						cl.net.SetPartition(h.Address, behind.Address, netemulator.Resetting)
						cl.net.SetPartition(h.Address, behind.Address, netemulator.Connected)
					}
				}
				time.Sleep(time.Second)
				is.NoErr(cl.Publish(withManyRoutes(cl.Document(), "catalogue", 3000)))
				time.Sleep(200 * time.Millisecond)
				is.True(other.Entry.Node().Snapshot().Revision == cl.Revision())
				is.True(behind.Entry.Node().Snapshot().Revision < cl.Revision())
				asked := behind
				if c.forwarded {
					asked = other
				}
				count, retryAfter := statuses(t, cl, asked, c.path, "", 3*time.Second)
				t.Logf("statuses %v, revision %d of %d", count, behind.Entry.Node().Snapshot().Revision, cl.Revision())
				is.True(count[http.StatusNotFound] == 0)
				is.True(count[http.StatusServiceUnavailable] > 0) // the entry was behind
				is.True(count[http.StatusOK] > 0)                 // it had the document in the end
				is.True(retryAfter)
				never, _ := statuses(t, cl, asked, c.never, "", 200*time.Millisecond)
				is.True(never[http.StatusNotFound] > 0)
				is.Equal(len(never), 1)
			})
		})
	}
}

// TestRouteOfForwardersDocumentDenied guards against 404 from an entry for a request that
// another one has accepted by a newer document.
func TestRouteOfForwardersDocumentDenied(t *testing.T) {
	d := simulator.Trust().WithOnlyService("catalogue")
	withCluster(t, simulator.Options{Deployment: d, Entries: 2}, d.Document("test"), func(t *testing.T, cl testCluster) {
		is := is.New(t)
		for revision, status := range map[int]int{1: http.StatusNotFound, 2: http.StatusServiceUnavailable} {
			header := fmt.Sprintf("%s: entry-02\r\n%s: %d\r\n", forwarder.HopHeader, forwarder.RevisionHeader, revision)
			count, _ := statuses(t, cl, cl.Entries[0], "/never/", header, 20*time.Millisecond)
			is.Equal(count, map[int]int{status: 1})
		}
	})
}

// TestRouteDeniedAfterStart guards against 404 from an entry that has started, without the
// store, from an entry that is behind.
func TestRouteDeniedAfterStart(t *testing.T) {
	d := simulator.Trust().WithOnlyService("catalogue")
	withCluster(t, simulator.Options{Deployment: d, Entries: 3}, d.Document("test"), func(t *testing.T, cl testCluster) {
		is := is.New(t)
		behind := cl.Entries[0]
		behind.SetStorePartitioned(true)
		for _, other := range cl.Entries[1:] {
			cl.net.SetPartition(behind.Address, other.Address, netemulator.Resetting)
		}
		is.NoErr(cl.Publish(withManyRoutes(cl.Document(), "catalogue", 10)))
		time.Sleep(time.Second)
		is.True(behind.Entry.Node().Snapshot().Revision < cl.Revision())
		is.True(cl.Entries[1].Entry.Node().Snapshot().Revision == cl.Revision())
		cl.Store.SetFaults(platformemulator.Faults{Down: true})
		is.NoErr(cl.StartEntry(3))
		count, _ := statuses(t, cl, cl.Entries[3], addedPath(7), "", 3*time.Second)
		is.Equal(count[http.StatusNotFound], 0)
		is.True(count[http.StatusOK] > 0) // it had the document in the end
		never, _ := statuses(t, cl, cl.Entries[3], "/never/", "", 200*time.Millisecond)
		is.Equal(len(never), 1)
		is.True(never[http.StatusNotFound] > 0)
	})
}

// TestIsolatedEntryDeniesRoute guards against 404 from an entry that hears neither the store
// nor a peer, and cannot know which routes there are.
func TestIsolatedEntryDeniesRoute(t *testing.T) {
	for _, path := range []string{"/never/", locator.Path + "?service=never"} {
		t.Run(path, func(t *testing.T) {
			d := simulator.Trust().WithOnlyService("catalogue")
			withCluster(t, simulator.Options{Deployment: d, Entries: 3}, d.Document("test"), func(t *testing.T, cl testCluster) {
				is := is.New(t)
				isolated := cl.Entries[0]
				isolated.SetStorePartitioned(true)
				for _, other := range cl.Entries[1:] {
					cl.net.SetPartition(isolated.Address, other.Address, netemulator.Resetting)
				}
				time.Sleep(5 * time.Second)
				count, _ := statuses(t, cl, isolated, path, "", 20*time.Millisecond)
				is.Equal(count, map[int]int{http.StatusServiceUnavailable: 1})
			})
		})
	}
}
