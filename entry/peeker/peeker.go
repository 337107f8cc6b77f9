// Package peeker tells what has arrived on a connection without reading it, and what is on its
// way to the peer.
package peeker

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
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

// Unacknowledged returns the number of bytes that were written to a connection and that its
// peer has not acknowledged. The end of the sending side counts as a byte. It fails for a
// connection without a socket.
func Unacknowledged(c net.Conn) (bytes int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var queueErr error
	err = raw.Control(func(fd uintptr) { bytes, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return bytes, errors.Join(err, queueErr)
}
