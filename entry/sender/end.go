package sender

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// maxStatus is the largest status of a response.
	maxStatus = 599
	// writeTimeout bounds the wait for the end of the request behind a response that ends
	// with its connection.
	writeTimeout = 200 * time.Millisecond
)

// errUnwritten is returned for a response that ends with its connection before the request
// was written.
var errUnwritten = errors.New("connection ended before the request was written")

// checkEnd returns the body of a response. One without a length ends with the connection,
// which is orderly only if the whole request was written: the kernel reports a reset once,
// and if a write gets the error, the read sees an orderly end.
func (a *attempt) checkEnd(r *http.Response) io.ReadCloser {
	if r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Body == http.NoBody {
		return r.Body
	}
	return &checkedBody{ReadCloser: r.Body, attempt: a}
}

// checkedBody is a body that ends with its connection.
type checkedBody struct {
	io.ReadCloser
	attempt *attempt
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.attempt.isWritten() {
		return n, errUnwritten
	}
	return n, err
}

// isWritten reports whether the whole request was written. It waits up to writeTimeout for
// that.
func (a *attempt) isWritten() bool {
	select {
	case <-a.wrote:
		return true
	case <-time.After(writeTimeout):
		return false
	}
}
