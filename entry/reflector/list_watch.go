package reflector

import (
	"context"
	"errors"
	"time"

	"samphiremux/pkg/storer"
)

const (
	// listLimit bounds one reading of the whole part.
	listLimit = 2 * time.Second
	// firstPause and lastPause bound the wait before the store is tried again.
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
	// scoutPause and ownPause let changes gather after a batch, since each answer
	// of a watch is a call that costs.
	scoutPause = 250 * time.Millisecond
	ownPause   = 400 * time.Millisecond
	// scoutWatch is the time for which a scout's watch waits. A watch that has
	// gone silent is found at its end: watches of all scouts together when the
	// store drops its history.
	scoutWatch = 3 * time.Second
	// ownWatch is that of other entries, which hear of newer changes by heartbeats.
	ownWatch = 20 * time.Second
	// reliefPause is the time between two looks for a scout.
	reliefPause = 100 * time.Millisecond
	// peerPause is the time between two questions to other entries while the
	// store does not answer.
	peerPause = 200 * time.Millisecond
	// behindLimit is the time after which changes that another entry knows should
	// have come from the store too. A watch can go silent with its connection open.
	behindLimit = 400 * time.Millisecond
)

// Run follows the store until ctx ends.
func (f *Reflector) Run(ctx context.Context) {
	pause := firstPause
	for ctx.Err() == nil {
		started := time.Now()
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, storer.ErrCompacted) {
			f.o.Log.Info("History of the store is gone; reading it whole.")
			continue
		}
		if f.setLost() {
			f.o.Log.Warn("Store does not answer; asking other entries.", "error", err)
		}
		if time.Since(started) > lastPause {
			pause = firstPause
		}
		if !sleep(ctx, pause) {
			return
		}
		pause = min(2*pause, lastPause)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *Reflector) setLost() (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed = !f.lost
	f.lost = true
	return changed
}

// follow reads the part whole and watches it from there.
func (f *Reflector) follow(ctx context.Context) error {
	listCtx, cancel := context.WithTimeout(ctx, listLimit)
	pairs, at, err := f.o.Store.List(listCtx, f.o.Prefix)
	cancel()
	if err != nil {
		return err
	}
	f.list(time.Now(), pairs, at)
	f.o.OnChange()
	for ctx.Err() == nil {
		if f.o.HasRelay() && !f.o.IsRelay() {
			sleep(ctx, reliefPause)
			continue
		}
		if err := f.watch(ctx); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// watch waits for one batch of changes.
func (f *Reflector) watch(ctx context.Context) error {
	pause, life := ownPause, ownWatch
	if f.o.IsRelay() {
		pause, life = scoutPause, scoutWatch
	}
	watchCtx, cancel := context.WithTimeout(ctx, life)
	defer cancel()
	f.setWaiting(cancel)
	answered, changed := false, false
	err := f.o.Store.Watch(watchCtx, f.o.Prefix, f.Revision(), func(events []storer.Event, upTo storer.Revision) {
		f.setWaiting(nil)
		answered, changed = true, len(events) > 0
		f.watched(time.Now(), events, upTo)
		cancel()
	})
	f.setWaiting(nil)
	switch {
	case answered && changed:
		f.o.OnChange()
		sleep(ctx, pause)
		return nil
	case answered:
		return nil
	case watchCtx.Err() != nil:
		f.o.Log.Debug("Watch ended without an answer.", "revision", f.Revision())
		return nil
	}
	return err
}

// setWaiting notes that a watch is under way, with the way to end it, or that
// none is.
func (f *Reflector) setWaiting(restart context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restart = restart
	f.behind = time.Time{}
}

// ObservePeerRevision notes the revision up to which another entry knows the store.
func (f *Reflector) ObservePeerRevision(now time.Time, revision storer.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision > f.revision && f.behind.IsZero() {
		f.behind = now
	}
}

// needsPeers tells whether other entries have to be asked: the store does not
// answer, or its watch has gone silent.
func (f *Reflector) needsPeers(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.ready || f.lost {
		return true
	}
	if f.behind.IsZero() || now.Sub(f.behind) < behindLimit {
		return false
	}
	f.behind = time.Time{}
	if f.restart != nil {
		f.o.Log.Warn("Another entry knows more; starting the watch anew.", "revision", f.revision)
		f.restart()
	}
	return true
}

// RunPeerSync asks other entries while the store does not answer, until ctx ends.
func (f *Reflector) RunPeerSync(ctx context.Context) {
	for sleep(ctx, peerPause) {
		f.passHeld(time.Now())
		if !f.needsPeers(time.Now()) {
			continue
		}
		b, err := f.o.FetchFromPeers(ctx, f.Revision())
		if err != nil {
			f.o.Log.Debug("No entry knows more.", "error", err)
			continue
		}
		f.ApplyBatch(time.Now(), b)
	}
}
