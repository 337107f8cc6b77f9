package balancer

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"samphiremux/entry/capper"
	"samphiremux/entry/linkgauger"
)

// probeFailure is how a probe failed. It is a label value of a metric.
type probeFailure string

const (
	// probeRefused means that the server's address refused the connection.
	probeRefused probeFailure = "refused"
	// probeReset means that the connection was reset or closed before the response.
	probeReset probeFailure = "reset"
	// probeUnanswered means that no response arrived in time.
	probeUnanswered probeFailure = "no-answer"
	// probeUnhealthy means that the server reported itself unhealthy.
	probeUnhealthy probeFailure = "unhealthy"
	// probeMisdirected means that another server responded.
	probeMisdirected probeFailure = "wrong-instance"
	// probeAtBound means that this entry has opened as many connections as it may, which says
	// nothing about the server.
	probeAtBound probeFailure = "own-bound"
	// probeOwnLink means that no response arrived in time while the own link of this entry was
	// saturated, which says nothing about the server.
	probeOwnLink probeFailure = "own-link"
	// probeOwnProcessor means that no response was read in time since this process got no
	// processor time, which says nothing about the server.
	probeOwnProcessor probeFailure = "own-processor"
	// probeFailed means that the probe failed in another way, such as with a malformed
	// response.
	probeFailed probeFailure = "other"
)

// probeFailures returns all ways in which a probe fails.
func probeFailures() []probeFailure {
	return []probeFailure{probeRefused, probeReset, probeUnanswered, probeUnhealthy, probeMisdirected, probeAtBound, probeOwnLink, probeOwnProcessor, probeFailed}
}

// failureOf returns how a probe failed that ended with err. Ctx is the context of the
// probe, and timeout is its timeout.
func failureOf(ctx context.Context, timeout linkgauger.Timeout, err error) probeFailure {
	var netError net.Error
	switch {
	case errors.Is(err, capper.ErrTooManyConnections):
		return probeAtBound
	case isUnhealthy(err):
		return probeUnhealthy
	case isWrongInstance(err):
		return probeMisdirected
	case ctx.Err() != nil || (errors.As(err, &netError) && netError.Timeout()):
		now := time.Now()
		switch {
		case timeout.IsInconclusive(now):
			return probeOwnLink
		case timeout.IsStalled(now):
			return probeOwnProcessor
		}
		return probeUnanswered
	case errors.Is(err, syscall.ECONNREFUSED):
		return probeRefused
	case isConnectionEnd(err):
		return probeReset
	default:
		return probeFailed
	}
}

// isConnectionEnd reports whether err means that the peer reset or closed the connection.
func isConnectionEnd(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
