package commander

import "time"

// linkLogInterval is the least time between two log lines about the link.
const linkLogInterval = 10 * time.Second

// minLoggedSaturation is the least saturated time that is logged. A response of 540 KB
// saturates a link of 10 Mbit/s for 430 ms.
const minLoggedSaturation = 200 * time.Millisecond

// linkLog is the state of the log lines about the link.
type linkLog struct {
	at        time.Time
	saturated time.Duration
}

// logLink logs that the link was saturated, at most once in an interval.
func (e *entry) logLink(now time.Time) {
	saturated := e.gauger.SaturatedTime(now)
	if now.Sub(e.linkLog.at) < linkLogInterval || saturated-e.linkLog.saturated < minLoggedSaturation {
		return
	}
	e.log.Warn("Own link was saturated; servers that did not answer during that time are not ejected.", "saturated-ms", (saturated - e.linkLog.saturated).Milliseconds())
	e.linkLog = linkLog{at: now, saturated: saturated}
}
