// Package peeker tells what has arrived on a connection without reading it.
package peeker

import (
	"errors"
	"net"
	"syscall"
)

// State is what a connection holds that has not been read.
type State int

// States of a connection. Unknown means that the connection has no socket or has failed.
const (
	Unknown State = iota
	Empty
	Unread
	Ended
)

// Peek returns the state of a connection. It does not wait.
func Peek(c net.Conn) (s State) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Unknown
	}
	var b [1]byte
	// Control does not wait for a read in progress.
	err = raw.Control(func(fd uintptr) {
		n, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(peekErr, syscall.EAGAIN):
			s = Empty
		case peekErr != nil:
			s = Unknown
		case n > 0:
			s = Unread
		default:
			s = Ended
		}
	})
	if err != nil {
		return Unknown
	}
	return s
}
