package sender

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

// errGateClosed ends the sending of a body that must not be sent any more.
var errGateClosed = errors.New("the request body was withheld")

const (
	gateUntouched int32 = iota
	gateReading
	gateClosed
)

// gate is a request body that can be withheld until its first byte is read.
// Close decides without a race whether anything of it was sent.
type gate struct {
	state  atomic.Int32
	reader *bytes.Reader
}

func newGate(body []byte) *gate { return &gate{reader: bytes.NewReader(body)} }

// Read implements io.Reader.
func (g *gate) Read(b []byte) (int, error) {
	if !g.state.CompareAndSwap(gateUntouched, gateReading) && g.state.Load() == gateClosed {
		return 0, errGateClosed
	}
	return g.reader.Read(b)
}

// Close implements io.Closer. It does nothing, since the transport closes
// bodies at times of its own.
func (g *gate) Close() error { return nil }

// withhold reports true if no byte of the body was or will be sent.
func (g *gate) withhold() bool {
	return g.state.CompareAndSwap(gateUntouched, gateClosed) || g.state.Load() == gateClosed
}

var _ io.ReadCloser = (*gate)(nil)
