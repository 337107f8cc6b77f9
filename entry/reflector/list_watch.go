package reflector

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"samphiremux/pkg/storer"
)

const (
	// listTimeout bounds the wait for one list of all keys.
	listTimeout = 2 * time.Second
	// minListTimeout is the shortest such bound of an entry that knows no keys, and
	// listOverdue the time without a response after which it lists again as soon as another
	// entry reaches the store. Entries that start together in an outage draw different bounds,
	// so that some of them ask soon after the store answers again. A store that takes 1 s to
	// respond must not be asked again: with 0.5 and 0.25 s, 116 entries that started had no
	// configuration for up to 18 s.
	minListTimeout = 1200 * time.Millisecond
	listOverdue    = 1200 * time.Millisecond
	// transferTimeout bounds the arrival of a response of the store. The largest takes
	// 1.2 s on a link of 10 Mbit/s.
	transferTimeout = 2 * time.Second
	// initialBackoff and maxBackoff bound the exponential backoff between attempts to reach
	// the store, which grows by backoffGrowth. With a growth of 2 each of the first relays made
	// one to two calls more in an outage of 5 s with refusals.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 1200 * time.Millisecond
	backoffGrowth  = 4
	// minPassiveBackoff and maxPassiveBackoff bound the time between attempts of an entry
	// that is not among the first relays of its failure domain. Those find sooner that the
	// store answers again; if all entries tried as often, an outage of 8 s would cost 10
	// calls for each.
	minPassiveBackoff = 3 * time.Second
	maxPassiveBackoff = 5 * time.Second
	// startDelay is the time that an entry waits after its start for a relay, before it
	// lists the keys once more and watches the store itself.
	startDelay = time.Second
	// relayBatchDelay and batchDelay are the pauses of a relay and of other entries
	// after a batch of changes. Changes that arrive during a pause are delivered in one
	// batch, since each answer of a watch is one more call of the store.
	relayBatchDelay = 250 * time.Millisecond
	batchDelay      = 400 * time.Millisecond
	// waitingDelay is the pause after a batch of changes that can wait. The record of usage
	// reports changes every 5 s; with this pause, two watches of 2.3 s reach to its next
	// change, and no third one is cut short by it. Other changes are known later by that.
	waitingDelay = 700 * time.Millisecond
	// watchTimeout bounds a watch. The store may never respond to a watch that began in an
	// outage, or before its history was compacted, and if this concerns the watches of all
	// entries, none knows a newer revision that would reveal it. Changes must be known as
	// usual 3 s after an outage.
	watchTimeout = 2500 * time.Millisecond
	// relayCheckInterval is the time between checks whether a relay is still alive,
	// while this entry relies on one.
	relayCheckInterval = 100 * time.Millisecond
	// peerSyncInterval is the time between fetches from other entries while the
	// store does not answer.
	peerSyncInterval = 200 * time.Millisecond
	// maxWatchLag is the time after which a watch counts as stalled if it has not
	// delivered changes that another entry already knows. A watch can go silent
	// while its connection stays open.
	maxWatchLag = 400 * time.Millisecond
)

// Run lists and watches the store until ctx ends. It retries with backoff while the
// store does not answer.
func (r *Reflector) Run(ctx context.Context) {
	backoff, compacted := initialBackoff, false
	for ctx.Err() == nil {
		started := time.Now()
		err := r.listAndWatch(ctx, compacted)
		if ctx.Err() != nil {
			return
		}
		lasted := time.Since(started) > maxBackoff
		if lasted {
			backoff = initialBackoff
		}
		compacted = errors.Is(err, storer.ErrCompacted)
		switch {
		case compacted:
			r.o.Log.Info("Store does not have the watched revision; listing all keys again.")
		case r.markStoreLost():
			r.o.Log.Warn("Store does not answer; asking other entries.", "error", err)
		}
		if compacted && lasted {
			continue
		}
		if !r.awaitRetry(ctx, backoff) {
			return
		}
		backoff = min(backoffGrowth*backoff, maxBackoff)
	}
}

