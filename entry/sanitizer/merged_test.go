package sanitizer_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"samphiremux/entry/sanitizer"
)

func TestHasMergedHead(t *testing.T) {
	for _, c := range []struct {
		status, value string
		merged        bool
	}{
		{"200 OK", "1", false},
		{"503 HTTP/1.1 200 OK", "1", true},
		{"503 ServiceHTTP/1.0 200 OK", "1", true},
		{"200 OK", "HTTP/1.1 200", true},
		{"200 OK", "1HTTP/1.1 204 No Content", true},
		{"200 OK", "HTTP/1.1 proxy", false},
		{"200 OK", "HTTP/1.1 100.64.0.1:80, 1.1 other", false},
		{"200 HTTP/1.1", "HTTP/2.0", false},
	} {
		t.Run(c.status+", "+c.value, func(t *testing.T) {
			is := is.New(t)
			resp := &http.Response{Status: c.status, Header: http.Header{"Via": {"1.1 a", c.value}}}
			is.Equal(sanitizer.HasMergedHead(resp), c.merged)
		})
	}
}
