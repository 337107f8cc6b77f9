package reconciler

import (
	"time"

	"samphiremux/entry/refuser"
	"samphiremux/pkg/publisher"
)

const (
	// maxOutdated bounds the time for which an entry counts as outdated, since a peer may
	// report a revision that it cannot give.
	maxOutdated = 10 * time.Second
	// outdatedRetryDelay is the time within which an entry usually fetches a document.
	outdatedRetryDelay = 300 * time.Millisecond
)

// newerRevision is the newest revision of the document that a peer has reported. The entry
// counts as outdated until a time unless it has a document of that revision before. The zero
// value means that there is none.
type newerRevision struct {
	revision publisher.Revision
	until    time.Time
}

// ObservePeerRevision records the revision of the document that a peer has.
func (n *Node) ObservePeerRevision(r publisher.Revision) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := newerRevision{}
	if k := n.newer.Load(); k != nil {
		known = *k
	}
	if r <= n.envelope.Revision || r <= known.revision {
		return
	}
	now := n.options.Now()
	if !now.Before(known.until) || known.revision <= n.envelope.Revision {
		known.until = now.Add(maxOutdated)
	}
	n.newer.Store(&newerRevision{revision: r, until: known.until})
}

// outdated reports whether a peer has a newer document than the one of a snapshot. It does
// so for maxOutdated at most.
func (n *Node) outdated(s *Snapshot) bool {
	newer := n.newer.Load()
	return newer != nil && newer.revision > s.Revision && n.options.Now().Before(newer.until)
}

// NotFound returns the refusal of a request for what the document of a snapshot does not
// have, with a reason. It is temporary while a peer has a newer document, or while the entry
// is isolated and cannot know of one.
func (n *Node) NotFound(s *Snapshot, reason refuser.Reason) refuser.Refusal {
	switch {
	case n.outdated(s):
		return n.OutdatedRefusal()
	case n.Isolated():
		return refuser.NewNotRun(refuser.Isolated)
	}
	return refuser.NewNotRun(reason)
}

// OutdatedRefusal returns the refusal of a request that a newer document may allow.
func (n *Node) OutdatedRefusal() refuser.Refusal {
	return refuser.NewNotRun(refuser.Outdated).WithRetryAt(n.options.Now().Add(outdatedRetryDelay))
}
