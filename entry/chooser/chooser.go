// Package chooser picks the backend server for a request.
package chooser

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Candidate is a server that may take a request.
type Candidate struct {
	// Index is the caller's index of the server.
	Index int
	// InFlight counts the requests that this entry has at the server.
	InFlight int
	// Quota bounds InFlight. It is ignored by policies without quotas.
	Quota int
	// SlotShare is this entry's part of the server's slots.
	SlotShare float64
	// Slowness is the server's slowness relative to its service.
	Slowness float64
	// CrossDomainLatency is the time that another failure domain adds.
	CrossDomainLatency time.Duration
	// MeanLatency is the mean latency of the service.
	MeanLatency time.Duration
}

// ExpectedLatency returns the time in which the candidate would answer one more
// request.
func (c Candidate) ExpectedLatency() time.Duration {
	load := 1.0
	if c.SlotShare > 0 {
		load = max(1, float64(c.InFlight+1)/c.SlotShare)
	}
	return time.Duration(float64(c.MeanLatency)*c.Slowness*load) + c.CrossDomainLatency
}

// Policy is a way to choose. The policies are ExpectedCompletion, Random,
// RoundRobin, LeastInFlight and TwoChoices.
type Policy interface {
	fmt.Stringer
	policy()
}

// ExpectedCompletion takes the server that is expected to answer first, within
// quotas.
type ExpectedCompletion struct{}

// Random takes any server.
type Random struct{}

// RoundRobin takes the servers in turn.
type RoundRobin struct{}

// LeastInFlight takes the server with the fewest of this entry's requests.
type LeastInFlight struct{}

// TwoChoices takes the better of two random servers by requests in flight.
type TwoChoices struct{}

func (ExpectedCompletion) policy() {}
func (Random) policy()             {}
func (RoundRobin) policy()         {}
func (LeastInFlight) policy()      {}
func (TwoChoices) policy()         {}

func (ExpectedCompletion) String() string { return "expected-completion" }
func (Random) String() string             { return "random" }
func (RoundRobin) String() string         { return "round-robin" }
func (LeastInFlight) String() string      { return "least-in-flight" }
func (TwoChoices) String() string         { return "two-choices" }

// Policies lists every policy.
func Policies() []Policy {
	return []Policy{ExpectedCompletion{}, Random{}, RoundRobin{}, LeastInFlight{}, TwoChoices{}}
}

// ErrNoSuchPolicy says that a policy name is not known.
type ErrNoSuchPolicy struct{ Name string }

func (e ErrNoSuchPolicy) Error() string {
	names := make([]string, 0, len(Policies()))
	for _, p := range Policies() {
		names = append(names, p.String())
	}
	return fmt.Sprintf("policy %q does not exist; policies are %s", e.Name, strings.Join(names, ", "))
}

// ParsePolicy returns the policy with a name.
func ParsePolicy(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.String() == name {
			return p, nil
		}
	}
	return nil, ErrNoSuchPolicy{Name: name}
}

// Coordinated tells whether a policy works with quotas and shared limits. The
// others are baselines that act for themselves.
func Coordinated(p Policy) bool {
	_, ok := p.(ExpectedCompletion)
	return ok
}

// Chooser picks servers by a policy. It is not safe for concurrent use.
type Chooser struct {
	policy Policy
	rng    *rand.Rand
	next   int
}

// New returns a chooser that draws from rng.
func New(p Policy, rng *rand.Rand) *Chooser { return &Chooser{policy: p, rng: rng} }

// Policy returns the chooser's policy.
func (c *Chooser) Policy() Policy { return c.policy }

// Choose returns the index in candidates of the server to use, or false if none
// may take the request now.
func (c *Chooser) Choose(candidates []Candidate) (index int, ok bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	switch c.policy.(type) {
	case ExpectedCompletion:
		return c.expected(candidates)
	case Random:
		return c.rng.IntN(len(candidates)), true
	case RoundRobin:
		c.next++
		return c.next % len(candidates), true
	case LeastInFlight:
		return c.least(candidates), true
	case TwoChoices:
		a, b := c.rng.IntN(len(candidates)), c.rng.IntN(len(candidates))
		if candidates[b].InFlight < candidates[a].InFlight {
			return b, true
		}
		return a, true
	default:
		return 0, false
	}
}

// expected scans from a random place, so that equal servers share the work.
func (c *Chooser) expected(candidates []Candidate) (best int, ok bool) {
	start := c.rng.IntN(len(candidates))
	var bestTime time.Duration
	for i := range candidates {
		j := (start + i) % len(candidates)
		cand := candidates[j]
		if cand.InFlight >= cand.Quota {
			continue
		}
		if t := cand.ExpectedLatency(); !ok || t < bestTime {
			best, bestTime, ok = j, t, true
		}
	}
	return best, ok
}

func (c *Chooser) least(candidates []Candidate) (best int) {
	start := c.rng.IntN(len(candidates))
	best = start
	for i := range candidates {
		j := (start + i) % len(candidates)
		if candidates[j].InFlight < candidates[best].InFlight {
			best = j
		}
	}
	return best
}
