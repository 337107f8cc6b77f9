package linker_test

import (
	"context"
	"net"
	"testing"
	"time"

	"samphiremux/pkg/linker"
	"samphiremux/pkg/linker/linkpb"
)

// oneListener accepts one connection.
type oneListener struct{ conns chan net.Conn }

func (l *oneListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l *oneListener) Close() error   { return nil }
func (l *oneListener) Addr() net.Addr { return &net.TCPAddr{} }

// FuzzServe guards against bytes of a faulty peer that crash or block the link server.
func FuzzServe(f *testing.F) {
	// An invocation of Beat with an empty message: frames of kind, stream, message, length.
	f.Add([]byte("\x03\x01\x01\x0a/link/Beat\x05\x01\x02\x00\x0d\x01\x03\x00"))
	f.Add([]byte("\x02\x01\x01\x02ab\x03\x01\x01\x00"))
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, text []byte) {
		peer, own := net.Pipe()
		l := &oneListener{conns: make(chan net.Conn, 1)}
		l.conns <- own
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = linker.Serve(ctx, l, &linkpb.DRPCLinkUnimplementedServer{})
		}()
		go func() {
			buffer := make([]byte, 4096)
			for {
				if _, err := peer.Read(buffer); err != nil {
					return
				}
			}
		}()
		_ = peer.SetWriteDeadline(time.Now().Add(5 * time.Second))
		_, _ = peer.Write(text)
		_ = peer.Close()
		cancel()
		close(l.conns)
		select {
		case <-served:
		case <-time.After(10 * time.Second):
			t.Fatal("the server does not end")
		}
	})
}
