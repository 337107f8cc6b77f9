package balancer

import (
	"fmt"
	"net/http"
	"time"
)

// idleMargin is the time before the end of a caller's idle connection from which the caller
// is to send nothing on it. It exceeds the time that a request is on its way.
const idleMargin = time.Second

// setKeepAlive tells a caller for how long it may reuse its connection, in whole seconds. A
// limit that leaves less than a second is not told.
func setKeepAlive(h http.Header, limit time.Duration) {
	if seconds := int64((limit - idleMargin) / time.Second); seconds > 0 {
		h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", seconds))
	}
}
