package balancer

import (
	"net/http"
	"strconv"

	"samphiremux/entry/roundtripper"
	"samphiremux/entry/sanitizer"
)

// fieldBytes is what a header field takes beside its name and value: a colon, a
// space and the end of the line.
const fieldBytes = 4

// headerBytes returns the size of a request's line and headers.
func headerBytes(r *http.Request) (n int) {
	n = len(r.Method) + len(r.RequestURI) + len(r.Proto) + fieldBytes
	n += len("Host") + len(r.Host) + fieldBytes
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + fieldBytes
		}
	}
	return n
}

// cleanHeader returns the headers that pass on. The length is stated anew.
func cleanHeader(h http.Header) http.Header { return sanitizer.StripHopByHop(h, "Content-Length") }

// lengthText returns the length of an answer. One without a body, as for HEAD,
// keeps the length that the server stated.
func lengthText(a *roundtripper.Response) string {
	if stated := a.Header.Get("Content-Length"); len(a.Body) == 0 && stated != "" {
		return stated
	}
	return strconv.Itoa(len(a.Body))
}
