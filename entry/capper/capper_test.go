package capper_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/capper"
	"samphiremux/entry/reserver"
)

// TestBounds guards against peers that use up the descriptors or the memory, and against
// the close of a connection for messages that were responded to.
func TestBounds(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer inner.Close()
	memory := reserver.New(100 << 10)
	var mu sync.Mutex
	closed := map[capper.Reason]int{}
	l := capper.Wrap(inner, capper.Bounds{Connections: 2, Memory: memory, OnClose: func(r capper.Reason) {
		mu.Lock()
		defer mu.Unlock()
		closed[r]++
	}})
	connect := func() (peer, accepted net.Conn) {
		peer, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		accepted, err = l.Accept()
		is.NoErr(err)
		return peer, accepted
	}
	message := make([]byte, 40<<10)
	receive := func(peer, accepted net.Conn) error {
		go func() { _, _ = peer.Write(message) }()
		_, err := io.ReadFull(accepted, make([]byte, len(message)))
		return err
	}
	peer, accepted := connect()
	for range 5 {
		is.NoErr(receive(peer, accepted))
		_, err := accepted.Write([]byte("response"))
		is.NoErr(err)
		is.Equal(memory.Used(), int64(0))
	}
	is.NoErr(receive(peer, accepted))
	is.NoErr(receive(peer, accepted))
	is.True(receive(peer, accepted) != nil) // 120 KiB without a response
	is.Equal(memory.Used(), int64(0))

	first, _ := connect()
	time.Sleep(time.Millisecond)
	_, _ = connect()
	_, _ = connect()
	_, err = first.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // idle for the longest time
	mu.Lock()
	defer mu.Unlock()
	is.Equal(closed, map[capper.Reason]int{capper.MemoryFull: 1, capper.TooManyConnections: 1})
}
