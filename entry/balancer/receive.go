package balancer

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"samphiremux/entry/refuser"
	"samphiremux/entry/snapshotter"
	"samphiremux/pkg/describer"
)

// call is one request of a caller.
type call struct {
	route    describer.Route
	service  string
	version  string
	view     *snapshotter.Snapshot
	arrived  time.Time
	deadline time.Time
	method   string
	host     string
	target   string
	header   http.Header
	body     []byte
	id       string
	tried    map[string]bool
	trail    trail
}

func notRun(reason refuser.Reason) *refuser.Refusal {
	r := refuser.NewNotRun(reason)
	return &r
}

// receive reads a request and finds its route.
func (s *Balancer) receive(w http.ResponseWriter, r *http.Request) (*call, *refuser.Refusal) {
	now := time.Now()
	view := s.o.View()
	if view.Table == nil {
		return nil, notRun(refuser.NoDocument)
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if limit := view.Table.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		return nil, notRun(refuser.HeadersTooLarge)
	}
	route, ok := view.Table.Match(r.Host, path)
	if !ok {
		return nil, notRun(refuser.NoSuchRoute)
	}
	id := r.Header.Get(s.o.Headers.RequestID)
	if id == "" {
		return nil, notRun(refuser.BadRequest)
	}
	wait := route.TimeLimit
	if left, ok := s.o.Headers.ReadDeadline(r.Header); ok {
		wait = min(wait, left)
	}
	body, refusal := readBody(w, r, view.Table.Limits.BodyBytes)
	if refusal != nil {
		return nil, refusal
	}
	service := route.PickService(s.draw(route.Name))
	return &call{
		route: route, service: service, version: view.Splits[service].PickVersion(s.draw("version of " + service)),
		view: view, arrived: now, deadline: now.Add(wait), method: r.Method, host: r.Host, target: r.RequestURI,
		header: cleanHeader(r.Header), body: body, id: id, tried: map[string]bool{},
	}, nil
}

// readBody reads a whole body within the limit of the configuration.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *refuser.Refusal) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if limit > 0 {
		if r.ContentLength > limit {
			return nil, notRun(refuser.BodyTooLarge)
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	var body []byte
	var err error
	if r.ContentLength > 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, body)
	} else {
		body, err = io.ReadAll(r.Body)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, notRun(refuser.BodyTooLarge)
	case err != nil:
		// The caller has left or broken its own framing.
		return nil, notRun(refuser.CallerDisconnected)
	}
	return body, nil
}

// goldenRatio spreads the draws of a key evenly, so that shares are kept also
// over few requests.
const goldenRatio = 0.6180339887498949

// draw returns the next draw between zero and one for a key.
func (s *Balancer) draw(key string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.draws[key]
	if !ok {
		d = s.rng.Float64()
	}
	d += goldenRatio
	if d >= 1 {
		d--
	}
	s.draws[key] = d
	return d
}

// toStable sends what follows the first attempt to the version that carries the
// service, so that a new one is not tried twice by one request.
func (c *call) toStable() { c.version = c.view.Splits[c.service].Stable }