// awaitRetry waits until the next attempt to reach the store. It reports false if ctx ends
// first. An entry that is not among the first relays waits longer, but no longer than until
// a relay sends heartbeats. It waits for initialBackoff also while the last heartbeat of a
// relay applies: that relay may have lost the store, and this entry would take its place and be
// refused again at once.
func (r *Reflector) awaitRetry(ctx context.Context, backoff time.Duration) bool {
	switch {
	case !r.Ready():
		r.wakePeerSync()
		return r.sleepUntilContact(ctx, rand.N(2*backoff))
	case r.o.MayBecomeRelay() && !r.storeAnswered():
		return r.sleepUntilContact(ctx, backoff)
	case r.o.MayBecomeRelay():
		return sleep(ctx, backoff)
	}
	if !sleep(ctx, initialBackoff) {
		return false
	}
	until := time.Now().Add(minPassiveBackoff + rand.N(maxPassiveBackoff-minPassiveBackoff))
	for time.Now().Before(until) && !r.o.HasRelay() {
		if !sleep(ctx, relayCheckInterval) {
			return false
		}
	}
	return true
}

// sleep waits for d. It reports false if ctx ends first.
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

// markStoreLost records that the store does not answer, and reports whether that is
// new.
func (r *Reflector) markStoreLost() (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed = !r.storeLost
	r.storeLost = true
	return changed
}

