package balancer

import (
	"time"

	"samphiremux/entry/refuser"
)

// refusalLogInterval is the least time between two groups of log lines about refusals.
const refusalLogInterval = 10 * time.Second

// refusalLog is the state of the log lines about refusals. The decisions on a refused request
// are logged within a rate, so that of many refusals at once only these lines tell the reasons.
type refusalLog struct {
	at     time.Time
	logged map[refuser.Reason]int64
}

// LogRefusals logs how many requests were refused for each reason, at most one line for a
// reason in an interval. It is called by one goroutine.
func (b *Balancer) LogRefusals(now time.Time) {
	l := &b.refusalLog
	if now.Sub(l.at) < refusalLogInterval {
		return
	}
	l.at = now
	b.logRefusals(refuser.NotRun, refuser.NotRunReasons())
	b.logRefusals(refuser.OutcomeUnknown, refuser.OutcomeUnknownReasons())
}

func (b *Balancer) logRefusals(kind refuser.Kind, reasons []refuser.Reason) {
	for _, reason := range reasons {
		count := b.metrics.refusals.With(string(kind), string(reason)).Value()
		if refused := count - b.refusalLog.logged[reason]; refused > 0 {
			b.refusalLog.logged[reason] = count
			b.opts.Log.Info("Refused requests.", "kind", string(kind), "reason", string(reason), "requests", refused)
		}
	}
}
