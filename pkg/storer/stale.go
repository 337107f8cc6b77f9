package storer

import "context"

type staleKey struct{}

// WithStaleReads returns a context with which List may return an older state of the store,
// by up to some seconds, together with the revision of that state. Such reads cost a tenth
// and do not count against the store's limits.
func WithStaleReads(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, true)
}

// AllowsStaleReads reports whether the context is one of WithStaleReads.
func AllowsStaleReads(ctx context.Context) bool {
	allowed, _ := ctx.Value(staleKey{}).(bool)
	return allowed
}
