package responder

import (
	"net"
	"net/http"
	"strconv"
	"time"
)

// pauseNotice is the time after a server asked an entry for a pause from which the entry
// keeps it.
const pauseNotice = 500 * time.Millisecond

// pause is a time for which a server refuses all requests and asks for none, and what it
// got nevertheless.
type pause struct {
	until time.Time
	// askedAt and ignored hold, by the IP address of an entry, when the server first asked
	// it for the pause, and the number of its requests and probes from pauseNotice later on.
	askedAt map[string]time.Time
	ignored map[string]int
}

// ShedFor makes the server refuse all requests for a time and ask for none until its end.
func (s *Server) ShedFor(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pause = &pause{until: time.Now().Add(d), askedAt: map[string]time.Time{}, ignored: map[string]int{}}
}

// ClearPause ends the refusals that ShedFor began.
func (s *Server) ClearPause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pause = nil
}

// recordDuringPause counts a request or probe if its entry was asked for a pause before.
func (s *Server) recordDuringPause(now time.Time, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pause == nil || !now.Before(s.pause.until) {
		return
	}
	entry := host(r)
	if at, asked := s.pause.askedAt[entry]; asked && now.Sub(at) > pauseNotice {
		s.pause.ignored[entry]++
		s.stats.MaxDuringPause = max(s.stats.MaxDuringPause, s.pause.ignored[entry])
	}
}

// refuseForPause refuses a request during a pause and asks for none until its end. It
// reports false if there is no pause.
func (s *Server) refuseForPause(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.pause == nil || !now.Before(s.pause.until) {
		return false
	}
	if _, asked := s.pause.askedAt[host(r)]; !asked {
		s.pause.askedAt[host(r)] = now
	}
	s.stats.Shed++
	if !s.options.HidePause {
		w.Header().Set(retryAfterHeader, strconv.FormatFloat(s.pause.until.Sub(now).Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// host returns the IP address of the caller.
func host(r *http.Request) string {
	h, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return h
}
