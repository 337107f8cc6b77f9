package storer

import (
	"context"
	"sync"
	"time"
)

type progressKey struct{}

// WithProgress returns a context whose calls of a Store call f whenever a part of a response
// has arrived. F must be safe for concurrent use.
func WithProgress(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, progressKey{}, func() {
		ReportProgress(ctx)
		f()
	})
}

// ReportProgress calls the functions of WithProgress.
func ReportProgress(ctx context.Context) {
	if f, ok := ctx.Value(progressKey{}).(func()); ok {
		f()
	}
}

// WithTransferTimeout returns a context for calls of a Store that ends at a deadline, or, if
// a response begins to arrive before, when the transfer timeout has passed since, whichever
// is later. So a long response is not cut short when it was long in coming.
func WithTransferTimeout(ctx context.Context, deadline time.Time, transferTimeout time.Duration) (context.Context, context.CancelFunc) {
	parent, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(time.Until(deadline), func() { cancel(context.DeadlineExceeded) })
	var began sync.Once
	receiving := WithProgress(parent, func() {
		began.Do(func() { timer.Reset(max(transferTimeout, time.Until(deadline))) })
	})
	return transferContext{receiving, deadline}, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// transferContext is a context that may end after its deadline.
type transferContext struct {
	context.Context
	deadline time.Time
}

// Deadline implements context.Context. A response should begin to arrive before.
func (c transferContext) Deadline() (time.Time, bool) {
	if deadline, ok := c.Context.Deadline(); ok && deadline.Before(c.deadline) {
		return deadline, true
	}
	return c.deadline, true
}
