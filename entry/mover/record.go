// Package mover plans the shift of a service's traffic from one backend server version
// to another by a deadline, and detects regressions of the new version, on which the
// move is rolled back.
package mover

import (
	"encoding/json"
	"fmt"
	"time"

	"samphiremux/pkg/parser"
)

// Phase is the state of a move as operators see it.
type Phase string

// Phases of a move.
const (
	Planned    Phase = "planned"
	Moving     Phase = "moving"
	Holding    Phase = "holding"
	Done       Phase = "done"
	RolledBack Phase = "taken-back"
)

// Final reports whether the move has ended.
func (p Phase) Final() bool { return p == Done || p == RolledBack }

// Record is the stored state of a move. It is immutable.
type Record struct {
	Move  string `json:"move"`
	Phase Phase  `json:"phase"`
	// Share is the new version's fraction of the requests, between 0 and 1.
	Share float64 `json:"share"`
	Step  int     `json:"step"`
	// RouteShares holds the larger shares of routes with little traffic.
	RouteShares map[string]float64 `json:"route-shares,omitempty"`
	Reason      string             `json:"reason,omitempty"`
	Started     time.Time          `json:"started"`
	StepAt      time.Time          `json:"step-at"`
	Coordinator string             `json:"coordinator"`
	// Announced reports that the end of the move was delivered to the hook.
	Announced bool `json:"announced,omitempty"`
}

// ID identifies a move by its definition in the document. A new document restarts a
// move only if it changes the versions or the deadline.
func ID(m parser.Move) string {
	return fmt.Sprintf("%s>%s@%s", m.From, m.To, m.Deadline.UTC().Format(time.RFC3339))
}

// NewRecord returns the record of a move that starts at now, at the first step.
func NewRecord(m parser.Move, now time.Time, coordinator string) Record {
	return Record{
		Move: ID(m), Phase: Planned, Share: steps[0], Started: now, StepAt: now, Coordinator: coordinator,
	}
}

// WithRollback returns a copy that is rolled back for the given reason.
func (r Record) WithRollback(reason string, at time.Time) Record {
	r.Phase = RolledBack
	r.Share = 0
	r.RouteShares = nil
	r.Reason = reason
	r.StepAt = at
	return r
}

// WithStep returns a copy at the given step.
func (r Record) WithStep(step int, at time.Time) Record {
	r.Step = step
	r.Share = steps[step]
	r.StepAt = at
	r.Phase = Moving
	r.Reason = ""
	return r
}

// WithHold returns a copy that waits at its step for the given reason.
func (r Record) WithHold(reason string) Record {
	r.Phase = Holding
	r.Reason = reason
	return r
}

// WithDone returns a copy in which the new version receives all requests.
func (r Record) WithDone(at time.Time) Record {
	r.Phase = Done
	r.Share = 1
	r.RouteShares = nil
	r.Reason = ""
	r.StepAt = at
	return r
}

// WithRouteShares returns a copy with the given shares of low-traffic routes.
func (r Record) WithRouteShares(shares map[string]float64) Record {
	r.RouteShares = shares
	return r
}

// WithCoordinator returns a copy written by another coordinator.
func (r Record) WithCoordinator(id string) Record {
	r.Coordinator = id
	return r
}

// WithAnnounced returns a copy whose end was delivered to the hook.
func (r Record) WithAnnounced() Record {
	r.Announced = true
	return r
}

// Encode returns the stored form of the record.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord parses a stored record.
func DecodeRecord(data []byte) (r Record, err error) {
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decoding version move record: %w", err)
	}
	return r, nil
}
