package sender

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

// errWithheld aborts the transmission of a request body that must no longer be sent.
var errWithheld = errors.New("request body withheld before its first byte was sent")

// States of a request body.
const (
	bodyUnread int32 = iota
	bodyReading
	bodyWithheld
)

// requestBody is a request body that can be withheld until its first byte is read.
// The method withhold decides, without a race with Read, whether any of it was sent.
type requestBody struct {
	state  atomic.Int32
	reader *bytes.Reader
}

func newRequestBody(body []byte) *requestBody { return &requestBody{reader: bytes.NewReader(body)} }

// Read implements io.Reader. It returns errWithheld if the body is withheld.
func (b *requestBody) Read(p []byte) (int, error) {
	if !b.state.CompareAndSwap(bodyUnread, bodyReading) && b.state.Load() == bodyWithheld {
		return 0, errWithheld
	}
	return b.reader.Read(p)
}

// Close implements io.Closer. It does nothing, since http.Transport closes a body at
// times that do not show whether it was sent.
func (b *requestBody) Close() error { return nil }

// withhold withholds the body unless its transmission has begun. It reports true if no
// byte of the body was or will be sent.
func (b *requestBody) withhold() bool {
	return b.state.CompareAndSwap(bodyUnread, bodyWithheld) || b.state.Load() == bodyWithheld
}

var _ io.ReadCloser = (*requestBody)(nil)
