package commander

import (
	"errors"
	"net"
	"syscall"
)

// dialer returns a dialer whose connections fail soon after their peer stops
// answering.
func dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle / 2, Count: 2},
		Control:         setUserTimeout,
	}
}

// setUserTimeout sets the time after which a connection with unacknowledged data
// fails.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux, which package syscall
// lacks.
const tcpUserTimeout = 18
