package commander

import (
	"fmt"
	"testing"
	"time"

	"samphiremux/pkg/storer"
)

// TestStoreSilentToRelays guards against entries that miss a change of the store, which would
// answer them, since it has stopped answering the relays of all failure domains.
func TestStoreSilentToRelays(t *testing.T) {
	// changeBound is the time within which the users want a change to be known.
	const changeBound = 2 * time.Second
	for _, after := range []time.Duration{-100 * time.Millisecond, 0, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second} {
		t.Run(fmt.Sprint("change after ", after), func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				store := f.followStore()
				time.Sleep(2 * settleTime)
				change := func() storer.Revision {
					return store.Commit(t.Context(), storer.Transaction{Puts: []storer.Put{{Key: "changed"}}}).(storer.Committed).Revision
				}
				if after < 0 {
					// The relays receive this one. While they pause after it, they miss the next.
					change()
					time.Sleep(-after)
				}
				relays := map[*entry]bool{}
				for _, e := range f.entries {
					relays[e] = e.enroller.IsRelay()
					if relays[e] {
						f.network.silenceStore(e.id)
					}
				}
				time.Sleep(after)
				revision := change()
				time.Sleep(changeBound)
				for _, e := range f.entries {
					if known := e.reflector.Revision(); known < revision {
						t.Errorf("entry %s (relay: %v) knows revision %d of %d after %v", e.id, relays[e], known, revision, changeBound)
					}
				}
			})
		})
	}
}
