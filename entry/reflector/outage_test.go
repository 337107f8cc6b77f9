package reflector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/reflector"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
)

// TestCallsInOutage guards against entries that all try to reach a store that is down, of
// which each call is paid for. An entry that will not become the relay leaves that to those
// that may, and takes the changes from a relay afterwards without a list of its own.
func TestCallsInOutage(t *testing.T) {
	runWithFixture(t, func(is *is.I, f *fixture) {
		f.update(func() { f.passive, f.store.err = true, errStoreDown })
		before := f.calls()
		f.store.events <- nil
		time.Sleep(8 * time.Second)
		is.True(f.calls()-before <= 4)
		is.True(!f.reflector.StoreReachable())

		f.update(func() { f.hasRelay, f.store.err = true, nil })
		before = f.calls()
		time.Sleep(300 * time.Millisecond)
		is.True(f.reflector.StoreReachable())
		f.reflector.ApplyBatch(time.Now(), reflector.Batch{
			Above: 10, Revision: 12, Changes: []*linkpb.Change{{Key: "servers/b", Value: []byte("2"), Revision: 12}},
		})
		is.Equal(f.value("servers/b"), "2")
		time.Sleep(5 * time.Second)
		is.Equal(f.calls(), before)
		is.Equal(f.reflector.Revision(), storer.Revision(12))
	})
}

// TestStoreFoundWithoutRelays guards against an entry that waits for a relay for good after
// an outage in which all relays of its failure domain were lost.
func TestStoreFoundWithoutRelays(t *testing.T) {
	runWithFixture(t, func(is *is.I, f *fixture) {
		f.update(func() { f.passive, f.store.err = true, errStoreDown })
		f.store.events <- nil
		time.Sleep(8 * time.Second)
		f.update(func() {
			f.store.err, f.store.at = nil, 20
			f.store.pairs = append(f.store.pairs, storer.KeyValue{Key: "servers/b", Value: []byte("2"), ModRevision: 20})
		})
		time.Sleep(6 * time.Second)
		is.True(f.reflector.StoreReachable())
		is.Equal(f.value("servers/b"), "2")
	})
}

// TestWatchesForChangesThatCanWait guards against calls of the store for a key that changes
// every 5 s, and against other changes that are known later than usual.
func TestWatchesForChangesThatCanWait(t *testing.T) {
	runWithFixture(t, func(is *is.I, f *fixture) {
		f.update(func() { f.isRelay = true })
		change := func(keys ...string) (events []storer.Event) {
			for _, key := range keys {
				events = append(events, storer.Event{Pair: storer.KeyValue{Key: key, Value: []byte("2"), ModRevision: 11}})
			}
			return events
		}
		f.store.events <- change("usage")
		before := f.watches()
		time.Sleep(600 * time.Millisecond)
		is.Equal(f.watches(), before)
		time.Sleep(200 * time.Millisecond)
		is.Equal(f.watches(), before+1)
		f.store.events <- change("usage", "servers/a")
		time.Sleep(300 * time.Millisecond)
		is.Equal(f.watches(), before+2)
	})
}
