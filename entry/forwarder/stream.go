package forwarder

import (
	"context"

	"samphiremux/entry/canceler"
	"samphiremux/entry/sender"
)

// cancelAfter cancels the context of an attempt, but that of a response that is streamed
// only when its body is closed. The response may be nil.
func cancelAfter(response *sender.Response, cancel context.CancelFunc) {
	if response == nil || response.Remainder == nil {
		cancel()
		return
	}
	response.Remainder = canceler.WrapBody(response.Remainder, cancel)
}
