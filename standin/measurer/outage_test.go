package measurer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// outageLength is the time for which the store does not answer.
	outageLength = 8 * time.Second
	// outageMargin is the time after an outage of the store from which changes must be
	// known to all entries as usual.
	outageMargin = 3 * time.Second
	// changeDeadline is the time after a change from which all entries of a small fleet
	// must know it.
	changeDeadline = 2 * time.Second
)

// TestChangesMissedAfterOutage guards against entries that know of no change for up to 20 s
// after an outage of the store, since each of them still waits for the response to a watch
// that began in the outage.
func TestChangesMissedAfterOutage(t *testing.T) {
	for offset := time.Duration(0); offset < 4*time.Second; offset += 250 * time.Millisecond {
		for _, delay := range []time.Duration{0, time.Second, 2500 * time.Millisecond} {
			t.Run(fmt.Sprintf("after %s, change %s later", offset, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newCopyFleet(t, copyDomain{4, 80 * slowLink}, copyDomain{4, 80 * slowLink})
					time.Sleep(9*time.Second + offset)
					f.silenceStore(outageLength)
					end := time.Now()
					time.Sleep(delay)
					changed := time.Now()
					f.store.PutUnguarded("op/config", []byte("new"))
					deadline := changed.Add(changeDeadline)
					if inTouch := end.Add(outageMargin); deadline.Before(inTouch) {
						deadline = inTouch
					}
					f.expectKnown(t, "op/config", []byte("new"), deadline)
					f.close()
				})
			})
		}
	}
}
