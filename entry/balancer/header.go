package balancer

import (
	"net/http"
	"strconv"

	"samphiremux/entry/roundtripper"
	"samphiremux/entry/sanitizer"
)

// fieldOverhead is the size of a header field beside its name and value: a
// colon, a space and CRLF.
const fieldOverhead = 4

// headerBytes returns the size of a request's request line and headers.
func headerBytes(r *http.Request) (n int) {
	n = len(r.Method) + len(r.RequestURI) + len(r.Proto) + fieldOverhead
	n += len("Host") + len(r.Host) + fieldOverhead
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + fieldOverhead
		}
	}
	return n
}

// endToEndHeader returns the headers that are forwarded. Content-Length is left
// out, since it is set anew.
func endToEndHeader(h http.Header) http.Header { return sanitizer.StripHopByHop(h, "Content-Length") }

// contentLength returns the value of a response's Content-Length header. A
// response without a body, as for HEAD, keeps the value that the server sent.
func contentLength(resp *roundtripper.Response) string {
	if stated := resp.Header.Get("Content-Length"); len(resp.Body) == 0 && stated != "" {
		return stated
	}
	return strconv.Itoa(len(resp.Body))
}
