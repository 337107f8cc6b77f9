package forwarder

import (
	"context"
	"io"

	"samphiremux/entry/sender"
)

// canceledOnClose is the unread rest of a body, whose attempt ends with it.
type canceledOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *canceledOnClose) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// cancelAfter cancels the context of an attempt, but that of a response that is streamed
// only when its body is closed. The response may be nil.
func cancelAfter(response *sender.Response, cancel context.CancelFunc) {
	if response == nil || response.Remainder == nil {
		cancel()
		return
	}
	response.Remainder = &canceledOnClose{ReadCloser: response.Remainder, cancel: cancel}
}
