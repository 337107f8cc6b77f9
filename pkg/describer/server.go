package describer

import (
	"net/netip"
	"time"
)

// Server is what a backend server registered of itself.
type Server struct {
	ID      string
	Service string
	Domain  string
	Version string
	Address netip.AddrPort
	Slots   int
	// Draining tells that the server is about to leave.
	Draining bool
	// ColdUntil is when the server bears its full load.
	ColdUntil time.Time
	// Incarnation tells incarnations apart. Later ones are greater.
	Incarnation int64
}

// Load is what a backend server says of itself in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work takes there at this moment, relative to its
	// usual time: 1 means as usual.
	Slowness float64
}

// MoveOrder is the operators' order to move a service to another version.
type MoveOrder struct {
	Service string
	// Target is the version to move to.
	Target string
	// Duration is the time that the operators give, from the order on.
	Duration time.Duration
	// Revision identifies the order. A later order has a greater one.
	Revision int64
}

// MoveState is the state of a version move as operators read it.
type MoveState int

// States of a version move.
const (
	MoveRunning MoveState = iota
	MoveSucceeded
	MoveRolledBack
)
