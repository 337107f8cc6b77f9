package reflector_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/reflector"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
)

// TestFalseNotFoundBehindOmittedValue guards against an entry that denies a route although
// a newer configuration is named that it has not read yet.
func TestFalseNotFoundBehindOmittedValue(t *testing.T) {
	runWithFixture(t, func(is *is.I, fx *fixture) {
		is.True(!fx.reflector.Outdated(time.Now(), "op"))
		fx.update(func() { fx.store.err = errStoreDown })
		fx.reflector.ApplyBatch(time.Now(), largeBatch())
		is.True(fx.reflector.Outdated(time.Now(), "op"))
		is.True(!fx.reflector.Outdated(time.Now(), "servers/a"))
		fx.update(func() {
			fx.store.err = nil
			fx.store.pairs = append(fx.store.pairs, storer.KeyValue{Key: "op", Value: []byte("new"), ModRevision: 12})
		})
		time.Sleep(time.Second)
		is.True(!fx.reflector.Outdated(time.Now(), "op"))
	})
}

// TestFalseNotFoundWhileBehind guards against an entry that denies a route although it has
// been behind others for longer than usual, and against one that never denies it.
func TestFalseNotFoundWhileBehind(t *testing.T) {
	runWithFixture(t, func(is *is.I, fx *fixture) {
		observe := func(revision storer.Revision, lasts time.Duration) {
			for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				fx.reflector.ObservePeerRevision(time.Now(), revision)
			}
		}
		observe(20, 500*time.Millisecond)
		is.True(!fx.reflector.Outdated(time.Now(), "op")) // changes are forwarded as usual
		observe(21, time.Second)
		is.True(fx.reflector.Outdated(time.Now(), "op"))
		fx.reflector.ApplyBatch(time.Now(), reflector.Batch{Revision: 15, Changes: []*linkpb.Change{{Key: "k", Revision: 15}}})
		is.True(fx.reflector.Outdated(time.Now(), "op")) // it is closer, but still behind
		observe(22, 10*time.Second)
		is.True(!fx.reflector.Outdated(time.Now(), "op")) // nobody has what was told
		fx.reflector.ApplyBatch(time.Now(), reflector.Batch{Revision: 22, Changes: []*linkpb.Change{{Key: "k", Revision: 22}}})
		is.True(!fx.reflector.Outdated(time.Now(), "op"))
	})
}

// TestFalseNotFoundAfterStart guards against an entry that denies a route since it has
// started, without the store, from an entry that is behind.
func TestFalseNotFoundAfterStart(t *testing.T) {
	for _, c := range []struct {
		name          string
		told          storer.Revision
		storeAnswers  bool
		after2s, at8s bool
	}{
		{"a newer one is told", 20, false, true, true},
		{"nothing newer is told", 5, false, false, false},
		{"the store answers", 20, true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer synctest.Wait()
				defer cancel()
				fx := newFixture(ctx, errStoreDown)
				fx.update(func() {
					fx.store.at = 20
					fx.peerBatch = reflector.Batch{Full: true, Revision: 5, Changes: []*linkpb.Change{{Key: "op", Value: []byte("old"), Revision: 5}}}
				})
				time.Sleep(300 * time.Millisecond)
				is.Equal(fx.value("op"), "old")
				is.True(fx.reflector.Outdated(time.Now(), "op"))
				time.Sleep(900 * time.Millisecond)
				is.True(fx.reflector.Outdated(time.Now(), "op")) // no other entry has been heard
				if c.storeAnswers {
					fx.update(func() { fx.store.err = nil })
				}
				fx.reflector.ObservePeerRevision(time.Now(), c.told)
				is.True(fx.reflector.Outdated(time.Now(), "op"))
				time.Sleep(800 * time.Millisecond)
				is.Equal(fx.reflector.Outdated(time.Now(), "op"), c.after2s)
				time.Sleep(6 * time.Second)
				is.Equal(fx.reflector.Outdated(time.Now(), "op"), c.at8s)
				time.Sleep(4 * time.Second)
				is.True(!fx.reflector.Outdated(time.Now(), "op")) // it ends in any case
			})
		})
	}
}
