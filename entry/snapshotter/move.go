package snapshotter

import (
	"encoding/json"
	"fmt"
	"time"

	"samphiremux/pkg/describer"
)

// Phase is the state of a version move.
type Phase string

// Phases of a version move.
const (
	Moving     Phase = "moving"
	Done       Phase = "done"
	RolledBack Phase = "taken-back"
)

// Final tells whether the phase ends the move.
func (p Phase) Final() bool { return p == Done || p == RolledBack }

// MoveRecord is the stored state of a version move. It is immutable.
type MoveRecord struct {
	// Order is the revision of the order.
	Order int64 `json:"order"`
	// Step grows with each change of the record.
	Step int `json:"step"`
	// Stable is the version that carried the service before the move.
	Stable string  `json:"stable"`
	Target string  `json:"target"`
	Phase  Phase   `json:"phase"`
	Share  float64 `json:"share"`
	Reason string  `json:"reason,omitempty"`
	// Started is when the move began, and Changed when its share last changed, by
	// the clocks of the entries that wrote it.
	Started time.Time `json:"started"`
	Changed time.Time `json:"changed"`
}

// Precedes tells whether the other record is newer.
func (r MoveRecord) Precedes(other MoveRecord) bool {
	return r.Order < other.Order || (r.Order == other.Order && r.Step < other.Step)
}

// WithShare returns the next record, with another share of the target.
func (r MoveRecord) WithShare(share float64, at time.Time) MoveRecord {
	r.Step++
	r.Changed = at
	r.Share = share
	return r
}

// WithPhase returns the next record, which ends the move.
func (r MoveRecord) WithPhase(p Phase, reason string) MoveRecord {
	r.Step++
	r.Phase = p
	r.Reason = reason
	r.Share = 0
	if p == Done {
		r.Share = 1
	}
	return r
}

// Encode returns the stored form of the record.
func (r MoveRecord) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeMoveRecord reads a stored record.
func DecodeMoveRecord(data []byte) (r MoveRecord, err error) {
	if err := json.Unmarshal(data, &r); err != nil {
		return MoveRecord{}, fmt.Errorf("record of a version move: %w", err)
	}
	return r, nil
}

// TrafficSplit says which versions of a service may get requests.
type TrafficSplit struct {
	// Stable is the version that carries the service. It is empty if every
	// version may.
	Stable string
	// Target gets Share of the requests.
	Target string
	Share  float64
}

// PickVersion returns the version for a draw between zero and one.
func (m TrafficSplit) PickVersion(draw float64) string {
	if m.Target != "" && draw < m.Share {
		return m.Target
	}
	return m.Stable
}

// move derives the versions of a service from its order and record. The lock is
// held.
func (s *Snapshotter) move(service string, all []Backend) TrafficSplit {
	order, ordered := s.orders[service]
	record, recorded := s.records[service]
	switch {
	case !ordered && recorded:
		return TrafficSplit{Stable: present(all, record.FinalVersion(), "")}
	case !ordered:
		return TrafficSplit{Stable: majority(all, "")}
	case recorded && record.Order == order.Revision && record.Phase == Done:
		return TrafficSplit{Stable: present(all, record.Target, "")}
	case recorded && record.Order == order.Revision:
		return TrafficSplit{Stable: present(all, record.Stable, record.Target), Target: record.Target, Share: record.Share}
	case recorded:
		return TrafficSplit{Stable: present(all, record.FinalVersion(), order.Target), Target: order.Target}
	default:
		return TrafficSplit{Stable: majority(all, order.Target), Target: order.Target}
	}
}

// FinalVersion returns the version that carries the service after the move.
func (r MoveRecord) FinalVersion() string {
	if r.Phase == Done {
		return r.Target
	}
	return r.Stable
}

// present returns a version that has servers, or else the majority version.
func present(all []Backend, version, except string) string {
	for _, b := range all {
		if b.Version == version {
			return version
		}
	}
	return majority(all, except)
}

// majority returns the version of most servers, other than one.
func majority(all []Backend, except string) (version string) {
	counts := map[string]int{}
	for _, b := range all {
		if b.Version != except {
			counts[b.Version]++
		}
	}
	for v, n := range counts {
		if n > counts[version] || (n == counts[version] && v < version) || version == "" {
			version = v
		}
	}
	return version
}

// Orders returns every order.
func (s *Snapshotter) Orders() (all []describer.MoveOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.orders {
		all = append(all, o)
	}
	return all
}

// MoveRecord returns the newest known record of a service's move.
func (s *Snapshotter) MoveRecord(service string) (r MoveRecord, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok = s.records[service]
	return r, ok
}

// StableVersion returns the version that carries a service that has an order without a
// record.
func (s *Snapshotter) StableVersion(o describer.MoveOrder) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Backend
	for _, b := range s.backends {
		if b.Service == o.Service {
			all = append(all, b)
		}
	}
	return s.move(o.Service, all).Stable
}
