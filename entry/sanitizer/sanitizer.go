// Package sanitizer removes the headers that hold for one connection only.
package sanitizer

import (
	"net/http"
	"strings"
)

// hopHeaders hold for one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripHopByHop returns a copy of the headers without those of the connection, which the
// Connection header may name too, and without more.
func StripHopByHop(h http.Header, more ...string) http.Header {
	clean := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			clean.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		clean.Del(name)
	}
	for _, name := range more {
		clean.Del(name)
	}
	return clean
}
