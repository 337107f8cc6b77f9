package sender

import (
	"net/netip"
	"net/url"
)

// requestURL returns the URL that sends a request target unchanged to an address. A target
// that is not a valid URI becomes "/".
func requestURL(uri string, address netip.AddrPort) *url.URL {
	u, err := url.ParseRequestURI(uri)
	if err != nil {
		u = &url.URL{Path: "/"}
	}
	return &url.URL{Scheme: "http", Host: address.String(), Path: u.Path, RawPath: u.RawPath, RawQuery: u.RawQuery, ForceQuery: u.ForceQuery}
}