// listAndWatch lists all keys and then watches for changes until an error occurs.
// While another entry relays changes, it does not watch. After a compaction the list must
// not be stale, or the watch would end again.
func (r *Reflector) listAndWatch(ctx context.Context, compacted bool) error {
	list := r.list
	switch {
	case r.Ready() && r.o.HasRelay() && !r.o.IsRelay():
		list = r.awaitRelayed
	case compacted || (r.storeAnswered() && r.o.MayBecomeRelay()):
	case r.Ready():
		list = r.listStale
	default:
		list = r.listAtStart
	}
	if err := list(ctx); err != nil {
		return err
	}
	for ctx.Err() == nil {
		if (r.o.HasRelay() && !r.o.IsRelay()) || (r.o.AwaitsRelay != nil && r.o.AwaitsRelay()) {
			sleep(ctx, relayCheckInterval)
			continue
		}
		if err := r.watch(ctx); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// list lists all keys.
func (r *Reflector) list(ctx context.Context) error {
	timeout := listTimeout
	if !r.Ready() {
		timeout = minListTimeout + rand.N(listTimeout-minListTimeout)
	}
	listCtx, cancel := storer.WithTransferTimeout(ctx, time.Now().Add(timeout), transferTimeout)
	defer cancel()
	r.beginList(time.Now(), cancel)
	pairs, at, err := r.o.Store.List(storer.WithProgress(listCtx, r.observeListProgress), r.o.Prefix)
	r.beginList(time.Time{}, nil)
	if err != nil {
		return err
	}
	r.applyList(time.Now(), pairs, at, storer.AllowsStaleReads(ctx))
	r.o.OnChange()
	return nil
}

// awaitRelayed takes the place of a list while a relay sends the changes since this entry's
// revision, or all keys if it no longer knows them.
func (r *Reflector) awaitRelayed(context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.storeLost {
		r.storeLost = false
		r.o.Log.Info("A relay sends the changes of the store again.", "revision", r.revision.Number())
	}
	return nil
}

// listStale lists all keys in a state that may be seconds old. The relay brings the changes
// since then, or a watch from there does.
func (r *Reflector) listStale(ctx context.Context) error { return r.list(storer.WithStaleReads(ctx)) }

// listAtStart lists all keys when this entry knows none. When all entries start together for
// the first time, the first list shows few of them, and each would consider itself the relay.
// So the keys are listed again after startDelay unless a relay has sent a heartbeat. A relay
// that was registered before knows the others by the first list, and watches at once.
func (r *Reflector) listAtStart(ctx context.Context) error {
	if err := r.listStale(ctx); err != nil {
		return err
	}
	for until := time.Now().Add(startDelay); time.Now().Before(until); {
		if r.o.HasRelay() || (r.o.WasRegistered != nil && r.o.WasRegistered() && r.o.IsRelay()) {
			return ctx.Err()
		}
		if !sleep(ctx, relayCheckInterval) {
			return ctx.Err()
		}
	}
	return r.listStale(ctx)
}

// watch waits for one batch of changes. A watch that times out or is cancelled
// without an answer is no error.
func (r *Reflector) watch(ctx context.Context) error {
	delay := batchDelay
	if r.o.IsRelay() {
		delay = relayBatchDelay
	}
	watchCtx, cancel := storer.WithTransferTimeout(ctx, time.Now().Add(watchTimeout), transferTimeout)
	defer cancel()
	r.setWatchCancel(cancel)
	watchCtx = storer.WithProgress(watchCtx, r.observeProgress)
	answered, changed, canWait := false, false, false
	err := r.o.Store.Watch(watchCtx, r.o.Prefix, r.watchRevision(), func(events []storer.Event, upTo storer.Revision) {
		r.setWatchCancel(nil)
		answered, changed, canWait = true, len(events) > 0, r.canWait(events)
		r.applyEvents(time.Now(), events, upTo)
		cancel()
	})
	r.setWatchCancel(nil)
	switch {
	case answered && changed:
		r.o.OnChange()
		if canWait {
			delay = waitingDelay
		}
		sleep(ctx, delay)
		return nil
	case answered:
		return nil
	case watchCtx.Err() != nil:
		r.o.Log.Debug("Watch ended without an answer.", "revision", r.watchRevision().Number(), "relay", r.o.IsRelay())
		return nil
	}
	return err
}

// canWait reports whether none of the changes needs to be known at once.
func (r *Reflector) canWait(events []storer.Event) bool {
	return r.o.CanWait != nil && !slices.ContainsFunc(events, func(e storer.Event) bool { return !r.o.CanWait(e.Pair.Key) })
}

// setWatchCancel records the function that cancels the watch under way, or nil if
// there is none. It resets the lag of the watch.
func (r *Reflector) setWatchCancel(cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelWatch = cancel
	r.behindSince, r.receivingSince = time.Time{}, time.Time{}
}

// observeProgress resets the lag of the watch, since a part of its response has arrived. It
// does so for transferTimeout.
func (r *Reflector) observeProgress() {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.receivingSince.IsZero() {
		r.receivingSince = now
	}
	if now.Sub(r.receivingSince) < transferTimeout {
		r.behindSince = time.Time{}
	}
}

// ObservePeerRevision records the revision up to which another entry knows the store.
// If it is newer than this entry's, the watch counts as lagging from now on.
func (r *Reflector) ObservePeerRevision(now time.Time, revision storer.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision <= r.revision {
		return
	}
	r.gap.open(now, revision)
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
}

// needsPeerSync reports whether to fetch changes from other entries: because the
// store does not answer, or because the watch has stalled. It cancels a stalled
// watch, so that a new one starts.
func (r *Reflector) needsPeerSync(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ready {
		// The state would come twice over the same link.
		return r.receivingSince.IsZero() || now.Sub(r.receivingSince) >= transferTimeout
	}
	if r.storeLost {
		return true
	}
	if len(r.omitted) > 0 || r.behindSince.IsZero() || now.Sub(r.behindSince) < maxWatchLag {
		return false
	}
	r.behindSince = time.Time{}
	if r.cancelWatch != nil {
		r.o.Log.Warn("Watch lags behind another entry; restarting it.", "revision", r.revision.Number())
		r.cancelWatch()
	}
	return true
}

// RunPeerSync fetches changes from other entries, while the store does not answer or
// the watch has stalled, until ctx ends. It also reads omitted values and applies held
// changes that are due.
func (r *Reflector) RunPeerSync(ctx context.Context) {
	go r.runReads(ctx)
	go r.runTimers(ctx)
	for r.sleepUntilSync(ctx, peerSyncInterval) {
		if r.needsPeerSync(time.Now()) {
			fetchCtx, cancel := context.WithCancel(ctx)
			r.setFetchCancel(cancel)
			r.fetch(fetchCtx)
			r.setFetchCancel(nil)
			cancel()
		}
	}
}

// setFetchCancel records the function that cancels the fetch under way, or nil if there is
// none.
func (r *Reflector) setFetchCancel(cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelFetch = cancel
}

// runTimers applies held changes and drops tombstones that are due, and confirms the state
// after a start, until ctx ends.
func (r *Reflector) runTimers(ctx context.Context) {
	for sleep(ctx, peerSyncInterval) {
		r.releaseHeld(time.Now())
		r.dropTombstones(time.Now())
		r.confirm(time.Now())
	}
}

// fetch fetches changes from other entries.
func (r *Reflector) fetch(ctx context.Context) {
	b, err := r.o.FetchFromPeers(ctx, r.Revision())
	if err != nil {
		r.o.Log.Debug("Changes not fetched from other entries; trying again.", "error", err)
		return
	}
	r.ApplyBatch(time.Now(), b)
}
