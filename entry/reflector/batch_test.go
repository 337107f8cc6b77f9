package reflector_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/reflector"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
)

// largeBatch is a batch of a relay with a small change and one that is too large.
func largeBatch() reflector.Batch {
	return reflector.Batch{
		Revision: 13,
		Changes:  []*linkpb.Change{{Key: "servers/b", Value: []byte("1"), Revision: 13}},
		Omitted:  []*linkpb.Change{{Key: "op", Revision: 12}},
	}
}

// TestChangeMissedBehindOmittedValue guards against an entry that counts as up to date
// without a value that the relay omitted, and against one that waits with other changes.
func TestChangeMissedBehindOmittedValue(t *testing.T) {
	runWithFixture(t, func(is *is.I, fx *fixture) {
		fx.update(func() { fx.store.err = errStoreDown })
		fx.reflector.ApplyBatch(time.Now(), largeBatch())
		is.Equal(fx.value("servers/b"), "1")
		time.Sleep(time.Second)
		is.Equal(fx.reflector.Revision(), storer.Revision(11)) // the value is still missing
		fx.update(func() {
			fx.store.err = nil
			fx.store.pairs = append(fx.store.pairs, storer.KeyValue{Key: "op", Value: []byte("new"), ModRevision: 12})
		})
		time.Sleep(time.Second)
		is.Equal(fx.value("op"), "new")
		is.Equal(fx.reflector.Revision(), storer.Revision(13))
	})
}

// TestOmittedValueFromPeers guards against an entry that lacks an omitted value as long as
// the store refuses its reads.
func TestOmittedValueFromPeers(t *testing.T) {
	runWithFixture(t, func(is *is.I, fx *fixture) {
		fx.update(func() {
			fx.store.err = errStoreDown
			fx.peerBatch = reflector.Batch{Revision: 13, Changes: []*linkpb.Change{{Key: "op", Value: []byte("new"), Revision: 12}}}
		})
		fx.reflector.ApplyBatch(time.Now(), largeBatch())
		time.Sleep(time.Second)
		is.Equal(fx.value("op"), "new")
		is.Equal(fx.reflector.Revision(), storer.Revision(13))
	})
}

// TestOmittedValueReadOnce guards against a value that is read again with each heartbeat.
func TestOmittedValueReadOnce(t *testing.T) {
	runWithFixture(t, func(is *is.I, fx *fixture) {
		fx.update(func() {
			fx.store.pairs = append(fx.store.pairs, storer.KeyValue{Key: "op", Value: []byte("new"), ModRevision: 12})
		})
		for range 5 {
			fx.reflector.ApplyBatch(time.Now(), largeBatch())
			time.Sleep(300 * time.Millisecond)
		}
		is.Equal(fx.store.gets, 1)
	})
}

// TestBatchOverLimit guards against batches that skip a change between two others, against
// full batches that lack keys, and against a batch of before a change.
func TestBatchOverLimit(t *testing.T) {
	runWithFixture(t, func(is *is.I, fx *fixture) {
		var changes []*linkpb.Change
		for i, size := range []int{40, 400, 40, 40} {
			changes = append(changes, &linkpb.Change{Key: string(rune('a' + i)), Value: []byte(strings.Repeat("v", size)), Revision: uint64(11 + i)})
		}
		fx.reflector.ApplyBatch(time.Now(), reflector.Batch{Revision: 14, Changes: changes})
		b := fx.reflector.ChangesSince(10, 100)
		is.Equal(len(b.Changes), 2) // a and c; d does not fit
		is.Equal(len(b.Omitted), 1)
		is.Equal(b.Revision, storer.Revision(13))
		is.Equal(b.CompleteRevision(), storer.Revision(11))
		is.Equal(fx.reflector.ChangesSince(3, 100).Revision, storer.Revision(0)) // a full batch
		is.Equal(len(fx.reflector.ChangesSince(10, 0).Changes), 4)
		is.Equal(len(fx.reflector.ChangesSince(13, 100).Changes), 1)
		fx.reflector.ApplyBatch(time.Now(), reflector.Batch{Revision: 15, Changes: []*linkpb.Change{{Key: "e", Value: []byte("v"), Revision: 15}}})
		b = fx.reflector.ChangesSince(13, 100)
		is.Equal(len(b.Changes), 2)
		is.Equal(b.Revision, storer.Revision(15))
	})
}

// TestChangesBetweenBatchesMissed guards against an entry that has restarted with the state
// of an entry behind, and takes the changes that a relay sends to its earlier incarnation
// for all that it lacks.
func TestChangesBetweenBatchesMissed(t *testing.T) {
	runWithFixture(t, func(is *is.I, fx *fixture) {
		fx.reflector.ApplyBatch(time.Now(), reflector.Batch{
			Above: 14, Revision: 16, Changes: []*linkpb.Change{{Key: "servers/b", Value: []byte("1"), Revision: 16}},
		})
		is.Equal(fx.value("servers/b"), "1")
		is.Equal(fx.reflector.Revision(), storer.Revision(10)) // 11 to 14 are not known
		fx.reflector.ApplyBatch(time.Now(), reflector.Batch{Above: 10, Revision: 16})
		is.Equal(fx.reflector.Revision(), storer.Revision(16))
	})
}
