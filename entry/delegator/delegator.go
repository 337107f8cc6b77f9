// Package delegator passes requests on to other entries, for an entry that reaches no
// backend server itself. It probes an entry over the connection that the request then
// takes, as a balancer does with servers.
package delegator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"samphiremux/entry/linkgauger"
	"samphiremux/entry/refuser"
	"samphiremux/entry/retrier"
	"samphiremux/entry/roundtripper"
	"samphiremux/pkg/describer"
)

// HealthPath is the path of the probes between entries. Its query parameters tell the
// version of the configuration that the entry must have, and the service whose servers it
// must reach.
const (
	HealthPath             = "/.samphire/health"
	ConfigurationParameter = "configuration"
	ServiceParameter       = "service"
)

// Headers between entries.
const (
	// HopHeader carries the id of the entry that passes a request on.
	HopHeader = "Samphire-Hop"
	// AttemptsHeader carries the number of attempts of a request that have reached
	// backend servers. An informational response carries it before each further attempt.
	AttemptsHeader = "Samphire-Attempts"
	// ConfigurationHeader carries the version of the configuration by which a request
	// was accepted.
	ConfigurationHeader = "Samphire-Configuration"
	// EntryHeader carries the id of the entry that answers a probe.
	EntryHeader = "Samphire-Entry"
	// ReachHeader tells the Reach of that entry.
	ReachHeader = "Samphire-Reach"
	// OutcomeHeader tells what a response is: Passed, or a refusal as in
	// refuser.Refusal.Header.
	OutcomeHeader = "Samphire-Outcome"
	// LeavingHeader carries the server that sent a response, if it is shutting down, as in
	// LeavingServer.Header.
	LeavingHeader = "Samphire-Leaving-Server"
	// TrialHeader marks a request that may run only as a trial, which the entry is to make.
	TrialHeader = "Samphire-Trial"
	// CountedHeader marks a request that the entry that passes it on has counted as run, and
	// the refusal of one that the refusing entry has counted.
	CountedHeader = "Samphire-Counted"
	// RetryHeader carries the time after which a refused request may be served, as a Go
	// duration. It is missing if that is not known.
	RetryHeader = "Samphire-Retry"
)

// IsProbe reports whether a request of another entry is a probe, and not one that it passes
// on.
func IsProbe(r *http.Request) bool {
	return r.URL.Path == HealthPath && r.Header.Get(HopHeader) == ""
}

// Passed is the value of OutcomeHeader for the response of a backend server.
const Passed = "passed"

// Reach is which servers of a service an entry reaches.
type Reach string

// Values of Reach. Servers that are down count as not reached.
const (
	ReachAll  Reach = "all"
	ReachSome Reach = "some"
	ReachNone Reach = "none"
)

const (
	// probesPerRound is the number of entries that are probed at once.
	probesPerRound = 2
	// maxProbes bounds the entries that are probed for one request.
	maxProbes = 16
	// maxOpenProbes is the number of probes without an answer from which a request starts
	// no round after its first, so that an entry that is slow to read answers does not
	// become slower.
	maxOpenProbes = 32
	// probeTimeout bounds the wait for the response to a probe, and roundTimeout the
	// wait until the next round starts.
	probeTimeout = 60 * time.Millisecond
	roundTimeout = 10 * time.Millisecond
	// avoidTime is the time for which an entry is probed last after it failed a probe, lost
	// a request, or said that it reaches some servers only.
	avoidTime = time.Second
	// maxTries bounds the entries that may turn one request down.
	maxTries = 3
	// unreachedTime is the time for which no entry is probed after none took requests.
	unreachedTime = 100 * time.Millisecond
)

// Peer is another entry that takes requests.
type Peer struct {
	ID     string
	Domain string
	// Address is where it listens for requests of other entries.
	Address string
}

// Options configures a Delegator.
type Options struct {
	// Self is the id of this entry, and Domain its failure domain.
	Self   string
	Domain string
	// RequestID is the name of the header with the id of a request.
	RequestID string
	// Peers returns the other entries that may be running.
	Peers func() []Peer
	Dial  func(ctx context.Context, address string) (net.Conn, error)
	// Link gauges the own link of this entry. Nil means that it is never saturated.
	Link *linkgauger.Gauger
}

