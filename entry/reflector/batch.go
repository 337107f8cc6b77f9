package reflector

import (
	"cmp"
	"slices"

	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/storer"
)

// ChangesSince returns the changes above a revision, for another entry. If tombstones
// above that revision may be missing, it returns a full batch of all keys. Until the
// copy is ready, the batch is empty and its revision zero.
//
// A limit other than zero bounds the size of the batch in bytes. Values larger than that
// are omitted, and the batch ends before the first change that does not fit any more. A
// full batch that does not fit is empty and its revision zero. Batches with a limit are kept
// until the copy changes, and must not be altered: a relay sends the same one to most entries
// of its failure domain, and with 3,300 keys each takes 0.1 ms of a core.
func (r *Reflector) ChangesSince(above storer.Revision, limit int) (b Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	asked := bounds{above, limit}
	if b, ok := r.batches[asked]; ok {
		return b
	}
	b = r.changesSince(above, limit)
	if limit != 0 && len(r.batches) < maxBatches {
		r.batches[asked] = b
	}
	return b
}

// maxBatches is the number of batches that are kept. Entries mostly report one of a few
// revisions.
const maxBatches = 16

// bounds is what a batch was asked for.
type bounds struct {
	above storer.Revision
	limit int
}

// changesSince is ChangesSince without the batches that are kept. The caller holds the lock.
func (r *Reflector) changesSince(above storer.Revision, limit int) (b Batch) {
	if !r.ready {
		return Batch{}
	}
	b = Batch{Revision: r.sharedRevision(), Full: above < r.compacted}
	for key, e := range r.keys {
		if (b.Full && !e.deleted) || (!b.Full && e.revision > above) {
			b.Changes = append(b.Changes, &linkpb.Change{
				Key: key, Value: e.value, Revision: uint64(e.revision.Number()), Era: e.revision.Era(), Deleted: e.deleted,
			})
		}
	}
	switch {
	case limit == 0 || b.Size() <= limit:
		return b
	case b.Full:
		return Batch{}
	}
	return b.truncate(limit)
}

// truncate returns the batch with the changes of the lowest revisions that fit a limit in
// bytes, without the values that alone exceed it.
func (b Batch) truncate(limit int) (truncated Batch) {
	slices.SortFunc(b.Changes, func(x, y *linkpb.Change) int { return cmp.Compare(revisionOf(x), revisionOf(y)) })
	truncated.Revision = b.Revision
	size := 0
	for _, c := range b.Changes {
		if changeSize(c) > limit {
			truncated.Omitted = append(truncated.Omitted, &linkpb.Change{Key: c.GetKey(), Revision: c.GetRevision(), Era: c.GetEra()})
			continue
		}
		if size += changeSize(c); size > limit {
			truncated.Revision = min(truncated.Revision, revisionOf(c)-1)
			truncated.CutShort = true
			break
		}
		truncated.Changes = append(truncated.Changes, c)
	}
	return truncated
}

func revisionOf(c *linkpb.Change) storer.Revision {
	return storer.NewRevision(c.GetEra(), int64(c.GetRevision()))
}
