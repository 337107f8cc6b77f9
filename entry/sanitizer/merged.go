package sanitizer

import (
	"net/http"
	"regexp"
	"strings"
)

// statusLine matches the start of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9]{2}( |$)`)

// HasMergedHead reports whether the head of a response contains the start of another one, as
// if a server has broken off a response before it on the same connection. Status and headers
// then belong to two responses.
func HasMergedHead(resp *http.Response) bool {
	if containsStatusLine(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		for _, v := range values {
			if containsStatusLine(v) {
				return true
			}
		}
	}
	return false
}

func containsStatusLine(text string) bool {
	return strings.Contains(text, "HTTP/1.") && statusLine.MatchString(text)
}
