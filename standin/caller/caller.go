// Package caller stands in for callers: it asks which entry to use, keeps the
// answer for its time, connects there, and checks that each answer is whole and
// its own.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"samphiremux/standin/responder"
)

const (
	locatePath    = "/.samphire/locate"
	refusalHeader = "Samphire-Refusal"
	locateLimit   = time.Second
	callLimit     = 10 * time.Second
	maxConns      = 4096
	directLife    = 24 * time.Hour
)

// Dialer connects the caller to an entry.
type Dialer func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// Caller is one caller with its connections.
type Caller struct {
	transport *http.Transport
	seeds     []netip.AddrPort

	mu      sync.Mutex
	rng     *rand.Rand
	located map[string]located
}

type located struct {
	entries    []netip.AddrPort
	validUntil time.Time
}

// New returns a caller that knows the addresses of some entries to ask.
func New(dial Dialer, seeds []netip.AddrPort, seed uint64) *Caller {
	return &Caller{
		seeds: seeds, rng: rand.New(rand.NewPCG(seed, 7)), located: map[string]located{},
		transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				a, err := netip.ParseAddrPort(address)
				if err != nil {
					return nil, err
				}
				return dial(ctx, a)
			},
			MaxIdleConnsPerHost: maxConns, DisableCompression: true, IdleConnTimeout: 30 * time.Second,
		},
	}
}

// NewDirect returns a caller that uses backend servers without an entry, to
// compare with.
func NewDirect(dial Dialer, servers []netip.AddrPort, service string, seed uint64) *Caller {
	c := New(dial, nil, seed)
	c.located[service] = located{entries: servers, validUntil: time.Now().Add(directLife)}
	return c
}

// Close ends the caller's connections.
func (c *Caller) Close() { c.transport.CloseIdleConnections() }

// Call is one call.
type Call struct {
	Service string
	Method  string
	Path    string
	ID      string
	Key     string
	Body    []byte
	Work    time.Duration
	Poison  bool
	Header  http.Header
}

// Result is how a call ended. The results are Whole, Failed, Refused, Wrong,
// Broken and NoEntry.
type Result interface{ result() }

// Whole is the right and whole answer.
type Whole struct{ Entry netip.AddrPort }

// Failed is an error answer of a backend server.
type Failed struct{ Status int }

// Refused is a refusal of an entry.
type Refused struct {
	Kind   string
	Reason string
	Status int
}

// Wrong is an answer that belongs to another call, or that was cut yet looked
// whole.
type Wrong struct{ Got string }

// Broken is a call whose connection broke before its answer was whole.
type Broken struct{ Cause error }

// NoEntry is a call that reached no entry.
type NoEntry struct{ Cause error }

func (Whole) result()   {}
func (Failed) result()  {}
func (Refused) result() {}
func (Wrong) result()   {}
func (Broken) result()  {}
func (NoEntry) result() {}

// Do makes a call. An entry that cannot be reached is passed over, since the
// call was not sent.
func (c *Caller) Do(ctx context.Context, call Call) Result {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	var lastErr error
	for range 3 {
		entries, err := c.locate(ctx, call.Service)
		if err != nil {
			return NoEntry{Cause: err}
		}
		for _, entry := range entries {
			result, sent := c.try(ctx, call, entry)
			if sent {
				return result
			}
			lastErr = result.(NoEntry).Cause
		}
		c.forget(call.Service)
	}
	return NoEntry{Cause: lastErr}
}

func (c *Caller) forget(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.located, service)
}

// locate returns the entries for a service in random order, from a kept answer
// or by asking.
func (c *Caller) locate(ctx context.Context, service string) (entries []netip.AddrPort, err error) {
	c.mu.Lock()
	have, ok := c.located[service]
	seeds := slices.Clone(c.seeds)
	c.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	c.mu.Unlock()
	if !ok || !time.Now().Before(have.validUntil) {
		have, err = c.ask(ctx, service, seeds)
		if err != nil {
			return nil, err
		}
		c.mu.Lock()
		c.located[service] = have
		c.mu.Unlock()
	}
	entries = slices.Clone(have.entries)
	c.mu.Lock()
	c.rng.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	c.mu.Unlock()
	return entries, nil
}

func (c *Caller) ask(ctx context.Context, service string, seeds []netip.AddrPort) (l located, err error) {
	err = errors.New("no entry to ask")
	for _, seed := range seeds {
		if l, err = c.askOne(ctx, service, seed); err == nil {
			return l, nil
		}
	}
	return located{}, err
}

func (c *Caller) askOne(ctx context.Context, service string, seed netip.AddrPort) (l located, err error) {
	ctx, cancel := context.WithTimeout(ctx, locateLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+seed.String()+locatePath+"?service="+service, nil)
	if err != nil {
		return located{}, err
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return located{}, err
	}
	defer resp.Body.Close()
	var answer struct {
		ValidUntil time.Time `json:"valid-until"`
		Entries    []struct {
			Address netip.AddrPort `json:"address"`
		} `json:"entries"`
	}
	if resp.StatusCode != http.StatusOK {
		return located{}, fmt.Errorf("entry %s answered %d", seed, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return located{}, err
	}
	if len(answer.Entries) == 0 {
		return located{}, fmt.Errorf("entry %s names no entry for %q", seed, service)
	}
	l.validUntil = answer.ValidUntil
	for _, e := range answer.Entries {
		l.entries = append(l.entries, e.Address)
	}
	return l, nil
}

// try sends a call to one entry. Sent is false if the entry was not reached.
func (c *Caller) try(ctx context.Context, call Call, entry netip.AddrPort) (r Result, sent bool) {
	// A body without GetBody keeps the transport from sending the call twice.
	body := io.NopCloser(bytes.NewReader(call.Body))
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+entry.String()+call.Path, body)
	if err != nil {
		return NoEntry{Cause: err}, false
	}
	req.ContentLength = int64(len(call.Body))
	req.Host = call.Service
	for name, values := range call.Header {
		req.Header[name] = values
	}
	req.Header.Set("X-Request-Id", call.ID)
	req.Header.Set(responder.WorkHeader, call.Work.String())
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
	}
	if call.Poison {
		req.Header.Set(responder.PoisonHeader, "1")
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		var op *net.OpError
		if (errors.As(err, &op) && op.Op == "dial") || strings.HasPrefix(err.Error(), "dial ") {
			return NoEntry{Cause: err}, false
		}
		return Broken{Cause: err}, true
	}
	defer resp.Body.Close()
	return classify(call, entry, resp), true
}

func classify(call Call, entry netip.AddrPort, resp *http.Response) Result {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Broken{Cause: err}
	}
	if v := resp.Header.Get(refusalHeader); v != "" {
		kind, reason, _ := strings.Cut(v, "; reason=")
		return Refused{Kind: kind, Reason: reason, Status: resp.StatusCode}
	}
	if resp.StatusCode != http.StatusOK {
		return Failed{Status: resp.StatusCode}
	}
	if want := responder.Body(call.ID); string(body) != want {
		return Wrong{Got: strconv.Quote(string(body[:min(len(body), 60)]))}
	}
	return Whole{Entry: entry}
}
