package platformemulator_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/reflector"
	"samphiremux/pkg/failurefilter"
	"samphiremux/pkg/storer"
	"samphiremux/standin/platformemulator"
)

// follower is the copy of one entry that follows an emulated store over HTTP.
type follower struct {
	reflector *reflector.Reflector

	mu     sync.Mutex
	values map[string]string
}

func (f *follower) value(key string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.values[key]
}

// waitFor waits until a key has a value, and reports whether that happened within a time.
func (f *follower) waitFor(key, value string, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if f.value(key) == value {
			return true
		}
	}
	return false
}

// newFollower returns a follower of a new store.
func newFollower(t *testing.T) (*follower, *platformemulator.Store) {
	t.Helper()
	client, store := newClient(t)
	f := &follower{values: map[string]string{}}
	f.reflector = reflector.New(reflector.Options{
		Store: client, IsRelay: func() bool { return true }, HasRelay: func() bool { return false },
		FetchFromPeers: func(context.Context, storer.Revision) (reflector.Batch, error) {
			return reflector.Batch{}, errors.New("no other entry")
		},
		RemovalDelay: func(string) time.Duration { return 500 * time.Millisecond },
		OnChange:     func() {},
		Sink: func(_ time.Time, c reflector.Change) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if c.Deleted {
				delete(f.values, c.Key)
				return
			}
			f.values[c.Key] = string(c.Value)
		},
		Log: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.reflector.Run(ctx)
	go f.reflector.RunPeerSync(ctx)
	return f, store
}

// TestChangeAfterRestoreNotInForce guards against changes that are missed after the store
// was restored, since their revisions were given out before.
func TestChangeAfterRestoreNotInForce(t *testing.T) {
	f, store := newFollower(t)
	store.PutUnguarded("config", []byte("1"))
	old := store.Copy()
	store.PutUnguarded("config", []byte("2"))
	store.PutUnguarded("config", []byte("3"))
	if !f.waitFor("config", "3", 2*time.Second) {
		t.Fatal("follower does not follow the store")
	}
	store.Restore(old)
	store.PutUnguarded("config", []byte("3")) // the operators write it again
	time.Sleep(500 * time.Millisecond)
	store.PutUnguarded("config", []byte("4"))
	if !f.waitFor("config", "4", 2*time.Second) {
		failurefilter.Errorf(t, "config is %q 2 s after the store confirmed \"4\"", f.value("config"))
	}
}

// TestStoreListedWithoutPause guards against entries that list the whole store again and
// again while its revision is below the one that they know.
func TestStoreListedWithoutPause(t *testing.T) {
	f, store := newFollower(t)
	old := store.Copy()
	store.PutUnguarded("a", []byte("1"))
	if !f.waitFor("a", "1", 2*time.Second) {
		t.Fatal("follower does not follow the store")
	}
	before := store.Calls()["range"]
	store.Restore(old)
	time.Sleep(time.Second)
	if lists := store.Calls()["range"] - before; lists > 5 {
		failurefilter.Errorf(t, "the store was listed %d times in a second after its restore", lists)
	}
}
