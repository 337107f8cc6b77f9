package sanitizer_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"samphiremux/entry/sanitizer"
)

func TestStripHopByHop(t *testing.T) {
	is := is.New(t)
	h := http.Header{
		"Connection": {"close, X-Own", "X-Other"}, "X-Own": {"1"}, "X-Other": {"2"}, "Te": {"trailers"},
		"X-More": {"3"}, "X-Kept": {"4", "5"},
	}
	is.Equal(sanitizer.StripHopByHop(h, "X-More"), http.Header{"X-Kept": {"4", "5"}})
	is.Equal(len(h), 6) // the argument is not changed
}
