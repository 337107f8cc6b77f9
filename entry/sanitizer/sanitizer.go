// Package sanitizer removes hop-by-hop headers from requests and responses that
// are forwarded.
package sanitizer

import (
	"net/http"
	"strings"
)

// hopHeaders are the headers that apply to a single connection only (RFC 9110,
// section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripHopByHop returns a copy of the headers without the hop-by-hop headers,
// those that the Connection header names, and the extra ones.
func StripHopByHop(h http.Header, extra ...string) http.Header {
	result := h.Clone()
	for _, names := range h.Values("Connection") {
		for name := range strings.SplitSeq(names, ",") {
			result.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		result.Del(name)
	}
	for _, name := range extra {
		result.Del(name)
	}
	return result
}
