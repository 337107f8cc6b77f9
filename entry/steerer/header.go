package steerer

import (
	"net/http"
	"strconv"
	"strings"

	"samphiremux/entry/exchanger"
)

// hopHeaders hold for one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

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

// cleanHeader returns the headers that pass on.
func cleanHeader(h http.Header) http.Header {
	clean := h.Clone()
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			clean.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		clean.Del(name)
	}
	return clean
}

// lengthText returns the length of an answer. One without a body, as for HEAD,
// keeps the length that the server stated.
func lengthText(a *exchanger.Answer) string {
	if stated := a.Header.Get("Content-Length"); len(a.Body) == 0 && stated != "" {
		return stated
	}
	return strconv.Itoa(len(a.Body))
}