// Request is a request that is passed on.
type Request struct {
	roundtripper.Request
	// Attempts is the number of attempts that have reached backend servers.
	Attempts int
	// Configuration is the version of the configuration by which it was accepted.
	Configuration int64
	// Service is the service that the request is for.
	Service string
	// Trial reports that the entry is to run the request as a trial.
	Trial bool
	// Counted reports that the request has been counted as run.
	Counted bool
	// ReachesNone reports whether this entry reaches no server of the service, so that one
	// that reaches some of them is good enough.
	ReachesNone bool
}

// search is what the requests have in common for which the same entries are good enough.
type search struct {
	service string
	some    bool
}

func (r Request) search() search { return search{service: r.Service, some: r.ReachesNone} }

// Result is what became of a request: Responded, Refused, Lost or Unreached.
type Result interface{ result() }

// Responded is the response of a backend server that another entry has passed on.
type Responded struct {
	Entry    string
	Response *roundtripper.Response
	// Leaving is the server if it is shutting down. Its ID is empty if it is not.
	Leaving LeavingServer
	// Attempts is as in Lost.
	Attempts int
}

// LeavingServer is an incarnation of a backend server that is shutting down.
type LeavingServer struct {
	ID          string
	Incarnation int64
}

// Header returns the value of LeavingHeader: the incarnation and the id.
func (s LeavingServer) Header() string { return fmt.Sprintf("%d %s", s.Incarnation, s.ID) }

// parseLeavingServer returns the server of a value of LeavingHeader. Its ID is empty if
// there is none.
func parseLeavingServer(header string) LeavingServer {
	number, id, _ := strings.Cut(header, " ")
	incarnation, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return LeavingServer{}
	}
	return LeavingServer{ID: id, Incarnation: incarnation}
}

// Refused is the refusal of another entry.
type Refused struct {
	Entry   string
	Refusal refuser.Refusal
	// Attempts is as in Lost.
	Attempts int
	// Counted reports that the entry has counted the request as run.
	Counted bool
}

// Lost is a request that another entry took without a complete response. It may have run.
type Lost struct {
	Entry   string
	Outcome retrier.Outcome
	// Attempts is the number of attempts that may have reached backend servers, as far as
	// the entry told.
	Attempts int
}

// Unreached is a request that no other entry took.
type Unreached struct{}

func (Responded) result() {}
func (Refused) result()   {}
func (Lost) result()      {}
func (Unreached) result() {}

// Delegator passes requests on to other entries. It is safe for concurrent use.
type Delegator struct {
	opts Options
	// openProbes is the number of probes that have not ended.
	openProbes atomic.Int64

	mu    sync.Mutex
	peers map[Peer]*peerState
	// unreachedUntil is the time until which no entry is probed in a search.
	unreachedUntil map[search]time.Time
}

// New returns a delegator without connections.
func New(o Options) *Delegator {
	return &Delegator{opts: o, peers: map[Peer]*peerState{}, unreachedUntil: map[search]time.Time{}}
}

// headers returns the headers of responses between entries.
func (d *Delegator) headers() roundtripper.Headers {
	return roundtripper.Headers{
		RequestID: d.opts.RequestID, Instance: EntryHeader, Signature: OutcomeHeader,
		ReadLoad:          func(http.Header) (describer.Load, bool) { return describer.Load{}, false },
		ReadRateLimit:     func(http.Header) describer.RateLimit { return describer.RateLimit{} },
		ReadColdRemaining: func(http.Header) time.Duration { return 0 },
		ReadLeaving:       func(http.Header) bool { return false },
		ReadPause:         func(time.Time, http.Header) describer.Pause { return describer.Pause{} },
	}
}

