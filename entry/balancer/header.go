package balancer

import (
	"net/http"
	"strconv"

	"samphiremux/entry/roundtripper"
	"samphiremux/entry/sanitizer"
)

const (
	// lineOverhead is the size of a request line beside its parts: two spaces and CRLF.
	lineOverhead = 4
	// fieldOverhead is the least size of a header field beside its name and value: a
	// colon and CRLF.
	fieldOverhead = 3
)

// headerBytes returns the least size of a request's request line and headers. Optional
// spaces are not known any more.
func headerBytes(r *http.Request) (n int) {
	n = len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineOverhead
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
