package usagereporter_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStopInTurn guards against counts that are lost with entries which stop one after another
// while others run: those that an entry served after relays had ceased to ask it, those that only
// an entry which then stops has received, and those that come after the report of their window.
func TestStopInTurn(t *testing.T) {
	for _, c := range []struct {
		name  string
		stops func(w *fixture, holder, other *node)
	}{
		{"an entry, then its taker is killed", func(w *fixture, holder, other *node) {
			w.stop(time.Second, other)
			time.Sleep(400 * time.Millisecond) // the others have what the holder served itself
			w.kill(holder)
		}},
		{"an entry that is killed while it stops", func(w *fixture, _, other *node) {
			other.stopping.Store(true)
			w.serve(time.Second)
			time.Sleep(250 * time.Millisecond)
			w.kill(other)
		}},
		{"the holder and an entry, whose takers are no relays", func(w *fixture, holder, other *node) {
			for _, n := range w.nodes {
				n.passive.Store(n != w.nodes[2])
			}
			w.stop(time.Second, holder, other)
		}},
		{"all but two while the store is down", func(w *fixture, _, _ *node) {
			w.onCommit.set(func(*node, bool) error { return errors.New("down") })
			w.stop(time.Second, w.nodes[:2]...)
			w.stop(time.Second, w.nodes[2:4]...)
			w.onCommit.set(func(*node, bool) error { return nil })
		}},
		{"an entry that reaches no other until its window has ended", func(w *fixture, _, other *node) {
			other.cut.Store(true)
			time.AfterFunc(7500*time.Millisecond, func() { other.cut.Store(false) })
			w.stop(8*time.Second, other)
		}},
		{"all restart", func(w *fixture, _, _ *node) {
			for _, n := range w.nodes {
				n.stopping.Store(true)
			}
			for i, n := range w.nodes {
				w.stop(300*time.Millisecond, n)
				w.begin(i)
			}
		}},
		{"the last two at once while another one starts", func(w *fixture, _, _ *node) {
			w.stop(time.Second, w.nodes[2:]...)
			time.AfterFunc(1500*time.Millisecond, func() { w.begin(2) })
			w.stop(time.Second, w.nodes[:2]...)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, 6, func(w *fixture) {
				w.serve(21 * time.Second)
				c.stops(w, w.holder(), w.nodes[5])
				w.serve(25 * time.Second)
				w.reported(0, 35*time.Second, lateTime)
				for at := time.Duration(0); at < 35*time.Second; at += limits.Window {
					is.New(w.t).Equal(w.reports()[w.window(at)].Counts["stock"], w.served[w.window(at)])
				}
			})
		})
	}
}
