package snapshotter

import (
	"encoding/json"
	"fmt"
	"time"

	"samphiremux/pkg/describer"
	"samphiremux/pkg/storer"
)

// Phase is the stage of a version move.
type Phase string

// Phases of a version move. Done and RolledBack are final.
const (
	Moving     Phase = "moving"
	Done       Phase = "done"
	RolledBack Phase = "taken-back"
)

// Final reports whether the move has ended.
func (p Phase) Final() bool { return p == Done || p == RolledBack }

// MoveRecord is the state of a version move as stored in the platform's store. It is
// immutable.
type MoveRecord struct {
	// Order is the store revision of the operators' order.
	Order int64 `json:"order"`
	// Step is incremented with each change of the record.
	Step int `json:"step"`
	// Stable is the version that served the service before the move.
	Stable string  `json:"stable"`
	Target string  `json:"target"`
	Phase  Phase   `json:"phase"`
	Share  float64 `json:"share"`
	Reason string  `json:"reason,omitempty"`
	// Started is when the move began, and Changed when its share last changed, both by the
	// monotonic clock of this entry. The time since Started is stored instead, since the
	// clocks of VMs differ and may be set.
	Started time.Time `json:"-"`
	Changed time.Time `json:"-"`
}

// Precedes reports whether the other record is newer: of a later order, or of a
// later step of the same order.
func (r MoveRecord) Precedes(other MoveRecord) bool {
	return r.Order < other.Order || (r.Order == other.Order && r.Step < other.Step)
}

// BelongsTo reports whether the record is that of an order. After a restore of the store
// the operators write their orders again, so that an order of a later era is the one of
// the record if it has the same target.
func (r MoveRecord) BelongsTo(o describer.MoveOrder) bool {
	return r.Order == o.Revision || (r.Target == o.Target && r.Restored(o))
}

// Restored reports whether the store was restored from a copy since the move began, given
// its order.
func (r MoveRecord) Restored(o describer.MoveOrder) bool {
	return storer.Revision(r.Order).Era() < storer.Revision(o.Revision).Era()
}

// WithShare returns the next step of the record with another share for the target.
func (r MoveRecord) WithShare(share float64, at time.Time) MoveRecord {
	r.Step++
	r.Changed = at
	r.Share = share
	return r
}

// WithPhase returns the next step of the record, which ends the move in a final
// phase. The target's share becomes 1 if the move is done, else 0.
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

// WithStepAfter returns the record as a later step than another one of the same move.
func (r MoveRecord) WithStepAfter(other MoveRecord) MoveRecord {
	if r.Order == other.Order && r.Step <= other.Step {
		r.Step = other.Step + 1
	}
	return r
}

// WithStart returns the record with the given start, if that is earlier than the known one.
func (r MoveRecord) WithStart(at time.Time) MoveRecord {
	if at.Before(r.Started) {
		r.Started = at
	}
	return r
}

// Encode returns the record as JSON, the form in which it is stored. Entries of earlier
// versions read the two times of day.
func (r MoveRecord) Encode(now time.Time) ([]byte, error) {
	return json.Marshal(struct {
		MoveRecord
		ElapsedMS int64     `json:"elapsed-ms"`
		Started   time.Time `json:"started"`
		Changed   time.Time `json:"changed"`
	}{r, now.Sub(r.Started).Milliseconds(), r.Started, r.Changed})
}

// MaxMoveAge bounds the age of a move that is read, so that no number overflows.
const MaxMoveAge = 30 * 24 * time.Hour

// DecodeMoveRecord decodes a stored record. A record of an earlier version has no
// age: its move counts as begun now.
func DecodeMoveRecord(now time.Time, data []byte) (r MoveRecord, err error) {
	var stored struct {
		MoveRecord
		ElapsedMS int64 `json:"elapsed-ms"`
	}
	if err := json.Unmarshal(data, &stored); err != nil {
		return MoveRecord{}, fmt.Errorf("decoding version move record: %w", err)
	}
	r = stored.MoveRecord
	elapsed := min(max(0, stored.ElapsedMS), MaxMoveAge.Milliseconds())
	r.Started, r.Changed = now.Add(-time.Duration(elapsed)*time.Millisecond), now
	return r, nil
}

// TrafficSplit distributes the requests of a service over its versions.
type TrafficSplit struct {
	// Stable is the version that gets the requests not sent to Target. If it is
	// empty, any version may get them.
	Stable string
	// Target is the version that gets the fraction Share of the requests, from 0
	// to 1. It is empty if the service is not being moved.
	Target string
	Share  float64
}

// PickVersion returns the version for a random draw in [0, 1).
func (t TrafficSplit) PickVersion(draw float64) string {
	if t.Target != "" && draw < t.Share {
		return t.Target
	}
	return t.Stable
}

// split derives the traffic split of a service from its order and record:
//
//   - Without an order, all requests go to the final version of the record, or to
//     the majority version if there is no record.
//   - With a record of the current order, its share applies. Once the move is done,
//     the target is the stable version.
//   - With no record, or one of another order, the target gets nothing yet.
//
// If the stable version has no servers left, the majority version replaces it. The
// caller holds the lock.
func (s *Snapshotter) split(service string, all []Backend) TrafficSplit {
	order, ordered := s.orders[service]
	record, recorded := s.records[service]
	switch {
	case !ordered && recorded:
		return TrafficSplit{Stable: presentOrMajority(all, record.FinalVersion(), "")}
	case !ordered:
		return TrafficSplit{Stable: majorityVersion(all, "")}
	case recorded && record.BelongsTo(order) && record.Phase == Done:
		return TrafficSplit{Stable: presentOrMajority(all, record.Target, "")}
	case recorded && record.BelongsTo(order):
		return TrafficSplit{Stable: presentOrMajority(all, record.Stable, record.Target), Target: record.Target, Share: record.Share}
	case recorded:
		return TrafficSplit{Stable: presentOrMajority(all, record.FinalVersion(), order.Target), Target: order.Target}
	default:
		return TrafficSplit{Stable: majorityVersion(all, order.Target), Target: order.Target}
	}
}

// FinalVersion returns the version that serves the service after the move: the
// target if the move is done, else the stable version.
func (r MoveRecord) FinalVersion() string {
	if r.Phase == Done {
		return r.Target
	}
	return r.Stable
}

// presentOrMajority returns version if it has servers, or else the version of most
// servers other than except.
func presentOrMajority(all []Backend, version, except string) string {
	for _, b := range all {
		if b.Version == version {
			return version
		}
	}
	return majorityVersion(all, except)
}

// majorityVersion returns the version of most servers other than except. Of versions
// with equal counts it returns the first in string order.
func majorityVersion(all []Backend, except string) (version string) {
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

// Orders returns all orders in force, in no particular order.
func (s *Snapshotter) Orders() (all []describer.MoveOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.orders {
		all = append(all, o)
	}
	return all
}

// MoveRecord returns the newest known record of a service's move, if there is one.
func (s *Snapshotter) MoveRecord(service string) (r MoveRecord, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok = s.records[service]
	return r, ok
}

// StableVersion returns the stable version of a service: the version to move from when
// a new order has no record yet.
func (s *Snapshotter) StableVersion(o describer.MoveOrder) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Backend
	for _, b := range s.backends {
		if b.Service == o.Service {
			all = append(all, b)
		}
	}
	return s.split(o.Service, all).Stable
}
