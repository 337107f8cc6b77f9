package linker_test

import (
	"context"
	"testing"
	"time"

	"samphiremux/pkg/linker"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/pkg/pipelistener"
)

// FuzzServe guards against bytes of a faulty peer that crash or block the link server.
func FuzzServe(f *testing.F) {
	// An invocation of Beat with an empty message: frames of kind, stream, message, length.
	f.Add([]byte("\x03\x01\x01\x0a/link/Beat\x05\x01\x02\x00\x0d\x01\x03\x00"))
	f.Add([]byte("\x02\x01\x01\x02ab\x03\x01\x01\x00"))
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, text []byte) {
		l := pipelistener.New()
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = linker.Serve(ctx, l, &linkpb.DRPCLinkUnimplementedServer{})
		}()
		peer := l.Open()
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
		_ = l.Close()
		select {
		case <-served:
		case <-time.After(10 * time.Second):
			t.Fatal("the server does not end")
		}
	})
}
