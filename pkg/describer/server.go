package describer

import (
	"net/netip"
	"time"
)

// Server is the registration of a backend server.
type Server struct {
	ID      string
	Service string
	Domain  string
	Version string
	Address netip.AddrPort
	Slots   int
	// Draining reports that the server is about to leave and takes no new work.
	Draining bool
	// ColdUntil is when the slow start ends and the server can take its full load.
	ColdUntil time.Time
	// Incarnation distinguishes runs of a server with the same ID. Later ones are
	// greater.
	Incarnation int64
}

// Load is the load that a backend server reports in a response.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is the current duration of work on the server, relative to its usual
	// duration: 1 means no slowdown.
	Slowness float64
}

// MoveOrder is an operator's order to move a service to another version.
type MoveOrder struct {
	Service string
	// Target is the version to move to.
	Target string
	// Duration is the time allowed for the move, counted from the order.
	Duration time.Duration
	// Revision identifies the order. Later orders have greater ones.
	Revision int64
}

// MoveState is the state of a version move as published to operators.
type MoveState int

// States of a version move.
const (
	MoveRunning MoveState = iota
	MoveSucceeded
	MoveRolledBack
)
