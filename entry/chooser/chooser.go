// Package chooser implements the load balancing policies that pick the backend
// server for a request.
package chooser

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Candidate is a server that may be chosen for a request.
type Candidate struct {
	// Index identifies the server to the code that calls Choose.
	Index int
	// InFlight is the number of requests that this entry has in flight at the
	// server.
	InFlight int
	// Quota bounds InFlight. Policies without quotas ignore it.
	Quota int
	// SlotShare is this entry's share of the server's slots, in slots. If it is zero,
	// the load is left out of the expected latency.
	SlotShare float64
	// Slowness is the server's latency relative to the mean of its service.
	Slowness float64
	// CrossDomainLatency is the latency added if the server is in another failure
	// domain than this entry.
	CrossDomainLatency time.Duration
	// MeanLatency is the mean latency of the service.
	MeanLatency time.Duration
}

// ExpectedLatency returns the expected latency of one more request to the candidate.
// It grows with the load once all slots of the share are in use.
func (c Candidate) ExpectedLatency() time.Duration {
	load := 1.0
	if c.SlotShare > 0 {
		load = max(1, float64(c.InFlight+1)/c.SlotShare)
	}
	return time.Duration(float64(c.MeanLatency)*c.Slowness*load) + c.CrossDomainLatency
}

// Policy is a load balancing policy. The policies are ExpectedCompletion, Random,
// RoundRobin, LeastInFlight and TwoChoices.
type Policy interface {
	fmt.Stringer
	policy()
}

// ExpectedCompletion chooses the server with the lowest expected latency among those
// with quota left.
type ExpectedCompletion struct{}

// Random chooses a server uniformly at random.
type Random struct{}

// RoundRobin chooses the servers in turn.
type RoundRobin struct{}

// LeastInFlight chooses the server with the fewest requests in flight from this
// entry.
type LeastInFlight struct{}

// TwoChoices draws two servers at random and chooses the one with fewer requests in
// flight from this entry (power of two choices).
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

// ErrNoSuchPolicy is returned for an unknown policy name.
type ErrNoSuchPolicy struct{ Name string }

func (e ErrNoSuchPolicy) Error() string {
	names := make([]string, 0, len(Policies()))
	for _, p := range Policies() {
		names = append(names, p.String())
	}
	return fmt.Sprintf("policy %q does not exist; policies are %s", e.Name, strings.Join(names, ", "))
}

// ParsePolicy returns the policy with the given name, or ErrNoSuchPolicy.
func ParsePolicy(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.String() == name {
			return p, nil
		}
	}
	return nil, ErrNoSuchPolicy{Name: name}
}

// Coordinated reports whether a policy uses the quotas and limits that the entries
// share. The other policies are baselines for comparison, with which each entry acts
// alone.
func Coordinated(p Policy) bool {
	_, ok := p.(ExpectedCompletion)
	return ok
}

// Chooser chooses servers by a policy. It is not safe for concurrent use.
type Chooser struct {
	policy Policy
	rng    *rand.Rand
	next   int
}

// New returns a chooser that uses rng as its source of randomness.
func New(p Policy, rng *rand.Rand) *Chooser { return &Chooser{policy: p, rng: rng} }

// Policy returns the chooser's policy.
func (c *Chooser) Policy() Policy { return c.policy }

// Choose returns the index in candidates of the server to use, or false if no
// candidate can take the request now.
func (c *Chooser) Choose(candidates []Candidate) (index int, ok bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	switch c.policy.(type) {
	case ExpectedCompletion:
		return c.expectedCompletion(candidates)
	case Random:
		return c.rng.IntN(len(candidates)), true
	case RoundRobin:
		c.next++
		return c.next % len(candidates), true
	case LeastInFlight:
		return c.leastInFlight(candidates), true
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

// expectedCompletion scans from a random index, so that requests spread over servers
// with equal latency.
func (c *Chooser) expectedCompletion(candidates []Candidate) (best int, ok bool) {
	start := c.rng.IntN(len(candidates))
	var bestLatency time.Duration
	for i := range candidates {
		j := (start + i) % len(candidates)
		cand := candidates[j]
		if cand.InFlight >= cand.Quota {
			continue
		}
		if latency := cand.ExpectedLatency(); !ok || latency < bestLatency {
			best, bestLatency, ok = j, latency, true
		}
	}
	return best, ok
}

// leastInFlight scans from a random index too.
func (c *Chooser) leastInFlight(candidates []Candidate) (best int) {
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