// Send passes a request on until ctx is done. An entry that turns it down unsent makes
// room for the next one.
func (d *Delegator) Send(ctx context.Context, r Request) Result {
	var last Result = Unreached{}
	var tried []*peerState
	for len(tried) < maxTries {
		p, conn := d.pick(ctx, r, tried)
		if p == nil {
			return last
		}
		if ctx.Err() != nil {
			p.Release(conn)
			return last
		}
		tried = append(tried, p)
		d.setHeaders(r)
		last = p.send(ctx, conn, r)
		switch result := last.(type) {
		case Responded:
			return result
		case Lost:
			if ctx.Err() != context.Canceled {
				p.avoid(time.Now())
			}
			return result
		case Refused:
			if result.Refusal.Kind != refuser.NotRun {
				return result
			}
			r.Counted = r.Counted || result.Counted
			switch result.Refusal.Reason {
			case refuser.BackendUnreachable:
				// It reaches servers, but none of this service.
				continue
			case refuser.UnreachableServers, refuser.NoDocument, refuser.Stopping:
			default:
				return result
			}
		}
		p.avoid(time.Now())
	}
	return last
}

// SendTo passes a request on to one entry until ctx is done.
func (d *Delegator) SendTo(ctx context.Context, id string, r Request) Result {
	d.setHeaders(r)
	p := d.peer(id)
	if p == nil {
		return Unreached{}
	}
	probed := p.probe(ctx, probePath(r))
	switch {
	case probed.conn == nil:
		return Unreached{}
	case ctx.Err() != nil:
		probed.release()
		return Unreached{}
	}
	return p.send(ctx, probed.conn, r)
}

// setHeaders sets the headers that tell another entry of a request.
func (d *Delegator) setHeaders(r Request) {
	r.Header.Set(HopHeader, d.opts.Self)
	r.Header.Set(AttemptsHeader, strconv.Itoa(r.Attempts))
	r.Header.Set(ConfigurationHeader, strconv.FormatInt(r.Configuration, 10))
	// A caller may have sent a header of this name.
	r.Header.Del(TrialHeader)
	if r.Trial {
		r.Header.Set(TrialHeader, "1")
	}
	r.Header.Del(CountedHeader)
	if r.Counted {
		r.Header.Set(CountedHeader, "1")
	}
}

// send sends a request to one entry.
func (p *peerState) send(ctx context.Context, conn *roundtripper.Conn, r Request) Result {
	attempts := r.Attempts + 1
	r.OnInformational = func(h http.Header) {
		if told, err := strconv.Atoi(h.Get(AttemptsHeader)); err == nil {
			attempts = max(attempts, told)
		}
	}
	resp, outcome := p.Send(ctx, conn, r.Request)
	switch {
	case !retrier.MayHaveRun(outcome):
		return Unreached{}
	case resp == nil:
		return Lost{Entry: p.ID, Outcome: outcome, Attempts: attempts}
	}
	told, leaving := resp.Header.Get(OutcomeHeader), parseLeavingServer(resp.Header.Get(LeavingHeader))
	resp.Header.Del(OutcomeHeader)
	counted := resp.Header.Get(CountedHeader) != ""
	resp.Header.Del(LeavingHeader)
	resp.Header.Del(CountedHeader)
	if told == Passed {
		return Responded{Entry: p.ID, Response: resp, Leaving: leaving, Attempts: attempts}
	}
	refusal, err := refuser.ParseHeader(told)
	if err != nil {
		return Lost{Entry: p.ID, Outcome: retrier.Truncated{Cause: err}, Attempts: attempts}
	}
	if wait, err := time.ParseDuration(resp.Header.Get(RetryHeader)); err == nil && wait > 0 {
		refusal = refusal.WithRetryAt(time.Now().Add(wait))
	}
	return Refused{Entry: p.ID, Refusal: refusal, Attempts: attempts, Counted: counted}
}

// CloseExpired closes connections that have been idle for too long, and those to entries
// that are gone.
func (d *Delegator) CloseExpired(now time.Time) {
	peers := d.opts.Peers()
	d.mu.Lock()
	defer d.mu.Unlock()
	for p, state := range d.peers {
		if slices.Contains(peers, p) {
			state.CloseExpired(now)
			continue
		}
		state.Close()
		delete(d.peers, p)
	}
}
