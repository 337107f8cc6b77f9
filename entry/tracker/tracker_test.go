package tracker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/tracker"
)

// TestLateHeartbeatOfStoppingEntry guards against callers that are referred to a stopping entry
// since a heartbeat from before its stop arrived after the one that announced it.
func TestLateHeartbeatOfStoppingEntry(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	tr := tracker.New(now, tracker.Member{ID: "e0"})
	tr.SetRegistered(now, []tracker.Member{{ID: "e0"}, {ID: "e1"}})
	tr.RecordHeartbeat(now, "e1", true, false, 0)
	is.True(tr.Usable(now, "e1"))
	tr.RecordHeartbeat(now, "e1", true, true, 0)
	tr.RecordHeartbeat(now.Add(500*time.Millisecond), "e1", true, false, 0)
	is.True(!tr.Usable(now.Add(600*time.Millisecond), "e1"))

	restarted := now.Add(2 * time.Second)
	tr.RecordHeartbeat(restarted, "e1", true, false, 0)
	is.True(tr.Usable(restarted, "e1")) // an entry that has restarted is used again
}
