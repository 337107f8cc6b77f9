package roller

import (
	"slices"

	"samphiremux/entry/snapshotter"
	"samphiremux/pkg/storer"
)

// unknownWrite is a write of a move record that got no response. The store may carry it out
// as long as the record has the revision guard.
type unknownWrite struct {
	record snapshotter.MoveRecord
	guard  storer.Revision
}

// addUnknown logs and remembers a write whose outcome is unknown, unless it repeats one.
func (r *Roller) addUnknown(service string, w unknownWrite) {
	isRepeated := slices.ContainsFunc(r.unknown[service], func(known unknownWrite) bool {
		return known.guard == w.guard && known.record.Step == w.record.Step && known.record.Phase == w.record.Phase
	})
	if isRepeated {
		return
	}
	r.unknown[service] = append(r.unknown[service], w)
	r.opts.Log.Warn("Outcome of writing a move record is unknown.", "service", service, "phase", w.record.Phase, "step", w.record.Step,
		"revision-before", w.guard.Number())
}

// logLearned logs the outcomes of a service's writes that are known by now, since the store holds
// another revision than the one on which they depend.
func (r *Roller) logLearned(service string) {
	if len(r.unknown[service]) == 0 {
		return
	}
	stored, revision, err := r.storedRecord(service)
	if err != nil {
		return
	}
	r.unknown[service] = slices.DeleteFunc(r.unknown[service], func(w unknownWrite) bool {
		if w.guard == revision {
			return false
		}
		executed := stored.Order == w.record.Order && stored.Step == w.record.Step && stored.Phase == w.record.Phase
		r.opts.Log.Info("Outcome of writing a move record is known.", "service", service, "phase", w.record.Phase, "step", w.record.Step,
			"executed", executed, "stored-phase", stored.Phase, "stored-step", stored.Step, "revision", revision.Number())
		return true
	})
}
