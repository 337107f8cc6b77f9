// Package canceler ends the context of an attempt together with the body of its response.
package canceler

import (
	"context"
	"io"
)

// body is the unread rest of a body, whose attempt ends with it.
type body struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// WrapBody returns a body whose Close also cancels the context of its attempt.
func WrapBody(rest io.ReadCloser, cancel context.CancelFunc) io.ReadCloser {
	return &body{ReadCloser: rest, cancel: cancel}
}

// Close implements io.Closer.
func (b *body) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
