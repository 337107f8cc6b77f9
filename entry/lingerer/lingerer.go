// Package lingerer closes connections in two stages (RFC 9112, section 9.6): it ends the
// sending side, and closes the socket once the peer has received the rest of what was sent. The kernel
// resets a connection that is closed with unread bytes, or that gets further ones, and drops
// what it has not delivered.
package lingerer

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"samphiremux/entry/peeker"
)

const (
	// maxTime bounds the time until the socket is closed.
	maxTime = 10 * time.Second
	// stallTime is the time in which the peer has to acknowledge further bytes. Links lose
	// packets; a retransmission takes 0.2 to 0.4 s.
	stallTime = time.Second
	// acknowledgedTime is the time after which the socket is closed if the peer has
	// acknowledged all bytes and keeps its side open.
	acknowledgedTime = 500 * time.Millisecond
	// pollInterval is the time between two looks for acknowledged bytes, for which the kernel
	// has no event.
	pollInterval = 50 * time.Millisecond
	// maxDiscardBytes bounds what is read from the peer and dropped.
	maxDiscardBytes = 1 << 20
	// bufferBytes is the size of the buffer for dropped bytes.
	bufferBytes = 4 << 10
)

// Conn is a connection whose sending side can be ended.
type Conn interface {
	net.Conn
	CloseWrite() error
}

// End is the reason for which the socket was closed.
type End string

// Reasons for which sockets are closed.
const (
	// PeerClosed means that the peer has closed its side or the connection, or that the
	// response was given up.
	PeerClosed End = "peer-closed"
	// Acknowledged means that the peer has acknowledged all bytes, but keeps its side open.
	Acknowledged End = "acknowledged"
	// Stalled means that the peer acknowledges no further bytes, or does so too slowly.
	Stalled End = "stalled"
	// Flooded means that the peer sends too much.
	Flooded End = "flooded"
	// Canceled means that the context has ended.
	Canceled End = "canceled"
)

// Ends lists the reasons.
func Ends() []End { return []End{PeerClosed, Acknowledged, Stalled, Flooded, Canceled} }

// Close ends the sending side of a connection, drops what the peer sends, and closes the socket
// once the peer has received what was sent, does not read it, or ctx ends. It takes 10 s at most.
func Close(ctx context.Context, c Conn) End {
	defer c.Close()
	if c.CloseWrite() != nil {
		return PeerClosed
	}
	now := time.Now()
	l := &linger{conn: c, end: now.Add(maxTime), stalledAt: now.Add(stallTime), unacknowledged: -1}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	for {
		if end, ended := l.discard(); ended {
			if ctx.Err() != nil {
				return Canceled
			}
			return end
		}
		if end, ended := l.checkProgress(time.Now()); ended {
			return end
		}
	}
}

// linger is the state of a connection that is being closed.
type linger struct {
	conn Conn
	// end is when the socket is closed, and stalledAt when it is unless the peer acknowledges
	// further bytes.
	end, stalledAt time.Time
	// unacknowledged is the number of bytes that the peer has not acknowledged, or negative
	// before the first look. It counts the end of the sending side.
	unacknowledged int
	discarded      int
	buffer         [bufferBytes]byte
}

// discard reads and drops bytes until the next look at the progress of the peer is due.
func (l *linger) discard() (end End, ended bool) {
	due := time.Now().Add(pollInterval)
	if l.unacknowledged == 0 || due.After(l.end) {
		due = l.end
	}
	if err := l.conn.SetReadDeadline(due); err != nil {
		return PeerClosed, true
	}
	for {
		n, err := l.conn.Read(l.buffer[:])
		l.discarded += n
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return "", false
		case err != nil:
			return PeerClosed, true
		case l.discarded > maxDiscardBytes:
			return Flooded, true
		}
	}
}

// checkProgress looks at what the peer has acknowledged.
func (l *linger) checkProgress(now time.Time) (end End, ended bool) {
	if l.unacknowledged == 0 {
		return Acknowledged, true
	}
	left, err := peeker.Unacknowledged(l.conn)
	switch {
	case err != nil:
		// Without this knowledge the peer has stallTime.
	case left == 0:
		l.end = now.Add(acknowledgedTime)
	case l.unacknowledged < 0 || left < l.unacknowledged:
		l.stalledAt = now.Add(stallTime)
	}
	if err == nil {
		l.unacknowledged = left
	}
	if left > 0 || err != nil {
		return Stalled, !now.Before(l.end) || !now.Before(l.stalledAt)
	}
	return "", false
}
