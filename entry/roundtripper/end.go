package roundtripper

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// maxStatus is the largest status of a response.
const maxStatus = 599

// errUnwritten is returned for a response that ends with its connection before the request
// was written.
var errUnwritten = errors.New("connection ended before the request was written")

// endsWithConnection reports whether only the end of the connection ends the body.
func (r reply) endsWithConnection() bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

// end returns a function that reports whether the end of the body is that of a whole response.
// One without a length ends with the connection, which is orderly only if the whole request
// was written: the kernel reports a reset once, and if a write gets the error, the read sees
// an orderly end. The function may be called more than once.
func (r reply) end(written <-chan error) func() error {
	if !r.endsWithConnection() {
		return func() error { return nil }
	}
	return sync.OnceValue(func() error {
		select {
		case err := <-written:
			if err != nil {
				return fmt.Errorf("%w: %w", errUnwritten, err)
			}
			return nil
		case <-time.After(writeTimeout):
			return errUnwritten
		}
	})
}
