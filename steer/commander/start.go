package commander

import (
	"samphiremux/entry/reflector"
	"samphiremux/entry/startrecorder"
)

// addStartGauge registers the gauge of the phases of the start.
func (e *entry) addStartGauge() {
	e.metrics.GaugeVec("start_seconds", "Time from the start of the process to each phase of the start.", "phase", func() map[string]float64 {
		seconds := map[string]float64{}
		for phase, d := range e.start.Elapsed() {
			seconds[string(phase)] = d.Seconds()
		}
		return seconds
	})
}

// observeState records that the copy of the store is complete for the first time.
func (e *entry) observeState(source reflector.Source) {
	e.start.Reach(startrecorder.Snapshot)
	if source == reflector.FromPeer {
		e.start.Reach(startrecorder.Peers)
	}
	e.canServe()
}

// observeStore records that changes have arrived from the store itself.
func (e *entry) observeStore() {
	e.enroller.HandleStoreAnswer()
	e.enroller.HeartbeatNow()
}

// canServe reports whether the entry has a configuration and a backend server. Once it had
// both, it remains so while servers are missing: all entries lose them together, and none of
// the others would serve callers better.
func (e *entry) canServe() bool {
	if e.servable.Load() {
		return true
	}
	// The copy of the store may be applied in part only until it is complete.
	view := e.snapshots.Snapshot()
	if view.Table == nil || len(view.Services) == 0 {
		return false
	}
	e.servable.Store(true)
	e.start.Reach(startrecorder.Ready)
	return true
}

// observeResponse logs the phases of the start with the first response of a backend server.
func (e *entry) observeResponse() {
	if !e.start.Reach(startrecorder.Response) {
		return
	}
	var fields []any
	elapsed := e.start.Elapsed()
	for _, phase := range startrecorder.Phases() {
		if d, ok := elapsed[phase]; ok {
			fields = append(fields, string(phase)+"-ms", d.Milliseconds())
		}
	}
	e.log.Info("First request answered.", fields...)
}
